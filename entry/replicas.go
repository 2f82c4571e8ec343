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
	// loadTimeout bounds one call of a load endpoint.
	loadTimeout = time.Second
	// catalogueInterval is the interval at which the snapshots in use are chosen. A catalogue counts its updates before
	// it returns to a snapshot that it left.
	catalogueInterval = 500 * time.Millisecond
	// warmConnections is the number of idle connections kept to each replica, within the daemon's share.
	warmConnections = 2
)

// pollReplicas reads the VM list and the load endpoints until ctx ends.
func (d *Daemon) pollReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		d.refreshList(ctx)
		d.pollLoads(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(d.set.Poll.D()):
		}
	}
}

func (d *Daemon) refreshList(ctx context.Context) {
	vms, err := d.list.Fetch(ctx)
	if err != nil {
		d.log.Warn("VM list not available", zap.Error(err))
		return
	}
	d.peers.setList(vms)
	for _, m := range d.registry.SetVMList(vms) {
		d.peers.raise(m.Replica, m.Incarnation, signal.Leaving)
	}
	d.closeUnused()
}

// closeUnused forgets the clients of addresses that no replica has any more.
func (d *Daemon) closeUnused() {
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

// pollLoads reads every load endpoint once. The daemon is not ready before a round that began with a share of the
// connections, because until then it knows no snapshot.
func (d *Daemon) pollLoads(ctx context.Context) {
	active := d.peers.active()
	var wg sync.WaitGroup
	for _, r := range d.registry.Replicas() {
		wg.Go(func() { d.pollLoad(ctx, r) })
	}
	wg.Wait()
	if active && !d.polled.Load() {
		d.updateCatalogues()
		d.polled.Store(true)
	}
}

// chooseSnapshots keeps the snapshots in use up to date between the rounds of polls, which a replica that does not
// answer can delay.
func (d *Daemon) chooseSnapshots(ctx context.Context) {
	for ctx.Err() == nil {
		d.updateCatalogues()
		select {
		case <-ctx.Done():
		case <-time.After(catalogueInterval):
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
	client := d.client(r)
	d.applyShare(r.ID, client)
	load, err := client.FetchLoad(ctx)
	if err != nil {
		d.registry.MarkUnreachable(r.ID)
		return
	}
	for _, h := range load.Holdings {
		d.learnMap(ctx, client, r, h.Version.Map)
	}
	d.registry.SetLoad(r.ID, load, time.Now())
	client.OpenIdle(ctx, warmConnections)
	if load.State == backend.StateDraining {
		d.peers.raise(r.ID, load.Incarnation, signal.Leaving)
	}
}

// applyShare limits the connections to the replica to this daemon's share.
func (d *Daemon) applyShare(id string, client *backend.Client) {
	share := d.peers.connections(d.connectionLimit(id), id)
	client.SetConnectionLimit(share)
	d.registry.SetConnectionShare(id, share)
}

// connectionLimit returns the connections that all daemons together may hold to the replica.
func (d *Daemon) connectionLimit(id string) int {
	if limit := d.registry.ConnectionLimit(id); limit > 0 {
		return limit
	}
	return d.set.ConnectionsPerReplica
}

// learnMap reads the replica's copy of a shard map once, so that replicas that disagree are found.
func (d *Daemon) learnMap(ctx context.Context, client *backend.Client, r replica.Replica, version int64) {
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

func (d *Daemon) client(r replica.Replica) *backend.Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients[r.Address]
	if !ok {
		c = backend.NewClient(r.Address, 0)
		c.SetDataCentre(d.set.DataCentre)
		d.clients[r.Address] = c
	}
	return c
}

// Pick implements scatter.Picker.
func (d *Daemon) Pick(service string, version snapshot.Version, shard string, exclude []string) (scatter.Target, bool) {
	r, ok := d.registry.Pick(service, version, shard, exclude)
	if !ok {
		return scatter.Target{}, false
	}
	delays := d.policyOf(service).delays
	return scatter.Target{ID: r.ID, Done: func(latency time.Duration, err error) {
		d.registry.Finish(r.ID, latency, err)
		// An attempt that lost took at least this long; leaving it out would make the hedge delay too short.
		if err == nil || errors.Is(err, context.Canceled) {
			delays.Observe(latency, time.Now())
		}
	}}, true
}

// directSender sends over this daemon's own connections.
type directSender struct{ d *Daemon }

// Send implements scatter.Sender.
func (s directSender) Send(ctx context.Context, id string, sub backend.SubRequest) (backend.SubResponse, error) {
	address, ok := s.d.registry.Address(id)
	if !ok {
		return backend.SubResponse{}, &backend.Error{Failure: backend.NotSent, Cause: eris.Errorf("replica %s is gone", id)}
	}
	return s.d.client(replica.Replica{Address: address}).Send(ctx, sub)
}

// Send implements scatter.Sender. It goes through another daemon where this one holds no connections.
func (d *Daemon) Send(ctx context.Context, id string, sub backend.SubRequest) (backend.SubResponse, error) {
	begin := time.Now()
	answer, err := d.peers.router.Send(ctx, id, sub)
	if entry := d.log.Check(zap.DebugLevel, "attempt"); entry != nil {
		entry.Write(zap.String("request", sub.Request), zap.String("attempt", sub.Attempt), zap.String("replica", id),
			zap.Duration("elapsed", time.Since(begin)), zap.Error(err))
	}
	var refused *backend.Error
	if eris.As(err, &refused) && refused.Failure == backend.Refused && refused.Refusal.Reason == backend.RefusedDraining {
		d.registry.MarkLeaving(id, refused.Refusal.Incarnation)
		d.peers.raise(id, refused.Refusal.Incarnation, signal.Leaving)
	}
	return answer, err
}
