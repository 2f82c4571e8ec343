package topology

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/routing"
)

const (
	// readInterval is the time between two reads of the list by the daemon that reads for its data centre. A leaving
	// replica has to be known everywhere within 3 s: one interval, one call and one hop to the followers.
	readInterval = 1000 * time.Millisecond
	// callTimeout bounds a call to the store. A call that takes longer than that is lost or meets a slow store.
	callTimeout = 1500 * time.Millisecond
	// staleAfter is the age of the list from which a follower reads the store itself: its reader may be cut off.
	staleAfter = 1900 * time.Millisecond
	// ownReadInterval is the least time between two such reads of a follower.
	ownReadInterval = 1500 * time.Millisecond
	// leaseTime is the time to live of a reader's claim, renewInterval the time between renewals.
	leaseTime     = 4 * time.Second
	renewInterval = 1300 * time.Millisecond
	// electionSpread is the span over which daemons spread their claims, so that one claim usually stands before the
	// next daemon looks.
	electionSpread = 400 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 1500 * time.Millisecond
	// countInterval is the time between two looks at the other data centres' readers.
	countInterval = 3 * time.Second
	// followerHold is how long a follower that asks no more still counts as a daemon. It covers a restart.
	followerHold = 8 * time.Second
)

// Keys names what the daemons read and write in the store.
type Keys struct {
	// Config is the key of the configuration, Servers the prefix of the replicas' entries, Readers the prefix under which
	// readers claim their data centre.
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
	// Distance returns how far a data centre is.
	Distance func(dataCentre string) balancer.Distance
}

// Feed keeps a Directory up to date from the store and from other daemons. Run may be called once; the other methods
// are safe for concurrent use.
type Feed struct {
	dir     *Directory
	store   kv.Store
	decoder Decoder
	keys    Keys
	self    Self
	// seeds are addresses of daemons that are asked while the store does not answer.
	seeds []string
	log   *zap.Logger
	peers peerClient

	mu sync.Mutex
	// reader is the address of the daemon that reads for this data centre, "" if unknown and self.Address for this one.
	reader string
	// lease, claimRevision and claimed belong to this daemon's claim; claimed is the number of daemons in it.
	lease         kv.LeaseID
	claimRevision int64
	claimed       int
	// followers holds when a daemon of the data centre asked last.
	followers map[string]time.Time
	unread    map[string]int64
	storeLost time.Time
}

// NewFeed returns a feed. seeds may be empty.
func NewFeed(dir *Directory, store kv.Store, decoder Decoder, keys Keys, self Self, seeds []string, log *zap.Logger) *Feed {
	return &Feed{
		dir: dir, store: store, decoder: decoder, keys: keys, self: self, seeds: seeds, log: log,
		peers: newPeerClient(), followers: make(map[string]time.Time), unread: make(map[string]int64),
	}
}

// Run keeps the directory up to date until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	f.start(ctx)
	for ctx.Err() == nil {
		if f.isReader() {
			f.read(ctx)
		} else {
			f.follow(ctx)
		}
	}
}

// start gets a first view: from the store, or from another daemon if the store does not answer.
func (f *Feed) start(ctx context.Context) {
	for pause := firstRetry; ctx.Err() == nil; pause = min(2*pause, lastRetry) {
		var wg sync.WaitGroup
		wg.Go(func() { f.readConfig(ctx) })
		wg.Go(func() { f.readServers(ctx) })
		wg.Wait()
		view, _ := f.dir.View()
		if view.Known() {
			return
		}
		for _, seed := range f.seeds {
			if seed != f.self.Address && f.pull(ctx, seed, 0) == nil {
				break
			}
		}
		if view, _ = f.dir.View(); view.Known() {
			return
		}
		sleep(ctx, spread(pause))
	}
}

func (f *Feed) isReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader == f.self.Address
}

// IsReader reports whether this daemon reads the store for its data centre.
func (f *Feed) IsReader() bool { return f.isReader() }

func (f *Feed) readerAddress() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader
}

func (f *Feed) setReader(address string) {
	f.mu.Lock()
	changed := f.reader != address
	f.reader = address
	f.mu.Unlock()
	if changed {
		f.log.Info("reader of the data centre", zap.String("reader", address), zap.Bool("self", address == f.self.Address))
	}
}

// readConfig reads the configuration and returns the store's revision, 0 after a failure.
func (f *Feed) readConfig(ctx context.Context) int64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, found, err := f.store.Get(ctx, f.keys.Config)
	f.storeAnswered("config", err)
	if err != nil || !found {
		return 0
	}
	f.takeConfig(item)
	return item.ModRevision
}

