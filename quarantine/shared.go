package quarantine

import "time"

const (
	// maxSharedEntries limits the replicas whose last crash is stored.
	maxSharedEntries = 4096
	// sharedLifetime is how long a crash is stored, longer than a decision takes.
	sharedLifetime = time.Second
)

// sharedLosses tells which requests lost connections to a replica at the same time: when a replica ends, all requests that it
// executes do. It is not safe for concurrent use.
type sharedLosses struct {
	byReplica map[string]crash
}

// crash is the last moment at which connections to a replica were lost.
type crash struct {
	at          time.Time
	fingerprint string
	// isShared is set if requests with several fingerprints lost connections.
	isShared bool
}

// record records the loss of a connection. Losses within the window belong to the same crash.
func (s *sharedLosses) record(fingerprint, replica string, at time.Time, window time.Duration) {
	last, ok := s.byReplica[replica]
	if ok && at.Sub(last.at) <= window {
		last.isShared = last.isShared || last.fingerprint != fingerprint
		s.byReplica[replica] = last
		return
	}
	if !ok && len(s.byReplica) >= maxSharedEntries {
		clear(s.byReplica)
	}
	s.byReplica[replica] = crash{at: at, fingerprint: fingerprint}
}

// isShared reports whether the last loss of a connection to the replica is recent and was one of several requests.
func (s *sharedLosses) isShared(replica string, now time.Time) bool {
	last := s.byReplica[replica]
	return last.isShared && now.Sub(last.at) <= sharedLifetime
}

// lostMostAlone reports whether the request alone lost the connections to most of its replicas, or is half-open. A request that
// was in flight beside one that crashes replicas shares most of them. The caller must hold the lock.
func (g *Guard) lostMostAlone(r *Run) bool {
	now, shared := g.clock.Now(), 0
	for _, replica := range r.lost {
		if g.shared.isShared(replica, now) {
			shared++
		}
	}
	return r.halfOpen != nil || 2*shared < len(r.lost)
}

// setHalfOpen ends a request that is one of several suspects and makes its fingerprint half-open, here and, by the returned
// notice, on the other daemons. The caller must hold the lock.
func (g *Guard) setHalfOpen(r *Run) *Notice {
	notice := Notice{Fingerprint: r.fingerprint, Until: g.clock.Now()}
	g.addHalfOpen(notice)
	// Cancel the request before releasing the waiting attempts; otherwise they would be sent.
	r.cancel(ErrQuarantined)
	r.clear(Ambiguous)
	return &notice
}

// addHalfOpen makes a fingerprint that is not known half-open. The caller must hold the lock.
func (g *Guard) addHalfOpen(n Notice) {
	if _, isKnown := g.notices[n.Fingerprint]; isKnown {
		return
	}
	if len(g.notices) >= maxNotices {
		g.evictEarliest()
	}
	g.notices[n.Fingerprint] = n.Until
}
