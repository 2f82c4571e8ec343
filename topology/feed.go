package topology

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
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
	// readInterval is the time between two reads of the list of replicas by the fleet reader. Every daemon has to know of a
	// leaving replica within 3 s, which covers one interval, one store call and two hops.
	readInterval = 1000 * time.Millisecond
	// storeTimeout bounds a call to the store. A call that takes longer was lost, or the store is slow.
	storeTimeout = 1200 * time.Millisecond
	// fleetStaleAfter and centreStaleAfter are the ages of the list after which a follower of the fleet reader or of a data
	// centre's reader tries other sources. They exceed readInterval by the delays of the preceding hops.
	fleetStaleAfter  = 1300 * time.Millisecond
	centreStaleAfter = 1500 * time.Millisecond
	// minOwnReadInterval is the minimum time between two reads of the store by a follower without a fresh source. While the
	// data centre's reader responds with a stale list, the store is most likely unavailable, and the interval of its
	// followers doubles up to maxOwnReadInterval.
	minOwnReadInterval = 1300 * time.Millisecond
	maxOwnReadInterval = 6 * time.Second
	// electionJitter is the maximum delay of a claim to a vacant role. The delay is random and at least half of it, so that
	// the first claim is usually written before the next daemon checks.
	electionJitter = 400 * time.Millisecond
	// startupElectionJitter is the maximum delay, from 0, of the first claim to the data centre's role after a start, because
	// all daemons may start at the same time. Until then they serve with the initial view. The daemons at the contact
	// addresses use electionJitter, so that the others can learn the readers from them, and so does a daemon without contact
	// addresses.
	startupElectionJitter = 2500 * time.Millisecond
	// startupPullTimeout bounds the pulls from the contact addresses before the first read of the store to a few round trips
	// to another region. A contact address whose VM is down doesn't refuse connections, so the pull would wait.
	startupPullTimeout = 80 * time.Millisecond
	// minRetryPause and maxRetryPause bound the exponential backoff after a failed call.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
)

// Keys holds the keys and key prefixes that the daemons use in the store.
type Keys struct {
	// Config is the key of the configuration, Evacuations the prefix of the keys of evacuated data centres, and Operator the
	// common prefix of both. Servers is the prefix of the entries of replicas, Readers that of the claims to reader roles.
	Config, Evacuations, Operator string
	Servers, Readers              string
}

// Decoder decodes the documents of the platform. Implementations are safe for concurrent use.
type Decoder interface {
	// Config decodes a configuration. It returns an error if the document is invalid.
	Config(item kv.Item) (routing.Config, error)
	// Server decodes the entry of a replica. It returns an error if the entry is invalid.
	Server(item kv.Item) (balancer.Server, error)
}

// Self describes this daemon to the others.
type Self struct {
	Node       string
	DataCentre string
	// Address is the address at which the daemon serves Handler.
	Address string
	// HealthAddress is the UDP address for messages about the health of replicas. All daemons use the same port.
	HealthAddress string
	// Cores is the CPU share of the daemon in cores.
	Cores float64
	// Distance returns the distance to a data centre, Region its region, empty if unknown.
	Distance func(dataCentre string) balancer.Distance
	Region   func(dataCentre string) string
}

