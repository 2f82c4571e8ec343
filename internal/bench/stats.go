package bench

import (
	"slices"
	"time"
)

// stats counts one run. Queries that arrive during the warm-up are not counted.
type stats struct {
	latencies []time.Duration
	coverage  float64
	answers   int
	complete  int
	below     int
	offered   map[string]int
	good      map[string]int
	refusals  map[string]int
	needed    int
	sent      int
	hedges    int
	retries   int
	decision  time.Duration
}

func newStats() *stats {
	return &stats{offered: map[string]int{}, good: map[string]int{}, refusals: map[string]int{}}
}

func (s *stats) count(kind string) { s.refusals[kind]++ }

func (s *stats) offer(q *query) {
	if q.arrived >= warmUp && q.resent == 0 {
		s.offered[q.profile]++
	}
}

func (s *stats) refusal(q *query) {
	if q.arrived >= warmUp {
		s.refusals["queries"]++
		if q.machine != nil {
			s.refusals["queries_after_sending"]++
		}
	}
}

func (s *stats) answer(q *query, took time.Duration, coverage float64, good bool) {
	if q.arrived < warmUp {
		return
	}
	sent, hedges, retries := q.machine.Counts()
	s.needed += len(q.plan.ShardMap.Shards)
	s.sent += sent
	s.hedges += hedges
	s.retries += retries
	s.answers++
	s.coverage += coverage
	s.latencies = append(s.latencies, took)
	if coverage == 1 {
		s.complete++
	}
	if !good {
		s.below++
		return
	}
	s.good[q.profile]++
}

// Result is what one run measured. Equal seeds give equal results except for CPU.
type Result struct {
	P50, P99, P999 time.Duration
	// Coverage is the mean over the answered queries; Below the share of them under the least coverage; Complete
	// the share with every shard.
	Coverage, Below, Complete float64
	// Extra is the number of hedges and retries per needed sub-request.
	Extra float64
	// Goodput is answers with enough coverage per second, in total and per profile; Offered counts first sends.
	Goodput  float64
	Good     map[string]float64
	Offered  map[string]float64
	Refusals map[string]int
	// CPU is the time that the decision code took per sub-request, on the machine that ran the measurement.
	CPU time.Duration
	// Connections is the largest number of connections that a replica had; Limit is its limit.
	Connections, Limit int
	SubRequests        int
}

func (s *stats) result(w *world) Result {
	slices.Sort(s.latencies)
	seconds := (w.end - warmUp).Seconds()
	r := Result{
		P50: quantile(s.latencies, 0.5), P99: quantile(s.latencies, 0.99), P999: quantile(s.latencies, 0.999),
		Good: map[string]float64{}, Offered: map[string]float64{}, Refusals: s.refusals, SubRequests: s.sent,
	}
	if s.answers > 0 {
		n := float64(s.answers)
		r.Coverage, r.Below, r.Complete = s.coverage/n, float64(s.below)/n, float64(s.complete)/n
	}
	if s.needed > 0 {
		r.Extra = float64(s.hedges+s.retries) / float64(s.needed)
		r.CPU = s.decision / time.Duration(s.sent)
	}
	for profile, n := range s.good {
		r.Good[profile] = float64(n) / seconds
		r.Goodput += float64(n) / seconds
	}
	for profile, n := range s.offered {
		r.Offered[profile] = float64(n) / seconds
	}
	for _, srv := range w.servers {
		r.Connections = max(r.Connections, srv.peakConns)
		r.Limit = srv.limit
	}
	return r
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
