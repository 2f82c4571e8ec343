package gateway

import (
	"github.com/chivemill/chivemill/balancer"
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
	// unknownConnections is a daemon's share when the configuration states no limit.
	unknownConnections = 8
)

// shares divides the connections of a replica between the daemons.
type shares struct {
	// limits holds the connections that a replica of each service accepts from all daemons.
	limits  map[string]int
	daemons int
}

func newShares(view topology.View) *shares {
	s := &shares{limits: make(map[string]int)}
	if view.Table != nil {
		for _, service := range view.Table.Config().Services {
			s.limits[service.Name] = service.Connections
		}
	}
	for _, n := range view.Daemons {
		s.daemons += n
	}
	if s.daemons == 0 {
		s.daemons = assumedDaemons
	}
	return s
}

// cap returns the largest number of connections of this daemon to a replica.
func (s *shares) cap(server balancer.Server) int {
	limit := s.limits[server.Service]
	if limit == 0 {
		return unknownConnections
	}
	return max(leastConnections, int(sharedConnections*float64(limit))/s.daemons)
}
