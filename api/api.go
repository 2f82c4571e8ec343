// Package api holds the types of the HTTP interfaces towards callers and operators and the closed list of
// error kinds.
package api

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/chivemill/chivemill/snapshot"
)

// HTTP paths and headers of the callers' interface.
const (
	QueryPath           = "/v1/query"
	HeaderKey           = "Idempotency-Key"
	HeaderNonIdempotent = "Chivemill-Non-Idempotent"
	HeaderRequestID     = "Chivemill-Request-Id"
)

// Query is the JSON body of a caller's request.
type Query struct {
	Service string `json:"service"`
	Query   string `json:"query"`
	// DeadlineMS is the time the caller is willing to wait, in milliseconds from receipt; 0 takes the
	// profile's deadline.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Nonce is echoed in the answer, so that a caller can match answers on a shared connection.
	Nonce string `json:"nonce,omitempty"`
}

// Record is one search result. Its shard tells where it came from.
type Record struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	Shard string `json:"shard"`
}

// MissingReason states why a shard is not part of an answer.
type MissingReason string

// Reasons for a missing shard.
const (
	MissingNoReplica     MissingReason = "no_replica"
	MissingTimeout       MissingReason = "timeout"
	MissingRefused       MissingReason = "refused"
	MissingTruncated     MissingReason = "truncated"
	MissingUndecodable   MissingReason = "undecodable"
	MissingWrongSnapshot MissingReason = "wrong_snapshot"
	MissingConnection    MissingReason = "connection_lost"
	MissingBudget        MissingReason = "budget_exhausted"
	MissingQuarantined   MissingReason = "quarantined"
)

// MissingShard is a shard that the answer lacks.
type MissingShard struct {
	Shard  string        `json:"shard"`
	Reason MissingReason `json:"reason"`
}

// Coverage lists which shards an answer includes and which it lacks.
type Coverage struct {
	Included []string       `json:"included"`
	Missing  []MissingShard `json:"missing"`
	// Fraction is the part of the key space that the included shards hold, from 0 to 1.
	Fraction float64 `json:"fraction"`
	Complete bool    `json:"complete"`
}

// Answer is the JSON body of a successful answer to a query.
type Answer struct {
	RequestID string           `json:"request_id"`
	Nonce     string           `json:"nonce,omitempty"`
	Service   string           `json:"service"`
	Profile   string           `json:"profile"`
	Revision  int64            `json:"profile_revision"`
	Snapshot  snapshot.Version `json:"snapshot"`
	Coverage  Coverage         `json:"coverage"`
	Records   []Record         `json:"records"`
	// Output is the result of a non-idempotent request.
	Output string `json:"output,omitempty"`
	// End repeats the request id as the last field; a body without it was cut off.
	End string `json:"end"`
}

// ErrCut means that a body is not a whole answer.
var ErrCut = errors.New("answer was cut off")

// DecodeAnswer decodes the body of a successful answer. It returns ErrCut unless the body is one whole JSON value
// that ends with the completeness marker, which equals the request id.
func DecodeAnswer(data []byte) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrCut, err)
	}
	if a.RequestID == "" || a.End != a.RequestID {
		return Answer{}, fmt.Errorf("%w: completeness marker %q of request %q", ErrCut, a.End, a.RequestID)
	}
	return a, nil
}

// Check returns an error if the answer is not that of the request with the nonce, or if its records contradict the
// coverage that it states. A caller that shares connections runs it on each answer.
func (a Answer) Check(nonce string) error {
	if a.Nonce != nonce {
		return errors.New("answer of another request")
	}
	included := make(map[string]bool)
	for _, shard := range a.Coverage.Included {
		included[shard] = true
	}
	for _, m := range a.Coverage.Missing {
		if included[m.Shard] || m.Reason == "" {
			return fmt.Errorf("shard %s is included and missing, or missing without a reason", m.Shard)
		}
	}
	if a.Coverage.Complete != (len(a.Coverage.Missing) == 0) {
		return fmt.Errorf("complete is %t with %d missing shards", a.Coverage.Complete, len(a.Coverage.Missing))
	}
	seen := make(map[string]bool)
	for _, r := range a.Records {
		if seen[r.Key] || !included[r.Shard] {
			return fmt.Errorf("record %s is doubled or of a shard that is not included", r.Key)
		}
		seen[r.Key] = true
	}
	return nil
}
