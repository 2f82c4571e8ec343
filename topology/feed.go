package topology

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/routing"
)

const (
	// readInterval is the time between two reads of the list by the daemon that reads for the fleet. A leaving replica has
	// to be known everywhere within 3 s: one interval, one call and two hops.
	readInterval = 1000 * time.Millisecond
	// callTimeout bounds a call to the store. A call that takes longer is lost or meets a slow store.
	callTimeout = 1200 * time.Millisecond
	// staleFleet and staleCentre are the ages of the list from which a follower of the fleet's reader or of its data
	// centre's looks elsewhere. They exceed the interval by the delays of the hops before.
	staleFleet  = 1300 * time.Millisecond
	staleCentre = 1500 * time.Millisecond
	// firstOwnRead is the least time between two reads of the store by a follower without a fresh source. While its
	// reader answers, and so most likely the store is away, the time doubles up to lastOwnRead.
	firstOwnRead = 1300 * time.Millisecond
	lastOwnRead  = 6 * time.Second
	// electionSpread is the span over which daemons spread their claims of a free place, so that one claim usually stands
	// before the next daemon looks.
	electionSpread = 400 * time.Millisecond
	// startSpread is that span for the first claims of starting daemons, all of which may start at once. Until then they
	// serve with the view of their start; the contact addresses do not wait, so that the others learn the readers of them.
	startSpread = 2500 * time.Millisecond
	// startAsk bounds the questions to the contact addresses before the first read: a few round trips to another region. A
	// contact address without power does not refuse.
	startAsk = 80 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
)

// Keys names what the daemons read and write in the store.
type Keys struct {
	// Config is the key of the configuration, Servers the prefix of the replicas' entries, Readers the prefix under which
	// readers claim their place.
	Config, Servers, Readers string
}

// Decoder translates the platform's documents. Implementations are safe for concurrent use.
type Decoder interface {
	// Config returns an error if the document is not a configuration.
	Config(item kv.Item) (routing.Config, error)
	// Server returns an error if the entry names no replica.
	Server(item kv.Item) (balancer.Server, error)
}

// Self is this daemon as the others see it.
type Self struct {
	Node       string
	DataCentre string
	// Address is where it serves Handler.
	Address string
	// HealthAddress is the UDP address for messages about the health of replicas; all daemons have the same port.
	HealthAddress string
	// Cores is its processor share in cores.
	Cores float64
	// Distance returns how far a data centre is.
	Distance func(dataCentre string) balancer.Distance
}

// Feed keeps a Directory up to date. Run may be called once; the other methods are safe for concurrent use.
//
// The daemons form a tree of three levels: one daemon of each data centre claims to read for it and the others follow
// it; one of these claims to read for the fleet, and the rest of them follow it. A claim is a leased key of the store.
// Two daemons with the same claim, and none, cost calls and no correctness: versions never go back, and an older list
// is not taken.
type Feed struct {
	dir *Directory
	// source names this life of this daemon, whose generations begin anew.
	source  string
	store   kv.Store
	decoder Decoder
	keys    Keys
	self    Self
	// contacts are addresses of daemons that are asked while the store does not answer.
	contacts []string
	log      *zap.Logger
	peers    peerClient
	levels   []*place
	// following holds the daemons that follow this one as the reader of their data centre.
	following followers
	stopped   atomic.Bool
	// elsewhere is the other data centre's reader that was asked last, elected is set after the first claim or look at one.
	// The goroutine of Run owns them.
	elsewhere string
	elected   bool
	// silentContacts holds the contact addresses that did not answer. The goroutine of Run owns it.
	silentContacts map[string]bool

	mu        sync.Mutex
	unread    map[string]int64
	storeLost time.Time
	// crashing holds the notices that wait to be told.
	crashing []quarantine.Notice
}

