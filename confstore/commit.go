package confstore

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/kv"
)

const (
	// maxCommitAttempts is the maximum number of times that a write with an unknown outcome is read back and resent.
	maxCommitAttempts = 5
	// commitRetryDelay is the delay before the second attempt. It doubles with each further one.
	commitRetryDelay = 50 * time.Millisecond
)

// changeRef identifies a change in a stored value by its id and the revision that it replaced. Refs are ordered from
// newest to oldest.
type changeRef struct {
	id       string
	replaced int64
}

// write is a compare-and-swap of one key. The value contains the change id.
type write struct {
	key          string
	baseRevision int64
	id           string
	value        []byte
	// preconditions are additional conditions. One that has failed never holds again, because revisions only grow.
	preconditions []kv.Compare
	refs          func(kv.Item) ([]changeRef, error)
}

func (w write) txn() kv.Txn {
	conditions := append([]kv.Compare{{Key: w.key, ModRevision: w.baseRevision}}, w.preconditions...)
	return kv.Txn{If: conditions, Puts: []kv.Put{{Key: w.key, Value: w.value}}}
}

// outcome is what reading back a key shows about a write whose answer was lost.
type outcome int

const (
	// outcomePending means that the key is still at the base revision, and that the write may still reach the store.
	outcomePending outcome = iota
	// outcomeCommitted means that the value contains the change.
	outcomeCommitted
	// outcomeSuperseded means that another change replaced the base revision, so this one can never be committed.
	outcomeSuperseded
	// outcomeUnknown means that more changes followed than the value records.
	outcomeUnknown
)

// determineOutcome returns the outcome of a write from the changes in the value that was read back, and the revision
// if it was committed.
func determineOutcome(refs []changeRef, current, baseRevision int64, id string) (outcome, int64) {
	revision := current
	for _, r := range refs {
		if r.id == id {
			return outcomeCommitted, revision
		}
		if r.replaced == baseRevision {
			return outcomeSuperseded, 0
		}
		revision = r.replaced
	}
	if current == baseRevision {
		return outcomePending, 0
	}
	return outcomeUnknown, 0
}

// commit writes a value. If a condition does not hold, committed is false without an error: the change was not made
// and never will be. The error is kv.ErrOutcomeUnknown if the outcome cannot be determined.
//
// A write with an unknown outcome is resent with the same id and base revision. At most one of the requests can be
// committed, because each compares the key with the base revision.
func (c *Client) commit(ctx context.Context, w write) (revision int64, committed bool, err error) {
	result, err := c.store.Txn(ctx, w.txn())
	if !errors.Is(err, kv.ErrOutcomeUnknown) {
		return result.Revision, result.Succeeded, err
	}
	for attempt := range maxCommitAttempts {
		state, revision, readErr := c.readBack(ctx, w)
		switch {
		case readErr != nil:
			err = errors.Join(kv.ErrOutcomeUnknown, readErr)
		case state == outcomeCommitted:
			return revision, true, nil
		case state == outcomeSuperseded:
			return 0, false, nil
		case state == outcomeUnknown:
			return 0, false, eris.Wrapf(kv.ErrOutcomeUnknown, "%s changed too often to determine the outcome of change %s", w.key, w.id)
		}
		if c.sleep(ctx, commitRetryDelay<<attempt) != nil {
			break
		}
		if readErr != nil {
			continue
		}
		result, txnErr := c.store.Txn(ctx, w.txn())
		switch {
		case txnErr == nil && result.Succeeded:
			return result.Revision, true, nil
		case txnErr == nil:
			// An earlier request or another change was committed, or a precondition failed.
			if state, revision, readErr = c.readBack(ctx, w); readErr == nil && state != outcomeUnknown {
				return revision, state == outcomeCommitted, nil
			}
		default:
			err = errors.Join(kv.ErrOutcomeUnknown, txnErr)
		}
	}
	return 0, false, eris.Wrapf(err, "determine the outcome of change %s of %s", w.id, w.key)
}

func (c *Client) readBack(ctx context.Context, w write) (outcome, int64, error) {
	item, found, err := c.store.Get(ctx, w.key)
	if err != nil {
		return outcomeUnknown, 0, err
	}
	var refs []changeRef
	if found {
		if refs, err = w.refs(item); err != nil {
			return outcomeUnknown, 0, err
		}
	}
	state, revision := determineOutcome(refs, item.ModRevision, w.baseRevision, w.id)
	return state, revision, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
