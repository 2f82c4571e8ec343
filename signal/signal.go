// Package signal keeps what daemons tell each other of backend server replicas: leaving, crashed, shedding and cold
// marks, and fingerprints of requests that crash backend servers.
//
// Merging is commutative, associative and idempotent, so signals may arrive late, twice and in any order. Clocks of
// the VMs have to agree to a few seconds, because the end of a mark is an absolute time.
package signal

import "time"

// State is the state of a replica in one incarnation. A higher state hides a lower one.
type State uint8

// Values of State in their order.
const (
	Ready State = iota + 1
	Cold
	Shedding
	Crashed
	// Leaving has no end within an incarnation.
	Leaving
)

var names = [...]string{"unknown", "ready", "cold", "shedding", "crashed", "leaving"}

// String returns the state in lower case.
func (s State) String() string {
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// Limits.
const (
	// MaxReplicas bounds the table. It is about twice the two-year size.
	MaxReplicas = 16384
	// MaxCrashes bounds the fingerprints.
	MaxCrashes = 4096
	// maxLifetime bounds how far in the future a mark may end.
	maxLifetime = 10 * time.Minute
	// maxName is the longest replica identifier in bytes.
	maxName = 64
	// keepUnlisted is how long a replica is kept after the platform's list dropped it.
	keepUnlisted = time.Hour
	// granularity is the step of the end of a mark, so that pollers of the same replica raise the same value.
	granularity = 5
)

// Lifetimes of the states that end. A poller raises a state again while it lasts.
var lifetimes = map[State]time.Duration{
	Cold:     60 * time.Second,
	Shedding: 10 * time.Second,
	Crashed:  15 * time.Second,
}

// Signal is one mark of a replica's incarnation.
type Signal struct {
	Replica     string
	Incarnation uint64
	State       State
	// Until is the Unix time in seconds at which the state ends; 0 for Ready and Leaving.
	Until uint64
}

// Record is all that is known of one replica: the newest incarnation and the end of each of its marks.
type Record struct {
	Incarnation uint64
	Leaving     bool
	// Ends holds the ends of Cold, Shedding and Crashed as Unix time in seconds.
	Ends [3]uint64
}

// record returns a signal as a record.
func (s Signal) record() Record {
	r := Record{Incarnation: s.Incarnation, Leaving: s.State == Leaving}
	if s.State >= Cold && s.State <= Crashed {
		r.Ends[s.State-Cold] = s.Until
	}
	return r
}

// Join returns the least record that holds both: the newer incarnation, and within one incarnation all marks.
func Join(a, b Record) Record {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	a.Leaving = a.Leaving || b.Leaving
	for i := range a.Ends {
		a.Ends[i] = max(a.Ends[i], b.Ends[i])
	}
	return a
}

// State returns the highest mark that has not ended.
func (r Record) State(now time.Time) State {
	if r.Leaving {
		return Leaving
	}
	for s := Crashed; s >= Cold; s-- {
		if r.Ends[s-Cold] > unix(now) {
			return s
		}
	}
	return Ready
}

func unix(t time.Time) uint64 { return uint64(max(0, t.Unix())) }

// end returns the end of a state that is raised now.
func end(now time.Time, s State) uint64 {
	life, ok := lifetimes[s]
	if !ok {
		return 0
	}
	at := unix(now.Add(life))
	return (at + granularity - 1) / granularity * granularity
}
