package quarantine

import "time"

// Observation is what the end of a request shows about its fingerprint at one service. Daemons exchange observations, since
// each of them may see too few losses to quarantine a request that comes to many of them.
type Observation struct {
	Fingerprint string `json:"f"`
	Service     string `json:"s"`
	// Replica is the replica to which a request lost the connection without an answer of the service. It is empty if a replica
	// of the service has answered a request with the fingerprint, which voids the losses before.
	Replica string `json:"r,omitempty"`
}

// ObservationPublisher sends observations to the other daemons. PublishObservations must not block and may drop some.
type ObservationPublisher interface {
	PublishObservations([]Observation)
}

const (
	// maxRunObservations limits the observations that one request adds, which is enough for the services of a query that the
	// rule for single requests does not quarantine.
	maxRunObservations = 8
	// maxTallyEntries limits the fingerprints and services whose losses are stored.
	maxTallyEntries = 10_000
	// sameCrash is the time within which further losses of connections to one replica belong to the same crash.
	sameCrash = time.Second
)

// lossKey identifies the losses that are added up.
type lossKey struct{ fingerprint, service string }

// tally holds the losses of all requests with a fingerprint at a service since the last answer, across requests and daemons.
// It is not safe for concurrent use.
type tally struct {
	rule   Rule
	losses map[lossKey][]connectionLoss
	// lastCleanup is when expired entries were last removed, which is done at most once per second.
	lastCleanup time.Time
}

// add records a loss and reports whether the losses now quarantine the fingerprint.
func (t *tally) add(key lossKey, l connectionLoss) (reachesThreshold bool) {
	if t.rule.ServiceLosses == 0 {
		return false
	}
	known, ok := t.losses[key]
	if !ok && len(t.losses) >= maxTallyEntries && !t.dropExpired(l.at) {
		return false
	}
	kept := make([]connectionLoss, 0, len(known)+1)
	for _, earlier := range known {
		age := l.at.Sub(earlier.at)
		if earlier.replica == l.replica && age < sameCrash {
			return false
		}
		if age <= t.rule.ServiceWindow {
			kept = append(kept, earlier)
		}
	}
	kept = append(kept, l)
	t.losses[key] = kept[max(0, len(kept)-maxRunObservations):]
	return t.reachesThreshold(kept)
}

// reachesThreshold reports whether the losses are as many as the rule requires, of several replicas and of several moments: when many
// replicas end at the same moment, all requests in flight lose their connections.
func (t *tally) reachesThreshold(losses []connectionLoss) bool {
	first, last := losses[0], losses[len(losses)-1]
	if len(losses) < t.rule.ServiceLosses || last.at.Sub(first.at) < t.rule.ServiceMinSpan {
		return false
	}
	for _, l := range losses {
		if l.replica != first.replica {
			return true
		}
	}
	return false
}

// answered removes the losses of a fingerprint at a service and reports whether there were any.
func (t *tally) answered(key lossKey) bool {
	if len(t.losses) == 0 {
		return false
	}
	_, ok := t.losses[key]
	delete(t.losses, key)
	return ok
}

// dropExpired removes the entries whose last loss is older than the window, unless it did so a short time ago, and reports
// whether another entry can be added.
func (t *tally) dropExpired(now time.Time) bool {
	if now.Sub(t.lastCleanup) < time.Second {
		return false
	}
	t.lastCleanup = now
	for key, losses := range t.losses {
		if now.Sub(losses[len(losses)-1].at) > t.rule.ServiceWindow {
			delete(t.losses, key)
		}
	}
	return len(t.losses) < maxTallyEntries
}

// addUnanswered adds the losses of a request that has ended to those of others, and returns the observations to send to the
// other daemons and the notice, if the losses quarantine the fingerprint. The caller must hold the lock.
func (g *Guard) addUnanswered(r *Run) (observations []Observation, notice *Notice) {
	if r.isQuarantined {
		return nil, nil
	}
	now := g.clock.Now()
	for service, replicas := range r.unanswered {
		for _, replica := range replicas {
			if len(observations) == maxRunObservations {
				return observations, notice
			}
			observations = append(observations, Observation{r.fingerprint, service, replica})
			if g.tally.add(lossKey{r.fingerprint, service}, connectionLoss{replica, now}) && !r.isQuarantined {
				r.isQuarantined = true
				if n := g.newNotice(r); g.addNotice(n) {
					notice = &n
				}
			}
		}
	}
	return observations, notice
}

// AddObservations adds what other daemons have observed.
func (g *Guard) AddObservations(observations []Observation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, o := range observations {
		key := lossKey{o.Fingerprint, o.Service}
		if o.Replica == "" {
			g.tally.answered(key)
		} else if g.tally.add(key, connectionLoss{o.Replica, now}) {
			// The daemon that made the last of these observations publishes the notice.
			g.addNotice(Notice{Fingerprint: o.Fingerprint, Until: now.Add(g.firstExpiry())})
		}
	}
}
