package bench

import (
	"time"
)

// normalLoad is the offered load of the cases without overload, as a fraction of the slots.
const normalLoad = 0.4

// Profile names in the report.
const (
	profileMain  = "main"
	profileFlood = "flood"
	profileHeavy = "heavy"
)

// Durations of the cases, and of the phases of one restart in the forced update. The phases are compressed so that every
// server restarts within one run.
const (
	updateDuration = 36 * time.Second
	caseDuration   = 3 * time.Second
	drainTime      = 2 * time.Second
	downTime       = 3 * time.Second
	coldStartTime  = 4 * time.Second
)

// uniformLoad offers the same load to every search service.
func uniformLoad(load float64) func(Deployment) []Source {
	return func(deployment Deployment) []Source {
		var sources []Source
		for _, s := range deployment.Services {
			sources = append(sources, Source{Service: s.Name, Profile: profileMain, Load: load})
		}
		return sources
	}
}

// Cases returns all benchmark cases.
func Cases() []Case {
	cases := []Case{
		{Name: "calm", Duration: caseDuration, Sources: uniformLoad(normalLoad)},
		{Name: "straggler", Duration: caseDuration, Sources: uniformLoad(normalLoad), Prepare: slowDownReplicas},
		{Name: "slow-dc", Duration: caseDuration, Sources: uniformLoad(normalLoad), Prepare: slowDownDataCentre},
		{Name: "update", Duration: updateDuration, Sources: uniformLoad(normalLoad), Prepare: scheduleForcedUpdate},
		{Name: "update-loss", Duration: updateDuration, Sources: uniformLoad(normalLoad), Prepare: scheduleForcedUpdate,
			Loss: 0.2},
		{Name: "load-60", Duration: caseDuration, Sources: uniformLoad(0.6)},
		{Name: "load-90", Duration: caseDuration, Sources: uniformLoad(0.9)},
		{Name: "load-100", Duration: caseDuration, Sources: uniformLoad(1.0)},
		{Name: "load-120", Duration: caseDuration, Sources: uniformLoad(1.2)},
		{Name: "load-200", Duration: caseDuration, Sources: uniformLoad(2.0)},
		{Name: "shedding", Duration: caseDuration, Sources: uniformLoad(normalLoad), Prepare: shedOnSomeReplicas},
		{Name: "idle-reports", Duration: caseDuration, Sources: uniformLoad(0.7), Prepare: reportIdleOnSlowReplicas},
		{Name: "flood", Duration: caseDuration, Sources: floodingProfile},
		{Name: "mix", Duration: caseDuration, Sources: mixedQueries},
		{Name: "mix-overload", Duration: caseDuration, Sources: overloadedMixedQueries},
		{Name: "caller-retries", Duration: caseDuration, Sources: uniformLoad(1.2), CallerRetries: 3},
	}
	return cases
}

// slowDownReplicas multiplies the service times of one replica of each service by 10.
func slowDownReplicas(sim *simulation) {
	for _, svc := range sim.deployment.Services {
		sim.randomReplica(svc).slowdown = 10
	}
}

// randomReplica returns a random replica of the service.
func (sim *simulation) randomReplica(svc Service) *server {
	for {
		s := sim.servers[sim.faultRand.IntN(len(sim.servers))]
		if s.service == svc.Name {
			return s
		}
	}
}

// slowDownDataCentre adds 40 ms to every message from or to one data centre.
func slowDownDataCentre(sim *simulation) {
	sim.slowDataCentre = sim.faultRand.IntN(len(sim.deployment.DataCentres))
	sim.slowLinkDelay = 40 * time.Millisecond
}

// shedOnSomeReplicas makes one replica of every third shard shed half of its requests, whatever its load.
func shedOnSomeReplicas(sim *simulation) {
	for i, s := range sim.servers {
		if i%(3*replicasPerShard) == 0 {
			s.shedFraction = 0.5
		}
	}
}

// reportIdleOnSlowReplicas multiplies the service times of one replica of every shard by 3 and makes it report that it is
// idle.
func reportIdleOnSlowReplicas(sim *simulation) {
	for i, s := range sim.servers {
		if i%replicasPerShard == 0 {
			s.reportsIdle, s.slowdown = true, 3
		}
	}
}

// floodingProfile lets one profile offer 200% of the slots while another one keeps offering its usual load.
func floodingProfile(deployment Deployment) []Source {
	sources := uniformLoad(normalLoad)(deployment)
	for _, s := range deployment.Services {
		sources = append(sources, Source{Service: s.Name, Profile: profileFlood, Load: 2})
	}
	return sources
}

// mixedQueries offers short queries to all shards (0.3 of the slots) and long ones to three shards (0.3 of their slots).
func mixedQueries(deployment Deployment) []Source { return scaledMixedQueries(deployment, 1) }

// overloadedMixedQueries offers twice the load of mixedQueries, which is 1.2 times the slots of three shards.
func overloadedMixedQueries(deployment Deployment) []Source { return scaledMixedQueries(deployment, 2) }

func scaledMixedQueries(deployment Deployment, factor float64) []Source {
	var sources []Source
	for _, s := range deployment.Services {
		sources = append(sources,
			Source{Service: s.Name, Profile: profileMain, Load: 0.6 * factor, WorkFactor: 0.5},
			Source{Service: s.Name, Profile: profileHeavy, Load: 0.05 * factor, WorkFactor: 6, Shards: 3})
	}
	return sources
}

// scheduleForcedUpdate restarts every server once at a random time: it drains, is down, and starts cold with a higher
// incarnation. At any time at least one replica of each shard is neither draining nor down.
func scheduleForcedUpdate(sim *simulation) {
	span := sim.end - warmupPeriod - drainTime - downTime - coldStartTime
	for i := 0; i < len(sim.servers); i += replicasPerShard {
		group := sim.servers[i : i+replicasPerShard]
		for j, at := range sim.drawRestartTimes(len(group), span) {
			sim.scheduleRestart(group[j], warmupPeriod+at)
		}
	}
}

// drawRestartTimes draws random times until not all outages of the group overlap. It does not return if span is at most
// one outage, because no such times exist then.
func (sim *simulation) drawRestartTimes(n int, span time.Duration) []time.Duration {
	for {
		times := make([]time.Duration, n)
		low, high := span, time.Duration(0)
		for i := range times {
			times[i] = time.Duration(sim.faultRand.Int64N(int64(span)))
			low, high = min(low, times[i]), max(high, times[i])
		}
		if high-low > drainTime+downTime {
			return times
		}
	}
}

func (sim *simulation) scheduleRestart(s *server, at time.Duration) {
	unresponsive := sim.faultRand.IntN(2) == 0
	sim.at(at, func() { s.draining = true })
	sim.at(at+drainTime, func() { s.stop(unresponsive) })
	sim.at(at+drainTime+downTime, func() { s.boot(coldStartTime) })
}
