// Package routing holds the operator's configuration of routes and services and matches requests to routes. It does
// no I/O.
package routing

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/account"
	"github.com/chivemill/chivemill/residency"
)

// Safety states whether a request may be executed more than once.
type Safety int

// Values of Safety. The zero value is the safe default.
const (
	// AtMostOnce means that requests are executed at most once.
	AtMostOnce Safety = iota
	// Idempotent means that requests may be executed more than once.
	Idempotent
)

// WeightedService is one service of a traffic split. Weights are relative to the sum of all weights of the split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route defines how requests with a given host and path prefix are handled. Exactly one of Split and Shards is set.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It starts and ends with a slash.
	Prefix string
	Safety Safety
	// Timeout is the maximum time that a caller waits for a response.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response has its full value to the caller.
	TargetLatency time.Duration `json:"Target"`
	// Priority ranks the route against others; 0 is the highest priority.
	Priority int
	// MaxAttempts is the maximum number of replicas to which one request is sent, per shard.
	MaxAttempts int
	// Split lists the services among which the requests are distributed. A route to a single service has one entry.
	Split []WeightedService
	// Shards lists the services that each hold one shard of the index.
	Shards []string
	// MaxRecords is the number of records in the response to a query over shards.
	MaxRecords int `json:"Top"`
	// RequiredCoverage is the minimum fraction of the shards, from 0 to 1, that a response must include.
	RequiredCoverage float64 `json:"LeastCoverage"`
	// Regions lists the regions in which requests may be served. An empty list allows all regions.
	Regions []string `json:",omitempty"`
	// Public routes need no key of a client account.
	Public bool `json:",omitempty"`
}

// AllowedRegions returns the regions in which requests may be served.
func (r *Route) AllowedRegions() residency.Regions { return residency.Of(r.Regions) }

// IsQuery reports whether the route is a query over shards.
func (r *Route) IsQuery() bool { return len(r.Shards) > 0 }

// Services returns the services to which the route sends requests.
func (r *Route) Services() []string {
	services := slices.Clone(r.Shards)
	for _, p := range r.Split {
		services = append(services, p.Service)
	}
	return services
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// Connections is the number of connections that one replica accepts from all callers together, or 0 if unknown.
	Connections int
	// WarmupTime is how long a replica takes to warm up after its start. While it is cold, all daemons together send it at most about
	// WarmupRate requests a second; 0 for no limit.
	WarmupTime time.Duration `json:",omitempty"`
	WarmupRate float64       `json:",omitempty"`
}

func (s Service) validate() error {
	if s.WarmupTime < 0 || !(s.WarmupRate >= 0) || math.IsInf(s.WarmupRate, 0) {
		return fmt.Errorf("warm-up time %v and rate %v must be finite and not negative", s.WarmupTime, s.WarmupRate)
	}
	return nil
}

// Limits holds the limits for requests and connections of callers.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It must not be modified after it was passed to NewTable.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts lists the client accounts. Without accounts, requests need no key.
	Accounts []account.Account `json:",omitempty"`
}

// Table matches requests to the routes of one configuration version. It is safe for concurrent use.
type Table struct {
	config   Config
	services map[string]Service
	// routedServices holds the services to which any route sends requests.
	routedServices map[string]bool
	// hosts holds the routes of each host in lower case, sorted by descending prefix length.
	hosts    map[string][]matchedRoute
	accounts *account.Table
}

// matchedRoute is a route with its prefix in the form that PathOf returns.
type matchedRoute struct {
	prefix string
	*Route
}

// NewTable validates the configuration and returns its table. The error names the first invalid route, account or service.
func NewTable(config Config) (*Table, error) {
	t := &Table{
		config: config, services: make(map[string]Service, len(config.Services)), hosts: make(map[string][]matchedRoute),
		routedServices: make(map[string]bool),
	}
	var err error
	if t.accounts, err = account.NewTable(config.Accounts); err != nil {
		return nil, eris.Wrapf(err, "version %d", config.Version)
	}
	for _, s := range config.Services {
		if err := s.validate(); err != nil {
			return nil, eris.Wrapf(err, "service %q of version %d", s.Name, config.Version)
		}
		t.services[s.Name] = s
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		if err := r.validate(); err != nil {
			return nil, eris.Wrapf(err, "route %q of version %d", r.Name, config.Version)
		}
		for _, service := range r.Services() {
			t.routedServices[service] = true
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], matchedRoute{upperCaseEncoding(r.Prefix), r})
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b matchedRoute) int { return len(b.prefix) - len(a.prefix) })
	}
	return t, nil
}

func (r *Route) validate() error {
	switch {
	case r.Host == "":
		return eris.New("host is empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q must start and end with a slash", r.Prefix)
	case r.IsQuery() == (len(r.Split) > 0):
		return eris.New("exactly one of a traffic split and shards must be set")
	case r.IsQuery() && (r.MaxRecords < 1 || r.RequiredCoverage < 0 || r.RequiredCoverage > 1):
		return fmt.Errorf("top %d must be at least 1 and minimum coverage %v in [0, 1]", r.MaxRecords, r.RequiredCoverage)
	case r.MaxAttempts < 1:
		return fmt.Errorf("max attempts %d must be at least 1", r.MaxAttempts)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v must be positive", r.Timeout)
	case slices.Contains(r.Regions, ""):
		return eris.New("allowed regions contain an empty name")
	}
	for _, p := range r.Split {
		if p.Service == "" || p.Weight < 0 {
			return fmt.Errorf("service %q of the traffic split has an empty name or a negative weight", p.Service)
		}
	}
	return nil
}

// Config returns the configuration of the table. The caller must not modify it.
func (t *Table) Config() Config { return t.config }

// Accounts returns the client accounts, nil if requests need no key.
func (t *Table) Accounts() *account.Table { return t.accounts }

// RoutedServices returns the services to which any route sends requests. The caller must not modify the map.
func (t *Table) RoutedServices() map[string]bool { return t.routedServices }

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Service returns the configuration of a service. For an unknown service, only the name is set.
func (t *Table) Service(name string) Service {
	if s, ok := t.services[name]; ok {
		return s
	}
	return Service{Name: name}
}

// Match returns the route of the host with the longest matching path prefix, or nil if there is none. path is the result of PathOf. A
// port in host is ignored. Of routes with the same host and prefix, the first in the configuration is returned.
func (t *Table) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r.Route
		}
	}
	return nil
}

// SelectService selects a service of the split in proportion to the weights. draw is a random number from [0, 1). It
// returns "" if the route has no split or if the weights sum to zero.
func (r *Route) SelectService(draw float64) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	var sum float64
	for _, p := range r.Split {
		sum += p.Weight
	}
	offset := draw * sum
	for _, p := range r.Split {
		if offset < p.Weight {
			return p.Service
		}
		offset -= p.Weight
	}
	return ""
}
