// Package backend is the HTTP protocol between entry daemons and backend servers.
package backend

import (
	"github.com/chivemill/chivemill/snapshot"
)

// Paths of a backend server.
const (
	PathSub     = "/v1/sub"
	PathExecute = "/v1/execute"
	PathHealth  = "/healthz"
	PathLoad    = "/load"
	PathMaps    = "/maps/"
)

// Headers of a sub-request. HeaderKey differs from the callers' Idempotency-Key, because net/http replays a
// request with that header on a broken reused connection.
const (
	HeaderRequest  = "Chivemill-Request"
	HeaderAttempt  = "Chivemill-Attempt"
	HeaderSnapshot = "Chivemill-Snapshot"
	HeaderShard    = "Chivemill-Shard"
	HeaderService  = "Chivemill-Service"
	HeaderKey      = "Chivemill-Key"
	// HeaderDeadline is the remaining time in milliseconds.
	HeaderDeadline = "Chivemill-Deadline-Ms"
	// HeaderDataCentre is the data centre of the daemon that holds the connection.
	HeaderDataCentre = "Chivemill-Data-Centre"
)

// State is the state that a backend server reports of itself.
type State string

// Values of State.
const (
	StateCold     State = "cold"
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Load is the body of the load endpoint.
type Load struct {
	Replica string `json:"replica"`
	Service string `json:"service"`
	// Incarnation grows with each start of the replica.
	Incarnation int64 `json:"incarnation"`
	State       State `json:"state"`
	Slots       int   `json:"slots"`
	Busy        int   `json:"busy"`
	Queued      int   `json:"queued"`
	// Connections is the limit of open connections.
	Connections int                `json:"connections"`
	Holdings    []snapshot.Holding `json:"holdings,omitempty"`
}

// Record is one result of a sub-request, with the snapshot it was read from.
type Record struct {
	Key     string           `json:"key"`
	Value   string           `json:"value"`
	Version snapshot.Version `json:"version"`
}

// SubAnswer is the body of an answered sub-request.
type SubAnswer struct {
	Request     string           `json:"request"`
	Attempt     string           `json:"attempt"`
	Version     snapshot.Version `json:"version"`
	Shard       string           `json:"shard"`
	Replica     string           `json:"replica"`
	Incarnation int64            `json:"incarnation"`
	Records     []Record         `json:"records,omitempty"`
	Output      string           `json:"output,omitempty"`
	// End repeats Attempt as the last field; a body without it was cut off.
	End string `json:"end"`
}

// RefusalReason states why a backend server refused a sub-request before execution.
type RefusalReason string

// Reasons of a refusal.
const (
	RefusedDraining      RefusalReason = "draining"
	RefusedShedding      RefusalReason = "shedding"
	RefusedCold          RefusalReason = "cold"
	RefusedWrongSnapshot RefusalReason = "wrong_snapshot"
	RefusedDeadline      RefusalReason = "deadline"
	RefusedBadRequest    RefusalReason = "bad_request"
	// RefusedMisdirected says that another replica has the address now.
	RefusedMisdirected RefusalReason = "misdirected"
)

// Refusal is the body of a refusal with status 503. Ran is "never".
type Refusal struct {
	Reason RefusalReason `json:"refused"`
	Ran    string        `json:"ran"`
	// Attempt repeats the attempt that is refused. It is required in answers to PathExecute, so that a refusal
	// that belongs to an earlier request on the connection cannot release a claim.
	Attempt     string `json:"attempt,omitempty"`
	Replica     string `json:"replica"`
	Incarnation int64  `json:"incarnation"`
}

// answers reports whether the refusal states that the sub-request was not executed.
func (r Refusal) answers(sub Sub) bool {
	if r.Ran != "never" {
		return false
	}
	return r.Attempt == sub.Attempt || r.Attempt == "" && sub.Key == ""
}
