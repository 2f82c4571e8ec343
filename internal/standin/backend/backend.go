// Package backend is a stand-in for one replica of a backend server. It serves the search and execute interfaces of
// package backend on a small generated index, and simulates execution slots, a queue, service times, warm-up after a
// start, draining, load shedding and network delays.
package backend

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/httpjson"
	"github.com/chivemill/chivemill/snapshot"
)

// CrashQuery as part of a query makes the stand-in crash, which simulates a request that crashes each backend server
// that executes it.
const CrashQuery = "crash-backend-server"

// Server is a stand-in for one replica. It is safe for concurrent use.
type Server struct {
	cfg         Settings
	incarnation int64
	startedAt   time.Time
	slots       chan struct{}
	onCrash     func()

	mu                 sync.Mutex
	state              backend.State
	reportedState      backend.State
	busy               int
	queued             int
	servedShards       []ServedShard
	pendingFaults      []Fault
	executions         []Execution
	sentAnswers        []SentAnswer
	receivedCount      int64
	executedCount      int64
	drainingSince      time.Time
	lastWorkAfterDrain time.Duration
	// workAfterDrain counts the sub-requests that arrived while draining, by whole seconds since drainingSince.
	workAfterDrain  []int
	connections     connectionCount
	abandonedCounts map[Stage]int
}

// NewServer returns a replica that calls onCrash for a query that contains CrashQuery. The incarnation identifies this
// start of the replica; a later start needs a higher one.
func NewServer(cfg Settings, incarnation int64, onCrash func()) *Server {
	s := &Server{
		cfg: cfg, incarnation: incarnation, startedAt: time.Now(),
		slots: make(chan struct{}, cfg.Slots), onCrash: onCrash, state: backend.StateReady,
		abandonedCounts: make(map[Stage]int),
	}
	if cfg.Shards > 0 {
		m := snapshot.NewUniformMap(cfg.MapVersion, cfg.Service, cfg.Shards)
		s.servedShards = []ServedShard{{IndexVersion: cfg.IndexVersion, ShardMap: m, Shard: m.Shards[cfg.Shard].ID}}
	}
	return s
}

// Drain makes the replica refuse new sub-requests and report that it is draining.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != backend.StateDraining {
		s.state, s.drainingSince = backend.StateDraining, time.Now()
	}
}

// Handler returns the HTTP handler of the replica: the interfaces of package backend and the control interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+backend.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET "+backend.PathLoad, s.withNetworkDelay(func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.load())
	}))
	mux.HandleFunc("GET "+backend.PathMaps+"{version}", s.withNetworkDelay(s.handleMap))
	mux.HandleFunc("POST "+backend.PathSubRequest, s.withNetworkDelay(s.handleSub))
	mux.HandleFunc("POST "+backend.PathExecute, s.withNetworkDelay(s.handleExecute))
	mux.HandleFunc("GET "+PathExecuted, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Executions())
	})
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("PUT "+PathControl, s.handleControl)
	return mux
}

func (s *Server) load() backend.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := backend.LoadReport{
		Replica: s.cfg.Replica, Service: s.cfg.Service, Incarnation: s.incarnation, State: s.state,
		Slots: s.cfg.Slots, Busy: s.busy, Queued: s.queued, Connections: s.cfg.MaxConnections,
	}
	if s.reportedState != "" {
		load.State = s.reportedState
	}
	for _, served := range s.servedShards {
		load.Holdings = append(load.Holdings, snapshot.Holding{Version: served.Version(), Shard: served.Shard})
	}
	return load
}

func (s *Server) handleMap(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, served := range s.servedShards {
		if r.PathValue("version") == strconv.FormatInt(served.ShardMap.Version, 10) {
			httpjson.Write(w, http.StatusOK, served.ShardMap)
			return
		}
	}
	http.Error(w, "no such map", http.StatusNotFound)
}

func (s *Server) writeRefusal(w http.ResponseWriter, r *http.Request, reason backend.RefusalReason) {
	httpjson.Write(w, http.StatusServiceUnavailable, s.newRefusal(r, reason))
}

func (s *Server) newRefusal(r *http.Request, reason backend.RefusalReason) backend.Refusal {
	return backend.Refusal{
		Reason: reason, Ran: "never", Replica: s.cfg.Replica, Incarnation: s.incarnation,
		Attempt: r.Header.Get(backend.HeaderAttempt),
	}
}