// NewFeed returns a feed. contacts may be empty.
func NewFeed(dir *Directory, store kv.Store, decoder Decoder, keys Keys, self Self, contacts []string, log *zap.Logger) *Feed {
	f := &Feed{
		dir: dir, source: self.Node + "/" + strconv.FormatUint(rand.Uint64(), 36), store: store, decoder: decoder, keys: keys, self: self, contacts: contacts, log: log,
		peers: newPeerClient(), following: newFollowers(), unread: make(map[string]int64), silentContacts: make(map[string]bool),
	}
	f.levels = []*place{
		{scope: self.DataCentre, key: keys.Readers + centrePrefix + self.DataCentre, stale: staleCentre},
		{scope: fleetScope, key: keys.Readers + fleetScope, stale: staleFleet},
	}
	return f
}

// Run keeps the directory up to date until ctx ends. Then it gives up its claims.
func (f *Feed) Run(ctx context.Context) {
	f.start(ctx)
	f.serve(ctx, 0)
	f.stopped.Store(true)
	f.resign()
}

// start gets a first view: a fresh one from a contact address that answers at once, or one from two stale reads of the
// store, or from another daemon if the store does not answer. A stale list may name replicas that left seconds ago as
// ready, so it is only taken while no daemon has a fresh one; fresh reads follow within a second.
func (f *Feed) start(ctx context.Context) {
	ask, cancel := context.WithTimeout(ctx, startAsk)
	f.askContacts(ask)
	cancel()
	if f.age() < staleCentre {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { f.readConfig(ctx, mayBeStale) })
	wg.Go(func() { f.readServers(ctx, mayBeStale) })
	wg.Wait()
	f.askContacts(ctx)
}

// askContacts pulls from the contact addresses until one of them has a fresh view. One that is down is logged once per
// start: all daemons may start at once.
func (f *Feed) askContacts(ctx context.Context) {
	for _, address := range f.contacts {
		if f.age() < staleCentre || ctx.Err() != nil {
			return
		}
		if address == f.self.Address {
			continue
		}
		err := f.pull(ctx, address, "", 0)
		if err != nil && !f.silentContacts[address] {
			f.silentContacts[address] = true
			f.log.Info(eventlog.PeerSilent, zap.String("address", address), zap.Error(err))
		}
	}
}

// learnReader takes the reader of this daemon's data centre from what other daemons say of it, and reports whether there
// is one.
func (f *Feed) learnReader(p *place) bool {
	view, _ := f.dir.View()
	reader := view.Centres[f.self.DataCentre].Reader
	if p.scope == fleetScope || reader == "" || reader == f.self.Address {
		return false
	}
	f.setReader(p, reader, false)
	return true
}

// serve holds or follows the place of a level until ctx ends. The holder of the last place reads the store.
func (f *Feed) serve(ctx context.Context, level int) {
	if level == len(f.levels) {
		f.read(ctx)
		return
	}
	for p := f.levels[level]; ctx.Err() == nil; {
		if !p.isHeld() {
			f.follow(ctx, p)
			continue
		}
		held, lost := context.WithCancel(ctx)
		var wg sync.WaitGroup
		wg.Go(func() {
			defer lost()
			f.renew(held, p)
		})
		f.serve(held, level+1)
		wg.Wait()
	}
}

// follow pulls from the holder of a place until this daemon holds it or ctx ends. While that brings no fresh list it
// looks elsewhere: at another data centre's reader, then at the store.
func (f *Feed) follow(ctx context.Context, p *place) {
	retry, own := firstRetry, firstOwnRead
	// The first own read waits too: a starting daemon finds a reader or a contact address within that time.
	ownRead := time.Now()
	var elected time.Time
	for ctx.Err() == nil && !p.isHeld() {
		err := errNoReader
		if p.reader() == "" {
			f.learnReader(p)
		}
		if reader := p.reader(); reader != "" {
			err = f.pull(ctx, reader, p.scope, f.pullWait(p))
		}
		if err == nil && f.age() < p.stale {
			retry, own = firstRetry, firstOwnRead
			continue
		}
		f.pullElsewhere(ctx, p)
		if f.age() >= p.stale && time.Since(ownRead) >= own {
			ownRead = time.Now()
			if f.reachesStore(ctx, p) && f.readServers(ctx, fresh) {
				f.readConfig(ctx, fresh)
			}
			if err == nil && p.scope != fleetScope {
				own = min(2*own, lastOwnRead)
			}
		}
		if err != nil && !f.isStoreLost() && time.Since(elected) >= retry {
			elected = time.Now()
			f.elect(ctx, p)
		}
		if !p.isHeld() {
			sleep(ctx, spread(retry))
			retry = min(2*retry, lastRetry)
		}
	}
}

