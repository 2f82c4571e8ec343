package gateway

import (
	"slices"
	"time"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/routing"
	"github.com/chivemill/chivemill/topology"
)

const (
	// assumedDaemons is used until the number of daemons is known. It is high because too large shares do the most harm
	// when the whole fleet starts.
	assumedDaemons = 10
	// usableConnectionFraction is the fraction of a replica's connections that the daemons share. The rest is for
	// connections that are being closed and for daemons that are not counted yet.
	usableConnectionFraction = 0.8
	// minConnections is the number of connections that a daemon may use concurrently regardless of its share. A
	// connection beyond the share is closed after its answer, so that the idle connections of a large fleet stay within
	// the limit.
	minConnections = 2
	// helperFraction is the fraction of the shared connections to the replicas of a query's shards, and of the fixed
	// budget, that belongs to helpers. The rest is for the other daemons, which answer a query themselves when no
	// helper does.
	helperFraction = 0.7
	// localRequestFraction is the fraction of a replica's request limit that belongs to the daemons in its data centre, which
	// send most of its requests. The rest is for the other daemons, which need it when replicas near them fail.
	localRequestFraction = 0.8
	// warmupSettleTime is how long after this daemon first knows the number of daemons it sends no requests to cold replicas. The first
	// number is too small if many daemons start at once.
	warmupSettleTime = 3 * time.Second
	// defaultConnections is a daemon's share when the configuration states no limit.
	defaultConnections = 8
)

// shares divides the connections of replicas and the fixed part of the budget among the daemons.
type shares struct {
	// limits holds the number of connections that a replica of each service accepts from all daemons, 0 if not
	// configured.
	limits map[string]int
	// warmups holds the services whose replicas may only receive a limited rate of requests while they are cold, by name.
	warmups map[string]routing.Service
	// daemons is the number of daemons, assumed unless daemonsKnown is set.
	daemons      int
	daemonsKnown bool
	// helperCounts holds the number of helpers for a service: daemons that take its requests from others, in a data
	// centre with a replica of it. isHelper is set if this daemon is one of them.
	helperCounts map[string]int
	isHelper     map[string]bool
	// dataCentre is that of this daemon; centres describes the daemons of each one, and isCentreHelper is set if this daemon
	// is one of the helpers of its own.
	dataCentre     string
	centres        map[string]topology.DataCentre
	isCentreHelper bool
}

func newShares(view topology.View, self delegation.Self) *shares {
	s := &shares{
		limits: make(map[string]int), warmups: make(map[string]routing.Service), helperCounts: make(map[string]int),
		isHelper: make(map[string]bool), dataCentre: self.DataCentre, centres: view.DataCentres,
	}
	s.isCentreHelper = isHelperAt(s.centres[s.dataCentre], self.Address)
	if view.Table != nil {
		for _, route := range view.Table.Config().Routes {
			for _, service := range route.Services() {
				s.limits[service] = 0
			}
		}
		for _, service := range view.Table.Config().Services {
			s.limits[service.Name] = service.Connections
			if service.WarmupRate > 0 {
				s.warmups[service.Name] = service
			}
		}
	}
	s.daemons = view.Daemons()
	s.daemonsKnown = s.daemons > 0
	if !s.daemonsKnown {
		s.daemons = assumedDaemons
	}
	s.initHelpers(view, self)
	return s
}

// initHelpers fills helperCounts and isHelper for the shards of queries and for services whose replicas accept fewer
// connections than there are daemons.
func (s *shares) initHelpers(view topology.View, self delegation.Self) {
	if view.Table == nil {
		return
	}
	centres := view.DataCentresByService()
	for _, route := range view.Table.Config().Routes {
		for _, service := range route.Services() {
			limit := s.limits[service]
			isScarce := limit > 0 && usableConnectionFraction*float64(limit) < float64(s.daemons)
			if _, ok := s.helperCounts[service]; ok || !route.IsQuery() && !isScarce {
				continue
			}
			count := 0
			for _, centre := range centres[service] {
				count += len(view.DataCentres[centre].Helpers)
				if centre == self.DataCentre {
					s.isHelper[service] = s.isCentreHelper
				}
			}
			s.helperCounts[service] = count
		}
	}
}

func isHelperAt(centre topology.DataCentre, address string) bool {
	return slices.ContainsFunc(centre.Helpers, func(h topology.Helper) bool { return h.Address == address })
}

// fraction returns this daemon's part of what all daemons share for a service, from 0 to 1.
func (s *shares) fraction(service string) float64 {
	n := s.helperCounts[service]
	switch {
	case n == 0 || n >= s.daemons:
		return 1 / float64(s.daemons)
	case s.isHelper[service]:
		return helperFraction / float64(n)
	default:
		return (1 - helperFraction) / float64(s.daemons-n)
	}
}

// connections returns this daemon's share of the connections to a replica.
func (s *shares) connections(server balancer.Server) balancer.ConnectionShare {
	limit := s.limits[server.Service]
	if limit == 0 {
		return balancer.ConnectionShare{MaxConnections: defaultConnections, MaxIdle: defaultConnections}
	}
	n := int(usableConnectionFraction * float64(limit) * s.fraction(server.Service))
	return balancer.ConnectionShare{MaxConnections: max(minConnections, n), MaxIdle: n}
}

// needsRelay reports whether this daemon keeps no idle connections to the replicas of a service and helpers do.
func (s *shares) needsRelay(service string) bool {
	return s.helperCounts[service] > 0 && !s.isHelper[service] && s.connections(balancer.Server{Service: service}).MaxIdle == 0
}

// requestFraction returns this daemon's part of a replica's request limit, from 0 to 1. The senders in the replica's data
// centre divide most of it: the helpers there for a service with helpers, or else all daemons there.
func (s *shares) requestFraction(server balancer.Server) float64 {
	centre := s.centres[server.DataCentre]
	senders, isSender := centre.Daemons, s.dataCentre == server.DataCentre
	if s.helperCounts[server.Service] > 0 {
		senders, isSender = len(centre.Helpers), isSender && s.isCentreHelper
	}
	switch {
	case senders == 0 || senders >= s.daemons:
		return 1 / float64(s.daemons)
	case isSender:
		return localRequestFraction / float64(senders)
	default:
		return (1 - localRequestFraction) / float64(s.daemons-senders)
	}
}

// warmupLimit returns how this daemon limits its requests to a replica while that is cold. In any one second, the replica may receive
// the rate of its service times overage, plus slack requests. The daemons divide a rate that stays within that like a request limit. A
// daemon that does not know the number of daemons sends nothing: a large fleet that starts at once would exceed any bound.
func (s *shares) warmupLimit(server balancer.Server, overage, slack float64, from time.Time) balancer.WarmupLimit {
	service, ok := s.warmups[server.Service]
	if !ok {
		return balancer.WarmupLimit{}
	}
	w := balancer.WarmupLimit{IsLimited: true, From: from, Time: service.WarmupTime}
	if s.daemonsKnown {
		rate := min(service.WarmupRate, limit.RateWithin(service.WarmupRate*overage+slack))
		w.Rate = rate * s.requestFraction(server)
	}
	return w
}
