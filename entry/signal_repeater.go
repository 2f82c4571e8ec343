package entry

import "time"

const (
	// repeatInterval is the interval at which a daemon rebroadcasts its own leaving signals and notices of crashing requests.
	// Gossip retransmits a signal only a bounded number of times within seconds, so a daemon that joins later or returns from a
	// partition would miss it.
	repeatInterval = 10 * time.Second
	// repeatDuration is how long a signal is rebroadcast. It covers a partition of a few minutes between regions, and the time for
	// which a notice is in force.
	repeatDuration = 5 * time.Minute
	// maxRepeatedSignals bounds the signals that are rebroadcast; beyond it, the oldest one is dropped.
	maxRepeatedSignals = 1024
)

// repeatedSignal is an encoded signal with the times of its first and last broadcast.
type repeatedSignal struct {
	key      string
	payload  []byte
	raised   time.Time
	lastSent time.Time
}

// signalRepeater schedules the rebroadcast of signals that this daemon raised. It is not safe for concurrent use.
type signalRepeater struct{ signals []repeatedSignal }

// add records a signal that was first broadcast now.
func (r *signalRepeater) add(now time.Time, key string, payload []byte) {
	if len(r.signals) == maxRepeatedSignals {
		r.signals = r.signals[1:]
	}
	r.signals = append(r.signals, repeatedSignal{key: key, payload: payload, raised: now, lastSent: now})
}

// due returns the signals to rebroadcast now and removes those older than repeatDuration.
func (r *signalRepeater) due(now time.Time) []repeatedSignal {
	var due []repeatedSignal
	kept := r.signals[:0]
	for _, s := range r.signals {
		if now.Sub(s.raised) > repeatDuration {
			continue
		}
		if now.Sub(s.lastSent) >= repeatInterval {
			s.lastSent = now
			due = append(due, s)
		}
		kept = append(kept, s)
	}
	r.signals = kept
	return due
}