// Feed keeps a Directory up to date. Run may be called once; the other methods are safe for concurrent use.
//
// The daemons form a tree of three levels. In each data centre one daemon, the centre's reader, is elected and the others
// follow it by pulling from it. One of the centres' readers is elected fleet reader; it reads the store and the other
// centres' readers follow it. A daemon holds a reader role through a claim, a key of the store with a lease. If two daemons
// hold the same role, or none does, this costs additional store calls but not correctness: configuration versions never
// decrease, and an older list never replaces a newer one.
type Feed struct {
	dir *Directory
	// source identifies this process among the sources of lists. Each process starts counting generations anew, so a
	// restarted daemon has to differ from its predecessor.
	source  string
	store   kv.Store
	decoder Decoder
	keys    Keys
	self    Self
	// contacts are the addresses of daemons to pull from at startup and while there is no other source.
	contacts []string
	log      *zap.Logger
	peers    peerClient
	// notices holds what this daemon knows of requests that crash replicas.
	notices NoticeHandler
	// listenPacket opens the socket of ShareHealth.
	listenPacket func(network, address string) (net.PacketConn, error)
	// roles holds the role of the data centre's reader, then that of the fleet reader.
	roles []*role
	// followers holds the daemons that pull from this one as the reader of their data centre.
	followers followerSet
	stopped   atomic.Bool
	// lastFallback is the reader of another data centre that was pulled from last; hasElected is set at the first attempt to
	// claim a vacant role. Both are owned by the goroutine of Run.
	lastFallback string
	hasElected   bool
	// lastOwnRead is the time of the last read of the list by this daemon as a follower. It is owned by the goroutine of Run.
	lastOwnRead time.Time
	// explainedGapEnd is the end of the last gap that other daemons were asked about, unansweredConsultations how often nobody answered
	// since. Both are owned by the goroutine of Run.
	explainedGapEnd         time.Time
	unansweredConsultations int
	// unresponsiveContacts holds the contact addresses whose failure was logged. It is owned by the goroutine of Run.
	unresponsiveContacts map[string]bool

	mu sync.Mutex
	// invalidEntries holds the revisions of the invalid entries that were logged, by key.
	invalidEntries map[string]int64
	// storeUnavailableSince is the time of the first failed call since the last successful one, zero while the store is
	// available.
	storeUnavailableSince time.Time
	// storeFailedAt is the time of the last call that failed while this process was running.
	storeFailedAt time.Time
	// pendingNotices holds the notices that are sent next.
	pendingNotices []quarantine.Notice
	// pendingObservations holds the observations that are sent next, observationsTakenAt when the last ones were sent.
	pendingObservations []quarantine.Observation
	observationsTakenAt time.Time
}

// NewFeed returns a feed. contacts may be empty.
func NewFeed(dir *Directory, store kv.Store, decoder Decoder, keys Keys, self Self, contacts []string, log *zap.Logger) *Feed {
	f := &Feed{
		dir: dir, source: self.Node + "/" + strconv.FormatUint(rand.Uint64(),
			36), store: store, decoder: decoder, keys: keys, self: self, contacts: contacts, log: log,
		notices: noNotices{},
		peers:   newPeerClient(), listenPacket: net.ListenPacket, followers: newFollowerSet(), invalidEntries: make(map[string]int64),
		unresponsiveContacts: make(map[string]bool),
	}
	f.roles = []*role{
		{scope: self.DataCentre, key: keys.Readers + centrePrefix + self.DataCentre, staleAfter: centreStaleAfter},
		{scope: fleetScope, key: keys.Readers + fleetScope, staleAfter: fleetStaleAfter},
	}
	return f
}

// Run keeps the directory up to date until ctx is done, then releases the claims of this daemon.
func (f *Feed) Run(ctx context.Context) {
	f.loadInitialView(ctx)
	// The first own read is delayed: a starting daemon usually finds a reader or a contact within that time.
	f.lastOwnRead = time.Now()
	f.runRole(ctx, 0)
	f.stopped.Store(true)
	f.resign(f.roles)
}

// loadInitialView obtains the first view: a fresh one from a contact address that responds immediately, or else one from
// two stale reads of the store, or from another daemon if the store is unavailable. A stale list may contain replicas as
// ready that left seconds ago, so it is only used if no contact has a fresh one. Fresh reads follow within a second.
func (f *Feed) loadInitialView(ctx context.Context) {
	pullCtx, cancel := context.WithTimeout(ctx, startupPullTimeout)
	f.pullFromContacts(pullCtx)
	cancel()
	if f.listAge() < centreStaleAfter {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { f.readOperatorKeys(ctx, allowStale) })
	wg.Go(func() { f.readServers(ctx, allowStale) })
	wg.Wait()
	f.pullFromContacts(ctx)
}

// pullFromContacts pulls from the contact addresses in order until the view is fresh. A failing address is logged only once
// per start, because all daemons may start at the same time.
func (f *Feed) pullFromContacts(ctx context.Context) {
	for _, address := range f.contacts {
		if f.listAge() < centreStaleAfter || ctx.Err() != nil {
			return
		}
		if address == f.self.Address {
			continue
		}
		err := f.pull(ctx, address, "", 0)
		if err != nil && !f.unresponsiveContacts[address] {
			f.unresponsiveContacts[address] = true
			f.log.Info(eventlog.PeerSilent, zap.String("address", address), zap.Error(err))
		}
	}
}

// adoptKnownReader sets the reader of this daemon's data centre to the one in the view, which other daemons reported. It
// returns false if there is none.
func (f *Feed) adoptKnownReader(r *role) bool {
	view, _ := f.dir.View()
	reader := view.DataCentres[f.self.DataCentre].Reader
	if r.scope == fleetScope || reader == "" || reader == f.self.Address {
		return false
	}
	f.setReader(r, reader, false)
	return true
}