func (f *Feed) takeConfig(item kv.Item) {
	config, err := f.decoder.Config(item)
	if err != nil {
		f.log.Error("configuration cannot be read", zap.Int64("revision", item.ModRevision), zap.Error(err))
		return
	}
	f.applyConfig(config, "store")
}

func (f *Feed) applyConfig(config routing.Config, from string) {
	applied, err := f.dir.SetConfig(config)
	if err != nil {
		f.log.Error("configuration is not valid", zap.Int64("version", config.Version), zap.String("from", from), zap.Error(err))
		return
	}
	if applied {
		f.log.Info("configuration applied", zap.Int64("version", config.Version), zap.String("from", from),
			zap.Int("routes", len(config.Routes)))
	}
}

// readServers reads the list of replicas and reports whether the store answered.
func (f *Feed) readServers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	at := time.Now()
	items, _, err := f.store.List(ctx, f.keys.Servers)
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
	f.takeServers(servers, at, "store")
	return true
}

// reportUnreadable logs an entry that names no replica, once per revision.
func (f *Feed) reportUnreadable(item kv.Item, err error) {
	f.mu.Lock()
	known := f.unread[item.Key] == item.ModRevision
	if len(f.unread) >= maxUnread {
		clear(f.unread)
	}
	f.unread[item.Key] = item.ModRevision
	f.mu.Unlock()
	if !known {
		f.log.Warn("entry names no replica", zap.String("key", item.Key), zap.Int64("revision", item.ModRevision), zap.Error(err))
	}
}

// maxUnread bounds the remembered entries that could not be read.
const maxUnread = 1000

func (f *Feed) takeServers(servers []balancer.Server, readAt time.Time, from string) {
	located := make([]balancer.Server, len(servers))
	for i, s := range servers {
		s.Distance = f.self.Distance(s.DataCentre)
		located[i] = s
	}
	change, taken := f.dir.SetServers(located, readAt)
	if taken && change != (Change{}) {
		f.log.Info("replica list changed", zap.String("from", from), zap.Int("added", change.Added),
			zap.Int("removed", change.Removed), zap.Int("draining", change.Draining), zap.Int("kept_after_outage", change.Kept))
	}
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
		f.log.Warn("store lost", zap.String("call", call), zap.Error(err))
	case err == nil && !lost.IsZero():
		f.log.Info("store regained", zap.Duration("away", time.Since(lost)))
	}
}

// follow asks the reader for changes until it fails, turns stale, or this daemon becomes the reader.
func (f *Feed) follow(ctx context.Context) {
	pause := firstRetry
	var ownRead time.Time
	for ctx.Err() == nil && !f.isReader() {
		reader := f.readerAddress()
		var err error
		if reader == "" {
			err = errNoReader
		} else {
			err = f.pull(ctx, reader, pullWait)
		}
		if err == nil {
			pause = firstRetry
		}
		view, _ := f.dir.View()
		if err == nil && time.Since(view.ReadAt) < staleAfter {
			continue
		}
		if time.Since(ownRead) >= ownReadInterval {
			ownRead = time.Now()
			if time.Since(view.ReadAt) >= readInterval {
				f.readConfig(ctx)
				f.readServers(ctx)
			}
			f.elect(ctx, reader)
		}
		if err != nil {
			sleep(ctx, spread(pause))
			pause = min(2*pause, lastRetry)
		}
	}
}

var errNoReader = errors.New("no reader is known")

// claim is the value of a reader's key.
type claim struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	// Daemons is the number of daemons of the data centre.
	Daemons int `json:"daemons"`
}

func (f *Feed) claimKey() string { return f.keys.Readers + f.self.DataCentre }

