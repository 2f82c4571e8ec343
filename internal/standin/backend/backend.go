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
	"github.com/chivemill/chivemill/internal/strictyaml"
	"github.com/chivemill/chivemill/settings"
	"github.com/chivemill/chivemill/snapshot"
)

// CrashQuery in a query makes the stand-in exit, as a request that crashes each backend server that runs it.
const CrashQuery = "crash-backend-server"

// Settings of the stand-in.
type Settings struct {
	Replica    string `yaml:"replica"`
	Service    string `yaml:"service"`
	DataCentre string `yaml:"data_centre"`
	Listen     string `yaml:"listen"`
	// Shards is the number of shards of the service; 0 makes an order service.
	Shards int `yaml:"shards"`
	// Shard is the number of the shard that this replica holds.
	Shard int `yaml:"shard"`
	// Items is the number of records in the whole index.
	Items        int   `yaml:"items"`
	IndexVersion int64 `yaml:"index_version"`
	MapVersion   int64 `yaml:"map_version"`
	Slots        int   `yaml:"slots"`
	// Queue is the number of waiting requests above which the replica sheds load.
	Queue       int `yaml:"queue"`
	Connections int `yaml:"connections"`
	// ServiceTime is the median time of a request.
	ServiceTime strictyaml.Duration `yaml:"service_time"`
	// ColdFor is the time after the start in which requests take ColdFactor times as long.
	ColdFor    strictyaml.Duration `yaml:"cold_for"`
	ColdFactor float64             `yaml:"cold_factor"`
	// ConnectionCost is the time that accepting a new connection takes.
	ConnectionCost strictyaml.Duration `yaml:"connection_cost"`
	// DrainFor is the time between the stop signal and the end of the process.
	DrainFor strictyaml.Duration `yaml:"drain_for"`
}

// Default returns the settings that apply where a file states none.
func Default() Settings {
	return Settings{
		Items: 200, IndexVersion: 1, MapVersion: 1, Slots: 5, Queue: 50, Connections: 40,
		ServiceTime: strictyaml.Duration(2 * time.Millisecond), ColdFactor: 3,
		DrainFor: strictyaml.Duration(time.Second),
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(doc *strictyaml.Document) {
	settings.Required(doc, "replica", s.Replica)
	settings.Required(doc, "service", s.Service)
	settings.Required(doc, "data_centre", s.DataCentre)
	settings.Address(doc, "listen", s.Listen)
	settings.Range(doc, "shards", s.Shards, 0, 10_000)
	settings.Range(doc, "shard", s.Shard, 0, max(0, s.Shards-1))
	settings.Range(doc, "slots", s.Slots, 1, 1000)
	settings.Range(doc, "queue", s.Queue, 0, 100_000)
	settings.Range(doc, "connections", s.Connections, 1, 10_000)
	settings.Range(doc, "cold_factor", s.ColdFactor, 1, 100)
}

// Server is one replica. It is safe for concurrent use.
type Server struct {
	set         Settings
	incarnation int64
	started     time.Time
	shardMap    snapshot.Map
	slots       chan struct{}
	crash       func()

	mu       sync.Mutex
	state    backend.State
	busy     int
	queued   int
	executed []string
}

// NewServer returns a replica that calls crash for a query that holds CrashQuery.
func NewServer(set Settings, incarnation int64, crash func()) *Server {
	s := &Server{
		set: set, incarnation: incarnation, started: time.Now(),
		slots: make(chan struct{}, set.Slots), crash: crash, state: backend.StateReady,
	}
	if set.Shards > 0 {
		s.shardMap = snapshot.Uniform(set.MapVersion, set.Service, set.Shards)
	}
	return s
}

// Drain makes the replica refuse new work.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = backend.StateDraining
}

// Executed returns the keys of the executed non-idempotent requests in order.
func (s *Server) Executed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.executed...)
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+backend.PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET "+backend.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.load())
	})
	mux.HandleFunc("GET "+backend.PathMaps+"{version}", s.handleMap)
	mux.HandleFunc("POST "+backend.PathSub, s.handleSub)
	mux.HandleFunc("POST "+backend.PathExecute, s.handleExecute)
	mux.HandleFunc("GET /standin/executed", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Executed())
	})
	return mux
}