// isStoreLost reports whether the last call to the store failed.
func (f *Feed) isStoreLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.storeLost.IsZero()
}

// reachesStore reports whether the store is worth a read of the list. After a failed call it asks for the claim of the
// place first, at a tenth of the price: an outage costs each daemon one read of the list and then such looks alone.
func (f *Feed) reachesStore(ctx context.Context, p *place) bool {
	if !f.isStoreLost() {
		return true
	}
	_, _, err := f.look(ctx, p, kv.GetStale)
	return err == nil
}

// pullWait returns how long a pull may wait: until the list that this daemon has turns stale.
func (f *Feed) pullWait(p *place) time.Duration {
	return max(leastPullWait, min(pullWait, p.stale-f.age()))
}

var errNoReader = errors.New("no reader is known")

// age returns the time since the store confirmed the list, or a long time if there is no complete view.
func (f *Feed) age() time.Duration {
	view, _ := f.dir.View()
	if !view.Known() {
		return time.Hour
	}
	return time.Since(view.ReadAt)
}

// pullElsewhere asks one other data centre's reader, which may have a fresher list.
func (f *Feed) pullElsewhere(ctx context.Context, p *place) {
	view, _ := f.dir.View()
	var addresses []string
	for _, c := range view.Centres {
		if c.Reader != p.reader() && c.Reader != f.self.Address {
			addresses = append(addresses, c.Reader)
		}
	}
	if len(addresses) == 0 {
		f.askContacts(ctx)
		return
	}
	// The same one again has to send what changed only.
	address := f.elsewhere
	if !slices.Contains(addresses, address) {
		address = addresses[rand.IntN(len(addresses))]
	}
	f.elsewhere = address
	if err := f.pull(ctx, address, "", 0); err != nil {
		f.elsewhere = ""
		f.log.Info(eventlog.PeerSilent, zap.String("address", address), zap.Error(err))
	}
}

// read reads the store for the fleet until ctx ends.
func (f *Feed) read(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.watchConfig(ctx) })
	wg.Go(func() { f.countDaemons(ctx) })
	for ctx.Err() == nil {
		begin := time.Now()
		f.readServers(ctx, fresh)
		sleep(ctx, readInterval-time.Since(begin))
	}
	wg.Wait()
}

// watchConfig applies each new configuration. After a failure, and when the store no longer has the history, it reads
// the configuration and watches from there.
func (f *Feed) watchConfig(ctx context.Context) {
	pause := firstRetry
	for ctx.Err() == nil {
		revision := f.readConfig(ctx, fresh)
		if revision == 0 {
			sleep(ctx, spread(pause))
			pause = min(2*pause, lastRetry)
			continue
		}
		pause = firstRetry
		err := f.store.Watch(ctx, f.keys.Config, revision+1, func(batch kv.WatchBatch) {
			for _, e := range batch.Events {
				if !e.Deleted && e.Item.Key == f.keys.Config {
					f.takeConfig(e.Item)
				}
			}
		})
		if ctx.Err() == nil {
			f.log.Info(eventlog.WatchEnded, zap.Error(err))
			sleep(ctx, spread(firstRetry))
		}
	}
}

// freshness is how old the state of a read may be.
type freshness int

// Values of freshness.
const (
	fresh freshness = iota
	mayBeStale
)

// readConfig reads the configuration and returns the store's revision of it, 0 after a failure.
func (f *Feed) readConfig(ctx context.Context, wanted freshness) int64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	get := f.store.Get
	if wanted == mayBeStale {
		get = func(ctx context.Context, key string) (kv.Item, bool, error) { return kv.GetStale(ctx, f.store, key) }
	}
	item, found, err := get(ctx, f.keys.Config)
	f.storeAnswered("configuration", err)
	if err != nil || !found {
		return 0
	}
	f.takeConfig(item)
	return item.ModRevision
}

