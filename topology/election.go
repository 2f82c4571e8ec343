package topology

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/kv"
)

const (
	// fleetScope is the scope of the fleet reader's role, centrePrefix the prefix of the keys of the data centres' roles.
	fleetScope   = "fleet"
	centrePrefix = "centre/"
	// claimTTL is the time to live of a claim's lease, renewInterval the time between renewals.
	claimTTL      = 4 * time.Second
	renewInterval = 1300 * time.Millisecond
	// resignTimeout bounds the deletion of the claims to roles that are given up.
	resignTimeout = 300 * time.Millisecond
	// claimPollInterval is the time between two reads of all data centres' claims by the fleet reader.
	claimPollInterval = 3 * time.Second
	// initialClaimPolls is the number of reads by a new fleet reader that are initialClaimPollInterval apart, because the
	// data centres may still be electing their readers.
	initialClaimPolls        = 10
	initialClaimPollInterval = 300 * time.Millisecond
	// centreRetention is how long the description of a data centre without a claim is retained: its daemons are most likely
	// restarting or electing another reader.
	centreRetention = 20 * time.Second
	// followerTTL is how long a follower counts as a daemon after its last pull. It covers a restart.
	followerTTL = 8 * time.Second
	// lapsedFollowerAge is the age up to which a pull shows that a daemon still follows a reader that could not renew its claim: a
	// follower without a store repeats its pull within 2 to 3 s. It is shorter than claimTTL, so that a reader that is cut off from all
	// others is not taken for one in an outage of the store.
	lapsedFollowerAge = 3 * time.Second
	// maxFollowers bounds the size of a followerSet.
	maxFollowers = 10_000
)

// role is the state of this daemon in the election of one reader. It is safe for concurrent use; scope, key and staleAfter
// are immutable.
type role struct {
	scope string
	key   string
	// staleAfter is the age of the list after which a follower of the role's holder tries other sources.
	staleAfter time.Duration

	mu sync.Mutex
	// address is the address of the holder, empty if unknown; held is set if this daemon is the holder.
	address string
	held    bool
	// hasLapsed is set if this daemon was the last known holder and lost the role only because it could not renew its claim.
	hasLapsed bool
	lease     kv.LeaseID
	// revision is the store revision of the claim that this daemon wrote last, centre the description in that claim.
	revision int64
	centre   DataCentre
}

// isHeld reports whether this daemon holds the role.
func (r *role) isHeld() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// reader returns the address of the holder, empty if unknown.
func (r *role) reader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}

// set sets the holder of the role and reports whether it changed.
func (r *role) set(address string, held bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.address != address || r.held != held
	r.address, r.held, r.hasLapsed = address, held, false
	return changed
}

// lose gives up a role whose claim could not be renewed. hasLapsed is set if the store did not answer, so that another daemon may hold
// the role or none.
func (r *role) lose(hasLapsed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address, r.held, r.hasLapsed = "", false, hasLapsed
}

// claim is the value of a role's key. DataCentre describes the holder's data centre, with the holder as the reader.
type claim struct {
	Node string `json:"node"`
	DataCentre
}

// decodeClaim decodes and validates a claim.
func decodeClaim(item kv.Item) (claim, error) {
	var c claim
	err := json.Unmarshal(item.Value, &c)
	if err == nil && (c.Reader == "" || c.Node == "") {
		err = errors.New("missing reader or node")
	}
	return c, eris.Wrapf(err, "claim at %s", item.Key)
}

// elect determines the holder of a role, or claims the role if it is vacant. A claim left by an earlier process of this
// daemon, or one that can't be decoded, is replaced.
func (f *Feed) elect(ctx context.Context, r *role) {
	item, found, err := f.readClaim(ctx, r, allowStale)
	if err == nil && !found {
		if r.reader() == "" {
			sleep(ctx, f.electionDelay(r))
			if r.scope != fleetScope && f.learnReader(ctx, r) {
				return
			}
		}
		// A stale read may miss a recent claim, and an attempt to claim the role costs two writes.
		item, found, err = f.readClaim(ctx, r, fresh)
	}
	if err != nil || found && f.acceptHolder(r, item) {
		return
	}
	f.acquire(ctx, r, item.ModRevision)
}

// learnReader sets the reader of this daemon's data centre to the one that the contact addresses know. It returns false if they know none.
func (f *Feed) learnReader(ctx context.Context, r *role) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	f.pullFromContacts(ctx)
	return f.adoptKnownReader(r)
}

// acceptHolder sets the holder of a role from its claim. It returns false for a claim that this daemon may replace.
func (f *Feed) acceptHolder(r *role, item kv.Item) bool {
	c, err := decodeClaim(item)
	if err != nil {
		f.logInvalidEntry(item, err)
		return false
	}
	if c.Node == f.self.Node {
		return false
	}
	f.setReader(r, c.Reader, false)
	return true
}

