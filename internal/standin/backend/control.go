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
	// maxControlBytes limits the size of a control body.
	maxControlBytes = 1 << 20
	// maxSentAnswers limits the recorded answers; the oldest ones are dropped.
	maxSentAnswers = 10_000
)

// ServedShard identifies a shard of a snapshot that the replica serves, with the shard map of the snapshot.
type ServedShard struct {
	IndexVersion int64             `json:"index_version"`
	ShardMap     snapshot.ShardMap `json:"map"`
	Shard        string            `json:"shard"`
}

// Version returns the version of the snapshot.
func (served ServedShard) Version() snapshot.Version {
	return snapshot.Version{Index: served.IndexVersion, Map: served.ShardMap.Version}
}

// Control is the body of a request to the control endpoint. An absent field changes nothing.
type Control struct {
	// ServedShards replaces the shards that the replica serves. During the rollout of a snapshot it serves two snapshots.
	ServedShards []ServedShard `json:"held,omitempty"`
	// Faults replaces the queue of faults. Each fault applies to one sub-request.
	Faults []Fault `json:"faults,omitempty"`
	// Drain makes the replica refuse new sub-requests.
	Drain bool `json:"drain,omitempty"`
	// ResetPeak resets the peak of open connections to their current number.
	ResetPeak bool `json:"reset_peak,omitempty"`
	// ReportState is the state that the load endpoint reports from now on instead of the actual one, which simulates a
	// report that is out of date.
	ReportState backend.State `json:"report_state,omitempty"`
}

// Execution is one execution of a non-idempotent request.
type Execution struct {
	Key     string `json:"key"`
	Request string `json:"request"`
	Attempt string `json:"attempt"`
}

// SentAnswer is a correct answer that the replica wrote at the time At.
type SentAnswer struct {
	Request, Attempt, Shard string
	Version                 snapshot.Version
	Records                 []backend.Record
	At                      time.Time
}

// Counters is the answer of the counters endpoint, and the line that WriteReport appends.
type Counters struct {
	// Executed counts the executions of non-idempotent requests.
	Executed int `json:"executed"`
	// Sent counts the correct answers, at most maxSentAnswers.
	Sent int `json:"sent"`
	// Received counts the valid sub-requests that arrived, including those refused because of load, draining or the
	// deadline.
	Received int64 `json:"received"`
	// ExecutedTotal counts the sub-requests that were executed, regardless of the answer.
	ExecutedTotal int64 `json:"ran"`
	// LastWorkAfterDrainMS is the time between the start of draining and the latest sub-request after it, in
	// milliseconds; 0 if there was none.
	LastWorkAfterDrainMS int64 `json:"last_work_after_drain_ms"`
	// WorkAfterDrain counts the sub-requests that arrived after the start of draining, by whole seconds after it.
	WorkAfterDrain []int `json:"work_after_drain,omitempty"`
	// Connections is the number of open connections of entry daemons, PeakConnections the highest number so far.
	Connections     int `json:"connections"`
	PeakConnections int `json:"peak_connections"`
	// Abandoned counts the sub-requests that were cancelled or timed out before their answer, by the stage reached.
	Abandoned map[Stage]int `json:"abandoned,omitempty"`
}

// ApplyControl applies a control request.
func (s *Server) ApplyControl(c Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ServedShards != nil {
		s.servedShards = c.ServedShards
	}
	if c.Faults != nil {
		s.pendingFaults = c.Faults
	}
	if c.ReportState != "" {
		s.reportedState = c.ReportState
	}
	if c.Drain && s.state != backend.StateDraining {
		s.state, s.drainingSince = backend.StateDraining, time.Now()
	}
	if c.ResetPeak {
		s.connections.peak = s.connections.open
	}
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := httpjson.Read(r.Body, maxControlBytes, &c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, served := range c.ServedShards {
		if err := served.ShardMap.Check(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	s.ApplyControl(c)
	w.WriteHeader(http.StatusNoContent)
}

// findServedShard returns the served shard of the snapshot.
func (s *Server) findServedShard(version snapshot.Version, shard string) (ServedShard, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, served := range s.servedShards {
		if served.Version() == version && served.Shard == shard {
			return served, true
		}
	}
	return ServedShard{}, false
}

// Executions returns the executions of non-idempotent requests, oldest first.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.executions...)
}

// SentAnswers returns the latest correct answers to sub-requests, oldest first, at most maxSentAnswers.
func (s *Server) SentAnswers() []SentAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]SentAnswer{}, s.sentAnswers...)
}

// Load returns the answer of the load endpoint.
func (s *Server) Load() backend.LoadReport { return s.load() }

// Counters returns the current counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counters{
		Executed: len(s.executions), Sent: len(s.sentAnswers), Received: s.receivedCount, ExecutedTotal: s.executedCount,
		LastWorkAfterDrainMS: s.lastWorkAfterDrain.Milliseconds(), WorkAfterDrain: slices.Clone(s.workAfterDrain),
		Connections: s.connections.open, PeakConnections: s.connections.peak,
		Abandoned: maps.Clone(s.abandonedCounts),
	}
}

// recordExecution records an execution in memory, and in the execution log if there is one.
func (s *Server) recordExecution(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Execution{
		Key: r.Header.Get(backend.HeaderKey), Request: r.Header.Get(backend.HeaderRequest),
		Attempt: r.Header.Get(backend.HeaderAttempt),
	}
	s.executions = append(s.executions, e)
	if err := appendJSONLine(s.cfg.ExecutionLog, e); err != nil {
		panic(err)
	}
}

func (s *Server) recordSent(a backend.SubResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sentAnswers) == maxSentAnswers {
		s.sentAnswers = s.sentAnswers[1:]
	}
	s.sentAnswers = append(s.sentAnswers, SentAnswer{a.Request, a.Attempt, a.Shard, a.Version, a.Records, time.Now()})
}

// takeFault removes the next fault from the queue and returns it, or a fault without effect if the queue is empty.
func (s *Server) takeFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingFaults) == 0 {
		return Fault{}
	}
	f := s.pendingFaults[0]
	s.pendingFaults = s.pendingFaults[1:]
	return f
}

// Fault changes how the replica serves one sub-request.
type Fault struct {
	Mode FaultMode `json:"mode"`
	// DelayMS is an additional delay in milliseconds after the service time.
	DelayMS int64 `json:"delay_ms,omitempty"`
}
