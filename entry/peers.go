package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/confstore"
	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/membership"
	"github.com/chivemill/chivemill/peer"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/relay"
	"github.com/chivemill/chivemill/settings"
	"github.com/chivemill/chivemill/share"
	"github.com/chivemill/chivemill/signal"
	"github.com/chivemill/chivemill/vmlist"
)

// First byte of a membership payload.
const (
	payloadSignal = 's'
	payloadConfig = 'c'
)

const (
	// countInterval is the interval at which the counted members are brought up to date.
	countInterval = 500 * time.Millisecond
	// leaveSpread is how long the membership runs on after a planned leave, so that the announcement spreads.
	leaveSpread = time.Second
	// listTimeout is how long a starting daemon waits for a peer's member list before it relies on the VM list alone.
	listTimeout = 20 * time.Second
	// noticeQueue bounds the configuration notices that wait; the digest comparison repairs what is dropped.
	noticeQueue = 1024
	// seenPayloads bounds each of the two generations of payload hashes that are recognised as duplicates.
	seenPayloads = 4096
)

// peers connects the daemon to the other entry daemons.
type peers struct {
	set       settings.Entry
	log       *zap.Logger
	transport *membership.Transport
	client    *peer.Client
	server    *peer.Server
	listener  net.Listener
	runner    *confsync.Runner
	router    *relay.Router
	notices   chan []byte
	limits    func(replica string) int
	// learned is called for a signal that another daemon raised first.
	learned func(s signal.Signal)
	// crashed is called for a fingerprint that another daemon published.
	crashed func(n quarantine.Notice)

	mu      sync.Mutex
	signals *signal.Table
	crashes *signal.CrashSet
	seen    seenSet
	// repeater holds the leaving marks that this daemon raised.
	repeater repeater
	counted  *share.Tracker
	ranked   share.Set
	vms      []vmlist.VM
	joined   bool
	started  time.Time
}

// newPeers opens the peer addresses.
func newPeers(d *Daemon, store kv.Store) (*peers, error) {
	set := d.set
	p := &peers{
		set: set, log: d.log, notices: make(chan []byte, noticeQueue),
		started: time.Now(), signals: signal.NewTable(), crashes: signal.NewCrashSet(),
		counted: share.NewTracker(set.Node, set.ConnectionHold.D(), set.JoinDelay.D()),
		client:  peer.NewClient(set.Node),
	}
	p.ranked = share.NewSet([]string{set.Node})
	p.limits = d.connectionLimit
	p.learned = func(s signal.Signal) {
		if s.State == signal.Leaving {
			d.registry.MarkLeaving(s.Replica, int64(s.Incarnation))
		}
	}
	p.crashed = func(n quarantine.Notice) { d.guard.AddRemoteNotice(n) }
	direct := directSender{d}
	p.router = relay.NewRouter(p, direct, p.client)
	if err := p.listen(); err != nil {
		return nil, err
	}
	self := confsync.Member{ID: set.Node, Address: set.Peer, DataCentre: set.DataCentre}
	config := confsync.Config{
		Self: self, Prefix: confstore.Prefix, Seed: xxhash.Sum64String(set.Node), OnChange: d.configChanged,
	}
	p.runner = confsync.NewRunner(config, store, p, p, p.client, d.log)
	var err error
	p.server, err = peer.NewServer(p.runner, relay.NewLocalExecutor(p, direct), d.log)
	return p, err
}

// listen opens the UDP and TCP sockets of the peer address.
func (p *peers) listen() error {
	listener, err := net.Listen("tcp", p.set.Peer)
	if err != nil {
		return eris.Wrap(err, "peer address")
	}
	p.listener = listener
	seed := xxhash.Sum64String(p.set.Node) ^ uint64(time.Now().UnixNano())
	p.transport, err = membership.Listen(membership.Config{
		Self: membership.Member{
			ID: p.set.Node, Address: p.set.Peer, DataCentre: p.set.DataCentre, Region: p.set.Region,
		},
		Rand:    rand.New(rand.NewPCG(seed, seed)),
		Deliver: p.deliver,
	}, p, p.log)
	if err != nil {
		listener.Close()
	}
	return err
}

// run serves the peers until ctx ends.
func (p *peers) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.report(ctx, "membership", p.transport.Run(ctx)) })
	wg.Go(func() { p.report(ctx, "peer server", p.server.Serve(ctx, p.listener)) })
	wg.Go(func() { p.runner.Run(ctx) })
	wg.Go(func() { p.passNotices(ctx) })
	wg.Go(func() { p.countMembers(ctx) })
	wg.Wait()
	p.router.Close()
	if err := p.client.Close(); err != nil {
		p.log.Debug("peer connections", zap.Error(err))
	}
}

func (p *peers) report(ctx context.Context, what string, err error) {
	if err != nil && ctx.Err() == nil {
		p.log.Error(what+" ended", zap.Error(err))
	}
}

// leave tells the peers of the planned stop.
func (p *peers) leave(ctx context.Context) error {
	p.transport.Leave()
	select {
	case <-ctx.Done():
	case <-time.After(leaveSpread):
	}
	return nil
}

// setList takes the platform's VM list.
func (p *peers) setList(vms []vmlist.VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = vm.Role == vmlist.RoleBackend
	}
	p.mu.Lock()
	p.vms = vms
	p.signals.Retain(time.Now(), listed)
	p.mu.Unlock()
	p.transport.SetSeeds(seeds(vms))
}

// Seeds implements membership.SeedSource with the newest VM list.
func (p *peers) Seeds(context.Context) ([]membership.Seed, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return seeds(p.vms), nil
}

func seeds(vms []vmlist.VM) []membership.Seed {
	var seeds []membership.Seed
	for _, vm := range vms {
		if vm.Role == vmlist.RoleEntry {
			seeds = append(seeds, membership.Seed{ID: vm.ID, Address: vm.Address})
		}
	}
	return seeds
}

// Live implements confsync.Members.
func (p *peers) Live() []confsync.Member {
	var live []confsync.Member
	for _, m := range p.transport.Members() {
		if m.State.Live() {
			live = append(live, confsync.Member{ID: m.ID, Address: m.Address, DataCentre: m.DataCentre})
		}
	}
	return live
}
