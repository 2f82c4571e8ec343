// Package memfleet runs stand-in backend servers on an in-memory network for tests in virtual time.
package memfleet

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/memnet"
	standin "github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
)

// Fleet is a set of replicas on one in-memory network. It is safe for concurrent use.
type Fleet struct {
	network *memnet.Network

	mu       sync.Mutex
	replicas []*replica
}

type replica struct {
	id       string
	service  string
	server   *standin.Server
	listener net.Listener
	http     *http.Server
	crashed  bool
}

// replicaAddress returns the network address of a replica.
func replicaAddress(id string) string { return id + ":80" }

// New returns an empty fleet.
func New() *Fleet { return &Fleet{network: memnet.New()} }

// Start starts a replica. A query that contains standin.CrashQuery crashes it.
func (f *Fleet) Start(cfg standin.Settings) *standin.Server {
	r := &replica{id: cfg.Replica, service: cfg.Service, listener: f.network.Listen(replicaAddress(cfg.Replica))}
	r.server = standin.NewServer(cfg, time.Now().UnixMilli(), func() { f.Crash(cfg.Replica) })
	r.http = &http.Server{Handler: r.server.Handler()}
	go func() { _ = r.http.Serve(r.listener) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas = append(f.replicas, r)
	return r.server
}

// Crash closes all connections of a replica and makes it unreachable.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		if r.id == id {
			r.crashed = true
			memnet.Crash(r.listener)
		}
	}
}

// CountCrashed returns the number of crashed replicas.
func (f *Fleet) CountCrashed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, r := range f.replicas {
		if r.crashed {
			count++
		}
	}
	return count
}

// Servers returns all replicas, including crashed ones, in the order of their start.
func (f *Fleet) Servers() []*standin.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []*standin.Server
	for _, r := range f.replicas {
		servers = append(servers, r.server)
	}
	return servers
}

// Executions returns the executions of non-idempotent requests on all replicas.
func (f *Fleet) Executions() []standin.Execution {
	var executions []standin.Execution
	for _, s := range f.Servers() {
		executions = append(executions, s.Executions()...)
	}
	return executions
}

// Holdings returns the shards, each with the version of its snapshot, that the replicas report to serve. Crashed replicas
// are left out.
func (f *Fleet) Holdings() []snapshot.Holding {
	f.mu.Lock()
	defer f.mu.Unlock()
	var holdings []snapshot.Holding
	for _, r := range f.replicas {
		if !r.crashed {
			holdings = append(holdings, r.server.Load().Holdings...)
		}
	}
	return holdings
}

// Stop stops all replicas and closes their connections.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		_ = r.http.Close()
		memnet.Crash(r.listener)
	}
}

// Pick implements scatter.Picker. It returns the replica that was started first among those that serve the shard and
// are not excluded. This includes crashed replicas, because a daemon detects a crash with a delay.
func (f *Fleet) Pick(service string, version snapshot.Version, shard string, exclude []string) (scatter.Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	want := snapshot.Holding{Version: version, Shard: shard}
	for _, r := range f.replicas {
		if r.service != service || slices.Contains(exclude, r.id) {
			continue
		}
		if shard == "" || slices.Contains(r.server.Load().Holdings, want) {
			return scatter.Target{ID: r.id, Done: func(time.Duration, error) {}}, true
		}
	}
	return scatter.Target{}, false
}

// Daemon holds the connections of an entry daemon to the replicas of a fleet. It implements scatter.Sender and is safe
// for concurrent use.
type Daemon struct {
	fleet *Fleet

	mu      sync.Mutex
	clients map[string]*backend.Client
	killed  bool
}

// connectionsPerReplica is the number of connections of a daemon to each replica.
const connectionsPerReplica = 2

// NewDaemon returns a daemon without open connections.
func (f *Fleet) NewDaemon() *Daemon {
	return &Daemon{fleet: f, clients: make(map[string]*backend.Client)}
}

// Kill makes every later call of Send fail before anything is sent, as if the process had ended.
func (d *Daemon) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killed = true
}

// Killed reports whether the daemon was killed.
func (d *Daemon) Killed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.killed
}

// Send implements scatter.Sender.
func (d *Daemon) Send(ctx context.Context, id string, sub backend.SubRequest) (backend.SubResponse, error) {
	d.mu.Lock()
	client, ok := d.clients[id]
	if !ok {
		client = backend.NewClientWithDial(replicaAddress(id), connectionsPerReplica, d.fleet.network.Dial)
		d.clients[id] = client
	}
	killed := d.killed
	d.mu.Unlock()
	if killed {
		return backend.SubResponse{}, &backend.Error{Failure: backend.NotSent, Cause: context.Canceled}
	}
	return client.Send(ctx, sub)
}

// Close closes the daemon's idle connections.
func (d *Daemon) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.clients {
		c.Close()
	}
}
