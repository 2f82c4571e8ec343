// Package api defines the types of the HTTP interfaces for callers and operators, and the closed list of error kinds.
package api

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/chivemill/chivemill/snapshot"
)

// Path and header names of the callers' HTTP interface.
const (
	QueryPath            = "/v1/query"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNonIdempotent  = "Chivemill-Non-Idempotent"
	HeaderRequestID      = "Chivemill-Request-Id"
)

// Query is the JSON body of a caller's request.
type Query struct {
	Service string `json:"service"`
	Query   string `json:"query"`
	// DeadlineMS is the time that the caller is willing to wait, in milliseconds from receipt of the request. 0 selects
	// the profile's deadline, which is also the upper bound.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Nonce is echoed in the answer, so that a caller that shares connections can match answers with requests.
	Nonce string `json:"nonce,omitempty"`
}

// Record is one search result with the shard that returned it.
type Record struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	Shard string `json:"shard"`
}

// MissingReason states why a shard is missing from an answer.
type MissingReason string

// Values of MissingReason.
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

// MissingShard is a shard that is missing from an answer.
type MissingShard struct {
	Shard  string        `json:"shard"`
	Reason MissingReason `json:"reason"`
}

// Coverage lists the included and the missing shards of an answer.
type Coverage struct {
	Included []string       `json:"included"`
	Missing  []MissingShard `json:"missing"`
	// Fraction is the fraction of the key space that the included shards cover, from 0 to 1.
	Fraction float64 `json:"fraction"`
	Complete bool    `json:"complete"`
}

// Answer is the JSON body of a successful response to a query.
type Answer struct {
	RequestID       string           `json:"request_id"`
	Nonce           string           `json:"nonce,omitempty"`
	Service         string           `json:"service"`
	Profile         string           `json:"profile"`
	ProfileRevision int64            `json:"profile_revision"`
	Snapshot        snapshot.Version `json:"snapshot"`
	Coverage        Coverage         `json:"coverage"`
	Records         []Record         `json:"records"`
	// Output is the result of a non-idempotent request.
	Output string `json:"output,omitempty"`
	// EndMarker repeats the request ID as the last field and marks the body as complete. A body without it is truncated.
	EndMarker string `json:"end"`
}

// ErrTruncated is returned for an answer body that is truncated or otherwise not a complete answer, such as one that is
// not valid JSON.
var ErrTruncated = errors.New("answer is truncated")

// DecodeAnswer decodes the body of a successful response. It returns ErrTruncated unless the body is a single complete
// JSON value whose completeness marker, the field end, equals the request ID.
func DecodeAnswer(data []byte) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if a.RequestID == "" || a.EndMarker != a.RequestID {
		return Answer{}, fmt.Errorf("%w: completeness marker %q of request %q", ErrTruncated, a.EndMarker, a.RequestID)
	}
	return a, nil
}

// Validate returns an error if the answer belongs to a request with another nonce, or if its records contradict its
// coverage. A caller that shares connections should check each answer.
func (a Answer) Validate(nonce string) error {
	if a.Nonce != nonce {
		return errors.New("answer belongs to another request")
	}
	included := make(map[string]bool)
	for _, shard := range a.Coverage.Included {
		included[shard] = true
	}
	for _, m := range a.Coverage.Missing {
		if included[m.Shard] || m.Reason == "" {
			return fmt.Errorf("shard %s is both included and missing, or is missing without a reason", m.Shard)
		}
	}
	if a.Coverage.Complete != (len(a.Coverage.Missing) == 0) {
		return fmt.Errorf("complete is %t with %d missing shards", a.Coverage.Complete, len(a.Coverage.Missing))
	}
	seen := make(map[string]bool)
	for _, r := range a.Records {
		if seen[r.Key] || !included[r.Shard] {
			return fmt.Errorf("record %s is a duplicate or belongs to a shard that is not included", r.Key)
		}
		seen[r.Key] = true
	}
	return nil
}
