package oncerun

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/kv"
)

// claimValue is the value of a claim key.
type claimValue struct {
	Nonce       string    `json:"nonce"`
	Fingerprint string    `json:"fingerprint"`
	Node        string    `json:"node,omitempty"`
	Time        time.Time `json:"time"`
}

// decodeClaim returns the zero value for a value that cannot be decoded; it matches no nonce.
func decodeClaim(data []byte) claimValue {
	var v claimValue
	if json.Unmarshal(data, &v) != nil {
		return claimValue{}
	}
	return v
}

type outcome struct {
	claim *Claim
	err   error
}

// States of a waiter.
const (
	waiting int32 = iota
	delivered
	abandoned
)

// waiter is a claim that waits for its transaction.
type waiter struct {
	key   string
	value claimValue
	done  chan outcome
	state atomic.Int32
}

// abandon reports whether the waiter was given up before an outcome was delivered.
func (w *waiter) abandon() bool { return w.state.CompareAndSwap(waiting, abandoned) }

func (r *Runner) enqueue(w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append(r.queue, w)
	if !r.flushing {
		r.flushing = true
		r.cleanups.Go(r.flush)
	}
}

// flush commits the waiting claims, one transaction at a time, until none waits. Claims that arrive during a
// transaction share the next one.
func (r *Runner) flush() {
	for {
		batch := r.nextBatch()
		if len(batch) == 0 {
			return
		}
		r.commit(batch)
	}
}

// nextBatch takes waiting claims of distinct keys. It ends the flush if there are none.
func (r *Runner) nextBatch() []*waiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	var batch, rest []*waiter
	keys := make(map[string]bool)
	for _, w := range r.queue {
		switch {
		case w.state.Load() == abandoned:
		case keys[w.key] || len(batch) == r.opt.MaxBatch:
			rest = append(rest, w)
		default:
			keys[w.key] = true
			batch = append(batch, w)
		}
	}
	r.queue = rest
	r.flushing = len(batch) > 0
	return batch
}

// commitTries bounds the failed store calls for one batch.
const commitTries = 3

// commit settles every claim of the batch. After a conflict the claims that exist already are settled and the
// rest is tried again, so each round settles at least one claim. After a lost answer the same transaction runs
// again: if its first run took effect, it fails and reads the nonces back.
func (r *Runner) commit(batch []*waiter) {
	uncertain := false
	for failures := 0; len(batch) > 0; {
		result, err := r.tryCommit(batch)
		if err == nil && result.Succeeded {
			r.deliverClaimed(batch, result.Revision)
			return
		}
		if err == nil {
			rest := r.settleExisting(batch, result.Items)
			if len(rest) < len(batch) {
				batch = rest
				continue
			}
			err = errors.Join(kv.ErrUnavailable, errors.New("the store refused a transaction without a reason"))
		}
		uncertain = uncertain || errors.Is(err, kv.ErrUncertain)
		r.lease.drop()
		failures++
		if failures < commitTries && r.pause(context.Background(), failures) {
			continue
		}
		r.fail(batch, err, uncertain)
		return
	}
}

func (r *Runner) tryCommit(batch []*waiter) (kv.TxnResult, error) {
	lease, err := r.lease.get(context.Background())
	if err != nil {
		return kv.TxnResult{}, errors.Join(kv.ErrUnavailable, errors.New("lease: "+err.Error()))
	}
	var txn kv.Txn
	for _, w := range batch {
		value, err := json.Marshal(w.value)
		if err != nil {
			return kv.TxnResult{}, errors.Join(kv.ErrUnavailable, err)
		}
		txn.If = append(txn.If, kv.Compare{Key: w.key})
		txn.Puts = append(txn.Puts, kv.Put{Key: w.key, Value: value, Lease: lease})
		txn.Otherwise = append(txn.Otherwise, w.key)
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.opt.StoreTimeout)
	defer cancel()
	r.counters.Transactions.Add(1)
	return r.store.Txn(ctx, txn)
}

func (r *Runner) deliverClaimed(batch []*waiter, revision int64) {
	for _, w := range batch {
		r.deliver(w, outcome{claim: &Claim{runner: r, key: w.key, nonce: w.value.Nonce, revision: revision}})
	}
}

// settleExisting delivers the outcome of claims whose key exists and returns the others.
func (r *Runner) settleExisting(batch []*waiter, items []kv.Item) []*waiter {
	existing := make(map[string]kv.Item, len(items))
	for _, item := range items {
		existing[item.Key] = item
	}
	var rest []*waiter
	for _, w := range batch {
		item, ok := existing[w.key]
		if !ok {
			rest = append(rest, w)
			continue
		}
		r.deliver(w, r.existing(w, item))
	}
	return rest
}

// existing returns the outcome of a claim whose key exists: its own earlier write, or the claim of another
// request.
func (r *Runner) existing(w *waiter, item kv.Item) outcome {
	found := decodeClaim(item.Value)
	switch {
	case found.Nonce == w.value.Nonce:
		return outcome{claim: &Claim{runner: r, key: w.key, nonce: found.Nonce, revision: item.ModRevision}}
	case found.Fingerprint != "" && found.Fingerprint != w.value.Fingerprint:
		return outcome{err: api.FieldErrorf(api.KeyConflict, api.HeaderKey, "the key belongs to another request")}
	default:
		return outcome{err: api.Errorf(api.AlreadyDispatched,
			"the key was claimed at %s by %s; the request may have run", found.Time.Format(time.RFC3339), found.Node)}
	}
}

// fail refuses the batch. Claims that may have been written are released in the background, because none of
// their requests is dispatched.
func (r *Runner) fail(batch []*waiter, err error, uncertain bool) {
	refusal := storeError(err)
	for _, w := range batch {
		if uncertain {
			r.releaseLater(&Claim{runner: r, key: w.key, nonce: w.value.Nonce})
		}
		r.deliver(w, outcome{err: refusal})
	}
}

// deliver hands the outcome to the waiter. A claim that nobody waits for any more is released.
func (r *Runner) deliver(w *waiter, out outcome) {
	if w.state.CompareAndSwap(waiting, delivered) {
		w.done <- out
		return
	}
	if out.claim != nil {
		r.releaseLater(out.claim)
	}
}
