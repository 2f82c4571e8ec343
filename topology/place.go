package topology

import (
	"context"
	"encoding/json"
	"errors"
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
	// revision is that of the claim that this daemon wrote, daemons the number in it.
	revision int64
	daemons  int
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

// claim is the value of a place's key.
type claim struct {
	Node    string `json:"node"`
	Address string `json:"address"`
	// Daemons is the number of daemons of the data centre.
	Daemons int `json:"daemons"`
}

func decodeClaim(item kv.Item) (claim, error) {
	var c claim
	err := json.Unmarshal(item.Value, &c)
	if err == nil && (c.Address == "" || c.Node == "") {
		err = errors.New("no address or node")
	}
	return c, eris.Wrapf(err, "claim at %s", item.Key)
}

// elect finds the holder of a place, or claims the place if it is free. A claim of an earlier life of this daemon, or
// one that cannot be read, is taken over.
func (f *Feed) elect(ctx context.Context, p *place) {
	if p.reader() == "" {
		sleep(ctx, spread(electionSpread))
	}
	item, found, err := f.look(ctx, p)
	if err != nil {
		return
	}
	if found {
		c, err := decodeClaim(item)
		if err != nil {
			f.reportUnreadable(item, err)
		} else if c.Node != f.self.Node {
			f.setReader(p, c.Address, false)
			return
		}
	}
	f.claim(ctx, p, item.ModRevision)
}

// look reads the claim of a place; the answer may be stale.
func (f *Feed) look(ctx context.Context, p *place) (kv.Item, bool, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, found, err := kv.GetStale(call, f.store, p.key)
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
	ok, err := f.writeClaim(call, p, lease, revision)
	f.storeAnswered("claim", err)
	if err != nil || !ok || time.Since(begin) > leaseTime {
		return
	}
	f.setReader(p, f.self.Address, true)
}

func (f *Feed) writeClaim(ctx context.Context, p *place, lease kv.LeaseID, revision int64) (bool, error) {
	daemons := f.following.count(time.Now()) + 1
	value, err := json.Marshal(claim{Node: f.self.Node, Address: f.self.Address, Daemons: daemons})
	if err != nil {
		return false, eris.Wrap(err, "claim")
	}
	result, err := f.store.Txn(ctx, kv.Txn{
		If:   []kv.Compare{{Key: p.key, ModRevision: revision}},
		Puts: []kv.Put{{Key: p.key, Value: value, Lease: lease}},
	})
	if err != nil || !result.Succeeded {
		return false, err
	}
	p.mu.Lock()
	p.lease, p.revision, p.daemons = lease, result.Revision, daemons
	p.mu.Unlock()
	return true, nil
}

// renew keeps a claim until it is lost or ctx ends. A claim whose renewals fail for its time to live is lost.
func (f *Feed) renew(ctx context.Context, p *place) {
	renewed := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, renewInterval)
		p.mu.Lock()
		lease, revision, daemons := p.lease, p.revision, p.daemons
		p.mu.Unlock()
		begin := time.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		alive, err := f.store.KeepAlive(call, lease)
		if err == nil && alive && p.scope != fleetScope && f.following.count(begin)+1 != daemons {
			alive, err = f.writeClaim(call, p, lease, revision)
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

// countDaemons sums the daemons of all data centres from their readers' claims, and remembers the readers.
func (f *Feed) countDaemons(ctx context.Context) {
	type counted struct {
		daemons int
		at      time.Time
	}
	seen := make(map[string]counted)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		items, _, err := kv.ListStale(call, f.store, f.keys.Readers+centrePrefix)
		cancel()
		f.storeAnswered("claims", err)
		now := time.Now()
		if err == nil {
			readers := make(map[string]string, len(items))
			for _, item := range items {
				c, err := decodeClaim(item)
				if err != nil {
					f.reportUnreadable(item, err)
					continue
				}
				centre := strings.TrimPrefix(item.Key, f.keys.Readers+centrePrefix)
				seen[centre] = counted{c.Daemons, now}
				readers[centre] = c.Address
			}
			daemons := make(map[string]int, len(seen))
			for centre, c := range seen {
				if now.Sub(c.at) > countHold {
					delete(seen, centre)
					continue
				}
				daemons[centre] = c.daemons
			}
			f.dir.SetDaemons(daemons)
			f.mu.Lock()
			f.readers = readers
			f.mu.Unlock()
		}
		sleep(ctx, countInterval)
	}
}

// followers remembers which daemons asked lately. It is safe for concurrent use.
type followers struct {
	mu   sync.Mutex
	seen map[string]follower
}

type follower struct {
	host string
	at   time.Time
}

func newFollowers() followers { return followers{seen: make(map[string]follower)} }

func (f *followers) add(node, address string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.seen[node]; ok || len(f.seen) < maxFollowers {
		f.seen[node] = follower{hostOf(address), now}
	}
}

// hosts returns the hosts of the followers but one.
func (f *followers) hosts(except string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := make([]string, 0, len(f.seen))
	for node, one := range f.seen {
		if node != except {
			hosts = append(hosts, one.host)
		}
	}
	return hosts
}

func (f *followers) count(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for node, one := range f.seen {
		if now.Sub(one.at) > followerHold {
			delete(f.seen, node)
		}
	}
	return len(f.seen)
}
