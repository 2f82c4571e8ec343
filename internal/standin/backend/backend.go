// Package backend is a stand-in of one backend server replica. It serves the search and execute interfaces of
// package backend over a small generated index, with slots, a queue, service times, cold start, drain and load
// shedding.
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

// CrashQuery in a query makes the stand-in exit, as a request that crashes each backend server that runs it.
const CrashQuery = "crash-backend-server"

// Server is one replica. It is safe for concurrent use.
type Server struct {
	set         Settings
	incarnation int64
	started     time.Time
	slots       chan struct{}
	crash       func()

	mu         sync.Mutex
	state      backend.State
	reported   backend.State
	busy       int
	queued     int
	held       []Held
	faults     []Fault
	executions []Execution
	sent       []Sent
	received   int64
	ran        int64
	drainedAt  time.Time
	lastWork   time.Duration
	// workAfterDrain counts arrivals by seconds after drainedAt.
	workAfterDrain []int
	connections    connectionCount
	abandoned      map[Stage]int
}

// NewServer returns a replica that calls crash for a query that holds CrashQuery.
func NewServer(set Settings, incarnation int64, crash func()) *Server {
	s := &Server{
		set: set, incarnation: incarnation, started: time.Now(),
		slots: make(chan struct{}, set.Slots), crash: crash, state: backend.StateReady,
		abandoned: make(map[Stage]int),
	}
	if set.Shards > 0 {
		m := snapshot.NewUniformMap(set.MapVersion, set.Service, set.Shards)
		s.held = []Held{{Index: set.IndexVersion, Map: m, Shard: m.Shards[set.Shard].ID}}
	}
	return s
}

// Drain makes the replica refuse new work.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != backend.StateDraining {
		s.state, s.drainedAt = backend.StateDraining, time.Now()
	}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+backend.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET "+backend.PathLoad, s.overLink(func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.load())
	}))
	mux.HandleFunc("GET "+backend.PathMaps+"{version}", s.overLink(s.handleMap))
	mux.HandleFunc("POST "+backend.PathSubRequest, s.overLink(s.handleSub))
	mux.HandleFunc("POST "+backend.PathExecute, s.overLink(s.handleExecute))
	mux.HandleFunc("GET "+PathExecuted, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Executed())
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
		Replica: s.set.Replica, Service: s.set.Service, Incarnation: s.incarnation, State: s.state,
		Slots: s.set.Slots, Busy: s.busy, Queued: s.queued, Connections: s.set.Connections,
	}
	if s.reported != "" {
		load.State = s.reported
	}
	for _, h := range s.held {
		load.Holdings = append(load.Holdings, snapshot.Availability{Version: h.Version(), Shard: h.Shard})
	}
	return load
}

func (s *Server) handleMap(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.held {
		if r.PathValue("version") == strconv.FormatInt(h.Map.Version, 10) {
			httpjson.Write(w, http.StatusOK, h.Map)
			return
		}
	}
	http.Error(w, "no such map", http.StatusNotFound)
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, reason backend.RefusalReason) {
	httpjson.Write(w, http.StatusServiceUnavailable, s.refusal(r, reason))
}

func (s *Server) refusal(r *http.Request, reason backend.RefusalReason) backend.Refusal {
	return backend.Refusal{
		Reason: reason, Ran: "never", Replica: s.set.Replica, Incarnation: s.incarnation,
		Attempt: r.Header.Get(backend.HeaderAttempt),
	}
}

// admit waits for a slot. It reports a refusal reason, or "" with a release function.
func (s *Server) admit(ctx context.Context) (func(), backend.RefusalReason) {
	s.mu.Lock()
	s.received++
	if s.state == backend.StateDraining {
		s.countLateWork(time.Since(s.drainedAt))
		s.mu.Unlock()
		return nil, backend.RefusedDraining
	}
	if s.queued >= s.set.Queue && s.busy >= s.set.Slots {
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
		s.abandon(StageQueue)
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

func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(backend.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// work takes the service time; it ends early with ctx.
func (s *Server) work(ctx context.Context) {
	d := time.Duration(float64(s.set.ServiceTime) * (0.5 + rand.ExpFloat64()*0.7))
	if time.Since(s.started) < s.set.ColdFor.D() {
		d = time.Duration(float64(d) * s.set.ColdFactor)
	}
	wait(ctx, d)
}

// wait reports whether ctx is still live after the duration.
func wait(ctx context.Context, d time.Duration) bool {
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
	if err != nil || s.set.Shards == 0 {
		s.refuse(w, r, backend.RefusedBadRequest)
		return
	}
	held, ok := s.holding(version, r.Header.Get(backend.HeaderShard))
	if !ok {
		s.refuse(w, r, backend.RefusedWrongSnapshot)
		return
	}
	s.serve(w, r, func(query string) backend.SubResponse {
		return backend.SubResponse{Version: version, Shard: held.Shard, Records: held.search(query, s.set.Items)}
	})
}

func (s *Server) handleExecute(w http.ResponseWriter, r *http.Request) {
	if s.set.Shards > 0 || r.Header.Get(backend.HeaderKey) == "" {
		s.refuse(w, r, backend.RefusedBadRequest)
		return
	}
	s.serve(w, r, func(query string) backend.SubResponse {
		s.logExecution(r)
		return backend.SubResponse{Output: "done: " + query}
	})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, run func(string) backend.SubResponse) {
	query, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	fault := s.nextFault()
	if fault.Mode == FaultCloseBefore {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	release, refusal := s.admit(ctx)
	if refusal == "" && (fault.Mode == FaultRefuse || fault.Mode == FaultRefuseStale) {
		refusal = backend.RefusedShedding
		release()
	}
	if refusal != "" {
		s.writeRefusal(w, r, refusal, fault)
		return
	}
	release = sync.OnceFunc(release)
	defer release()
	s.mu.Lock()
	s.ran++
	s.mu.Unlock()
	if strings.Contains(string(query), CrashQuery) {
		s.crash()
	}
	answer := run(string(query))
	s.work(ctx)
	if !wait(ctx, time.Duration(fault.DelayMS)*time.Millisecond) {
		s.abandon(StageWork)
		return
	}
	// The answer's way over the link occupies no slot.
	release()
	answer.Request = r.Header.Get(backend.HeaderRequest)
	answer.Attempt = r.Header.Get(backend.HeaderAttempt)
	answer.Replica, answer.Incarnation = s.set.Replica, s.incarnation
	answer.End = answer.Attempt
	s.writeAnswer(w, answer, fault)
}

// search returns the records of the shard whose key contains the query.
func (h Held) search(query string, items int) []backend.Record {
	var records []backend.Record
	for i := range items {
		key := fmt.Sprintf("item-%04d", i)
		if !h.owns(key) || !strings.Contains(key, query) {
			continue
		}
		records = append(records, backend.Record{Key: key, Value: fmt.Sprintf("v%d", h.Index), Version: h.Version()})
	}
	return records
}

// owns reports whether the key hashes into the range of the shard.
func (h Held) owns(key string) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	position := uint64(hash.Sum32())
	for _, shard := range h.Map.Shards {
		if shard.ID == h.Shard {
			return position >= shard.Low && position < shard.High
		}
	}
	return false
}
