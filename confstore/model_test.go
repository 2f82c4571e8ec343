package confstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/kvtest"
)

// opKind is a kind of change.
type opKind string

const (
	opApply  opKind = "apply"
	opRetire opKind = "retire"
	opBind   opKind = "bind"
	opUnbind opKind = "unbind"
)

// operation is one change. Each has its own author, which identifies it in the store.
type operation struct {
	author           string
	kind             opKind
	profile, service string
	base             int64
	revision         int64
	err              error
}

func (o operation) document() string { return document(o.profile, 1) + "# " + o.author + "\n" }

// profileState is the model of one profile.
type profileState struct {
	revision int64
	document string
	retired  bool
}

// model is the expected state of all profiles and bindings.
type model struct {
	profiles map[string]profileState
	bindings map[string]string
}

// expectedError returns the error of an operation that runs without faults and concurrent changes.
func (m *model) expectedError(o operation) error {
	reg, exists := m.profiles[o.profile]
	switch {
	case o.kind == opUnbind && m.bindings[o.service] == "":
		return ErrNotBound
	case o.kind == opUnbind:
		return nil
	case o.kind != opApply && !exists:
		return ErrNotFound
	case o.kind == opBind && reg.retired:
		return ErrRetired
	case o.kind == opBind:
		return nil
	case reg.revision != o.base:
		return &ConflictError{}
	case o.kind == opRetire && reg.retired:
		return ErrRetired
	case o.kind == opRetire && slices.Contains(mapValues(m.bindings), o.profile):
		return &InUseError{}
	}
	return nil
}

// commit applies an accepted operation to the model.
func (m *model) commit(o operation) {
	switch o.kind {
	case opApply:
		m.profiles[o.profile] = profileState{o.revision, o.document(), false}
	case opRetire:
		m.profiles[o.profile] = profileState{o.revision, m.profiles[o.profile].document, true}
	case opBind:
		m.bindings[o.service] = o.profile
	case opUnbind:
		delete(m.bindings, o.service)
	}
}

func mapValues(m map[string]string) []string {
	var out []string
	for _, v := range m {
		out = append(out, v)
	}
	return out
}

// harness runs operations of several operators on one store and compares the results with the model.
type harness struct {
	t     *rapid.T
	store *kvtest.Memory
	model model
	// stepOperations are the operations of the current step, uncertain those whose outcome is still unknown.
	stepOperations, uncertain []operation
	count                     int
	accepted                  map[string]bool
}

// interferingStore is a store that runs other operators' operations before and after the first write.
type interferingStore struct {
	kv.Store
	before, after func()
}

func (d *interferingStore) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	runOnce(&d.before)
	result, err := d.Store.Txn(ctx, txn)
	runOnce(&d.after)
	return result, err
}

func runOnce(f *func()) {
	if run := *f; run != nil {
		*f = nil
		run()
	}
}

func (h *harness) drawOperation() operation {
	h.count++
	o := operation{
		author:  fmt.Sprintf("op-%d", h.count),
		kind:    rapid.SampledFrom([]opKind{opApply, opApply, opRetire, opBind, opUnbind}).Draw(h.t, "kind"),
		profile: rapid.SampledFrom([]string{"a", "b"}).Draw(h.t, "profile"),
		service: rapid.SampledFrom([]string{"s", "t"}).Draw(h.t, "service"),
	}
	o.base = h.model.profiles[o.profile].revision
	if o.base > 0 && rapid.IntRange(0, 4).Draw(h.t, "stale") == 0 {
		o.base--
	}
	return o
}

// run runs one operation and records its result. before and after, if not nil, run around its first write.
func (h *harness) run(o operation, before, after func()) operation {
	client := testClient(nil, o.author)
	client.store = &interferingStore{h.store, before, after}
	ctx := context.Background()
	switch o.kind {
	case opApply:
		o.revision, o.err = client.Apply(ctx, o.profile, o.document(), o.base)
	case opRetire:
		o.revision, o.err = client.Retire(ctx, o.profile, o.base)
	case opBind:
		o.revision, o.err = client.Bind(ctx, o.service, o.profile)
	case opUnbind:
		o.revision, o.err = client.Unbind(ctx, o.service)
	}
	h.stepOperations = append(h.stepOperations, o)
	return o
}

// revisionsByAuthor reads from the store's event log at which revisions each author's changes were committed.
func (h *harness) revisionsByAuthor() map[string][]int64 {
	faults := h.store.Faults()
	h.store.SetFaults(kvtest.Faults{})
	defer h.store.SetFaults(faults)
	ctx, cancel := context.WithCancel(context.Background())
	revisionsByAuthor := map[string][]int64{}
	_ = h.store.Watch(ctx, "", 1, func(b kv.WatchBatch) {
		for _, e := range b.Events {
			author := ""
			if strings.HasPrefix(e.Item.Key, ProfilePrefix) {
				var v ProfileValue
				must.NoError(h.t, json.Unmarshal(e.Item.Value, &v))
				author = v.Current.Author
			} else {
				var v Bindings
				must.NoError(h.t, json.Unmarshal(e.Item.Value, &v))
				author = v.Changes[0].Author
			}
			revisionsByAuthor[author] = append(revisionsByAuthor[author], e.Item.ModRevision)
		}
		cancel()
	})
	return revisionsByAuthor
}