// elect finds the reader of the data centre, or claims the place if it is free. failed is the reader that did not
// answer; its claim is still followed until it lapses.
func (f *Feed) elect(ctx context.Context, failed string) {
	if failed == "" {
		sleep(ctx, spread(electionSpread))
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, found, err := f.store.Get(call, f.claimKey())
	f.storeAnswered("reader", err)
	if err != nil {
		return
	}
	if found {
		if c, err := decodeClaim(item); err == nil && c.Node != f.self.Node {
			f.setReader(c.Address)
			return
		}
		// The claim is of an earlier life of this daemon, or unreadable: it is taken over.
	}
	f.claim(ctx, item.ModRevision)
}

func decodeClaim(item kv.Item) (claim, error) {
	var c claim
	err := json.Unmarshal(item.Value, &c)
	if err == nil && (c.Address == "" || c.Node == "") {
		err = errors.New("no address or node")
	}
	return c, eris.Wrapf(err, "claim at %s", item.Key)
}

// claim writes this daemon's claim if the key still has the revision, 0 for a free place.
func (f *Feed) claim(ctx context.Context, revision int64) {
	call, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	lease, err := f.store.Grant(call, leaseTime)
	f.storeAnswered("lease", err)
	if err != nil {
		return
	}
	ok, err := f.writeClaim(call, lease, revision)
	f.storeAnswered("claim", err)
	if err != nil || !ok {
		return
	}
	f.mu.Lock()
	f.lease = lease
	f.mu.Unlock()
	f.setReader(f.self.Address)
}

func (f *Feed) writeClaim(ctx context.Context, lease kv.LeaseID, revision int64) (bool, error) {
	daemons := f.countFollowers(time.Now())
	value, err := json.Marshal(claim{Node: f.self.Node, Address: f.self.Address, Daemons: daemons})
	if err != nil {
		return false, eris.Wrap(err, "claim")
	}
	result, err := f.store.Txn(ctx, kv.Txn{
		If:   []kv.Compare{{Key: f.claimKey(), ModRevision: revision}},
		Puts: []kv.Put{{Key: f.claimKey(), Value: value, Lease: lease}},
	})
	if err != nil || !result.Succeeded {
		return false, err
	}
	f.mu.Lock()
	f.claimed, f.claimRevision = daemons, result.Revision
	f.mu.Unlock()
	return true, nil
}

// read reads the store for the data centre until the claim is lost.
func (f *Feed) read(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { f.watchConfig(ctx) })
	wg.Go(func() { f.renew(ctx, cancel) })
	wg.Go(func() { f.countDaemons(ctx) })
	for ctx.Err() == nil {
		begin := time.Now()
		f.readServers(ctx)
		sleep(ctx, readInterval-time.Since(begin))
	}
	wg.Wait()
}

// watchConfig applies each new configuration. After a failure, and when the store no longer has the history, it reads
// the configuration and watches from there.
func (f *Feed) watchConfig(ctx context.Context) {
	pause := firstRetry
	for ctx.Err() == nil {
		revision := f.readConfig(ctx)
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
			f.log.Info("watch of the configuration ended", zap.Error(err))
			sleep(ctx, spread(firstRetry))
		}
	}
}

// renew keeps the claim and ends the reading when it is lost.
func (f *Feed) renew(ctx context.Context, lost context.CancelFunc) {
	defer lost()
	for ctx.Err() == nil {
		sleep(ctx, renewInterval)
		f.mu.Lock()
		lease, revision, claimed := f.lease, f.claimRevision, f.claimed
		f.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		var alive bool
		var err error
		if f.countFollowers(time.Now()) != claimed {
			alive, err = f.writeClaim(call, lease, revision)
		} else {
			alive, err = f.store.KeepAlive(call, lease)
		}
		cancel()
		f.storeAnswered("renewal", err)
		if err == nil && !alive {
			f.log.Info("claim to read for the data centre lost")
			f.setReader("")
			return
		}
	}
}

// countFollowers returns the number of daemons of the data centre that follow this one, itself included.
func (f *Feed) countFollowers(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for node, at := range f.followers {
		if now.Sub(at) > followerHold {
			delete(f.followers, node)
		}
	}
	return len(f.followers) + 1
}

// countDaemons sums the daemons of all data centres from the readers' claims.
func (f *Feed) countDaemons(ctx context.Context) {
	seen := make(map[string]counted)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		items, _, err := f.store.List(call, f.keys.Readers)
		cancel()
		f.storeAnswered("readers", err)
		now := time.Now()
		if err == nil {
			for _, item := range items {
				c, err := decodeClaim(item)
				if err != nil {
					f.reportUnreadable(item, err)
					continue
				}
				seen[item.Key] = counted{c.Daemons, now}
			}
			total := 0
			for key, c := range seen {
				if now.Sub(c.at) > countHold {
					delete(seen, key)
					continue
				}
				total += c.daemons
			}
			f.dir.SetDaemons(total)
		}
		sleep(ctx, countInterval)
	}
}

// countHold is how long the count of a data centre without a claim is kept: its daemons are most likely restarting or
// choosing another reader.
const countHold = 20 * time.Second

type counted struct {
	daemons int
	at      time.Time
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
