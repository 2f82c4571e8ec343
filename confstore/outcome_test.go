package confstore

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/kvtest"
)

// readBackHook is a store that calls a function before the first Get that follows a failed transaction.
type readBackHook struct {
	*kvtest.Memory
	before func()
	armed  bool
}

func (s *readBackHook) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	result, err := s.Memory.Txn(ctx, txn)
	s.armed = err != nil
	return result, err
}

func (s *readBackHook) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	if s.armed {
		s.armed = false
		s.before()
	}
	return s.Memory.Get(ctx, key)
}

// newOutcomeTest prepares profile a at its first revision and a client whose next write is subject to the faults. before
// runs between that write and the read-back, with the client of another operator.
func newOutcomeTest(t *testing.T, faults kvtest.Faults, before func(other *Client)) (*Client, *kvtest.Memory, int64) {
	t.Helper()
	store := kvtest.NewMemory(nil)
	other := testClient(store, "other")
	base, err := other.Apply(t.Context(), "a", document("a", 1), 0)
	must.NoError(t, err)
	client := testClient(store, "me")
	client.store = &readBackHook{Memory: store, before: func() { before(other) }}
	store.SetFaults(faults)
	return client, store, base
}

func applyTimes(t *testing.T, c *Client, n int) {
	for i := range n {
		p, err := c.Get(t.Context(), "a")
		must.NoError(t, err)
		_, err = c.Apply(t.Context(), "a", document("a", 100+i), p.Revision)
		must.NoError(t, err)
	}
}

// TestLostAnswerReturnsOwnRevision guards against a change whose answer was lost and that is reported at the revision
// of a later change.
// Mutation: in determineOutcome, return current instead of revision for a committed change.
func TestLostAnswerReturnsOwnRevision(t *testing.T) {
	client, _, base := newOutcomeTest(t, kvtest.Faults{LostResponses: 1}, func(other *Client) { applyTimes(t, other, 3) })
	revision, err := client.Apply(t.Context(), "a", document("a", 2), base)
	must.NoError(t, err)
	must.Eq(t, base+1, revision)
	p, err := client.Get(t.Context(), "a")
	must.NoError(t, err)
	must.Eq(t, base+4, p.Revision)
	own := p.Changes()[3]
	must.Eq(t, AcceptedChange{Change: Change{ID: own.ID, Author: "me", Time: own.Time, Document: document("a", 2),
		ReplacedRevision: base}, Revision: revision}, own)
}

// TestOutcomeUncertainIfHistoryTooShort guards against a definite result although the value no longer records the
// change.
// Mutation: in determineOutcome, return outcomeSuperseded instead of outcomeUnknown.
func TestOutcomeUncertainIfHistoryTooShort(t *testing.T) {
	client, _, base := newOutcomeTest(t, kvtest.Faults{LostResponses: 1}, func(other *Client) { applyTimes(t, other, historyLimit+1) })
	_, err := client.Apply(t.Context(), "a", document("a", 2), base)
	must.ErrorIs(t, err, kv.ErrOutcomeUnknown)
}

// TestLateWriteIsCommittedOnce guards against reporting that a change was not made while its request may still reach
// the store.
// Mutation: in determineOutcome, return outcomeSuperseded instead of outcomePending.
func TestLateWriteIsCommittedOnce(t *testing.T) {
	client, store, _ := newOutcomeTest(t, kvtest.Faults{}, func(*Client) {})
	bound, err := client.Bind(t.Context(), "s", "a")
	must.NoError(t, err)
	store.SetFaults(kvtest.Faults{DelayedTxns: 1})
	revision, err := client.Unbind(t.Context(), "s")
	must.NoError(t, err)
	must.Eq(t, bound+1, revision)
	b, at, err := client.Bindings(t.Context())
	must.NoError(t, err)
	must.MapEmpty(t, b.Services)
	must.Eq(t, revision, at)
	must.Eq(t, 0, store.Faults().DelayedTxns)
}