// runRole holds the role of a level or follows its holder until ctx is done. The holder of the last role reads the store. A
// daemon that loses a role also gives up the roles of the higher levels, because nothing renews their claims any more.
func (f *Feed) runRole(ctx context.Context, level int) {
	if level == len(f.roles) {
		f.pollStore(ctx)
		return
	}
	for r := f.roles[level]; ctx.Err() == nil; {
		if !r.isHeld() {
			f.follow(ctx, r)
			continue
		}
		roleCtx, release := context.WithCancel(ctx)
		var wg sync.WaitGroup
		wg.Go(func() {
			defer release()
			f.renew(roleCtx, r)
		})
		f.runRole(roleCtx, level+1)
		wg.Wait()
		f.resign(f.roles[level+1:])
	}
}

// follow pulls from the holder of a role until this daemon holds the role itself or ctx is done. Without a fresh list from
// the holder it falls back to the reader of another data centre, then to the store.
func (f *Feed) follow(ctx context.Context, r *role) {
	retryPause, ownReadInterval := minRetryPause, minOwnReadInterval
	var lastElection time.Time
	for ctx.Err() == nil && !r.isHeld() {
		err := errNoReader
		if r.reader() == "" {
			f.adoptKnownReader(r)
		}
		if reader := r.reader(); reader != "" {
			err = f.pull(ctx, reader, r.scope, f.pullWaitFor(r))
		}
		if err == nil && f.listAge() < r.staleAfter {
			retryPause, ownReadInterval = minRetryPause, minOwnReadInterval
			continue
		}
		f.pullFromOtherReader(ctx, r)
		if f.listAge() >= r.staleAfter && time.Since(f.lastOwnRead) >= ownReadInterval {
			f.lastOwnRead = time.Now()
			if f.probeStore(ctx, r) && f.readServers(ctx, fresh) {
				f.readOperatorKeys(ctx, fresh)
			}
			if err == nil && r.scope != fleetScope {
				ownReadInterval = min(2*ownReadInterval, maxOwnReadInterval)
			}
		}
		if err != nil && f.isStoreUnavailable() && f.listAge() < r.staleAfter && time.Since(f.lastOwnRead) >= minOwnReadInterval {
			// The list is fresh, so the store answers the reader of another data centre. Without this call, the store would
			// count as unavailable as long as that one provides fresh lists, and this data centre would elect no reader.
			f.lastOwnRead = time.Now()
			f.probeStore(ctx, r)
		}
		if err != nil && !f.isStoreUnavailable() && time.Since(lastElection) >= retryPause {
			lastElection = time.Now()
			f.elect(ctx, r)
		}
		if !r.isHeld() {
			sleep(ctx, jitter(retryPause))
			retryPause = min(2*retryPause, maxRetryPause)
		}
	}
}

// pullWaitFor returns how long a pull may wait at the holder of a role: until the list of this daemon becomes stale.
func (f *Feed) pullWaitFor(r *role) time.Duration {
	return max(minPullWait, min(maxPullWait, r.staleAfter-f.listAge()))
}

var errNoReader = errors.New("reader of the scope is unknown")

// listAge returns the time since the list was read from the store, or an hour if the view is incomplete.
func (f *Feed) listAge() time.Duration {
	view, _ := f.dir.View()
	if !view.IsComplete() {
		return time.Hour
	}
	return time.Since(view.ReadAt)
}

// pullFromOtherReader pulls from the reader of another data centre, which may have a fresher list, or from the contact
// addresses if none is known.
func (f *Feed) pullFromOtherReader(ctx context.Context, r *role) {
	view, _ := f.dir.View()
	var addresses []string
	for _, c := range view.DataCentres {
		if c.Reader != r.reader() && c.Reader != f.self.Address {
			addresses = append(addresses, c.Reader)
		}
	}
	if len(addresses) == 0 {
		f.pullFromContacts(ctx)
		return
	}
	// Staying with the same reader allows it to send only the changes.
	address := f.lastFallback
	if !slices.Contains(addresses, address) {
		address = addresses[rand.IntN(len(addresses))]
	}
	f.lastFallback = address
	if err := f.pull(ctx, address, "", 0); err != nil {
		f.lastFallback = ""
		f.log.Info(eventlog.PeerSilent, zap.String("address", address), zap.Error(err))
	}
}

// sleep waits for d or until ctx is done.
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

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration { return d/2 + time.Duration(rand.Int64N(int64(d/2)+1)) }
