// Package coverage merges the shard results of one query and computes the coverage of the merged result.
//
// A result can only be added through a ShardHandle of its merge, which binds it to the request, the snapshot and the
// shard. Results of different snapshots can therefore never be mixed.
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

// ErrWrongSnapshot means that a response or one of its records belongs to a different snapshot, or that the
// response belongs to a different shard.
var ErrWrongSnapshot = errors.New("response belongs to a different snapshot or shard")

// Merge collects the shard results of one query. It is safe for concurrent use.
type Merge struct {
	version snapshot.Version
	shards  []snapshot.Shard

	mu      sync.Mutex
	closed  bool
	results map[string][]backend.Record
	missing map[string]api.MissingReason
}

// NewMerge returns an empty merge for the snapshot with the given version and shard map.
func NewMerge(version snapshot.Version, m snapshot.ShardMap) *Merge {
	return &Merge{
		version: version,
		shards:  m.Shards,
		results: make(map[string][]backend.Record, len(m.Shards)),
		missing: make(map[string]api.MissingReason),
	}
}

// ShardHandle allows results of one shard to be added to its merge.
type ShardHandle struct {
	merge *Merge
	shard string
}

// Shard returns the handle for a shard of the map.
func (m *Merge) Shard(shard string) ShardHandle { return ShardHandle{merge: m, shard: shard} }

// Version returns the snapshot version of the merge.
func (m *Merge) Version() snapshot.Version { return m.version }

// Result is the validated response of one shard.
type Result struct {
	handle  ShardHandle
	records []backend.Record
}

// Check validates a response and returns its result. It returns ErrWrongSnapshot if the response belongs to a
// different snapshot or shard, or one of its records to a different snapshot.
func (h ShardHandle) Check(response backend.SubResponse) (Result, error) {
	if response.Version != h.merge.version || response.Shard != h.shard {
		return Result{}, fmt.Errorf("%w: %s of shard %s", ErrWrongSnapshot, response.Version, response.Shard)
	}
	for _, r := range response.Records {
		if r.Version != h.merge.version {
			return Result{}, fmt.Errorf("%w: record %q of %s", ErrWrongSnapshot, r.Key, r.Version)
		}
	}
	return Result{handle: h, records: response.Records}, nil
}

// Add merges the result and reports whether it was used. Only the first result of a shard is used, and none after
// Close.
func (r Result) Add() bool {
	m := r.handle.merge
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.results[r.handle.shard]; ok || m.closed {
		return false
	}
	m.results[r.handle.shard] = r.records
	return true
}

// MarkMissing records why the shard is missing, in case no result arrives. Later calls overwrite the reason.
func (h ShardHandle) MarkMissing(reason api.MissingReason) {
	h.merge.mu.Lock()
	defer h.merge.mu.Unlock()
	if !h.merge.closed {
		h.merge.missing[h.shard] = reason
	}
}

// Close ends the merge and returns its records, sorted by key, and its coverage. Results that arrive later are
// dropped.
func (m *Merge) Close() ([]api.Record, api.Coverage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	cov := api.Coverage{Included: []string{}, Missing: []api.MissingShard{}}
	records := []api.Record{}
	var coveredKeys uint64
	for _, s := range m.shards {
		result, ok := m.results[s.ID]
		if !ok {
			cov.Missing = append(cov.Missing, api.MissingShard{Shard: s.ID, Reason: m.reason(s.ID)})
			continue
		}
		coveredKeys += s.High - s.Low
		cov.Included = append(cov.Included, s.ID)
		for _, r := range result {
			records = append(records, api.Record{Key: r.Key, Value: r.Value, Shard: s.ID})
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	cov.Complete = len(cov.Missing) == 0
	cov.Fraction = float64(coveredKeys) / float64(snapshot.KeySpace)
	return records, cov
}

func (m *Merge) reason(shard string) api.MissingReason {
	if r, ok := m.missing[shard]; ok {
		return r
	}
	return api.MissingTimeout
}
