package gateway

import (
	"slices"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/topology"
)

const (
	// assumedDaemons is used until the number of daemons is known. It is high, since a start of the whole fleet is when
	// too large shares hurt most.
	assumedDaemons = 10
	// sharedConnections is the part of a replica's connections that the daemons share. The rest is for connections that
	// are being closed and for daemons that are not counted yet.
	sharedConnections = 0.8
	// leastConnections is the least share. The shares of a large fleet then exceed the limit, but most daemons use few of
	// the replicas at a time, and a replica resets what is too much.
	leastConnections = 2
	// helperShare is the part of the shared connections to replicas of a query's shards that belongs to the daemons that
	// take queries of others. The rest is for the others, which answer a query themselves when no helper does.
	helperShare = 0.7
	// unknownConnections is a daemon's share when the configuration states no limit.
	unknownConnections = 8
)

// shares divides the connections of a replica between the daemons.
type shares struct {
	// limits holds the connections that a replica of each service accepts from all daemons.
	limits  map[string]int
	daemons int
	// helpers is the number of daemons that take queries of others, by service of a query's shards: those in a data centre
	// with a replica of it. helping is set if this daemon is one of them.
	helpers map[string]int
	helping map[string]bool
}

func newShares(view topology.View, self delegation.Self) *shares {
	s := &shares{limits: make(map[string]int), helpers: make(map[string]int), helping: make(map[string]bool)}
	if view.Table != nil {
		for _, service := range view.Table.Config().Services {
			s.limits[service.Name] = service.Connections
		}
	}
	s.daemons = view.Daemons()
	if s.daemons == 0 {
		s.daemons = assumedDaemons
	}
	s.countHelpers(view, self)
	return s
}

// countHelpers fills helpers and helping.
func (s *shares) countHelpers(view topology.View, self delegation.Self) {
	if view.Table == nil {
		return
	}
	holders := view.Holders()
	for _, route := range view.Table.Config().Routes {
		for _, service := range route.Shards {
			if _, ok := s.helpers[service]; ok {
				continue
			}
			n := 0
			for _, centre := range holders[service] {
				n += len(view.Centres[centre].Helpers)
				if centre == self.DataCentre {
					s.helping[service] = slices.ContainsFunc(view.Centres[centre].Helpers,
						func(h topology.Helper) bool { return h.Address == self.Address })
				}
			}
			s.helpers[service] = n
		}
	}
}

// cap returns the largest number of connections of this daemon to a replica.
func (s *shares) cap(server balancer.Server) int {
	limit := s.limits[server.Service]
	if limit == 0 {
		return unknownConnections
	}
	shared, among := sharedConnections*float64(limit), s.daemons
	if n := s.helpers[server.Service]; n > 0 && n < s.daemons {
		if s.helping[server.Service] {
			shared, among = shared*helperShare, n
		} else {
			shared, among = shared*(1-helperShare), s.daemons-n
		}
	}
	return max(leastConnections, int(shared)/among)
}
