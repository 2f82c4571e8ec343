// Package signal holds the state of backend server replicas that daemons exchange: leaving, crashed, shedding and cold marks,
// and the fingerprints of requests that crash backend servers.
//
// Merging is commutative, associative and idempotent, so signals may be delayed, duplicated and reordered. The clocks of the
// VMs must agree to within a few seconds, because marks end at absolute times.
package signal

import "time"

// State is the state of one incarnation of a replica. A higher state takes precedence over a lower one.
type State uint8

// Values of State in ascending order.
const (
	Ready State = iota + 1
	Cold
	Shedding
	Crashed
	// Leaving does not end until the replica starts with a new incarnation.
	Leaving
)

var stateNames = [...]string{"unknown", "ready", "cold", "shedding", "crashed", "leaving"}

// String returns the state in lower case.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return stateNames[0]
	}
	return stateNames[s]
}

// Limits of the state that a daemon stores.
const (
	// MaxReplicas bounds the replicas in a Table. It is about twice the number expected in two years.
	MaxReplicas = 16384
	// MaxCrashes bounds the fingerprints in a CrashSet.
	MaxCrashes = 4096
	// maxLifetime is how far in the future a mark may end, so that no peer can set a permanent mark.
	maxLifetime = 10 * time.Minute
	// maxReplicaLength is the maximum length of a replica identifier in bytes.
	maxReplicaLength = 64
	// unlistedRetention is how long a replica is retained after it disappeared from the platform's list.
	unlistedRetention = time.Hour
	// endGranularity is the step in seconds to which ends of marks are rounded up, so that several pollers of the same
	// replica usually raise marks with the same end.
	endGranularity = 5
)

// lifetimes holds how long a mark lasts after it was raised. Pollers raise it again while the state persists.
var lifetimes = map[State]time.Duration{
	Cold:     60 * time.Second,
	Shedding: 10 * time.Second,
	Crashed:  15 * time.Second,
}

// Signal is a single mark of an incarnation of a replica. Incarnation identifies a start of the replica; a later start has a
// higher number.
type Signal struct {
	Replica     string
	Incarnation uint64
	State       State
	// Until is the end of the mark as Unix time in seconds, 0 for Ready and Leaving.
	Until uint64
}

// Record is the merged state of one replica: the newest incarnation and its marks.
type Record struct {
	Incarnation uint64
	Leaving     bool
	// Ends holds the ends of the Cold, Shedding and Crashed marks as Unix time in seconds, 0 if never set.
	Ends [3]uint64
}

// record converts a signal to a record with a single mark.
func (s Signal) record() Record {
	r := Record{Incarnation: s.Incarnation, Leaving: s.State == Leaving}
	if s.State >= Cold && s.State <= Crashed {
		r.Ends[s.State-Cold] = s.Until
	}
	return r
}

// Join returns the least upper bound of two records: that with the newer incarnation, or the union of their marks if both
// have the same incarnation.
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

// State returns the highest state among the marks that have not ended, Ready if there are none.
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

// unix returns a time as Unix time in seconds.
func unix(t time.Time) uint64 { return uint64(max(0, t.Unix())) }

// endTime returns the end of a mark that is raised now, 0 for a state that does not end.
func endTime(now time.Time, s State) uint64 {
	lifetime, ok := lifetimes[s]
	if !ok {
		return 0
	}
	at := unix(now.Add(lifetime))
	return (at + endGranularity - 1) / endGranularity * endGranularity
}