// TestOutcomeUncertainDuringOutage guards against a definite result during an outage that begins right after the
// write.
// Mutation: in commit, return readErr instead of joining it with kv.ErrOutcomeUnknown.
func TestOutcomeUncertainDuringOutage(t *testing.T) {
	var store *kvtest.Memory
	client, store, base := newOutcomeTest(t, kvtest.Faults{LostResponses: 1},
		func(*Client) { store.SetFaults(kvtest.Faults{Unavailable: true}) })
	_, err := client.Apply(t.Context(), "a", document("a", 2), base)
	must.ErrorIs(t, err, kv.ErrOutcomeUnknown)
	store.SetFaults(kvtest.Faults{})
	// The operator repeats the same change with the same base.
	revision, err := client.Apply(t.Context(), "a", document("a", 2), base)
	must.NoError(t, err)
	must.Eq(t, base+1, revision)
}

// TestLostAnswerKeepsNewerBinding guards against a bind whose answer was lost and that overwrites a binding accepted
// after it.
// Mutation: in commit, return (0, false, nil) for outcomeCommitted, so that the bind is attempted again.
func TestLostAnswerKeepsNewerBinding(t *testing.T) {
	client, store, _ := newOutcomeTest(t, kvtest.Faults{}, func(other *Client) {
		_, err := other.Bind(t.Context(), "s", "b")
		must.NoError(t, err)
	})
	_, err := testClient(store, "other").Apply(t.Context(), "b", document("b", 1), 0)
	must.NoError(t, err)
	store.SetFaults(kvtest.Faults{LostResponses: 1})
	first, err := client.Bind(t.Context(), "s", "a")
	must.NoError(t, err)
	b, revision, err := client.Bindings(t.Context())
	must.NoError(t, err)
	must.Eq(t, "b", b.Services["s"])
	must.Eq(t, first+1, revision)
}

// TestRetireChecksConcurrentBind guards against retiring a profile to which a service is bound concurrently, and
// against rejecting a retirement because of an unrelated binding.
// Mutation: in Retire, return no preconditions.
func TestRetireChecksConcurrentBind(t *testing.T) {
	for _, profileName := range []string{"a", "b"} {
		client, store, base := newOutcomeTest(t, kvtest.Faults{}, nil)
		other := testClient(store, "other")
		_, err := other.Apply(t.Context(), "b", document("b", 1), 0)
		must.NoError(t, err)
		client.store = &bindBeforeTxn{Memory: store, bind: func() {
			_, err := other.Bind(t.Context(), "s", profileName)
			must.NoError(t, err)
		}}
		_, err = client.Retire(t.Context(), "a", base)
		if profileName == "a" {
			var inUse *InUseError
			must.True(t, errors.As(err, &inUse))
			must.Eq(t, []string{"s"}, inUse.Services)
			continue
		}
		must.NoError(t, err)
	}
}

// bindBeforeTxn changes the bindings right before the first transaction.
type bindBeforeTxn struct {
	*kvtest.Memory
	bind func()
}

func (s *bindBeforeTxn) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if s.bind != nil {
		bind := s.bind
		s.bind = nil
		bind()
	}
	return s.Memory.Txn(ctx, txn)
}

// TestLargeDocumentsCanBeChanged guards against a profile that can no longer be changed because its history exceeds
// the size of a store value.
// Mutation: in encodeProfile, return the data whatever its length.
func TestLargeDocumentsCanBeChanged(t *testing.T) {
	store := kvtest.NewMemory(nil)
	c := testClient(store, "me")
	var base int64
	for i := range historyLimit + 3 {
		// The JSON encoder escapes '<' to six bytes.
		text := document("a", 1+i) + "#" + strings.Repeat("<", 60<<10) + "\n"
		revision, err := c.Apply(t.Context(), "a", text, base)
		must.NoError(t, err)
		base = revision
	}
}

// TestApplyRejectsInvalidInput guards against documents that daemons cannot use, and against names that lead outside
// the key prefix.
func TestApplyRejectsInvalidInput(t *testing.T) {
	c := testClient(kvtest.NewMemory(nil), "me")
	for name, text := range map[string]string{"a": "name: a\nshare: 0\n", "b": "name: a\n", "../x": "name: ../x\n"} {
		_, err := c.Apply(t.Context(), name, text, 0)
		must.ErrorIs(t, err, ErrInvalid)
	}
	_, err := c.Retire(t.Context(), "a", 0)
	must.ErrorIs(t, err, ErrNotFound)
}
