package bench

import (
	"time"
)

// calmLoad is the offered load of the cases without overload, as a fraction of the slots.
const calmLoad = 0.4

// Names of the profiles.
const (
	profileMain  = "main"
	profileFlood = "flood"
	profileHeavy = "heavy"
)

// Times of one restart in the forced update, compressed so that every server restarts within one run.
const (
	updateLength = 36 * time.Second
	caseLength   = 3 * time.Second
	drainFor     = 2 * time.Second
	downFor      = 3 * time.Second
	coldFor      = 4 * time.Second
)

// even offers the load to every search service.
func even(load float64) func(Deployment) []Source {
	return func(dep Deployment) []Source {
		var sources []Source
		for _, s := range dep.Services {
			sources = append(sources, Source{Service: s.Name, Profile: profileMain, Load: load})
		}
		return sources
	}
}

// Cases returns the cases of the measurement.
func Cases() []Case {
	cases := []Case{
		{Name: "calm", Length: caseLength, Sources: even(calmLoad)},
		{Name: "straggler", Length: caseLength, Sources: even(calmLoad), Prepare: straggler},
		{Name: "slow-dc", Length: caseLength, Sources: even(calmLoad), Prepare: slowDataCentre},
		{Name: "update", Length: updateLength, Sources: even(calmLoad), Prepare: update},
		{Name: "update-loss", Length: updateLength, Sources: even(calmLoad), Prepare: update, Loss: 0.2},
		{Name: "load-60", Length: caseLength, Sources: even(0.6)},
		{Name: "load-90", Length: caseLength, Sources: even(0.9)},
		{Name: "load-100", Length: caseLength, Sources: even(1.0)},
		{Name: "load-120", Length: caseLength, Sources: even(1.2)},
		{Name: "load-200", Length: caseLength, Sources: even(2.0)},
		{Name: "shedding", Length: caseLength, Sources: even(calmLoad), Prepare: shedding},
		{Name: "idle-reports", Length: caseLength, Sources: even(0.7), Prepare: lying},
		{Name: "flood", Length: caseLength, Sources: flood},
		{Name: "mix", Length: caseLength, Sources: mix},
		{Name: "mix-overload", Length: caseLength, Sources: mixOverload},
		{Name: "caller-retries", Length: caseLength, Sources: even(1.2), CallerRetries: 3},
	}
	return cases
}

// straggler makes one replica of each service ten times as slow.
func straggler(w *world) {
	for _, svc := range w.dep.Services {
		w.pick(svc).slow = 10
	}
}

// pick returns a random replica of the service.
func (w *world) pick(svc Service) *server {
	for {
		s := w.servers[w.faults.IntN(len(w.servers))]
		if s.service == svc.Name {
			return s
		}
	}
}

// slowDataCentre adds 40 ms to every message from or to one data centre.
func slowDataCentre(w *world) {
	w.slowDC = w.faults.IntN(len(w.dep.DataCentres))
	w.slowBy = 40 * time.Millisecond
}

// shedding makes one replica of every third shard shed half of its requests, whatever its load.
func shedding(w *world) {
	for i, s := range w.servers {
		if i%(3*replicasPerShard) == 0 {
			s.shed = 0.5
		}
	}
}

// lying makes one replica of every shard three times as slow and report that it is idle.
func lying(w *world) {
	for i, s := range w.servers {
		if i%replicasPerShard == 0 {
			s.lies, s.slow = true, 3
		}
	}
}

// flood lets one profile offer 200% of the slots while another one keeps offering its usual load.
func flood(dep Deployment) []Source {
	sources := even(calmLoad)(dep)
	for _, s := range dep.Services {
		sources = append(sources, Source{Service: s.Name, Profile: profileFlood, Load: 2})
	}
	return sources
}

// mix offers short queries to all shards (0.3 of the slots) and long ones to three shards (0.3 of their slots).
func mix(dep Deployment) []Source { return mixed(dep, 1) }

// mixOverload offers twice the load of mix, which is 1.2 times the slots of three shards.
func mixOverload(dep Deployment) []Source { return mixed(dep, 2) }

func mixed(dep Deployment, factor float64) []Source {
	var sources []Source
	for _, s := range dep.Services {
		sources = append(sources,
			Source{Service: s.Name, Profile: profileMain, Load: 0.6 * factor, Work: 0.5},
			Source{Service: s.Name, Profile: profileHeavy, Load: 0.05 * factor, Work: 6, Shards: 3})
	}
	return sources
}

// update restarts every server once at a random time: it drains, is down, and comes back cold with a higher
// incarnation. At each moment at least one replica of each shard is neither draining nor down.
func update(w *world) {
	span := w.end - warmUp - drainFor - downFor - coldFor
	for i := 0; i < len(w.servers); i += replicasPerShard {
		group := w.servers[i : i+replicasPerShard]
		for j, at := range w.restartTimes(len(group), span) {
			w.restart(group[j], warmUp+at)
		}
	}
}

// restartTimes draws random times until not all outages overlap.
// span must exceed one outage, or no such times exist.
func (w *world) restartTimes(n int, span time.Duration) []time.Duration {
	for {
		times := make([]time.Duration, n)
		low, high := span, time.Duration(0)
		for i := range times {
			times[i] = time.Duration(w.faults.Int64N(int64(span)))
			low, high = min(low, times[i]), max(high, times[i])
		}
		if high-low > drainFor+downFor {
			return times
		}
	}
}

func (w *world) restart(s *server, at time.Duration) {
	silent := w.faults.IntN(2) == 0
	w.at(at, func() { s.draining = true })
	w.at(at+drainFor, func() { s.stop(silent) })
	w.at(at+drainFor+downFor, func() { s.boot(coldFor) })
}
