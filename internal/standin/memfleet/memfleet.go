// Package memfleet runs stand-in backend servers on an in-memory network, for tests in virtual time.
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

// Fleet is a set of replicas. It is safe for concurrent use.
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
	down     bool
}

// address returns the network address of a replica.
func address(id string) string { return id + ":80" }

// New returns an empty fleet.
func New() *Fleet { return &Fleet{network: memnet.New()} }

// Start starts a replica. A query that holds standin.CrashQuery crashes it.
func (f *Fleet) Start(set standin.Settings) *standin.Server {
	r := &replica{id: set.Replica, service: set.Service, listener: f.network.Listen(address(set.Replica))}
	r.server = standin.NewServer(set, time.Now().UnixMilli(), func() { f.Crash(set.Replica) })
	r.http = &http.Server{Handler: r.server.Handler()}
	go func() { _ = r.http.Serve(r.listener) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas = append(f.replicas, r)
	return r.server
}

// Crash breaks all connections of a replica and makes it unreachable.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		if r.id == id {
			r.down = true
			memnet.Crash(r.listener)
		}
	}
}

// Down returns the number of crashed replicas.
func (f *Fleet) Down() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.replicas {
		if r.down {
			n++
		}
	}
	return n
}

// Servers returns all replicas in the order of their start.
func (f *Fleet) Servers() []*standin.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []*standin.Server
	for _, r := range f.replicas {
		servers = append(servers, r.server)
	}
	return servers
}

// Executed returns the executions of all replicas.
func (f *Fleet) Executed() []standin.Execution {
	var all []standin.Execution
	for _, s := range f.Servers() {
		all = append(all, s.Executed()...)
	}
	return all
}

// Holdings returns what all replicas that are not crashed advertise.
func (f *Fleet) Holdings() []snapshot.Availability {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []snapshot.Availability
	for _, r := range f.replicas {
		if !r.down {
			all = append(all, r.server.Load().Holdings...)
		}
	}
	return all
}

// Stop closes every replica.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		_ = r.http.Close()
		memnet.Crash(r.listener)
	}
}

// Pick implements scatter.Picker: the first replica in the order of start that serves the shard, crashed ones
// included, because a daemon notices a crash late.
func (f *Fleet) Pick(service string, version snapshot.Version, shard string, exclude []string) (scatter.Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	want := snapshot.Availability{Version: version, Shard: shard}
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

// Daemon is the connections of one entry daemon to the fleet. It implements scatter.Sender.
type Daemon struct {
	fleet *Fleet

	mu      sync.Mutex
	clients map[string]*backend.Client
	dead    bool
}

// connections is the number of connections of a daemon to each replica.
const connections = 2

// NewDaemon returns a daemon without open connections.
func (f *Fleet) NewDaemon() *Daemon {
	return &Daemon{fleet: f, clients: make(map[string]*backend.Client)}
}

// Kill makes every later send fail before a byte is sent, as the end of the process does.
func (d *Daemon) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = true
}

// Dead reports whether the daemon was killed.
func (d *Daemon) Dead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dead
}

// Send implements scatter.Sender.
func (d *Daemon) Send(ctx context.Context, id string, sub backend.SubRequest) (backend.SubResponse, error) {
	d.mu.Lock()
	client, ok := d.clients[id]
	if !ok {
		client = backend.NewClientWithDial(address(id), connections, d.fleet.network.Dial)
		d.clients[id] = client
	}
	dead := d.dead
	d.mu.Unlock()
	if dead {
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
