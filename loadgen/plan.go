// Package loadgen sends an open-loop load of queries and records latency, coverage and error kinds.
//
// Arrival times are fixed before the run, and the latency of a request counts from its planned arrival, so that a
// slow answer neither delays nor hides later requests.
package loadgen

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Plan describes a run.
type Plan struct {
	// Targets are base URLs of entry daemons; requests go to them in turn.
	Targets []string `json:"targets"`
	Service string   `json:"service"`
	// Queries are sent in turn.
	Queries []string `json:"queries"`
	// Rate is the mean number of requests per second; arrivals are a Poisson process.
	Rate     float64       `json:"rate"`
	Duration time.Duration `json:"duration_ns"`
	// Deadline sent with each request; 0 leaves it to the profile.
	Deadline time.Duration `json:"deadline_ns"`
	// NonIdempotent marks each request as non-idempotent, with a new key.
	NonIdempotent bool   `json:"non_idempotent"`
	Seed          uint64 `json:"seed"`
	// Target, if set, names the daemon of each request at the time of sending, as a load balancer does. Targets is
	// not used then. It is safe for concurrent use.
	Target func(i int) string `json:"-"`
	// Observe, if set, is called with each request that ended. It is safe for concurrent use.
	Observe func(Sample) `json:"-"`
	// Stop, if set, ends the arrivals when it is closed; requests that were sent before are still answered.
	Stop <-chan struct{} `json:"-"`
}

// target returns the base URL of the daemon of request i.
func (p Plan) target(i int) string {
	if p.Target != nil {
		return p.Target(i)
	}
	return p.Targets[i%len(p.Targets)]
}

// maxArrivals bounds the requests of a run.
const maxArrivals = 10_000_000

// Check returns an error that names the first field that is out of range.
func (p Plan) Check() error {
	switch {
	case len(p.Targets) == 0 && p.Target == nil:
		return eris.New("targets: at least one entry daemon is required")
	case p.Service == "":
		return eris.New("service: is required")
	case len(p.Queries) == 0:
		return eris.New("queries: at least one query is required")
	case !(p.Rate > 0):
		return eris.New("rate: must be above 0 requests per second")
	case p.Duration <= 0:
		return eris.New("duration: must be above 0")
	case p.Deadline < 0:
		return eris.New("deadline: must not be negative")
	case p.Rate*p.Duration.Seconds() > maxArrivals:
		return eris.Errorf("rate: %g requests per second for %s are more than %d requests", p.Rate, p.Duration, maxArrivals)
	}
	return nil
}

// Arrivals returns the planned arrival times after the start of the run. The same seed gives the same times.
func (p Plan) Arrivals() []time.Duration {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var arrivals []time.Duration
	at := 0.0
	for {
		at += rng.ExpFloat64() / p.Rate
		d := time.Duration(at * float64(time.Second))
		if d >= p.Duration {
			return arrivals
		}
		arrivals = append(arrivals, d)
	}
}
