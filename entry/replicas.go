package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/replica"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/signal"
	"github.com/chivemill/chivemill/snapshot"
)

const (
	// loadTimeout bounds one request to a load endpoint.
	loadTimeout = time.Second
	// snapshotInterval is the interval at which snapshots are selected. As a rule, a replaced snapshot is used again only
	// after it has been the better one in 6 consecutive updates (see package snapshot), so the interval also determines
	// that delay (3 s).
	snapshotInterval = 500 * time.Millisecond
	// idleConnections is the number of idle connections kept open to each replica, within the daemon's share.
	idleConnections = 2
)

// pollReplicas periodically reads the VM list and the load endpoints until ctx ends.
func (d *Daemon) pollReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		d.refreshVMList(ctx)
		d.pollLoads(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(d.cfg.PollInterval.AsDuration()):
		}
	}
}

func (d *Daemon) refreshVMList(ctx context.Context) {
	vms, err := d.vmList.Fetch(ctx)
	if err != nil {
		d.log.Warn("VM list not available", zap.Error(err))
		return
	}
	d.peers.setVMList(vms)
	for _, leaving := range d.registry.SetVMList(vms) {
		d.peers.raiseSignal(leaving.Replica, leaving.Incarnation, signal.Leaving)
	}
	d.closeUnusedClients()
}

// closeUnusedClients closes and removes the clients of addresses that no replica uses any more.
func (d *Daemon) closeUnusedClients() {
	used := make(map[string]bool)
	for _, r := range d.registry.Replicas() {
		used[r.Address] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, c := range d.clients {
		if !used[address] {
			delete(d.clients, address)
			c.Close()
		}
	}
}

// pollLoads reads every load endpoint once. The daemon becomes ready only after a round that started with a connection
// share, because until then it knows no snapshot.
func (d *Daemon) pollLoads(ctx context.Context) {
	mayUseShare := d.peers.mayUseShare()
	var wg sync.WaitGroup
	for _, r := range d.registry.Replicas() {
		wg.Go(func() { d.pollLoad(ctx, r) })
	}
	wg.Wait()
	if mayUseShare && !d.initialPollDone.Load() {
		d.updateCatalogues()
		d.initialPollDone.Store(true)
	}
}

// selectSnapshots periodically updates the selected snapshots until ctx ends. It runs independently of the polls,
// because a replica that does not answer can delay a round of polls.
func (d *Daemon) selectSnapshots(ctx context.Context) {
	for ctx.Err() == nil {
		d.updateCatalogues()
		select {
		case <-ctx.Done():
		case <-time.After(snapshotInterval):
		}
	}
}

func (d *Daemon) updateCatalogues() {
	services := make(map[string]bool)
	for _, r := range d.registry.Replicas() {
		services[r.Service] = true
	}
	for service := range services {
		d.updateCatalogue(service)
	}
}

func (d *Daemon) pollLoad(ctx context.Context, r replica.Replica) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	client := d.clientFor(r)
	d.applyConnectionShare(r.ID, client)
	load, err := client.FetchLoad(ctx)
	if err != nil {
		d.registry.MarkUnreachable(r.ID)
		return
	}
	for _, h := range load.Holdings {
		d.fetchShardMap(ctx, client, r, h.Version.Map)
	}
	d.registry.SetLoad(r.ID, load, time.Now())
	client.OpenIdle(ctx, idleConnections)
	if load.State == backend.StateDraining {
		d.peers.raiseSignal(r.ID, load.Incarnation, signal.Leaving)
	}
}

// applyConnectionShare limits the connections to the replica to this daemon's share.
func (d *Daemon) applyConnectionShare(id string, client *backend.Client) {
	share := d.peers.ownShare(d.connectionLimit(id), id)
	client.SetConnectionLimit(share)
	d.registry.SetConnectionShare(id, share)
}

// connectionLimit returns the number of connections that all daemons together may hold to the replica.
func (d *Daemon) connectionLimit(id string) int {
	if limit := d.registry.ConnectionLimit(id); limit > 0 {
		return limit
	}
	return d.cfg.ConnectionsPerReplica
}