func (f *Feed) takeConfig(item kv.Item) {
	config, err := f.decoder.Config(item)
	if err != nil {
		f.log.Error(eventlog.ConfigurationInvalid, zap.Int64("revision", item.ModRevision), zap.Error(err))
		return
	}
	f.applyConfig(config, "store")
}

func (f *Feed) applyConfig(config routing.Config, from string) {
	applied, err := f.dir.SetConfig(config)
	if err != nil {
		f.log.Error(eventlog.ConfigurationInvalid, zap.Int64("version", config.Version), zap.String("from", from), zap.Error(err))
		return
	}
	if applied {
		f.log.Info(eventlog.ConfigurationApplied, zap.Int64("version", config.Version), zap.String("from", from),
			zap.Int("routes", len(config.Routes)))
	}
}

// readServers reads the list of replicas and reports whether the store answered.
func (f *Feed) readServers(ctx context.Context, wanted freshness) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list := f.store.List
	if wanted == mayBeStale {
		list = func(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
			return kv.ListStale(ctx, f.store, prefix)
		}
	}
	at := time.Now()
	items, _, err := list(ctx, f.keys.Servers)
	f.storeAnswered("servers", err)
	if err != nil {
		return false
	}
	servers := make([]balancer.Server, 0, len(items))
	for _, item := range items {
		s, err := f.decoder.Server(item)
		if err != nil {
			f.reportUnreadable(item, err)
			continue
		}
		servers = append(servers, s)
	}
	if wanted == mayBeStale {
		// Any fresh read is newer than a stale one.
		at = at.Add(-staleMargin)
	}
	f.peers.forget()
	f.takeServers(servers, at, "store", FromStore)
	return true
}

// staleMargin is how much older than its time a stale read counts. It makes the view look stale, so that the daemon
// looks for a fresh source at once.
const staleMargin = 10 * time.Second

// maxUnread bounds the remembered entries that could not be read.
const maxUnread = 1000

// reportUnreadable logs an entry that cannot be used, once per revision.
func (f *Feed) reportUnreadable(item kv.Item, err error) {
	f.mu.Lock()
	known := f.unread[item.Key] == item.ModRevision
	if len(f.unread) >= maxUnread {
		clear(f.unread)
	}
	f.unread[item.Key] = item.ModRevision
	f.mu.Unlock()
	if !known {
		f.log.Warn(eventlog.EntryUnusable, zap.String("key", item.Key), zap.Int64("revision", item.ModRevision), zap.Error(err))
	}
}

// takeServers reports whether the list was taken.
func (f *Feed) takeServers(servers []balancer.Server, readAt time.Time, from string, origin Origin) bool {
	located := make([]balancer.Server, len(servers))
	for i, s := range servers {
		s.Distance = f.self.Distance(s.DataCentre)
		located[i] = s
	}
	change, taken := f.dir.SetServers(located, readAt, origin)
	if taken && change != (Change{}) {
		f.log.Info(eventlog.ListChanged, zap.String("from", from), zap.Int("added", change.Added),
			zap.Int("removed", change.Removed), zap.Int("draining", change.Draining), zap.Int("kept_after_outage", change.Kept))
	}
	return taken
}

// storeAnswered logs the loss and the return of the store.
func (f *Feed) storeAnswered(call string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	f.mu.Lock()
	lost := f.storeLost
	switch {
	case err != nil && lost.IsZero():
		f.storeLost = time.Now()
	case err == nil:
		f.storeLost = time.Time{}
	}
	f.mu.Unlock()
	switch {
	case err != nil && lost.IsZero():
		f.log.Warn(eventlog.StoreLost, zap.String("call", call), zap.Error(err))
	case err == nil && !lost.IsZero():
		f.log.Info(eventlog.StoreRegained, zap.String("call", call), zap.Duration("away", time.Since(lost)))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// spread returns a random duration from half of d to d.
func spread(d time.Duration) time.Duration { return d/2 + time.Duration(rand.Int64N(int64(d/2)+1)) }
