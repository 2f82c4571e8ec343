package confsync

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/kvtest"
	"github.com/chivemill/chivemill/membership"
)

// conditionStore returns only the items of keys in conditions when a transaction fails, as some stores do.
type conditionStore struct{ kv.Store }

func (s conditionStore) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	txn.Else = slices.DeleteFunc(slices.Clone(txn.Else), func(key string) bool {
		return !slices.ContainsFunc(txn.If, func(c kv.Compare) bool { return c.Key == key })
	})
	return s.Store.Txn(ctx, txn)
}

// TestVerifyReadsAllKeys guards against items that are deleted because a verification did not return them: some stores return
// only those keys that are in conditions.
func TestVerifyReadsAllKeys(t *testing.T) {
	store := conditionStore{kvtest.NewMemory(nil)}
	ctx := context.Background()
	entries := []Entry{{Key: "a", Revision: 2}, {Key: "b", Revision: 3}}
	for _, key := range []string{"a", "b", "other"} {
		_, err := store.Txn(ctx, kv.Txn{Puts: []kv.Put{{Key: key, Value: []byte("v")}}})
		must.NoError(t, err)
	}
	r := NewRunner(Config{Self: Member{ID: "self"}}, store, nil, nil, nil, zap.NewNop())
	for _, e := range entries {
		r.node.replica.Apply(Item{Key: e.Key, Revision: e.Revision, Value: []byte("v")})
	}
	r.node.store.verifying = entries
	r.verify(ctx, Verify{entries})
	for _, e := range entries {
		_, exists := r.Replica().Get(e.Key)
		must.True(t, exists, must.Sprint(e.Key))
	}
}

// TestNoticesFitBroadcast guards against notices that the node encodes and the membership broadcast rejects, so that the change
// is announced nowhere: a payload has one byte for its kind besides.
func TestNoticesFitBroadcast(t *testing.T) {
	for length := range 2 * membership.MaxPayload {
		payload, ok := notice{Entry{strings.Repeat("k", length+1), 7}, "origin"}.encode()
		must.Eq(t, len(payload)+1 <= membership.MaxPayload, ok, must.Sprint(length+1))
	}
}
