// Package backend implements the HTTP protocol between entry daemons and backend servers, and a client for it.
package backend

import (
	"github.com/chivemill/chivemill/snapshot"
)

// Paths of a backend server.
const (
	PathSubRequest = "/v1/sub"
	PathExecute    = "/v1/execute"
	PathHealth     = "/healthz"
	PathLoad       = "/load"
	PathMaps       = "/maps/"
)

// Headers of a sub-request. HeaderKey is not called Idempotency-Key as for callers, because net/http replays a request
// with that header if a reused connection breaks.
const (
	HeaderRequest  = "Chivemill-Request"
	HeaderAttempt  = "Chivemill-Attempt"
	HeaderSnapshot = "Chivemill-Snapshot"
	HeaderShard    = "Chivemill-Shard"
	HeaderService  = "Chivemill-Service"
	HeaderKey      = "Chivemill-Key"
	// HeaderDeadline holds the remaining time in milliseconds.
	HeaderDeadline = "Chivemill-Deadline-Ms"
	// HeaderDataCentre holds the data centre of the daemon that opened the connection.
	HeaderDataCentre = "Chivemill-Data-Centre"
)

// State is the state that a backend server reports about itself.
type State string

// Values of State. A cold replica is warming up after a start and may refuse sub-requests with RefusedCold; a draining
// one refuses all new sub-requests with RefusedDraining.
const (
	StateCold     State = "cold"
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// LoadReport is the response body of the load endpoint.
type LoadReport struct {
	Replica string `json:"replica"`
	Service string `json:"service"`
	// Incarnation increases with each start of the replica.
	Incarnation int64 `json:"incarnation"`
	State       State `json:"state"`
	// Slots is the number of sub-requests that the replica can execute concurrently, Busy the number that it executes
	// now, and Queued the number that wait for a slot.
	Slots  int `json:"slots"`
	Busy   int `json:"busy"`
	Queued int `json:"queued"`
	// Connections is the largest number of open connections that the replica accepts.
	Connections int                `json:"connections"`
	Holdings    []snapshot.Holding `json:"holdings,omitempty"`
}

// Record is one result of a sub-request with the version of the snapshot that it was read from.
type Record struct {
	Key     string           `json:"key"`
	Value   string           `json:"value"`
	Version snapshot.Version `json:"version"`
}

// SubResponse is the response body of a sub-request that was executed.
type SubResponse struct {
	Request     string           `json:"request"`
	Attempt     string           `json:"attempt"`
	Version     snapshot.Version `json:"version"`
	Shard       string           `json:"shard"`
	Replica     string           `json:"replica"`
	Incarnation int64            `json:"incarnation"`
	Records     []Record         `json:"records,omitempty"`
	Output      string           `json:"output,omitempty"`
	// End repeats Attempt as the last field; a body without it is truncated.
	End string `json:"end"`
}

// RefusalReason is the reason why a backend server refused a sub-request before execution.
type RefusalReason string

// Values of RefusalReason.
const (
	RefusedDraining      RefusalReason = "draining"
	RefusedShedding      RefusalReason = "shedding"
	RefusedCold          RefusalReason = "cold"
	RefusedWrongSnapshot RefusalReason = "wrong_snapshot"
	RefusedDeadline      RefusalReason = "deadline"
	RefusedBadRequest    RefusalReason = "bad_request"
	// RefusedMisdirected means that another replica now has the address.
	RefusedMisdirected RefusalReason = "misdirected"
)

// Refusal is the body of a response with status 503 that refuses a sub-request before execution. Ran is "never".
type Refusal struct {
	Reason RefusalReason `json:"refused"`
	Ran    string        `json:"ran"`
	// Attempt repeats the refused attempt. It is required in responses from PathExecute, so that a refusal of an
	// earlier request on the connection cannot release a claim.
	Attempt     string `json:"attempt,omitempty"`
	Replica     string `json:"replica"`
	Incarnation int64  `json:"incarnation"`
}

// mayConcern reports whether this can be the refusal of a sub-request. A refusal without attempt of a sub-request without
// key may also be that of an earlier one on the connection.
func (r Refusal) mayConcern(sub SubRequest) bool {
	if r.Ran != "never" {
		return false
	}
	return r.Attempt == sub.Attempt || r.Attempt == "" && sub.Key == ""
}
