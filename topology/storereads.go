package topology

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/routing"
)

// pollStore reads the store as the fleet reader until ctx is done.
func (f *Feed) pollStore(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.watchConfig(ctx) })
	wg.Go(func() { f.collectCentres(ctx) })
	for ctx.Err() == nil {
		begin := time.Now()
		f.readServers(ctx, fresh)
		sleep(ctx, readInterval-time.Since(begin))
	}
	wg.Wait()
}

// watchConfig applies each change of the configuration and of evacuations until ctx is done. After a failure, or when the store
// has compacted the history, it reads them and resumes the watch from that revision. While the store may not have been written
// again after it came back from an older copy, the watch is limited, so that they are read once more.
func (f *Feed) watchConfig(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		revision := int64(0)
		if f.probeStore(ctx, f.roles[len(f.roles)-1]) {
			revision = f.readOperatorKeys(ctx, fresh)
		}
		if revision == 0 {
			sleep(ctx, jitter(pause))
			pause = min(2*pause, maxRetryPause)
			continue
		}
		pause = minRetryPause
		watchCtx, cancel := ctx, context.CancelFunc(func() {})
		if view, _ := f.dir.View(); view.isRecentlyRestored(time.Now()) {
			watchCtx, cancel = context.WithDeadline(ctx, view.RestoredAt.Add(restoredGrace))
		}
		err := f.watchOperatorKeys(watchCtx, revision+1)
		cancel()
		if ctx.Err() == nil {
			f.log.Info(eventlog.ConfigurationWatchEnded, zap.Error(err))
			sleep(ctx, jitter(minRetryPause))
		}
	}
}

// watchOperatorKeys applies the changes from a revision on until the watch fails or ctx is done.
func (f *Feed) watchOperatorKeys(ctx context.Context, from int64) error {
	begin := time.Now()
	return f.store.Watch(ctx, f.keys.Operator, from, func(batch kv.WatchBatch) {
		for _, e := range batch.Events {
			switch {
			case f.isEvacuationKey(e.Item.Key):
				f.applyEvacuationEvent(e)
			case !e.Deleted && e.Item.Key == f.keys.Config:
				f.applyConfigItem(e.Item, configSource{address: storeName, call: "watch", begin: begin})
			}
		}
		begin = time.Now()
	})
}

// freshness selects between an up-to-date read and one that may return an older state at a lower cost.
type freshness int

// Values of freshness.
const (
	fresh freshness = iota
	allowStale
)

// readOperatorKeys reads and applies the configuration and the evacuations. It returns the revision of the store that they
// reflect, or 0 if there is no configuration or it could not be read.
func (f *Feed) readOperatorKeys(ctx context.Context, wanted freshness) int64 {
	begin := time.Now()
	items, revision, err := f.list(ctx, "configuration", f.keys.Operator, wanted)
	if err != nil {
		return 0
	}
	evacuations, found := Evacuations{Revision: revision}, false
	if wanted == allowStale {
		// What other daemons know is newer.
		evacuations.Revision = 1
	}
	for _, item := range items {
		switch {
		case f.isEvacuationKey(item.Key):
			evacuations = evacuations.with(strings.TrimPrefix(item.Key, f.keys.Evacuations), true, item.ModRevision)
		case item.Key == f.keys.Config:
			found = true
			f.applyConfigItem(item, configSource{address: storeName, call: "read", begin: begin})
		}
	}
	era, _ := kv.SplitRevision(revision)
	f.dir.ObserveEra(era, begin, FromStore)
	// Evacuations that the store has lost are written again.
	view, _ := f.dir.View()
	f.applyEvacuations(evacuations, view.isRecentlyRestored(begin), storeName)
	if !found {
		return 0
	}
	return revision
}

// storeName denotes the store in log lines that name the source of data.
const storeName = "store"

// configSource describes the call that returned a configuration, for the log.
type configSource struct {
	// address is the address of a daemon, or storeName.
	address string
	// call is the kind of the call, begin the time at which it was sent.
	call  string
	begin time.Time
	// revision is the store revision of the configuration, 0 if unknown.
	revision int64
}

// applyConfigItem decodes and applies a configuration from the store.
func (f *Feed) applyConfigItem(item kv.Item, source configSource) {
	config, err := f.decoder.Config(item)
	if err != nil {
		f.log.Error(eventlog.ConfigurationInvalid, zap.String("revision", kv.FormatRevision(item.ModRevision)), zap.Error(err))
		return
	}
	source.revision = item.ModRevision
	f.applyConfig(config, source)
}

// applyConfig applies a configuration and logs the result. The log line includes the state of the replica list, because a
// daemon reads the store itself only when that list is stale.
func (f *Feed) applyConfig(config routing.Config, source configSource) {
	view, _ := f.dir.View()
	applied, err := f.dir.SetConfig(config)
	if err != nil {
		f.log.Error(eventlog.ConfigurationInvalid, zap.Int64("version", config.Version), zap.String("from", source.address),
			zap.Error(err))
		return
	}
	if applied {
		f.log.Info(eventlog.ConfigurationApplied, zap.Int64("version", config.Version), zap.String("from", source.address),
			zap.String("call", source.call), zap.String("revision", kv.FormatRevision(source.revision)), zap.Duration("waited_ms", time.Since(source.begin)),
			zap.Int("routes", len(config.Routes)), zap.Duration("list_age_ms", f.listAge()), zap.Uint64("list_reads", view.Confirmations),
			zap.String("list_source", f.peers.currentList().source))
	}
}

