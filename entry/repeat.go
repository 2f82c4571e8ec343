package entry

import "time"

const (
	// repeatEvery is the interval at which a daemon sends its own leaving marks again. Gossip repeats a mark a bounded
	// number of times within seconds, so a daemon that joins, or returns from a partition, would miss it.
	repeatEvery = 10 * time.Second
	// repeatFor is how long a mark is repeated. It covers a partition of a few minutes between regions.
	repeatFor = 5 * time.Minute
	// maxRepeated bounds the marks that are repeated; the oldest one makes room.
	maxRepeated = 1024
)

// repeated is a mark that this daemon raised.
type repeated struct {
	key      string
	payload  []byte
	raised   time.Time
	lastSent time.Time
}

// repeater holds the marks that a daemon raised and sends again. It is not safe for concurrent use.
type repeater struct{ marks []repeated }

// add records a mark that was sent now.
func (r *repeater) add(now time.Time, key string, payload []byte) {
	if len(r.marks) == maxRepeated {
		r.marks = r.marks[1:]
	}
	r.marks = append(r.marks, repeated{key: key, payload: payload, raised: now, lastSent: now})
}

// due returns the marks to send again now, and forgets those that were repeated for long enough.
func (r *repeater) due(now time.Time) []repeated {
	var due []repeated
	kept := r.marks[:0]
	for _, m := range r.marks {
		if now.Sub(m.raised) > repeatFor {
			continue
		}
		if now.Sub(m.lastSent) >= repeatEvery {
			m.lastSent = now
			due = append(due, m)
		}
		kept = append(kept, m)
	}
	r.marks = kept
	return due
}
