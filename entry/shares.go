package entry

import (
	"context"
	"time"

	"github.com/chivemill/chivemill/relay"
	"github.com/chivemill/chivemill/share"
	"github.com/chivemill/chivemill/vmlist"
)

// countMembers keeps the counted members up to date, which the connection shares are computed from, and repeats the
// marks of this daemon.
func (p *peers) countMembers(ctx context.Context) {
	for ctx.Err() == nil {
		p.updateCounted(time.Now())
		p.repeatMarks(time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(countInterval):
		}
	}
}

func (p *peers) updateCounted(now time.Time) {
	hasList := p.transport.HasMemberList() || now.Sub(p.started) > listTimeout
	live := []string{}
	for _, m := range p.Live() {
		live = append(live, m.ID)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := []string{}
	for _, vm := range p.vms {
		if vm.Role == vmlist.RoleEntry {
			listed = append(listed, vm.ID)
		}
	}
	if !p.joined && len(p.vms) > 0 && (hasList || len(listed) <= 1) {
		p.joined = true
		p.counted.StartJoinDelay(now)
	}
	p.counted.Update(now, live, listed)
	p.ranked = share.NewSet(p.counted.Members())
}

// connections returns this daemon's share of a replica's connections.
func (p *peers) connections(limit int, replica string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.counted.MayUseShare(time.Now()) {
		return 0
	}
	return p.ranked.Connections(limit, replica, p.set.Node)
}

// IsDirect implements relay.ConnectionOwners.
func (p *peers) IsDirect(replica string) bool { return p.connections(p.limits(replica), replica) > 0 }

// Owners implements relay.ConnectionOwners: the live daemons that hold connections to the replica.
func (p *peers) Owners(replica string) []relay.Peer {
	addresses := make(map[string]string)
	for _, m := range p.Live() {
		addresses[m.ID] = m.Address
	}
	limit := p.limits(replica)
	p.mu.Lock()
	ids := p.ranked.Owners(limit, replica)
	p.mu.Unlock()
	var owners []relay.Peer
	for _, id := range ids {
		if address, ok := addresses[id]; ok && id != p.set.Node {
			owners = append(owners, relay.Peer{ID: id, Address: address})
		}
	}
	return owners
}
