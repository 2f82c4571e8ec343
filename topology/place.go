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
	// fleetScope names the place of the daemon that reads for the fleet, centrePrefix begins those of the data centres.
	fleetScope   = "fleet"
	centrePrefix = "centre/"
	// leaseTime is the time to live of a claim, renewInterval the time between renewals.
	leaseTime     = 4 * time.Second
	renewInterval = 1300 * time.Millisecond
	// resignTimeout bounds the giving up of a claim at a planned stop.
	resignTimeout = 300 * time.Millisecond
	// countInterval is the time between two looks at the claims of the data centres.
	countInterval = 3 * time.Second
	// firstCounts is the number of looks after the start of a fleet's reader that follow each other in firstCountInterval:
	// the data centres find their readers then.
	firstCounts        = 10
	firstCountInterval = 300 * time.Millisecond
	// countHold is how long the count of a data centre without a claim is kept: its daemons are most likely restarting or
	// choosing another reader.
	countHold = 20 * time.Second
	// followerHold is how long a follower that asks no more still counts as a daemon. It covers a restart.
	followerHold = 8 * time.Second
	// maxFollowers bounds the remembered followers.
	maxFollowers = 10_000
)

// place is what this daemon knows of one place that daemons claim. It is safe for concurrent use; scope, key and stale
// do not change.
type place struct {
	scope string
	key   string
	// stale is the age of the list from which a follower looks elsewhere.
	stale time.Duration

	mu      sync.Mutex
	address string
	held    bool
	lease   kv.LeaseID
	// revision is that of the claim that this daemon wrote, centre what it says of the daemons.
	revision int64
	centre   Centre
}

func (p *place) isHeld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

func (p *place) reader() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// set takes the holder of the place and reports whether that changed.
func (p *place) set(address string, held bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.address != address || p.held != held
	p.address, p.held = address, held
	return changed
}

// claim is the value of a place's key. Its centre is that of the holder, with the holder as the reader.
type claim struct {
	Node string `json:"node"`
	Centre
}

func decodeClaim(item kv.Item) (claim, error) {
	var c claim
	err := json.Unmarshal(item.Value, &c)
	if err == nil && (c.Reader == "" || c.Node == "") {
		err = errors.New("no reader or node")
	}
	return c, eris.Wrapf(err, "claim at %s", item.Key)
}

// elect finds the holder of a place, or claims the place if it is free. A claim of an earlier life of this daemon, or
// one that cannot be read, is taken over.
func (f *Feed) elect(ctx context.Context, p *place) {
	item, found, err := f.look(ctx, p, kv.GetStale)
	if err == nil && !found {
		if p.reader() == "" {
			sleep(ctx, f.electionPause(p))
			f.askContacts(ctx)
			if f.learnReader(p) {
				return
			}
		}
		// A claim may be younger than what stale reads show, and a claim costs two writes.
		item, found, err = f.look(ctx, p, getFresh)
	}
	if err != nil || found && f.takeHolder(p, item) {
		return
	}
	f.claim(ctx, p, item.ModRevision)
}

// takeHolder takes the holder of a place from its claim; it returns false for a claim that this daemon may replace.
func (f *Feed) takeHolder(p *place, item kv.Item) bool {
	c, err := decodeClaim(item)
	if err != nil {
		f.reportUnreadable(item, err)
		return false
	}
	if c.Node == f.self.Node {
		return false
	}
	f.setReader(p, c.Reader, false)
	return true
}

// electionPause returns how long to wait before a claim of a free place.
func (f *Feed) electionPause(p *place) time.Duration {
	first := !f.elected
	f.elected = true
	if first && p.scope != fleetScope && len(f.contacts) > 0 && !slices.Contains(f.contacts, f.self.Address) {
		return time.Duration(rand.Int64N(int64(startSpread)))
	}
	return spread(electionSpread)
}

func getFresh(ctx context.Context, store kv.Store, key string) (kv.Item, bool, error) {
	return store.Get(ctx, key)
}

func listFresh(ctx context.Context, store kv.Store, prefix string) ([]kv.Item, int64, error) {
	return store.List(ctx, prefix)
}

// look reads the claim of a place with one of the reads of a key.
func (f *Feed) look(ctx context.Context, p *place, get func(context.Context, kv.Store, string) (kv.Item, bool, error)) (kv.Item, bool, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, found, err := get(call, f.store, p.key)
	f.storeAnswered("claim", err)
	return item, found, err
}

func (f *Feed) setReader(p *place, address string, held bool) {
	if p.set(address, held) {
		f.log.Info(eventlog.ReaderChanged, zap.String("scope", p.scope), zap.String("reader", address), zap.Bool("self", held))
	}
}

// claim writes this daemon's claim if the key still has the revision, 0 for a free place.
func (f *Feed) claim(ctx context.Context, p *place, revision int64) {
	call, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	begin := time.Now()
	lease, err := f.store.Grant(call, leaseTime)
	f.storeAnswered("lease", err)
	if err != nil {
		return
	}
	result, err := f.writeClaim(call, p, lease, revision)
	f.storeAnswered("claim", err)
	switch {
	case err != nil, time.Since(begin) > leaseTime:
		return
	case !result.Succeeded:
		for _, item := range result.Items {
			f.takeHolder(p, item)
		}
		return
	}
	f.setReader(p, f.self.Address, true)
}

