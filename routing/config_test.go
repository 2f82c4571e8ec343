package routing

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func route(name, host, prefix string) Route {
	return Route{
		Name: name, Host: host, Prefix: prefix, MaxAttempts: 1, Timeout: time.Second,
		Split: []WeightedService{{Service: name, Weight: 1}},
	}
}

// TestMatchLongestPrefix checks that the longest prefix of the host wins and that a prefix matches only whole path
// segments.
func TestMatchLongestPrefix(t *testing.T) {
	table, err := NewTable(Config{Version: 3, Routes: []Route{
		route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/"),
	}})
	must.NoError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"}, {"A.example:80", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"}, {"a.example", "/xy/1", ""}, {"a.example", "/x", ""}, {"c.example", "/x/1", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		must.Eq(t, c.want, got, must.Sprintf("%s %s", c.host, c.path))
	}
}

// TestNewTableRejectsInvalidRoutes guards against accepting a configuration that a daemon could not serve.
func TestNewTableRejectsInvalidRoutes(t *testing.T) {
	for name, invalidate := range map[string]func(*Route){
		"host":         func(r *Route) { r.Host = "" },
		"prefix":       func(r *Route) { r.Prefix = "/x" },
		"no service":   func(r *Route) { r.Split = nil },
		"both":         func(r *Route) { r.Shards, r.MaxRecords = []string{"s"}, 1 },
		"attempts":     func(r *Route) { r.MaxAttempts = 0 },
		"timeout":      func(r *Route) { r.Timeout = 0 },
		"weight":       func(r *Route) { r.Split[0].Weight = -1 },
		"region":       func(r *Route) { r.Regions = []string{"norte", ""} },
		"top":          func(r *Route) { r.Split, r.Shards = nil, []string{"s"} },
		"least shards": func(r *Route) { r.Split, r.Shards, r.MaxRecords, r.RequiredCoverage = nil, []string{"s"}, 1, 1.5 },
	} {
		r := route("r", "a.example", "/x/")
		invalidate(&r)
		_, err := NewTable(Config{Routes: []Route{r}})
		must.ErrorContains(t, err, `route "r"`, must.Sprint(name))
	}
}

// TestInvalidWarmupIsRejected guards against a version whose limits for cold replicas make no sense.
func TestInvalidWarmupIsRejected(t *testing.T) {
	for _, s := range []Service{{WarmupRate: -1}, {WarmupRate: math.Inf(1)}, {WarmupRate: math.NaN()}, {WarmupTime: -1}} {
		s.Name = "s"
		_, err := NewTable(Config{Services: []Service{s}})
		must.ErrorContains(t, err, `service "s"`)
	}
}

// TestSelectServiceFollowsWeights checks that the services of a traffic split are selected in proportion to their
// weights.
func TestSelectServiceFollowsWeights(t *testing.T) {
	r := Route{Split: []WeightedService{{"a", 3}, {"b", 0}, {"c", 1}}}
	counts := make(map[string]int)
	for i := range 1000 {
		counts[r.SelectService((float64(i)+0.5)/1000)]++
	}
	must.Eq(t, map[string]int{"a": 750, "c": 250}, counts)
	must.Eq(t, "", (&Route{Split: []WeightedService{{"a", 0}, {"b", 0}}}).SelectService(0.5))
}
