package topology

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/kvtest"
	"github.com/chivemill/chivemill/routing"
)

// linkState is the state of the connection from a daemon to the store, or from other daemons to a daemon.
type linkState int32

const (
	linkUp linkState = iota
	linkRefusing
	linkSilent
	// linkSlow delays each call by slowCallTime.
	linkSlow
)

// slowCallTime is longer than a call should take and shorter than its timeout.
const slowCallTime = storeTimeout - 100*time.Millisecond

var errRefused = errors.New("refused")

// wait returns the error of a call in this state; a silent link blocks until ctx is done.
func (s linkState) wait(ctx context.Context) error {
	switch s {
	case linkRefusing:
		return errRefused
	case linkSilent:
		<-ctx.Done()
		return ctx.Err()
	case linkSlow:
		testseed.Sleep(slowCallTime)
		return nil
	default:
		return nil
	}
}

// standstill stops a daemon's calls and its responses, as if its process was stopped: they go on after it, and those whose time is up then
// fail. The zero value stops nothing. It is safe for concurrent use.
type standstill struct {
	mu  sync.Mutex
	end chan struct{}
}

// begin stops the daemon until the returned function is called.
func (s *standstill) begin() (resume func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := make(chan struct{})
	s.end = end
	return func() { close(end) }
}

// wait waits while the daemon stands still.
func (s *standstill) wait() {
	s.mu.Lock()
	end := s.end
	s.mu.Unlock()
	if end != nil {
		<-end
	}
}

// storeLink is the connection of one daemon to the store. It injects faults and counts calls.
type storeLink struct {
	kv.Store
	link  atomic.Int32
	still *standstill
	// fleet has the state of the store itself, for all daemons.
	fleet *fleet
	// calls counts all calls, lists the calls of List.
	calls, lists atomic.Int64
	// endedLease is a lease that the store reports as ended; refusesLeases makes it grant no further lease.
	endedLease    atomic.Int64
	refusesLeases atomic.Bool
}

// call counts a call and returns the injected error.
func (l *storeLink) call(ctx context.Context) error {
	l.calls.Add(1)
	l.still.wait()
	testseed.Sleep(time.Duration(l.fleet.storeDelay.Load()))
	for _, link := range []*atomic.Int32{&l.fleet.available, &l.link} {
		if err := linkState(link.Load()).wait(ctx); err != nil {
			return fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
		}
	}
	l.still.wait()
	return nil
}

func (l *storeLink) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	if err := l.call(ctx); err != nil {
		return kv.Item{}, false, err
	}
	return l.Store.Get(ctx, key)
}

func (l *storeLink) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	l.lists.Add(1)
	if err := l.call(ctx); err != nil {
		return nil, 0, err
	}
	return l.Store.List(ctx, prefix)
}

func (l *storeLink) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if err := l.call(ctx); err != nil {
		return kv.TxnResult{}, err
	}
	return l.Store.Txn(ctx, txn)
}

func (l *storeLink) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := l.call(ctx); err != nil {
		return 0, err
	}
	if l.refusesLeases.Load() {
		return 0, kv.ErrUnavailable
	}
	return l.Store.Grant(ctx, ttl)
}

func (l *storeLink) KeepAlive(ctx context.Context, id kv.LeaseID) (bool, error) {
	if err := l.call(ctx); err != nil {
		return false, err
	}
	if int64(id) == l.endedLease.Load() {
		return false, nil
	}
	return l.Store.KeepAlive(ctx, id)
}

// pollTime is the duration of one long poll of a watch, as the client of the platform's store has it.
const pollTime = 1500 * time.Millisecond

