// Package routing holds the operator's configuration of routes and services and finds the route of a request. It does
// no I/O.
package routing

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Safety states how often a request may be executed.
type Safety int

// Values of Safety. The zero value is the careful one.
const (
	// Once requests are executed at most once.
	Once Safety = iota
	// Repeatable requests may be executed more than once.
	Repeatable
)

// Part is one service of a traffic split with its weight. Weights are relative to their sum.
type Part struct {
	Service string
	Weight  float64
}

// Route states how the requests of one host and path prefix are answered. Exactly one of Split and Shards is set.
type Route struct {
	Name string
	Host string
	// Prefix is the beginning of the path; it begins and ends with a slash.
	Prefix string
	Safety Safety
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration
	// Target is the latency within which an answer is of full use to the caller.
	Target time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// MaxAttempts is the largest number of replicas that one request is sent to, per shard.
	MaxAttempts int
	// Split lists the services that share the requests; a route to one service has one part.
	Split []Part
	// Shards lists the services that each hold one shard of the index.
	Shards []string
	// Top is the number of records in the answer of a query over shards.
	Top int
	// LeastCoverage is the least fraction of the shards in an answer, from 0 to 1.
	LeastCoverage float64
}

// IsQuery reports whether the route is a query over shards.
func (r *Route) IsQuery() bool { return len(r.Shards) > 0 }

// Services returns the services that the route's requests go to.
func (r *Route) Services() []string {
	services := slices.Clone(r.Shards)
	for _, p := range r.Split {
		services = append(services, p.Service)
	}
	return services
}

// Service is what the configuration states of a service.
type Service struct {
	Name string
	// Connections is the number of connections that one replica accepts from all callers together; 0 if unknown.
	Connections int
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is not changed after NewTable.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Table finds routes in one version of the configuration. It is safe for concurrent use.
type Table struct {
	config   Config
	services map[string]Service
	// hosts holds the routes of each host, those with the longest prefix first.
	hosts map[string][]*Route
}

// NewTable checks the configuration and returns its table. The error names the first route at fault.
func NewTable(config Config) (*Table, error) {
	t := &Table{
		config: config, services: make(map[string]Service, len(config.Services)), hosts: make(map[string][]*Route),
	}
	for _, s := range config.Services {
		t.services[s.Name] = s
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		if err := r.check(); err != nil {
			return nil, eris.Wrapf(err, "route %q of version %d", r.Name, config.Version)
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (r *Route) check() error {
	switch {
	case r.Host == "":
		return eris.New("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.IsQuery() == (len(r.Split) > 0):
		return eris.New("either a service or shards are required, and not both")
	case r.IsQuery() && (r.Top < 1 || r.LeastCoverage < 0 || r.LeastCoverage > 1):
		return fmt.Errorf("top %d is below 1 or least coverage %v is not in [0, 1]", r.Top, r.LeastCoverage)
	case r.MaxAttempts < 1:
		return fmt.Errorf("max attempts %d is below 1", r.MaxAttempts)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v is not positive", r.Timeout)
	}
	for _, p := range r.Split {
		if p.Service == "" || p.Weight < 0 {
			return fmt.Errorf("part %q has no name or a negative weight", p.Service)
		}
	}
	return nil
}

// Config returns the configuration of the table. It must not be changed.
func (t *Table) Config() Config { return t.config }

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Service returns what the configuration states of a service; an unknown one has only its name.
func (t *Table) Service(name string) Service {
	if s, ok := t.services[name]; ok {
		return s
	}
	return Service{Name: name}
}

// Match returns the route of the host with the longest prefix of the path, or nil. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Choose returns the service of the split for a draw from [0, 1). Each service gets the share of its weight. It
// returns "" for a route without a split or with weights that sum to zero.
func (r *Route) Choose(draw float64) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	var sum float64
	for _, p := range r.Split {
		sum += p.Weight
	}
	at := draw * sum
	for _, p := range r.Split {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return ""
}