// list reads all keys with a prefix from the store. call names the call in the log.
func (f *Feed) list(ctx context.Context, call, prefix string, wanted freshness) (items []kv.Item, revision int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record := f.startStoreCall(call, storeTimeout, wanted)
	if wanted == allowStale {
		items, revision, err = kv.ListStale(ctx, f.store, prefix)
	} else {
		items, revision, err = f.store.List(ctx, prefix)
	}
	record(err)
	return items, revision, err
}

// readServers reads and applies the list of replicas. It reports whether the store responded.
func (f *Feed) readServers(ctx context.Context, wanted freshness) bool {
	at := time.Now()
	items, revision, err := f.list(ctx, "servers", f.keys.Servers, wanted)
	if err != nil {
		return false
	}
	servers := make([]balancer.Server, 0, len(items))
	for _, item := range items {
		s, err := f.decoder.Server(item)
		if err != nil {
			f.logInvalidEntry(item, err)
			continue
		}
		servers = append(servers, s)
	}
	if wanted == allowStale {
		// Every fresh list has to replace one from a stale read.
		at = at.Add(-staleReadPenalty)
	} else if !f.explainGap(ctx, servers, at) {
		return true
	}
	f.peers.reset()
	era, _ := kv.SplitRevision(revision)
	f.dir.ObserveEra(era, at, FromStore)
	f.applyServers(List{Servers: servers, ReadAt: at, Revision: revision, Origin: FromStore}, storeName)
	return true
}

// staleReadPenalty is subtracted from the time of a stale read. The resulting view counts as stale, so the daemon tries to
// find a fresh source immediately.
const staleReadPenalty = 10 * time.Second

// maxInvalidEntries bounds Feed.invalidEntries.
const maxInvalidEntries = 1000

// logInvalidEntry logs an entry that could not be decoded, once per revision.
func (f *Feed) logInvalidEntry(item kv.Item, err error) {
	f.mu.Lock()
	known := f.invalidEntries[item.Key] == item.ModRevision
	if len(f.invalidEntries) >= maxInvalidEntries {
		clear(f.invalidEntries)
	}
	f.invalidEntries[item.Key] = item.ModRevision
	f.mu.Unlock()
	if !known {
		f.log.Warn(eventlog.EntryUnusable, zap.String("key", item.Key), zap.String("revision", kv.FormatRevision(item.ModRevision)), zap.Error(err))
	}
}

// applyServers sets the distances and regions of the replicas and passes the list to the directory. It reports whether the list was
// accepted.
func (f *Feed) applyServers(list List, from string) bool {
	located := make([]balancer.Server, len(list.Servers))
	for i, s := range list.Servers {
		s.Distance = f.self.Distance(s.DataCentre)
		if f.self.Region != nil {
			s.Region = f.self.Region(s.DataCentre)
		}
		located[i] = s
	}
	before, _ := f.dir.View()
	list.Servers = located
	change, applied := f.dir.SetServers(list)
	if applied && change != (Change{}) {
		after, _ := f.dir.View()
		names := nameChanges(before.Servers, after.Servers, located, f.dir.RemovedServers())
		f.log.Info(eventlog.ReplicaListChanged, zap.String("from", from), zap.Int("added", change.Added),
			zap.Int("removed", change.Removed), zap.Int("draining", change.Draining), zap.Int("kept_after_outage", change.Kept),
			zap.Int("ready_again", change.Undrained), zap.Int("outdated", change.Outdated),
			zap.Int("departed", change.Departed), zap.String("revision", kv.FormatRevision(list.Revision)),
			zap.Duration("list_age_ms", time.Since(list.ReadAt)), zap.Duration("since_previous_ms", list.ReadAt.Sub(before.ReadAt)),
			zap.Strings("removed_ids", names.removed), zap.Strings("kept_ids", names.kept), zap.Strings("returned_ids", names.returned))
	}
	return applied
}

// maxNamedReplicas bounds the replicas that a log line names in each field.
const maxNamedReplicas = 8

// namedChanges holds the IDs of replicas whose presence changed, for the log, at most maxNamedReplicas each: removed ones, those
// in use although the new list lacks them, and those that are back after they had been removed.
type namedChanges struct{ removed, kept, returned []string }

// nameChanges compares the replicas in use before and after a list was applied. removed holds those that left earlier.
func nameChanges(before, after, listed, removed []balancer.Server) (names namedChanges) {
	isIn := func(servers []balancer.Server) map[string]bool {
		ids := make(map[string]bool, len(servers))
		for _, s := range servers {
			ids[s.ID] = true
		}
		return ids
	}
	add := func(ids *[]string, id string) {
		if len(*ids) < maxNamedReplicas {
			*ids = append(*ids, id)
		}
	}
	wasInUse, inUse, isListed, hadLeft := isIn(before), isIn(after), isIn(listed), isIn(removed)
	for _, s := range before {
		if !inUse[s.ID] {
			add(&names.removed, s.ID)
		}
	}
	for _, s := range after {
		if !isListed[s.ID] {
			add(&names.kept, s.ID)
		}
		if !wasInUse[s.ID] && hadLeft[s.ID] {
			add(&names.returned, s.ID)
		}
	}
	return names
}