// admit waits for a free slot. It returns the function that releases the slot and an empty reason, or the reason why
// the sub-request is refused.
func (s *Server) admit(ctx context.Context) (func(), backend.RefusalReason) {
	s.mu.Lock()
	s.receivedCount++
	if s.state == backend.StateDraining {
		s.countWorkAfterDrain(time.Since(s.drainingSince))
		s.mu.Unlock()
		return nil, backend.RefusedDraining
	}
	if s.queued >= s.cfg.Queue && s.busy >= s.cfg.Slots {
		s.mu.Unlock()
		return nil, backend.RefusedShedding
	}
	s.queued++
	s.mu.Unlock()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
		s.countAbandoned(StageQueue)
		return nil, backend.RefusedDeadline
	}
	s.mu.Lock()
	s.queued--
	s.busy++
	s.mu.Unlock()
	return func() {
		<-s.slots
		s.mu.Lock()
		s.busy--
		s.mu.Unlock()
	}, ""
}

// requestContext returns the context of a request with the remaining time that its header states, if any.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(backend.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// simulateWork sleeps for a random service time, multiplied by WarmupFactor during warm-up, or until ctx is done.
func (s *Server) simulateWork(ctx context.Context) {
	duration := time.Duration(float64(s.cfg.ServiceTime) * (0.5 + rand.ExpFloat64()*0.7))
	if time.Since(s.startedAt) < s.cfg.WarmupTime.AsDuration() {
		duration = time.Duration(float64(duration) * s.cfg.WarmupFactor)
	}
	sleep(ctx, duration)
}

// sleep waits for the duration or until ctx is done. It returns false if ctx is done.
func sleep(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	return ctx.Err() == nil
}

func (s *Server) handleSub(w http.ResponseWriter, r *http.Request) {
	version, err := snapshot.ParseVersion(r.Header.Get(backend.HeaderSnapshot))
	if err != nil || s.cfg.Shards == 0 {
		s.writeRefusal(w, r, backend.RefusedBadRequest)
		return
	}
	served, ok := s.findServedShard(version, r.Header.Get(backend.HeaderShard))
	if !ok {
		s.writeRefusal(w, r, backend.RefusedWrongSnapshot)
		return
	}
	s.serve(w, r, func(query string) backend.SubResponse {
		return backend.SubResponse{Version: version, Shard: served.Shard, Records: served.search(query, s.cfg.ItemCount)}
	})
}

func (s *Server) handleExecute(w http.ResponseWriter, r *http.Request) {
	if s.cfg.Shards > 0 || r.Header.Get(backend.HeaderKey) == "" {
		s.writeRefusal(w, r, backend.RefusedBadRequest)
		return
	}
	s.serve(w, r, func(query string) backend.SubResponse {
		s.recordExecution(r)
		return backend.SubResponse{Output: "done: " + query}
	})
}

// serve handles a sub-request of either interface: it applies the next fault, waits for a slot, executes the request
// and writes the answer or the refusal.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, execute func(string) backend.SubResponse) {
	query, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	fault := s.takeFault()
	if fault.Mode == FaultCloseBefore {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	release, refusal := s.admit(ctx)
	if refusal == "" && (fault.Mode == FaultRefuse || fault.Mode == FaultDuplicateRefusal) {
		refusal = backend.RefusedShedding
		release()
	}
	if refusal != "" {
		s.writeRefusalWithFault(w, r, refusal, fault)
		return
	}
	release = sync.OnceFunc(release)
	defer release()
	s.mu.Lock()
	s.executedCount++
	s.mu.Unlock()
	if strings.Contains(string(query), CrashQuery) {
		s.onCrash()
	}
	answer := execute(string(query))
	s.simulateWork(ctx)
	if !sleep(ctx, time.Duration(fault.DelayMS)*time.Millisecond) {
		s.countAbandoned(StageExecution)
		return
	}
	// The simulated network delay of the answer must not occupy the slot.
	release()
	answer.Request = r.Header.Get(backend.HeaderRequest)
	answer.Attempt = r.Header.Get(backend.HeaderAttempt)
	answer.Replica, answer.Incarnation = s.cfg.Replica, s.incarnation
	answer.End = answer.Attempt
	s.writeAnswer(w, answer, fault)
}

// search returns the records of the shard whose keys contain the query. The whole index has the given number of items.
func (served ServedShard) search(query string, items int) []backend.Record {
	var records []backend.Record
	for i := range items {
		key := fmt.Sprintf("item-%04d", i)
		if !served.containsKey(key) || !strings.Contains(key, query) {
			continue
		}
		records = append(records, backend.Record{Key: key, Value: fmt.Sprintf("v%d", served.IndexVersion), Version: served.Version()})
	}
	return records
}

// containsKey reports whether the hash of the key is in the range of the shard.
func (served ServedShard) containsKey(key string) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	position := uint64(hash.Sum32())
	for _, shard := range served.ShardMap.Shards {
		if shard.ID == served.Shard {
			return position >= shard.Low && position < shard.High
		}
	}
	return false
}