// electionDelay returns how long to wait before an attempt to claim a vacant role.
func (f *Feed) electionDelay(r *role) time.Duration {
	first := !f.hasElected
	f.hasElected = true
	if first && r.scope != fleetScope && len(f.contacts) > 0 && !slices.Contains(f.contacts, f.self.Address) {
		return time.Duration(rand.Int64N(int64(startupElectionJitter)))
	}
	return jitter(electionJitter)
}

// readClaim reads the claim of a role.
func (f *Feed) readClaim(ctx context.Context, r *role, wanted freshness) (item kv.Item, found bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record := f.startStoreCall("claim", storeTimeout, wanted)
	if wanted == allowStale {
		item, found, err = kv.GetStale(callCtx, f.store, r.key)
	} else {
		item, found, err = f.store.Get(callCtx, r.key)
	}
	record(err)
	return item, found, err
}

// setReader sets the holder of a role and logs a change.
func (f *Feed) setReader(r *role, address string, held bool) {
	if r.set(address, held) {
		f.log.Info(eventlog.ReaderChanged, zap.String("scope", r.scope), zap.String("reader", address), zap.Bool("self", held))
	}
}

// acquire attempts to claim a role with a new lease, provided that the key still has the revision; 0 stands for a vacant
// role. If another daemon was first, it becomes the holder.
func (f *Feed) acquire(ctx context.Context, r *role, revision int64) {
	callCtx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	begin := time.Now()
	recordGrant := f.startStoreCall("lease", 2*storeTimeout, fresh)
	lease, err := f.store.Grant(callCtx, claimTTL)
	recordGrant(err)
	if err != nil {
		return
	}
	recordWrite := f.startStoreCall("claim", 2*storeTimeout, fresh)
	result, err := f.writeClaim(callCtx, r, lease, revision)
	recordWrite(err)
	switch {
	case err != nil, time.Since(begin) > claimTTL:
		return
	case !result.Succeeded:
		for _, item := range result.Items {
			f.acceptHolder(r, item)
		}
		return
	}
	f.setReader(r, f.self.Address, true)
}

// writeClaim writes this daemon's claim if the key still has the revision; otherwise the result holds the existing claim.
func (f *Feed) writeClaim(ctx context.Context, r *role, lease kv.LeaseID, revision int64) (kv.TxnResult, error) {
	centre := f.describeCentre(time.Now())
	value, err := json.Marshal(claim{Node: f.self.Node, DataCentre: centre})
	if err != nil {
		return kv.TxnResult{}, eris.Wrap(err, "claim")
	}
	result, err := f.store.Txn(ctx, kv.Txn{
		If:   []kv.Compare{{Key: r.key, ModRevision: revision}},
		Puts: []kv.Put{{Key: r.key, Value: value, Lease: lease}},
		Else: []string{r.key},
	})
	if err != nil || !result.Succeeded {
		return result, err
	}
	r.mu.Lock()
	r.lease, r.revision, r.centre = lease, result.Revision, centre
	r.mu.Unlock()
	return result, nil
}

// renew renews a claim, and updates the description in it, until the claim is lost or ctx is done. A claim counts as lost
// if its renewals fail for longer than claimTTL.
func (f *Feed) renew(ctx context.Context, r *role) {
	renewed := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, renewInterval)
		r.mu.Lock()
		lease, revision, centre := r.lease, r.revision, r.centre
		r.mu.Unlock()
		begin := time.Now()
		record := f.startStoreCall("renewal", storeTimeout, fresh)
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		alive, err := f.store.KeepAlive(callCtx, lease)
		if err == nil && alive && r.scope != fleetScope && !equalCentres(f.describeCentre(begin), centre) {
			var result kv.TxnResult
			result, err = f.writeClaim(callCtx, r, lease, revision)
			alive = result.Succeeded
		}
		cancel()
		if ctx.Err() != nil {
			f.log.Info(eventlog.ClaimRenewalStopped, zap.String("scope", r.scope), zap.Bool("held", r.isHeld()))
			return
		}
		record(err)
		switch {
		case err == nil && alive:
			renewed = begin
		case err == nil, time.Since(renewed) > claimTTL:
			f.log.Info(eventlog.ClaimLost, zap.String("scope", r.scope), zap.Bool("lapsed", err != nil))
			r.lose(err != nil)
			return
		}
	}
}

// CentreReader returns the address of the reader of this data centre, empty if it is unknown, and whether it is this daemon. If the last
// reader could not renew its claim, as in an outage of the store, it remains the reader while more than half of the data centre's daemons
// still try to pull from it: others cannot have elected another one then, unless they reach the store and this daemon does not.
func (f *Feed) CentreReader() (address string, isSelf bool) {
	r := f.roles[0]
	r.mu.Lock()
	address, held, hasLapsed := r.address, r.held, r.hasLapsed
	r.mu.Unlock()
	if f.stopped.Load() {
		return "", false
	}
	if held {
		return f.self.Address, true
	}
	view, _ := f.dir.View()
	centre := view.DataCentres[f.self.DataCentre]
	if hasLapsed && centre.Reader == f.self.Address && 2*(f.followers.countSince(time.Now().Add(-lapsedFollowerAge))+1) > centre.Daemons {
		return f.self.Address, true
	}
	if address == "" && centre.Reader != f.self.Address {
		address = centre.Reader
	}
	return address, false
}