// writeClaim writes this daemon's claim if the key still has the revision; otherwise the result holds the claim that
// stands.
func (f *Feed) writeClaim(ctx context.Context, p *place, lease kv.LeaseID, revision int64) (kv.TxnResult, error) {
	centre := f.centre(time.Now())
	value, err := json.Marshal(claim{Node: f.self.Node, Centre: centre})
	if err != nil {
		return kv.TxnResult{}, eris.Wrap(err, "claim")
	}
	result, err := f.store.Txn(ctx, kv.Txn{
		If:        []kv.Compare{{Key: p.key, ModRevision: revision}},
		Puts:      []kv.Put{{Key: p.key, Value: value, Lease: lease}},
		Otherwise: []string{p.key},
	})
	if err != nil || !result.Succeeded {
		return result, err
	}
	p.mu.Lock()
	p.lease, p.revision, p.centre = lease, result.Revision, centre
	p.mu.Unlock()
	return result, nil
}

// renew keeps a claim until it is lost or ctx ends. A claim whose renewals fail for its time to live is lost.
func (f *Feed) renew(ctx context.Context, p *place) {
	renewed := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, renewInterval)
		p.mu.Lock()
		lease, revision, centre := p.lease, p.revision, p.centre
		p.mu.Unlock()
		begin := time.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		alive, err := f.store.KeepAlive(call, lease)
		if err == nil && alive && p.scope != fleetScope && !sameCentre(f.centre(begin), centre) {
			var result kv.TxnResult
			result, err = f.writeClaim(call, p, lease, revision)
			alive = result.Succeeded
		}
		cancel()
		if ctx.Err() != nil {
			return
		}
		f.storeAnswered("renewal", err)
		switch {
		case err == nil && alive:
			renewed = begin
		case err == nil, time.Since(renewed) > leaseTime:
			f.log.Info(eventlog.ClaimLost, zap.String("scope", p.scope), zap.Bool("lapsed", err != nil))
			p.set("", false)
			return
		}
	}
}

// resign gives up the claims that this daemon holds, so that others take the places at once.
func (f *Feed) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	for _, p := range f.levels {
		p.mu.Lock()
		held, revision := p.held, p.revision
		p.held = false
		p.mu.Unlock()
		if !held {
			continue
		}
		_, err := f.store.Txn(ctx, kv.Txn{
			If: []kv.Compare{{Key: p.key, ModRevision: revision}}, Deletes: []string{p.key},
		})
		f.log.Info(eventlog.ClaimGivenUp, zap.String("scope", p.scope), zap.Error(err))
	}
}

// centre returns what this daemon knows of the daemons of its data centre.
func (f *Feed) centre(now time.Time) Centre {
	all := append(f.following.all(now), Helper{f.self.Address, f.self.Cores})
	return Centre{Daemons: len(all), Reader: f.self.Address, Helpers: helpersOf(all)}
}

const (
	// maxHelpers bounds the helpers of a data centre, and so the size of a claim.
	maxHelpers = 64
	// helperFraction of the largest processor share makes a daemon a helper.
	helperFraction = 0.5
)

// helpersOf returns the daemons that take queries of others: those with the largest processor shares.
func helpersOf(daemons []Helper) []Helper {
	slices.SortFunc(daemons, func(a, b Helper) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Address, b.Address))
	})
	n := 0
	for n < min(len(daemons), maxHelpers) && daemons[n].Cores > 0 && daemons[n].Cores >= helperFraction*daemons[0].Cores {
		n++
	}
	return daemons[:n:n]
}

// countDaemons collects what the readers of all data centres say of their daemons.
func (f *Feed) countDaemons(ctx context.Context) {
	type counted struct {
		centre Centre
		at     time.Time
	}
	seen := make(map[string]counted)
	for looks := 0; ctx.Err() == nil; looks++ {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		interval, list := countInterval, kv.ListStale
		if looks < firstCounts {
			interval, list = firstCountInterval, listFresh
		}
		items, _, err := list(call, f.store, f.keys.Readers+centrePrefix)
		cancel()
		f.storeAnswered("claims", err)
		now := time.Now()
		if err == nil {
			for _, item := range items {
				c, err := decodeClaim(item)
				if err != nil {
					f.reportUnreadable(item, err)
					continue
				}
				seen[strings.TrimPrefix(item.Key, f.keys.Readers+centrePrefix)] = counted{c.Centre, now}
			}
			centres := make(map[string]Centre, len(seen))
			for centre, c := range seen {
				if now.Sub(c.at) > countHold {
					delete(seen, centre)
					continue
				}
				centres[centre] = c.centre
			}
			f.dir.SetCentres(centres)
		}
		sleep(ctx, interval)
	}
}

// followers remembers which daemons asked lately. It is safe for concurrent use.
type followers struct {
	mu   sync.Mutex
	seen map[string]follower
}

type follower struct {
	Helper
	at time.Time
}

func newFollowers() followers { return followers{seen: make(map[string]follower)} }

func (f *followers) add(node string, daemon Helper, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.seen[node]; ok || len(f.seen) < maxFollowers {
		f.seen[node] = follower{daemon, now}
	}
}

// hosts returns the hosts of the followers but one.
func (f *followers) hosts(except string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := make([]string, 0, len(f.seen))
	for node, one := range f.seen {
		if node != except {
			hosts = append(hosts, hostOf(one.Address))
		}
	}
	return hosts
}

// all returns the daemons that asked lately.
func (f *followers) all(now time.Time) []Helper {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]Helper, 0, len(f.seen)+1)
	for node, one := range f.seen {
		if now.Sub(one.at) > followerHold {
			delete(f.seen, node)
			continue
		}
		all = append(all, one.Helper)
	}
	return all
}
