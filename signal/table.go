package signal

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of Table and CrashSet.
var (
	// ErrInvalid means that a signal, mark or payload is malformed or ends too far in the future.
	ErrInvalid = eris.New("invalid signal")
	// ErrFull means that a Table or CrashSet holds its maximum number of entries and none can be evicted.
	ErrFull = eris.New("signal table or crash set is full")
)

// entry is the record of a replica with the time since which the platform's list lacks it, zero if listed.
type entry struct {
	Record
	unlistedSince time.Time
}

// Table stores the merged signals of each replica. It is not safe for concurrent use.
type Table struct {
	entries map[string]*entry
	limit   int
}

// NewTable returns an empty table of at most MaxReplicas replicas.
func NewTable() *Table { return &Table{entries: make(map[string]*entry), limit: MaxReplicas} }

// Len returns the number of replicas.
func (t *Table) Len() int { return len(t.entries) }

// Raise merges an observation of this daemon and returns it as a signal, and whether the table changed. It does nothing and
// returns false if the table already holds the mark for more than half of its lifetime from now, so that pollers do not
// repeat the signals of other pollers.
func (t *Table) Raise(now time.Time, replica string, incarnation uint64, s State) (Signal, bool, error) {
	sig := Signal{Replica: replica, Incarnation: incarnation, State: s, Until: endTime(now, s)}
	if e := t.entries[replica]; e != nil && e.Incarnation == incarnation && s >= Cold && s <= Crashed {
		if e.Ends[s-Cold] > unix(now.Add(lifetimes[s]/2)) {
			return Signal{}, false, nil
		}
	}
	changed, err := t.Merge(now, sig)
	return sig, changed, err
}

// Merge merges a signal and reports whether the table changed. A signal that has already ended is merged as well, because it
// may belong to a newer incarnation; otherwise the result would depend on the order of arrival.
func (t *Table) Merge(now time.Time, s Signal) (bool, error) {
	if err := s.validate(now); err != nil {
		return false, err
	}
	e := t.entries[s.Replica]
	if e == nil {
		if len(t.entries) >= t.limit && !t.evict(now) {
			return false, ErrFull
		}
		t.entries[s.Replica] = &entry{Record: s.record()}
		return true, nil
	}
	joined := Join(e.Record, s.record())
	if joined == e.Record {
		return false, nil
	}
	e.Record = joined
	return true, nil
}

// validate returns ErrInvalid for a signal that is malformed or ends too far in the future.
func (s Signal) validate(now time.Time) error {
	if s.Replica == "" || len(s.Replica) > maxReplicaLength || s.State < Ready || s.State > Leaving {
		return ErrInvalid
	}
	if s.Until > unix(now.Add(maxLifetime)) {
		return ErrInvalid
	}
	return nil
}

// evict removes the replicas without a mark in force and reports whether there were any.
func (t *Table) evict(now time.Time) bool {
	before := len(t.entries)
	for id, e := range t.entries {
		if e.State(now) == Ready {
			delete(t.entries, id)
		}
	}
	return len(t.entries) < before
}

// State returns the state of an incarnation of a replica. An incarnation that is older than the newest known one is leaving,
// because the replica has restarted since.
func (t *Table) State(now time.Time, replica string, incarnation uint64) State {
	e := t.entries[replica]
	switch {
	case e == nil || e.Incarnation < incarnation:
		return Ready
	case e.Incarnation > incarnation:
		return Leaving
	}
	return e.Record.State(now)
}

// Retain updates the table with the replicas in the platform's list. Listed replicas are retained indefinitely, including
// their leaving marks, and unlisted ones for unlistedRetention, because the list lags.
func (t *Table) Retain(now time.Time, listed map[string]bool) {
	for id, e := range t.entries {
		switch {
		case listed[id]:
			e.unlistedSince = time.Time{}
		case e.unlistedSince.IsZero():
			e.unlistedSince = now
		case now.Sub(e.unlistedSince) >= unlistedRetention:
			delete(t.entries, id)
		}
	}
}

// Signals returns the marks in force, sorted by replica, for transfer to a joining daemon.
func (t *Table) Signals(now time.Time) []Signal {
	ids := make([]string, 0, len(t.entries))
	for id := range t.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var list []Signal
	for _, id := range ids {
		r := t.entries[id].Record
		if r.Leaving {
			list = append(list, Signal{Replica: id, Incarnation: r.Incarnation, State: Leaving})
		}
		for i, until := range r.Ends {
			if until > unix(now) {
				list = append(list, Signal{Replica: id, Incarnation: r.Incarnation, State: Cold + State(i), Until: until})
			}
		}
	}
	return list
}