// resign gives up roles and deletes their claims, so that others can claim them without waiting for the leases to expire.
func (f *Feed) resign(roles []*role) {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	for _, r := range roles {
		r.mu.Lock()
		held, revision := r.held, r.revision
		r.address, r.held = "", false
		r.mu.Unlock()
		if !held {
			continue
		}
		_, err := f.store.Txn(ctx, kv.Txn{
			If: []kv.Compare{{Key: r.key, ModRevision: revision}}, Deletes: []string{r.key},
		})
		f.log.Info(eventlog.ClaimGivenUp, zap.String("scope", r.scope), zap.Error(err))
	}
}

// describeCentre returns the description of this data centre with this daemon as the reader.
func (f *Feed) describeCentre(now time.Time) DataCentre {
	all := append(f.followers.all(now), Helper{f.self.Address, f.self.Cores})
	return DataCentre{Daemons: len(all), Reader: f.self.Address, Helpers: selectHelpers(all)}
}

const (
	// maxHelpers bounds the helpers of a data centre and thereby the size of a claim.
	maxHelpers = 64
	// minHelperShare is the minimum CPU share of a helper, as a fraction of the largest share in the data centre.
	minHelperShare = 0.5
)

// selectHelpers returns the daemons that accept delegated queries: those with the largest CPU shares, in descending order.
// It sorts daemons in place.
func selectHelpers(daemons []Helper) []Helper {
	slices.SortFunc(daemons, func(a, b Helper) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Address, b.Address))
	})
	n := 0
	for n < min(len(daemons), maxHelpers) && daemons[n].Cores > 0 && daemons[n].Cores >= minHelperShare*daemons[0].Cores {
		n++
	}
	return daemons[:n:n]
}

// collectCentres polls the claims of all data centres' readers for the descriptions of their daemons until ctx is done.
func (f *Feed) collectCentres(ctx context.Context) {
	type centreReport struct {
		centre DataCentre
		at     time.Time
	}
	reports := make(map[string]centreReport)
	for polls := 0; ctx.Err() == nil; polls++ {
		interval, wanted := claimPollInterval, allowStale
		if polls < initialClaimPolls {
			interval, wanted = initialClaimPollInterval, fresh
		}
		items, _, err := f.list(ctx, "claims", f.keys.Readers+centrePrefix, wanted)
		now := time.Now()
		if err == nil {
			for _, item := range items {
				c, err := decodeClaim(item)
				if err != nil {
					f.logInvalidEntry(item, err)
					continue
				}
				reports[strings.TrimPrefix(item.Key, f.keys.Readers+centrePrefix)] = centreReport{c.DataCentre, now}
			}
			centres := make(map[string]DataCentre, len(reports))
			for centre, c := range reports {
				if now.Sub(c.at) > centreRetention {
					delete(reports, centre)
					continue
				}
				centres[centre] = c.centre
			}
			f.dir.SetDataCentres(centres)
		}
		sleep(ctx, interval)
	}
}

// followerSet records the daemons that pulled recently. It is safe for concurrent use.
type followerSet struct {
	mu     sync.Mutex
	byNode map[string]follower
}

// follower is a daemon with the time of its last pull.
type follower struct {
	Helper
	at time.Time
}

func newFollowerSet() followerSet { return followerSet{byNode: make(map[string]follower)} }

// add records a pull. A new daemon is ignored when the set is full.
func (f *followerSet) add(node string, daemon Helper, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.byNode[node]; ok || len(f.byNode) < maxFollowers {
		f.byNode[node] = follower{daemon, now}
	}
}

// hosts returns the hosts of all followers except one node.
func (f *followerSet) hosts(except string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := make([]string, 0, len(f.byNode))
	for node, daemon := range f.byNode {
		if node != except {
			hosts = append(hosts, hostOf(daemon.Address))
		}
	}
	return hosts
}

// countSince returns the number of daemons that pulled at or after a time.
func (f *followerSet) countSince(begin time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, daemon := range f.byNode {
		if !daemon.at.Before(begin) {
			n++
		}
	}
	return n
}

// all returns the daemons that pulled within followerTTL and removes the others.
func (f *followerSet) all(now time.Time) []Helper {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Helper, 0, len(f.byNode)+1)
	for node, daemon := range f.byNode {
		if now.Sub(daemon.at) > followerTTL {
			delete(f.byNode, node)
			continue
		}
		all = append(all, daemon.Helper)
	}
	return all
}
