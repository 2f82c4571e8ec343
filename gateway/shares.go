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
	// leastConnections is the number of connections that a daemon may use at the same time whatever its share. One that
	// exceeds the share is closed after its answer, so that the unused connections of a large fleet stay within the limit.
	leastConnections = 2
	// helperShare is the part of the shared connections to replicas of a query's shards, and of the fixed budget, that
	// belongs to the daemons that take queries of others. The rest is for the others, which answer a query themselves when
	// no helper does.
	helperShare = 0.7
	// unknownConnections is a daemon's share when the configuration states no limit.
	unknownConnections = 8
)

// shares divides the connections of replicas and the fixed part of the budget between the daemons.
type shares struct {
	// limits holds the connections that a replica of each service accepts from all daemons, 0 if that is not stated.
	limits map[string]int
	// daemons is their number, assumed unless it is known.
	daemons int
	known   bool
	// helpers is the number of daemons that take requests of others for a service: those in a data centre with a replica of
	// it. helping is set if this daemon is one of them.
	helpers map[string]int
	helping map[string]bool
}

func newShares(view topology.View, self delegation.Self) *shares {
	s := &shares{limits: make(map[string]int), helpers: make(map[string]int), helping: make(map[string]bool)}
	if view.Table != nil {
		for _, route := range view.Table.Config().Routes {
			for _, service := range route.Services() {
				s.limits[service] = 0
			}
		}
		for _, service := range view.Table.Config().Services {
			s.limits[service.Name] = service.Connections
		}
	}
	s.daemons = view.Daemons()
	s.known = s.daemons > 0
	if !s.known {
		s.daemons = assumedDaemons
	}
	s.countHelpers(view, self)
	return s
}

// countHelpers fills helpers and helping, for the shards of queries and for services whose replicas accept fewer
// connections than there are daemons.
func (s *shares) countHelpers(view topology.View, self delegation.Self) {
	if view.Table == nil {
		return
	}
	holders := view.Holders()
	for _, route := range view.Table.Config().Routes {
		for _, service := range route.Services() {
			limit := s.limits[service]
			isScarce := limit > 0 && sharedConnections*float64(limit) < float64(s.daemons)
			if _, ok := s.helpers[service]; ok || !route.IsQuery() && !isScarce {
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

// part returns this daemon's part of what all daemons share for a service, from 0 to 1.
func (s *shares) part(service string) float64 {
	n := s.helpers[service]
	switch {
	case n == 0 || n >= s.daemons:
		return 1 / float64(s.daemons)
	case s.helping[service]:
		return helperShare / float64(n)
	default:
		return (1 - helperShare) / float64(s.daemons-n)
	}
}

// connections returns this daemon's share of the connections to a replica.
func (s *shares) connections(server balancer.Server) balancer.Share {
	limit := s.limits[server.Service]
	if limit == 0 {
		return balancer.Share{Connections: unknownConnections, Idle: unknownConnections}
	}
	n := int(sharedConnections * float64(limit) * s.part(server.Service))
	return balancer.Share{Connections: max(leastConnections, n), Idle: n}
}

// keepsNone reports whether this daemon keeps no connection to the replicas of a service and helpers do.
func (s *shares) keepsNone(service string) bool {
	return s.helpers[service] > 0 && !s.helping[service] && s.connections(balancer.Server{Service: service}).Idle == 0
}
