package bench

import (
	"slices"
	"time"
)

// stats collects the measurements of one run. Queries that arrive during the warm-up are not counted.
type stats struct {
	latencies             []time.Duration
	coverageSum           float64
	answers               int
	completeAnswers       int
	belowRequiredCoverage int
	offered               map[string]int
	sufficientAnswers     map[string]int
	refusals              map[string]int
	neededSubRequests     int
	sentSubRequests       int
	hedges                int
	retries               int
	decisionTime          time.Duration
}

func newStats() *stats {
	return &stats{offered: map[string]int{}, sufficientAnswers: map[string]int{}, refusals: map[string]int{}}
}

func (s *stats) countRefusal(kind string) { s.refusals[kind]++ }

func (s *stats) countOffered(q *query) {
	if q.arrived >= warmupPeriod && q.resends == 0 {
		s.offered[q.profile]++
	}
}

func (s *stats) countRefusedQuery(q *query) {
	if q.arrived >= warmupPeriod {
		s.refusals["queries"]++
		if q.machine != nil {
			s.refusals["queries_after_sending"]++
		}
	}
}

func (s *stats) recordAnswer(q *query, took time.Duration, coverage float64, sufficient bool) {
	if q.arrived < warmupPeriod {
		return
	}
	sent, hedges, retries := q.machine.Counts()
	s.neededSubRequests += len(q.plan.ShardMap.Shards)
	s.sentSubRequests += sent
	s.hedges += hedges
	s.retries += retries
	s.answers++
	s.coverageSum += coverage
	s.latencies = append(s.latencies, took)
	if coverage == 1 {
		s.completeAnswers++
	}
	if !sufficient {
		s.belowRequiredCoverage++
		return
	}
	s.sufficientAnswers[q.profile]++
}

// Result holds the measurements of one run. Equal seeds give equal results except for CPU.
type Result struct {
	P50, P99, P999 time.Duration
	// Coverage is the mean over the answered queries, BelowRequiredCoverage the fraction of them below the required
	// coverage, CompleteAnswers the fraction with every shard.
	Coverage, BelowRequiredCoverage, CompleteAnswers float64
	// ExtraSubRequests is the number of hedges and retries per sub-request that the queries needed.
	ExtraSubRequests float64
	// Goodput is the number of answers per second with sufficient coverage, in total; GoodputByProfile is that per
	// profile. OfferedByProfile is the number of queries per second and profile, without resends.
	Goodput          float64
	GoodputByProfile map[string]float64
	OfferedByProfile map[string]float64
	// Refusals counts the refused queries, refused attempts and missing shards, by kind.
	Refusals map[string]int
	// CPU is the wall-clock time that the decision code took per sub-request, on the machine that ran the benchmark.
	CPU time.Duration
	// PeakConnections is the highest number of connections of any replica; ConnectionLimit is the limit of a replica.
	PeakConnections, ConnectionLimit int
	// SubRequests is the number of sub-requests that were sent, including hedges and retries.
	SubRequests int
}

func (s *stats) result(sim *simulation) Result {
	slices.Sort(s.latencies)
	seconds := (sim.end - warmupPeriod).Seconds()
	r := Result{
		P50: quantile(s.latencies, 0.5), P99: quantile(s.latencies, 0.99), P999: quantile(s.latencies, 0.999),
		GoodputByProfile: map[string]float64{}, OfferedByProfile: map[string]float64{}, Refusals: s.refusals, SubRequests: s.sentSubRequests,
	}
	if s.answers > 0 {
		n := float64(s.answers)
		r.Coverage, r.BelowRequiredCoverage, r.CompleteAnswers = s.coverageSum/n, float64(s.belowRequiredCoverage)/n, float64(s.completeAnswers)/n
	}
	if s.neededSubRequests > 0 {
		r.ExtraSubRequests = float64(s.hedges+s.retries) / float64(s.neededSubRequests)
		r.CPU = s.decisionTime / time.Duration(s.sentSubRequests)
	}
	for profile, n := range s.sufficientAnswers {
		r.GoodputByProfile[profile] = float64(n) / seconds
		r.Goodput += float64(n) / seconds
	}
	for profile, n := range s.offered {
		r.OfferedByProfile[profile] = float64(n) / seconds
	}
	for _, srv := range sim.servers {
		r.PeakConnections = max(r.PeakConnections, srv.peakConnections)
		r.ConnectionLimit = srv.connectionLimit
	}
	return r
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
