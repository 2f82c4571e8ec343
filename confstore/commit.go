package confstore

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/kv"
)

const (
	// commitAttempts bounds how often a write whose outcome is unknown is read back and sent again.
	commitAttempts = 5
	// commitPause is the wait before the second attempt; it doubles with each further one.
	commitPause = 50 * time.Millisecond
)

// changeRef is the trace that a change leaves in a value. Refs are ordered newest first.
type changeRef struct {
	id       string
	replaced int64
}

// write is one compare-and-swap of a key. The value records the change id.
type write struct {
	key   string
	based int64
	id    string
	value []byte
	// guard holds further conditions. A guard that failed once never holds again, because revisions only grow.
	guard []kv.Compare
	refs  func(kv.Item) ([]changeRef, error)
}

func (w write) txn() kv.Txn {
	conditions := append([]kv.Compare{{Key: w.key, ModRevision: w.based}}, w.guard...)
	return kv.Txn{If: conditions, Puts: []kv.Put{{Key: w.key, Value: w.value}}}
}

// outcome is what a read-back shows about a write whose answer was lost.
type outcome int

const (
	// outcomePending: the key is still at the base revision, and the write may still arrive at the store.
	outcomePending outcome = iota
	outcomeCommitted
	// outcomeLost: another change replaced the base revision, so this one can never be committed.
	outcomeLost
	// outcomeUnknown: more changes followed than the value keeps.
	outcomeUnknown
)

// judge determines the outcome of a write from the value read back, and the revision if it was committed.
func judge(refs []changeRef, current, based int64, id string) (outcome, int64) {
	revision := current
	for _, r := range refs {
		if r.id == id {
			return outcomeCommitted, revision
		}
		if r.replaced == based {
			return outcomeLost, 0
		}
		revision = r.replaced
	}
	if current == based {
		return outcomePending, 0
	}
	return outcomeUnknown, 0
}

// commit writes a value. committed is false, without an error, if the conditions did not hold: the change was not
// made and never will be. The error is kv.ErrUncertain if the outcome could not be determined.
//
// A write with an unknown outcome is sent again with the same id and base. At most one of the copies can be
// committed, because each compares the key with the base revision.
func (c *Client) commit(ctx context.Context, w write) (revision int64, committed bool, err error) {
	result, err := c.store.Txn(ctx, w.txn())
	if !errors.Is(err, kv.ErrUncertain) {
		return result.Revision, result.Succeeded, err
	}
	for attempt := range commitAttempts {
		state, revision, readErr := c.readBack(ctx, w)
		switch {
		case readErr != nil:
			err = errors.Join(kv.ErrUncertain, readErr)
		case state == outcomeCommitted:
			return revision, true, nil
		case state == outcomeLost:
			return 0, false, nil
		case state == outcomeUnknown:
			return 0, false, eris.Wrapf(kv.ErrUncertain, "%s changed too often to determine the outcome of change %s", w.key, w.id)
		}
		if c.pause(ctx, commitPause<<attempt) != nil {
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
			// Either an earlier copy or another change was committed, or a guard failed.
			if state, revision, readErr = c.readBack(ctx, w); readErr == nil && state != outcomeUnknown {
				return revision, state == outcomeCommitted, nil
			}
		default:
			err = errors.Join(kv.ErrUncertain, txnErr)
		}
	}
	return 0, false, eris.Wrapf(err, "outcome of change %s of %s", w.id, w.key)
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
	state, revision := judge(refs, item.ModRevision, w.based, w.id)
	return state, revision, nil
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