func (s *Server) load() backend.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := backend.Load{
		Replica: s.set.Replica, Service: s.set.Service, Incarnation: s.incarnation, State: s.state,
		Slots: s.set.Slots, Busy: s.busy, Queued: s.queued, Connections: s.set.Connections,
	}
	if s.set.Shards > 0 {
		load.Holdings = []snapshot.Holding{{Version: s.version(), Shard: s.shard().ID}}
	}
	return load
}

func (s *Server) version() snapshot.Version {
	return snapshot.Version{Index: s.set.IndexVersion, Map: s.set.MapVersion}
}

func (s *Server) shard() snapshot.Shard { return s.shardMap.Shards[s.set.Shard] }

func (s *Server) handleMap(w http.ResponseWriter, r *http.Request) {
	if s.set.Shards == 0 || r.PathValue("version") != strconv.FormatInt(s.set.MapVersion, 10) {
		http.Error(w, "no such map", http.StatusNotFound)
		return
	}
	httpjson.Write(w, http.StatusOK, s.shardMap)
}

func (s *Server) refuse(w http.ResponseWriter, reason backend.RefusalReason) {
	httpjson.Write(w, http.StatusServiceUnavailable, backend.Refusal{
		Reason: reason, Ran: "never", Replica: s.set.Replica, Incarnation: s.incarnation,
	})
}

// admit waits for a slot. It reports a refusal reason, or "" with a release function.
func (s *Server) admit(ctx context.Context) (func(), backend.RefusalReason) {
	s.mu.Lock()
	if s.state == backend.StateDraining {
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
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (s *Server) handleSub(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, func(query string) backend.SubAnswer {
		return backend.SubAnswer{Version: s.version(), Shard: s.shard().ID, Records: s.search(query)}
	})
}

func (s *Server) handleExecute(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(backend.HeaderKey)
	s.serve(w, r, func(query string) backend.SubAnswer {
		s.mu.Lock()
		s.executed = append(s.executed, key)
		s.mu.Unlock()
		return backend.SubAnswer{Output: "done: " + query}
	})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, run func(string) backend.SubAnswer) {
	if r.URL.Path == backend.PathSub {
		version, err := snapshot.ParseVersion(r.Header.Get(backend.HeaderSnapshot))
		if err != nil || s.set.Shards == 0 {
			s.refuse(w, backend.RefusedBadRequest)
			return
		}
		if version != s.version() || r.Header.Get(backend.HeaderShard) != s.shard().ID {
			s.refuse(w, backend.RefusedWrongSnapshot)
			return
		}
	}
	query, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	release, refusal := s.admit(ctx)
	if refusal != "" {
		s.refuse(w, refusal)
		return
	}
	defer release()
	if strings.Contains(string(query), CrashQuery) {
		s.crash()
	}
	answer := run(string(query))
	s.work(ctx)
	if ctx.Err() != nil {
		return
	}
	answer.Request = r.Header.Get(backend.HeaderRequest)
	answer.Attempt = r.Header.Get(backend.HeaderAttempt)
	answer.Replica, answer.Incarnation = s.set.Replica, s.incarnation
	answer.End = answer.Attempt
	httpjson.Write(w, http.StatusOK, answer)
}

// search returns the records of the shard whose key contains the query.
func (s *Server) search(query string) []backend.Record {
	var records []backend.Record
	shard := s.shard()
	for i := range s.set.Items {
		key := fmt.Sprintf("item-%04d", i)
		h := fnv.New32a()
		_, _ = h.Write([]byte(key))
		if pos := uint64(h.Sum32()); pos < shard.Low || pos >= shard.High || !strings.Contains(key, query) {
			continue
		}
		records = append(records, backend.Record{Key: key, Value: fmt.Sprintf("v%d", s.set.IndexVersion), Version: s.version()})
	}
	return records
}