// fetchShardMap reads the replica's copy of a shard map unless it is known already. Each replica is asked for its own
// copy, so that the catalogue detects replicas with diverging copies.
func (d *Daemon) fetchShardMap(ctx context.Context, client *backend.Client, r replica.Replica, version int64) {
	d.mu.Lock()
	known := d.catalogue(r.Service).HasMapFrom(r.ID, version)
	d.mu.Unlock()
	if known {
		return
	}
	m, err := client.FetchShardMap(ctx, version)
	if err == nil {
		d.mu.Lock()
		err = d.catalogue(r.Service).AddMapFrom(r.ID, m)
		d.mu.Unlock()
	}
	if err != nil {
		d.log.Warn("shard map not usable", zap.String("service", r.Service), zap.String("replica", r.ID),
			zap.Int64("map", version), zap.Error(err))
	}
}

// catalogue returns the catalogue of a service. The caller holds d.mu.
func (d *Daemon) catalogue(service string) *snapshot.Catalogue {
	c, ok := d.catalogues[service]
	if !ok {
		c = snapshot.NewCatalogue()
		d.catalogues[service] = c
	}
	return c
}

func (d *Daemon) updateCatalogue(service string) {
	holdings := d.registry.AvailableHoldings(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.catalogue(service).SelectSnapshot(holdings)
}

func (d *Daemon) clientFor(r replica.Replica) *backend.Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients[r.Address]
	if !ok {
		c = backend.NewClient(r.Address, 0)
		c.SetDataCentre(d.cfg.DataCentre)
		c.SetBodyMemory(d.bodyMemory)
		d.clients[r.Address] = c
	}
	return c
}

// Pick implements scatter.Picker. The target records the latency and the result of its attempt.
func (d *Daemon) Pick(service string, version snapshot.Version, shard string, exclude []string) (scatter.Target, bool) {
	r, ok := d.registry.Pick(service, version, shard, exclude)
	if !ok {
		return scatter.Target{}, false
	}
	latencies := d.serviceStateFor(service).latencies
	return scatter.Target{ID: r.ID, Done: func(latency time.Duration, err error) {
		d.registry.Finish(r.ID, latency, err)
		// A cancelled attempt lost to a faster one and would have taken at least this long. Leaving it out would make
		// the hedge delay too short.
		if err == nil || errors.Is(err, context.Canceled) {
			latencies.Observe(latency, time.Now())
		}
	}}, true
}

// directSender sends sub-requests over this daemon's own connections.
type directSender struct{ d *Daemon }

// Send implements scatter.Sender.
func (s directSender) Send(ctx context.Context, id string, sub backend.SubRequest) (backend.SubResponse, error) {
	address, ok := s.d.registry.Address(id)
	if !ok {
		return backend.SubResponse{}, &backend.Error{Failure: backend.NotSent, Cause: eris.Errorf("replica %s is no longer known", id)}
	}
	return s.d.clientFor(replica.Replica{Address: address}).Send(ctx, sub)
}

// Send implements scatter.Sender. It relays the sub-request through another daemon if this one has no connections to
// the replica. If the replica refuses because it drains, Send also raises a leaving signal.
func (d *Daemon) Send(ctx context.Context, id string, sub backend.SubRequest) (backend.SubResponse, error) {
	start := time.Now()
	answer, err := d.peers.router.Send(ctx, id, sub)
	if entry := d.log.Check(zap.DebugLevel, "attempt"); entry != nil {
		entry.Write(zap.String("request", sub.Request), zap.String("attempt", sub.Attempt), zap.String("replica", id),
			zap.Duration("elapsed", time.Since(start)), zap.Error(err))
	}
	var refused *backend.Error
	if eris.As(err, &refused) && refused.Failure == backend.Refused && refused.Refusal.Reason == backend.RefusedDraining {
		d.registry.MarkLeaving(id, refused.Refusal.Incarnation)
		d.peers.raiseSignal(id, refused.Refusal.Incarnation, signal.Leaving)
	}
	return answer, err
}
