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

// Kinds of membership payloads: the first byte of each payload.
const (
	payloadSignal = 's'
	payloadConfig = 'c'
)

const (
	// shareUpdateInterval is the interval at which the connection shares are recomputed from the membership.
	shareUpdateInterval = 500 * time.Millisecond
	// leavePropagationTime is how long the membership keeps running after a planned leave, so that the announcement
	// propagates.
	leavePropagationTime = time.Second
	// memberListTimeout is how long a starting daemon waits for a peer's member list before it relies on the VM list
	// alone.
	memberListTimeout = 20 * time.Second
	// noticeQueueSize bounds the queue of configuration notices. Notices beyond it are dropped; the periodic digest
	// comparison between peers recovers their changes.
	noticeQueueSize = 1024
	// maxRecentHashes bounds each of the two generations of payload hashes that detect duplicates.
	maxRecentHashes = 4096
)

// peers handles the communication with the other entry daemons: membership, configuration, relay of sub-requests,
// replica signals and connection shares.
type peers struct {
	cfg           settings.Entry
	log           *zap.Logger
	transport     *membership.Transport
	client        *peer.Client
	server        *peer.Server
	listener      net.Listener
	runner        *confsync.Runner
	router        *relay.Router
	configNotices chan []byte
	limitFor      func(replica string) int
	// onSignal is called for each new signal that another daemon raised.
	onSignal func(s signal.Signal)
	// onFleetSize is called with the number of daemons at intervals.
	onFleetSize func(daemons int)
	// onCrashNotice is called for each new crash fingerprint that another daemon published.
	onCrashNotice func(n quarantine.Notice)

	mu             sync.Mutex
	signals        *signal.Table
	crashes        *signal.CrashSet
	recentPayloads recentHashes
	// signalRepeater rebroadcasts the leaving signals and the notices of crashing requests that this daemon raised.
	signalRepeater   signalRepeater
	shareTracker     *share.Tracker
	shareSet         share.Set
	vms              []vmlist.VM
	joinDelayStarted bool
	startedAt        time.Time
}

// newPeers opens the sockets of the peer address and connects the parts that use them.
func newPeers(d *Daemon, store kv.Store) (*peers, error) {
	cfg := d.cfg
	p := &peers{
		cfg: cfg, log: d.log, configNotices: make(chan []byte, noticeQueueSize),
		startedAt: time.Now(), signals: signal.NewTable(), crashes: signal.NewCrashSet(),
		shareTracker: share.NewTracker(cfg.Node, cfg.ConnectionHold.AsDuration(), cfg.JoinDelay.AsDuration()),
		client:       peer.NewClient(cfg.Node),
	}
	p.shareSet = share.NewSet([]string{cfg.Node})
	p.limitFor = d.connectionLimit
	p.onSignal = func(s signal.Signal) {
		if s.State == signal.Leaving {
			d.registry.MarkLeaving(s.Replica, int64(s.Incarnation))
		}
	}
	p.onFleetSize = func(daemons int) { d.guard.SetFleet(cfg.Node, daemons) }
	p.onCrashNotice = func(n quarantine.Notice) { d.guard.AddRemoteNotice(n) }
	direct := directSender{d}
	p.router = relay.NewRouter(p, direct, p.client)
	if err := p.listen(); err != nil {
		return nil, err
	}
	self := confsync.Member{ID: cfg.Node, Address: cfg.PeerAddress, DataCentre: cfg.DataCentre}
	config := confsync.Config{
		Self: self, Prefix: confstore.Prefix, Seed: xxhash.Sum64String(cfg.Node), OnChange: d.onConfigChange,
	}
	p.runner = confsync.NewRunner(config, store, p, p, p.client, d.log)
	var err error
	p.server, err = peer.NewServer(p.runner, relay.NewLocalExecutor(p, direct), d.ports.Internal.Guard(), d.log)
	return p, err
}

// listen opens the UDP and TCP sockets of the peer address.
func (p *peers) listen() error {
	listener, err := net.Listen("tcp", p.cfg.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen on peer address")
	}
	p.listener = listener
	seed := xxhash.Sum64String(p.cfg.Node) ^ uint64(time.Now().UnixNano())
	p.transport, err = membership.Listen(membership.Config{
		Self: membership.Member{
			ID: p.cfg.Node, Address: p.cfg.PeerAddress, DataCentre: p.cfg.DataCentre, Region: p.cfg.Region,
		},
		Rand:    rand.New(rand.NewPCG(seed, seed)),
		Deliver: p.deliverPayload,
	}, p, p.log)
	if err != nil {
		listener.Close()
	}
	return err
}

// run serves the peers until ctx ends.
func (p *peers) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { p.logUnexpectedEnd(ctx, "membership", p.transport.Run(ctx)) })
	wg.Go(func() { p.logUnexpectedEnd(ctx, "peer server", p.server.Serve(ctx, p.listener)) })
	wg.Go(func() { p.runner.Run(ctx) })
	wg.Go(func() { p.forwardNotices(ctx) })
	wg.Go(func() { p.refreshShares(ctx) })
	wg.Wait()
	p.router.Close()
	if err := p.client.Close(); err != nil {
		p.log.Debug("peer connections", zap.Error(err))
	}
}

// logUnexpectedEnd logs the error of a component that ended before ctx.
func (p *peers) logUnexpectedEnd(ctx context.Context, component string, err error) {
	if err != nil && ctx.Err() == nil {
		p.log.Error(component+" ended", zap.Error(err))
	}
}

// leave announces the planned stop to the peers and waits for the announcement to propagate.
func (p *peers) leave(ctx context.Context) error {
	p.transport.Leave()
	select {
	case <-ctx.Done():
	case <-time.After(leavePropagationTime):
	}
	return nil
}

// setVMList stores the platform's VM list and updates the signal table and the membership seeds from it.
func (p *peers) setVMList(vms []vmlist.VM) {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = vm.Role == vmlist.RoleBackend
	}
	p.mu.Lock()
	p.vms = vms
	p.signals.Retain(time.Now(), listed)
	p.mu.Unlock()
	p.transport.SetSeeds(entrySeeds(vms))
}

// Seeds implements membership.SeedSource with the entry daemons of the latest VM list.
func (p *peers) Seeds(context.Context) ([]membership.Seed, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return entrySeeds(p.vms), nil
}

// entrySeeds returns the entry daemons of the VM list as seeds.
func entrySeeds(vms []vmlist.VM) []membership.Seed {
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
