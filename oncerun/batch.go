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

// claimValue is the value stored under a claim key.
type claimValue struct {
	Nonce       string    `json:"nonce"`
	Fingerprint string    `json:"fingerprint"`
	Node        string    `json:"node,omitempty"`
	Time        time.Time `json:"time"`
}

// decodeClaim returns the zero value if data cannot be decoded. The zero value matches no nonce.
func decodeClaim(data []byte) claimValue {
	var v claimValue
	if json.Unmarshal(data, &v) != nil {
		return claimValue{}
	}
	return v
}

// outcome is the result of a claim: either the claim or the error.
type outcome struct {
	claim *Claim
	err   error
}

// States of a pendingClaim.
const (
	waiting int32 = iota
	delivered
	abandoned
)

// pendingClaim is a claim that waits for the transaction that writes it.
type pendingClaim struct {
	key   string
	value claimValue
	done  chan outcome
	state atomic.Int32
}

// abandon marks the claim as no longer wanted. It reports false if an outcome has already been delivered.
func (p *pendingClaim) abandon() bool { return p.state.CompareAndSwap(waiting, abandoned) }

func (r *Runner) enqueue(p *pendingClaim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, p)
	if !r.flushing {
		r.flushing = true
		r.background.Go(r.flush)
	}
}

// flush commits the pending claims, one transaction at a time, until there are none left. Claims that arrive during a
// transaction are grouped into the next one.
func (r *Runner) flush() {
	for {
		batch := r.takeBatch()
		if len(batch) == 0 {
			return
		}
		r.commit(batch)
	}
}

// takeBatch removes up to MaxBatch pending claims of distinct keys from the queue. If there are none, it marks the
// flush as ended.
func (r *Runner) takeBatch() []*pendingClaim {
	r.mu.Lock()
	defer r.mu.Unlock()
	var batch, remaining []*pendingClaim
	keys := make(map[string]bool)
	for _, p := range r.pending {
		switch {
		case p.state.Load() == abandoned:
		case keys[p.key] || len(batch) == r.opts.MaxBatch:
			remaining = append(remaining, p)
		default:
			keys[p.key] = true
			batch = append(batch, p)
		}
	}
	r.pending = remaining
	r.flushing = len(batch) > 0
	return batch
}

// maxCommitAttempts limits the failed store calls for one batch.
const maxCommitAttempts = 3

// commit delivers an outcome to every claim of the batch. If some of the keys already exist, the outcomes of their
// claims are delivered and the remaining claims are committed again, so each round completes at least one claim. After a
// lost response the same transaction is sent again: if the first one took effect, the second fails and returns the
// stored nonces.
func (r *Runner) commit(batch []*pendingClaim) {
	uncertain := false
	for failures := 0; len(batch) > 0; {
		result, err := r.commitOnce(batch)
		if err == nil && result.Succeeded {
			r.deliverClaims(batch, result.Revision)
			return
		}
		if err == nil {
			remaining := r.resolveExisting(batch, result.Items)
			if len(remaining) < len(batch) {
				batch = remaining
				continue
			}
			err = errors.Join(kv.ErrUnavailable, errors.New("the store rejected the transaction although no claim key exists"))
		}
		uncertain = uncertain || errors.Is(err, kv.ErrOutcomeUnknown)
		r.lease.invalidate()
		failures++
		if failures < maxCommitAttempts && r.backOff(context.Background(), failures) {
			continue
		}
		r.failBatch(batch, err, uncertain)
		return
	}
}

func (r *Runner) commitOnce(batch []*pendingClaim) (kv.TxnResult, error) {
	lease, err := r.lease.get(context.Background())
	if err != nil {
		// Only the text of the cause is kept: an unknown outcome of the grant must not count as an unknown outcome of the
		// claims.
		return kv.TxnResult{}, errors.Join(kv.ErrUnavailable, errors.New("lease: "+err.Error()))
	}
	var txn kv.Txn
	for _, p := range batch {
		value, err := json.Marshal(p.value)
		if err != nil {
			return kv.TxnResult{}, errors.Join(kv.ErrUnavailable, err)
		}
		txn.If = append(txn.If, kv.Compare{Key: p.key})
		txn.Puts = append(txn.Puts, kv.Put{Key: p.key, Value: value, Lease: lease})
		txn.Else = append(txn.Else, p.key)
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.opts.StoreTimeout)
	defer cancel()
	r.counters.Transactions.Add(1)
	return r.store.Txn(ctx, txn)
}

func (r *Runner) deliverClaims(batch []*pendingClaim, revision int64) {
	for _, p := range batch {
		r.deliver(p, outcome{claim: &Claim{runner: r, key: p.key, nonce: p.value.Nonce, revision: revision}})
	}
}

// resolveExisting delivers the outcomes of the claims whose keys already exist and returns the other claims.
func (r *Runner) resolveExisting(batch []*pendingClaim, items []kv.Item) []*pendingClaim {
	existing := make(map[string]kv.Item, len(items))
	for _, item := range items {
		existing[item.Key] = item
	}
	var remaining []*pendingClaim
	for _, p := range batch {
		item, ok := existing[p.key]
		if !ok {
			remaining = append(remaining, p)
			continue
		}
		r.deliver(p, r.outcomeOfExisting(p, item))
	}
	return remaining
}

// outcomeOfExisting returns the outcome of a claim whose key already exists, written either by an earlier attempt of
// this claim or by another request.
func (r *Runner) outcomeOfExisting(p *pendingClaim, item kv.Item) outcome {
	stored := decodeClaim(item.Value)
	switch {
	case stored.Nonce == p.value.Nonce:
		return outcome{claim: &Claim{runner: r, key: p.key, nonce: stored.Nonce, revision: item.ModRevision}}
	case stored.Fingerprint != "" && stored.Fingerprint != p.value.Fingerprint:
		return outcome{err: api.FieldErrorf(api.KeyConflict, api.HeaderIdempotencyKey, "the key belongs to another request")}
	default:
		return outcome{err: api.Errorf(api.AlreadyDispatched,
			"the key was claimed at %s by %s; the request may have run", stored.Time.Format(time.RFC3339), stored.Node)}
	}
}

// failBatch delivers an error to every claim of the batch. Claims that may have been written are released in the
// background, because their requests will not be dispatched.
func (r *Runner) failBatch(batch []*pendingClaim, err error, uncertain bool) {
	refusal := storeUnavailable(err)
	for _, p := range batch {
		if uncertain {
			r.releaseInBackground(&Claim{runner: r, key: p.key, nonce: p.value.Nonce})
		}
		r.deliver(p, outcome{err: refusal})
	}
}

// deliver passes the outcome to the caller of Claim. If the pending claim was abandoned, a claim that was written is
// released.
func (r *Runner) deliver(p *pendingClaim, result outcome) {
	if p.state.CompareAndSwap(waiting, delivered) {
		p.done <- result
		return
	}
	if result.claim != nil {
		r.releaseInBackground(result.claim)
	}
}
