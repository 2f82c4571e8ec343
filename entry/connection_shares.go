package entry

import (
	"context"
	"time"

	"github.com/chivemill/chivemill/relay"
	"github.com/chivemill/chivemill/share"
	"github.com/chivemill/chivemill/vmlist"
)

// refreshShares periodically recomputes the connection shares from the membership and rebroadcasts the signals of this
// daemon until ctx ends.
func (p *peers) refreshShares(ctx context.Context) {
	for ctx.Err() == nil {
		p.updateShares(time.Now())
		p.repeatSignals(time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(shareUpdateInterval):
		}
	}
}

// updateShares counts the members that take part in the connection shares. The join delay starts once the VM list is
// read and a member list was received, timed out, or is not needed because at most one entry daemon is listed.
func (p *peers) updateShares(now time.Time) {
	hasMemberList := p.transport.HasMemberList() || now.Sub(p.startedAt) > memberListTimeout
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
	if !p.joinDelayStarted && len(p.vms) > 0 && (hasMemberList || len(listed) <= 1) {
		p.joinDelayStarted = true
		p.shareTracker.StartJoinDelay(now)
	}
	p.shareTracker.Update(now, live, listed)
	members := p.shareTracker.Members()
	p.shareSet = share.NewSet(members)
	p.onFleetSize(len(members))
}

// ownShare returns the number of connections that this daemon may hold to a replica, out of the limit of all daemons.
func (p *peers) ownShare(limit int, replica string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.shareTracker.MayUseShare(time.Now()) {
		return 0
	}
	return p.shareSet.Connections(limit, replica, p.cfg.Node)
}

// IsDirect implements relay.ConnectionOwners: whether this daemon may hold connections to the replica.
func (p *peers) IsDirect(replica string) bool { return p.ownShare(p.limitFor(replica), replica) > 0 }

// Owners implements relay.ConnectionOwners: the other live daemons that may hold connections to the replica.
func (p *peers) Owners(replica string) []relay.Peer {
	addresses := make(map[string]string)
	for _, m := range p.Live() {
		addresses[m.ID] = m.Address
	}
	limit := p.limitFor(replica)
	p.mu.Lock()
	ids := p.shareSet.Owners(limit, replica)
	p.mu.Unlock()
	var owners []relay.Peer
	for _, id := range ids {
		if address, ok := addresses[id]; ok && id != p.cfg.Node {
			owners = append(owners, relay.Peer{ID: id, Address: address})
		}
	}
	return owners
}
