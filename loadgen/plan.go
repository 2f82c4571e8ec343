// Package loadgen is an open-loop load generator for queries. It records latency, coverage and error kinds.
//
// Arrival times are fixed before the run, and the latency of a request is measured from its planned arrival. A slow answer
// therefore neither delays later requests nor hides their latency (coordinated omission).
package loadgen

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// Plan describes a load test run.
type Plan struct {
	// Targets are the base URLs of entry daemons, which get the requests round-robin.
	Targets []string `json:"targets"`
	Service string   `json:"service"`
	// Queries are sent round-robin.
	Queries []string `json:"queries"`
	// Rate is the mean number of requests per second; arrivals are a Poisson process.
	Rate     float64       `json:"rate"`
	Duration time.Duration `json:"duration_ns"`
	// Deadline is sent with each request; 0 selects the profile's default.
	Deadline time.Duration `json:"deadline_ns"`
	// NonIdempotent marks each request as non-idempotent and gives it a new idempotency key.
	NonIdempotent bool   `json:"non_idempotent"`
	Seed          uint64 `json:"seed"`
	// ChooseTarget, if set, is called when request i is sent and returns the base URL of its daemon, like a load balancer.
	// Targets is ignored then. ChooseTarget must be safe for concurrent use.
	ChooseTarget func(i int) string `json:"-"`
	// OnSample, if set, is called with the outcome of each request. It must be safe for concurrent use.
	OnSample func(Sample) `json:"-"`
	// Stop, if set, ends the arrivals when it is closed; the run still waits for the answers to requests in flight.
	Stop <-chan struct{} `json:"-"`
}

// target returns the base URL of the daemon of request i.
func (p Plan) target(i int) string {
	if p.ChooseTarget != nil {
		return p.ChooseTarget(i)
	}
	return p.Targets[i%len(p.Targets)]
}

// maxArrivals limits the number of requests of a run.
const maxArrivals = 10_000_000

// Check returns an error for the first invalid field.
func (p Plan) Check() error {
	switch {
	case len(p.Targets) == 0 && p.ChooseTarget == nil:
		return eris.New("targets: at least one entry daemon is required")
	case p.Service == "":
		return eris.New("service: is required")
	case len(p.Queries) == 0:
		return eris.New("queries: at least one query is required")
	case !(p.Rate > 0):
		return eris.New("rate: must be greater than 0 requests per second")
	case p.Duration <= 0:
		return eris.New("duration: must be greater than 0")
	case p.Deadline < 0:
		return eris.New("deadline: must not be negative")
	case p.Rate*p.Duration.Seconds() > maxArrivals:
		return eris.Errorf("rate: %g requests per second for %s exceed the limit of %d requests", p.Rate, p.Duration, maxArrivals)
	}
	return nil
}

// Arrivals returns the planned arrival times relative to the start of the run. They depend only on the plan and its seed.
func (p Plan) Arrivals() []time.Duration {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var arrivals []time.Duration
	seconds := 0.0
	for {
		seconds += rng.ExpFloat64() / p.Rate
		arrival := time.Duration(seconds * float64(time.Second))
		if arrival >= p.Duration {
			return arrivals
		}
		arrivals = append(arrivals, arrival)
	}
}