// checkStep compares the results of the step with the event log, and the model with the stored state.
func (h *harness) checkStep() {
	revisionsByAuthor := h.revisionsByAuthor()
	var committed []operation
	uncertain := h.uncertain
	h.uncertain = nil
	for _, o := range append(uncertain, h.stepOperations...) {
		at := revisionsByAuthor[o.author]
		must.LessEq(h.t, 1, len(at), must.Sprintf("%+v was written at %v", o, at))
		switch {
		case o.err == nil && len(at) == 0:
			// The service was already bound to the profile, so nothing was written.
			must.Eq(h.t, opBind, o.kind, must.Sprintf("%+v was not written", o))
		case o.err == nil:
			must.Eq(h.t, at[0], o.revision, must.Sprintf("%+v", o))
			committed = append(committed, o)
		case errors.Is(o.err, kv.ErrOutcomeUnknown) && len(at) == 0:
			h.uncertain = append(h.uncertain, o)
		case errors.Is(o.err, kv.ErrOutcomeUnknown):
			o.revision = at[0]
			committed = append(committed, o)
		default:
			must.Eq(h.t, 0, len(at), must.Sprintf("%+v was refused but written at %v", o, at))
		}
	}
	h.stepOperations = nil
	sort.Slice(committed, func(i, j int) bool { return committed[i].revision < committed[j].revision })
	for _, o := range committed {
		must.NoError(h.t, h.model.expectedError(o), must.Sprintf("%+v was accepted", o))
		h.model.commit(o)
		h.accepted[o.author] = true
	}
	must.Eq(h.t, len(h.accepted), len(revisionsByAuthor))
	h.checkStoredState()
}

func (h *harness) checkStoredState() {
	faults := h.store.Faults()
	h.store.SetFaults(kvtest.Faults{})
	defer h.store.SetFaults(faults)
	client := testClient(h.store, "")
	profiles, err := client.List(context.Background())
	must.NoError(h.t, err)
	stored := map[string]profileState{}
	for _, p := range profiles {
		stored[p.Name] = profileState{p.Revision, p.Current.Document, p.Current.Retired}
	}
	must.Eq(h.t, h.model.profiles, stored)
	bindings, _, err := client.Bindings(context.Background())
	must.NoError(h.t, err)
	must.Eq(h.t, h.model.bindings, bindings.Services)
	for service, name := range bindings.Services {
		must.False(h.t, stored[name].retired, must.Sprintf("%s runs under the retired profile %s", service, name))
	}
}

// sameErrorKind reports whether got is an error of the same kind as want.
func sameErrorKind(got, want error) bool {
	var conflict, wantConflict *ConflictError
	var inUse, wantInUse *InUseError
	switch {
	case errors.As(want, &wantConflict):
		return errors.As(got, &conflict)
	case errors.As(want, &wantInUse):
		return errors.As(got, &inUse)
	}
	return errors.Is(got, want)
}

// TestChangesMatchModel guards against changes that are lost, duplicated, reported at a wrong revision or wrongly
// rejected, with concurrent operators, lost answers, lost and late requests, and outages.
// Mutations, each of which makes it fail: in Retire, return no preconditions; in Bind, return no preconditions; in
// determineOutcome, return current instead of revision; in determineOutcome, return outcomeSuperseded for a pending
// write; in commit, return committed = false for outcomeCommitted.
func TestChangesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{
			t: t, store: kvtest.NewMemory(nil), accepted: map[string]bool{},
			model: model{profiles: map[string]profileState{}, bindings: map[string]string{}},
		}
		t.Repeat(map[string]func(*rapid.T){
			"quiet": func(t *rapid.T) {
				h.t = t
				h.store.SetFaults(kvtest.Faults{})
				h.flushLateWrites()
				o := h.drawOperation()
				want := h.model.expectedError(o)
				got := h.run(o, nil, nil)
				must.True(t, sameErrorKind(got.err, want), must.Sprintf("%+v: want %v", got, want))
			},
			"disturbed": func(t *rapid.T) {
				h.t = t
				h.store.SetFaults(kvtest.Faults{
					LostResponses: rapid.IntRange(0, 2).Draw(t, "answers"),
					LostRequests:  rapid.IntRange(0, 1).Draw(t, "requests"),
					DelayedTxns:   rapid.IntRange(0, 2).Draw(t, "late"),
					Unavailable:   rapid.IntRange(0, 9).Draw(t, "down") == 0,
				})
				first, second, third := h.drawOperation(), h.drawOperation(), h.drawOperation()
				// The third operator may base its change on the first one's, whose revision is only a guess here.
				if rapid.Bool().Draw(t, "follow") && third.profile == first.profile {
					third.base = h.store.Revision() + 1
				}
				var before func()
				if rapid.Bool().Draw(t, "before") {
					before = func() { h.run(second, nil, nil) }
				}
				h.run(first, before, func() { h.run(third, nil, nil) })
			},
			"": func(t *rapid.T) { h.t = t; h.checkStep() },
		})
	})
}

// flushLateWrites lets late writes reach the store before an operation without interference.
func (h *harness) flushLateWrites() {
	_, _, err := h.store.Get(context.Background(), BindingsKey)
	must.NoError(h.t, err)
	h.checkStep()
}
