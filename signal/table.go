package signal

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of Table and Crashes.
var (
	// ErrInvalid means that a signal or payload is malformed or ends too far in the future.
	ErrInvalid = eris.New("invalid signal")
	// ErrFull means that the table holds its maximum number of replicas.
	ErrFull = eris.New("signal table is full")
)

type entry struct {
	Record
	unlistedSince time.Time
}

// Table holds the newest signals of each replica. It is not safe for concurrent use.
type Table struct {
	entries map[string]*entry
	max     int
}

// NewTable returns an empty table of at most MaxReplicas replicas.
func NewTable() *Table { return &Table{entries: make(map[string]*entry), max: MaxReplicas} }

// Len returns the number of replicas.
func (t *Table) Len() int { return len(t.entries) }

// Raise makes a signal of this daemon's own observation. It returns false if the table already holds the state for
// at least half its lifetime, so that pollers do not send again what others sent.
func (t *Table) Raise(now time.Time, replica string, incarnation uint64, s State) (Signal, bool, error) {
	sig := Signal{Replica: replica, Incarnation: incarnation, State: s, Until: end(now, s)}
	if e := t.entries[replica]; e != nil && e.Incarnation == incarnation && s >= Cold && s <= Crashed {
		if e.Ends[s-Cold] > unix(now.Add(lifetimes[s]/2)) {
			return Signal{}, false, nil
		}
	}
	changed, err := t.Merge(now, sig)
	return sig, changed, err
}

// Merge takes a signal and reports whether the table changed. A signal that has already ended is merged too, since
// it may show a newer incarnation; without that, the result would depend on the order of arrival.
func (t *Table) Merge(now time.Time, s Signal) (bool, error) {
	if err := s.check(now); err != nil {
		return false, err
	}
	e := t.entries[s.Replica]
	if e == nil {
		if len(t.entries) >= t.max && !t.makeRoom(now) {
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

func (s Signal) check(now time.Time) error {
	if s.Replica == "" || len(s.Replica) > maxName || s.State < Ready || s.State > Leaving {
		return ErrInvalid
	}
	if s.Until > unix(now.Add(maxLifetime)) {
		return ErrInvalid
	}
	return nil
}

// makeRoom drops the replicas without a mark and reports whether there was one.
func (t *Table) makeRoom(now time.Time) bool {
	before := len(t.entries)
	for id, e := range t.entries {
		if e.State(now) == Ready {
			delete(t.entries, id)
		}
	}
	return len(t.entries) < before
}

// State returns the state of a replica's incarnation. An older incarnation than the newest known one is leaving:
// the replica has started anew since.
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

// Retain takes the replicas that the platform lists. Leaving marks of listed replicas are kept for ever, and those
// of unlisted ones for keepUnlisted, because the list lags.
func (t *Table) Retain(now time.Time, listed map[string]bool) {
	for id, e := range t.entries {
		switch {
		case listed[id]:
			e.unlistedSince = time.Time{}
		case e.unlistedSince.IsZero():
			e.unlistedSince = now
		case now.Sub(e.unlistedSince) >= keepUnlisted:
			delete(t.entries, id)
		}
	}
}

// Signals returns the marks in force, sorted by replica, for a daemon that joins.
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