func (l *storeLink) Watch(ctx context.Context, prefix string, from int64, fn func(kv.WatchBatch)) error {
	for {
		if err := l.call(ctx); err != nil {
			return err
		}
		poll, cancel := context.WithTimeout(ctx, pollTime)
		err := l.Store.Watch(poll, prefix, from, func(b kv.WatchBatch) {
			from = b.Revision + 1
			fn(b)
		})
		cancel()
		if ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
}

// daemon is a daemon in a fleet.
type daemon struct {
	name      string
	dir       *Directory
	feed      *Feed
	storeLink *storeLink
	store     *crashableStore
	// network is the linkState of the connections from other daemons, outgoing that of the connections to them.
	network, outgoing atomic.Int32
	still             standstill
	// crashing holds the notices of requests that crash replicas.
	crashing guardHandler
	cancel   context.CancelFunc
	done     chan struct{}
}

// fleet is a set of daemons that share a store, for tests in virtual time.
type fleet struct {
	store *kvtest.Memory
	// bytesTransferred counts the bytes of the responses between daemons.
	bytesTransferred atomic.Int64
	// delay is the round-trip time between daemons.
	delay time.Duration
	// available is the linkState of the store for all daemons, storeDelay the duration of a call to it.
	available  atomic.Int32
	storeDelay atomic.Int64
	// lostEach is the number of messages between daemons of which one is lost, 0 if none is. messages counts them.
	lostEach, messages atomic.Int64
	mu                 sync.Mutex
	daemons            map[string]*daemon
}

// daemonTransport is the connection of one daemon to the others.
type daemonTransport struct {
	fleet *fleet
	from  *daemon
}

// RoundTrip implements http.RoundTripper. It calls the handler of the daemon that the request is addressed to.
func (t daemonTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.from.still.wait()
	if err := linkState(t.from.outgoing.Load()).wait(req.Context()); err != nil {
		return nil, err
	}
	resp, err := t.fleet.roundTrip(req)
	t.from.still.wait()
	if ctxErr := req.Context().Err(); err == nil && ctxErr != nil {
		return nil, ctxErr
	}
	return resp, err
}

// roundTrip calls the handler of the daemon that the request is addressed to.
func (f *fleet) roundTrip(req *http.Request) (*http.Response, error) {
	f.mu.Lock()
	d := f.daemons[req.URL.Host]
	f.mu.Unlock()
	if d == nil {
		return nil, errRefused
	}
	if each := f.lostEach.Load(); each > 0 && f.messages.Add(1)%each == 0 {
		return nil, linkSilent.wait(req.Context())
	}
	if err := linkState(d.network.Load()).wait(req.Context()); err != nil {
		return nil, err
	}
	testseed.Sleep(f.delay / 2)
	rec := httptest.NewRecorder()
	served := make(chan struct{})
	go func() {
		defer close(served)
		d.still.wait()
		d.feed.Handler().ServeHTTP(rec, req)
		d.still.wait()
	}()
	select {
	case <-served:
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	testseed.Sleep(f.delay / 2)
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	f.bytesTransferred.Add(int64(rec.Body.Len()))
	return rec.Result(), nil
}

type jsonDecoder struct{}

func (jsonDecoder) Config(item kv.Item) (routing.Config, error) {
	var c routing.Config
	return c, json.Unmarshal(item.Value, &c)
}

func (jsonDecoder) Server(item kv.Item) (balancer.Server, error) {
	var s balancer.Server
	return s, json.Unmarshal(item.Value, &s)
}

var testKeys = Keys{Operator: "config", Config: "config", Evacuations: "config/evacuate/", Servers: "servers/", Readers: "readers/"}

func newFleet(t must.T) *fleet {
	f := &fleet{store: kvtest.NewMemory(nil), daemons: make(map[string]*daemon)}
	f.putConfig(t, 1)
	for i := range 6 {
		f.putServer(t, fmt.Sprintf("r%d", i), balancer.Ready)
	}
	return f
}

func put(t must.T, store kv.Store, key string, value any) {
	data, err := json.Marshal(value)
	must.NoError(t, err)
	_, err = store.Txn(context.Background(), kv.Txn{Puts: []kv.Put{{Key: key, Value: data}}})
	must.NoError(t, err)
}

func (f *fleet) putConfig(t must.T, version int64) {
	put(t, f.store, testKeys.Config, routing.Config{Version: version})
}

func (f *fleet) putServer(t must.T, id string, state balancer.State) {
	put(t, f.store, testKeys.Servers+id, balancer.Server{ID: id, Service: "s", Address: "10.0.0.1:1", State: state})
}

// start starts a daemon in a data centre. Its name is also its address.
func (f *fleet) start(name, centre string, contacts ...string) *daemon {
	return f.startWith(name, centre, 0, contacts...)
}

// startWith is like start, with a CPU share.
func (f *fleet) startWith(name, centre string, cores float64, contacts ...string) *daemon {
	d := &daemon{name: name}
	d.storeLink = &storeLink{Store: f.store, still: &d.still, fleet: f}
	return f.startDaemon(d, d.storeLink, centre, cores, contacts)
}

// startAt is like start, with another store.
func (f *fleet) startAt(store kv.Store, name, centre string, contacts ...string) *daemon {
	return f.startDaemon(&daemon{name: name}, store, centre, 0, contacts)
}

func (f *fleet) startDaemon(d *daemon, store kv.Store, centre string, cores float64, contacts []string) *daemon {
	f.addDaemon(d, store, centre, cores, contacts)
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() {
		defer close(d.done)
		d.feed.Run(ctx)
	}()
	return d
}

// addDaemon adds a daemon that serves pulls, without running its feed.
func (f *fleet) addDaemon(d *daemon, store kv.Store, centre string, cores float64, contacts []string) {
	d.dir, d.done = NewDirectory(), make(chan struct{})
	name := d.name
	self := Self{Node: name, DataCentre: centre, Address: name, Cores: cores, Distance: func(string) balancer.Distance { return 0 }}
	d.store = &crashableStore{Store: store}
	d.feed = NewFeed(d.dir, d.store, jsonDecoder{}, testKeys, self, contacts, zap.NewNop())
	d.feed.peers.http.Transport = daemonTransport{f, d}
	d.crashing = newGuardHandler()
	d.feed.SetNoticeHandler(d.crashing)
	f.mu.Lock()
	f.daemons[name] = d
	f.mu.Unlock()
}

// stop shuts down a daemon as a planned stop does.
func (f *fleet) stop(d *daemon) {
	d.cancel()
	<-d.done
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.daemons[d.name] == d {
		delete(f.daemons, d.name)
	}
}

// killAll stops daemons as a crash does: they can't release their claims.
func (f *fleet) killAll(all map[string]*daemon) {
	for _, d := range all {
		d.store.crashed.Store(true)
		f.stop(d)
	}
}

// crashableStore is a daemon's store whose transactions fail after the daemon crashed.
type crashableStore struct {
	kv.Store
	crashed atomic.Bool
}

func (s *crashableStore) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if s.crashed.Load() {
		return kv.TxnResult{}, kv.ErrUnavailable
	}
	return s.Store.Txn(ctx, txn)
}

// GetStale implements kv.StaleReader.
func (s *crashableStore) GetStale(ctx context.Context, key string) (kv.Item, bool, error) {
	return kv.GetStale(ctx, s.Store, key)
}

// ListStale implements kv.StaleReader.
func (s *crashableStore) ListStale(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	return kv.ListStale(ctx, s.Store, prefix)
}

func (f *fleet) stopAll() {
	f.mu.Lock()
	all := make([]*daemon, 0, len(f.daemons))
	for _, d := range f.daemons {
		all = append(all, d)
	}
	f.mu.Unlock()
	for _, d := range all {
		f.stop(d)
	}
}

// knowsLeaving reports whether the replica is draining or absent in the daemon's view.
func (d *daemon) knowsLeaving(id string) bool {
	view, _ := d.dir.View()
	for _, s := range view.Servers {
		if s.ID == id {
			return s.State == balancer.Draining
		}
	}
	return view.Generation > 0
}

func (d *daemon) version() int64 {
	view, _ := d.dir.View()
	if view.Table == nil {
		return 0
	}
	return view.Table.Version()
}
