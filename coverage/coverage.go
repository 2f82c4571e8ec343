// Package coverage merges the shard results of one query and derives the coverage from the merged set.
//
// A result enters a merge only through a ticket of that merge, which binds it to the request, the snapshot and
// the shard. A result of another snapshot therefore has no way into the merge.
package coverage

import (
	"errors"
	"fmt"
	"sort"
	"sync"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/snapshot"
)

// ErrWrongSnapshot means that an answer or one of its records is of another snapshot.
var ErrWrongSnapshot = errors.New("answer of another snapshot")

// Merge collects the results of one query. It is safe for concurrent use.
type Merge struct {
	version snapshot.Version
	shards  []snapshot.Shard

	mu      sync.Mutex
	closed  bool
	results map[string][]backend.Record
	missing map[string]api.MissingReason
}

// NewMerge returns a merge for one snapshot.
func NewMerge(version snapshot.Version, m snapshot.Map) *Merge {
	return &Merge{
		version: version,
		shards:  m.Shards,
		results: make(map[string][]backend.Record, len(m.Shards)),
		missing: make(map[string]api.MissingReason),
	}
}

// Ticket admits results of one shard into its merge.
type Ticket struct {
	merge *Merge
	shard string
}

// Ticket returns the ticket of a shard of the map.
func (m *Merge) Ticket(shard string) Ticket { return Ticket{merge: m, shard: shard} }

// Version returns the snapshot of the merge.
func (m *Merge) Version() snapshot.Version { return m.version }

// Result is a checked answer of one shard.
type Result struct {
	ticket  Ticket
	records []backend.Record
}

// Check turns an answer into a result. It returns ErrWrongSnapshot if the answer or one of its records is of
// another snapshot or shard.
func (t Ticket) Check(answer backend.SubAnswer) (Result, error) {
	if answer.Version != t.merge.version || answer.Shard != t.shard {
		return Result{}, fmt.Errorf("%w: %s of shard %s", ErrWrongSnapshot, answer.Version, answer.Shard)
	}
	for _, r := range answer.Records {
		if r.Version != t.merge.version {
			return Result{}, fmt.Errorf("%w: record %q of %s", ErrWrongSnapshot, r.Key, r.Version)
		}
	}
	return Result{ticket: t, records: answer.Records}, nil
}

// Add merges the result and reports whether it was taken. The first result of a shard counts; a duplicate or a
// result after Close does not.
func (r Result) Add() bool {
	m := r.ticket.merge
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.results[r.ticket.shard]; ok || m.closed {
		return false
	}
	m.results[r.ticket.shard] = r.records
	return true
}

// Miss records why the shard is missing, unless a result arrives later. The last reason counts.
func (t Ticket) Miss(reason api.MissingReason) {
	t.merge.mu.Lock()
	defer t.merge.mu.Unlock()
	if !t.merge.closed {
		t.merge.missing[t.shard] = reason
	}
}

// Close ends the merge and returns its records, sorted by key, and its coverage. Later results are dropped.
func (m *Merge) Close() ([]api.Record, api.Coverage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	cov := api.Coverage{Included: []string{}, Missing: []api.MissingShard{}}
	records := []api.Record{}
	var covered uint64
	for _, s := range m.shards {
		result, ok := m.results[s.ID]
		if !ok {
			cov.Missing = append(cov.Missing, api.MissingShard{Shard: s.ID, Reason: m.reason(s.ID)})
			continue
		}
		covered += s.High - s.Low
		cov.Included = append(cov.Included, s.ID)
		for _, r := range result {
			records = append(records, api.Record{Key: r.Key, Value: r.Value, Shard: s.ID})
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	cov.Complete = len(cov.Missing) == 0
	cov.Fraction = float64(covered) / float64(snapshot.KeySpace)
	return records, cov
}

func (m *Merge) reason(shard string) api.MissingReason {
	if r, ok := m.missing[shard]; ok {
		return r
	}
	return api.MissingTimeout
}
