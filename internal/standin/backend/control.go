package backend

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/httpjson"
	"github.com/chivemill/chivemill/snapshot"
)

// Paths of the stand-in's own control interface.
const (
	PathControl  = "/standin/control"
	PathExecuted = "/standin/executed"
	PathCounters = "/standin/counters"
)

const (
	// maxControl bounds a control body in bytes.
	maxControl = 1 << 20
	// maxSent bounds the log of sent answers.
	maxSent = 10_000
)

// Held is a shard of a snapshot that the replica serves.
type Held struct {
	Index int64             `json:"index_version"`
	Map   snapshot.ShardMap `json:"map"`
	Shard string            `json:"shard"`
}

// Version returns the snapshot of the holding.
func (h Held) Version() snapshot.Version { return snapshot.Version{Index: h.Index, Map: h.Map.Version} }

// Control is the body of the control endpoint. Fields that are absent change nothing.
type Control struct {
	// Held replaces what the replica serves. During a roll it holds two snapshots.
	Held []Held `json:"held,omitempty"`
	// Faults replaces the queue of faults; each is used up by one sub-request.
	Faults []Fault `json:"faults,omitempty"`
	// Drain makes the replica refuse new work.
	Drain bool `json:"drain,omitempty"`
	// ResetPeak sets the peak of open connections to the present number.
	ResetPeak bool `json:"reset_peak,omitempty"`
	// ReportState is the state that the load endpoint reports from now on, whatever the replica does, as an endpoint
	// whose information is out of date.
	ReportState backend.State `json:"report_state,omitempty"`
}

// Execution is one execution of a non-idempotent request.
type Execution struct {
	Key     string `json:"key"`
	Request string `json:"request"`
	Attempt string `json:"attempt"`
}

// Sent is one correct answer that the replica wrote.
type Sent struct {
	Request, Attempt, Shard string
	Version                 snapshot.Version
	Records                 []backend.Record
	At                      time.Time
}

// Counters of a replica.
type Counters struct {
	Executed int `json:"executed"`
	Sent     int `json:"sent"`
	// Received counts the sub-requests that arrived, refused ones included.
	Received int64 `json:"received"`
	// Ran counts the sub-requests that were executed, whatever became of the answer.
	Ran int64 `json:"ran"`
	// LastWorkAfterDrainMS is the time between the start of draining and the latest sub-request after it, in
	// milliseconds; 0 if there was none.
	LastWorkAfterDrainMS int64 `json:"last_work_after_drain_ms"`
	// WorkAfterDrain counts the sub-requests that arrived after the start of draining, by whole seconds after it.
	WorkAfterDrain []int `json:"work_after_drain,omitempty"`
	// Connections are the open connections of entry daemons, PeakConnections the most at one time.
	Connections     int `json:"connections"`
	PeakConnections int `json:"peak_connections"`
	// Abandoned counts sub-requests that ended before their answer, by the stage that they had reached.
	Abandoned map[Stage]int `json:"abandoned,omitempty"`
}

// Apply takes a control body.
func (s *Server) Apply(c Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Held != nil {
		s.held = c.Held
	}
	if c.Faults != nil {
		s.faults = c.Faults
	}
	if c.ReportState != "" {
		s.reported = c.ReportState
	}
	if c.Drain && s.state != backend.StateDraining {
		s.state, s.drainedAt = backend.StateDraining, time.Now()
	}
	if c.ResetPeak {
		s.connections.peak = s.connections.open
	}
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := httpjson.Read(r.Body, maxControl, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, h := range c.Held {
		if err := h.Map.Check(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	s.Apply(c)
	w.WriteHeader(http.StatusNoContent)
}

// holding returns the held shard of the snapshot.
func (s *Server) holding(version snapshot.Version, shard string) (Held, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.held {
		if h.Version() == version && h.Shard == shard {
			return h, true
		}
	}
	return Held{}, false
}

// Executed returns the executions of non-idempotent requests in order.
func (s *Server) Executed() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}

// Sent returns the latest correct answers to sub-requests in order.
func (s *Server) Sent() []Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Sent{}, s.sent...)
}

// Load returns what the load endpoint reports.
func (s *Server) Load() backend.LoadReport { return s.load() }

// Counters returns the counters so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counters{
		Executed: len(s.executions), Sent: len(s.sent), Received: s.received, LastWorkAfterDrainMS: s.lastWork.Milliseconds(),
		WorkAfterDrain: slices.Clone(s.workAfterDrain),
		Connections:    s.connections.open, PeakConnections: s.connections.peak,
		Abandoned: maps.Clone(s.abandoned),
	}
}

func (s *Server) logExecution(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Execution{
		Key: r.Header.Get(backend.HeaderKey), Request: r.Header.Get(backend.HeaderRequest),
		Attempt: r.Header.Get(backend.HeaderAttempt),
	}
	s.executions = append(s.executions, e)
	if err := appendLine(s.set.ExecutionLog, e); err != nil {
		panic(err)
	}
}

func (s *Server) logSent(a backend.SubResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sent) == maxSent {
		s.sent = s.sent[1:]
	}
	s.sent = append(s.sent, Sent{a.Request, a.Attempt, a.Shard, a.Version, a.Records, time.Now()})
}

func (s *Server) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return Fault{}
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

// Fault changes how the replica serves one sub-request.
type Fault struct {
	Mode FaultMode `json:"mode"`
	// DelayMS is added before the answer is written.
	DelayMS int64 `json:"delay_ms,omitempty"`
}
