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

// opKind is a change that an operator makes.
type opKind string

const (
	opApply  opKind = "apply"
	opRetire opKind = "retire"
	opBind   opKind = "bind"
	opUnbind opKind = "unbind"
)

// operation is one change by an operator of its own, so that its author identifies it in the store.
type operation struct {
	author           string
	kind             opKind
	profile, service string
	base             int64
	revision         int64
	err              error
}

func (o operation) document() string { return document(o.profile, 1) + "# " + o.author + "\n" }

// register is the model of one profile.
type register struct {
	revision int64
	document string
	retired  bool
}

// model is a register for each profile, and the bindings.
type model struct {
	profiles map[string]register
	bindings map[string]string
}

// expect returns the outcome of an operation that nothing disturbs.
func (m *model) expect(o operation) error {
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

// commit applies an accepted operation.
func (m *model) commit(o operation) {
	switch o.kind {
	case opApply:
		m.profiles[o.profile] = register{o.revision, o.document(), false}
	case opRetire:
		m.profiles[o.profile] = register{o.revision, m.profiles[o.profile].document, true}
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

// harness runs operations of several operators on one store.
type harness struct {
	t     *rapid.T
	store *kvtest.Memory
	model model
	// step holds the operations of the current step; open those whose outcome is not known yet.
	step, open []operation
	count      int
	accepted   map[string]bool
}

// disturbed is a store that runs other operators' operations before and after the first write.
type disturbed struct {
	kv.Store
	before, after func()
}

func (d *disturbed) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	once(&d.before)
	result, err := d.Store.Txn(ctx, txn)
	once(&d.after)
	return result, err
}

func once(f *func()) {
	if run := *f; run != nil {
		*f = nil
		run()
	}
}

func (h *harness) draw() operation {
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
	client.store = &disturbed{h.store, before, after}
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
	h.step = append(h.step, o)
	return o
}

// written returns the revision at which each author's changes were committed, from the store's own event log.
func (h *harness) written() map[string][]int64 {
	faults := h.store.Faults()
	h.store.SetFaults(kvtest.Faults{})
	defer h.store.SetFaults(faults)
	ctx, cancel := context.WithCancel(context.Background())
	written := map[string][]int64{}
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
			written[author] = append(written[author], e.Item.ModRevision)
		}
		cancel()
	})
	return written
}

// settle compares the results of the step with the event log, and the model with the stored state.
func (h *harness) settle() {
	written := h.written()
	var committed []operation
	open := h.open
	h.open = nil
	for _, o := range append(open, h.step...) {
		at := written[o.author]
		must.LessEq(h.t, 1, len(at), must.Sprintf("%+v was written at %v", o, at))
		switch {
		case o.err == nil && len(at) == 0:
			// A bind that found the service bound already.
			must.Eq(h.t, opBind, o.kind, must.Sprintf("%+v was not written", o))
		case o.err == nil:
			must.Eq(h.t, at[0], o.revision, must.Sprintf("%+v", o))
			committed = append(committed, o)
		case errors.Is(o.err, kv.ErrUncertain) && len(at) == 0:
			h.open = append(h.open, o)
		case errors.Is(o.err, kv.ErrUncertain):
			o.revision = at[0]
			committed = append(committed, o)
		default:
			must.Eq(h.t, 0, len(at), must.Sprintf("%+v was refused but written at %v", o, at))
		}
	}
	h.step = nil
	sort.Slice(committed, func(i, j int) bool { return committed[i].revision < committed[j].revision })
	for _, o := range committed {
		must.NoError(h.t, h.model.expect(o), must.Sprintf("%+v was accepted", o))
		h.model.commit(o)
		h.accepted[o.author] = true
	}
	must.Eq(h.t, len(h.accepted), len(written))
	h.compare()
}

func (h *harness) compare() {
	faults := h.store.Faults()
	h.store.SetFaults(kvtest.Faults{})
	defer h.store.SetFaults(faults)
	client := testClient(h.store, "")
	profiles, err := client.List(context.Background())
	must.NoError(h.t, err)
	stored := map[string]register{}
	for _, p := range profiles {
		stored[p.Name] = register{p.Revision, p.Current.Document, p.Current.Retired}
	}
	must.Eq(h.t, h.model.profiles, stored)
	bindings, _, err := client.Bindings(context.Background())
	must.NoError(h.t, err)
	must.Eq(h.t, h.model.bindings, bindings.Services)
	for service, name := range bindings.Services {
		must.False(h.t, stored[name].retired, must.Sprintf("%s runs under the retired profile %s", service, name))
	}
}

// sameKind reports whether the error is the expected one.
func sameKind(got, want error) bool {
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

// Guards against changes that are lost, doubled, reported at a wrong revision or wrongly refused, with concurrent
// operators, lost answers, lost and late requests, and outages.
// Mutations, each of which makes it fail: in Retire return no guard; in Bind return no guard; in judge return
// current instead of revision; in judge return outcomeLost for a pending write; in commit return committed = false
// for outcomeCommitted.
func TestChangesAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{
			t: t, store: kvtest.NewMemory(nil), accepted: map[string]bool{},
			model: model{profiles: map[string]register{}, bindings: map[string]string{}},
		}
		t.Repeat(map[string]func(*rapid.T){
			"quiet": func(t *rapid.T) {
				h.t = t
				h.store.SetFaults(kvtest.Faults{})
				h.compareFlushed()
				o := h.draw()
				want := h.model.expect(o)
				got := h.run(o, nil, nil)
				must.True(t, sameKind(got.err, want), must.Sprintf("%+v: want %v", got, want))
			},
			"disturbed": func(t *rapid.T) {
				h.t = t
				h.store.SetFaults(kvtest.Faults{
					LoseAnswers:  rapid.IntRange(0, 2).Draw(t, "answers"),
					LoseRequests: rapid.IntRange(0, 1).Draw(t, "requests"),
					LateWrites:   rapid.IntRange(0, 2).Draw(t, "late"),
					Down:         rapid.IntRange(0, 9).Draw(t, "down") == 0,
				})
				first, second, third := h.draw(), h.draw(), h.draw()
				// The third operator may base its change on the first one's, which it can only guess here.
				if rapid.Bool().Draw(t, "follow") && third.profile == first.profile {
					third.base = h.store.Revision() + 1
				}
				var before func()
				if rapid.Bool().Draw(t, "before") {
					before = func() { h.run(second, nil, nil) }
				}
				h.run(first, before, func() { h.run(third, nil, nil) })
			},
			"": func(t *rapid.T) { h.t = t; h.settle() },
		})
	})
}

// compareFlushed lets late writes arrive before an undisturbed operation.
func (h *harness) compareFlushed() {
	_, _, err := h.store.Get(context.Background(), BindingsKey)
	must.NoError(h.t, err)
	h.settle()
}
