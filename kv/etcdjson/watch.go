package etcdjson

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/kv"
)

const (
	// watchSilence ends a watch on which nothing arrived for this long, so that a half-open connection is noticed.
	watchSilence = 5 * time.Second
	// watchProgress is the silence after which the store is asked about changes.
	watchProgress = 1500 * time.Millisecond
)

// Watch implements kv.Store. While the watch is silent, it asks the store about changes with a range request, because
// etcd by default sends progress messages only every ten minutes. A change that is found that way is delivered again by
// the watch, and a deletion is delivered by the watch alone. A watch that stays behind such a change for too long ends.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, fn func(kv.WatchBatch)) error {
	c.calls.Watches.Add(1)
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.silence, func() { cancel(eris.Errorf("nothing received for %s", c.silence)) })
	defer silence.Stop()
	create := WatchCreate{
		Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), StartRevision: Int64(from), ProgressNotify: true,
	}
	resp, _, err := c.send(watchCtx, PathWatch, WatchRequest{Create: &create}, true)
	if err != nil {
		return watchEnd(ctx, watchCtx, err)
	}
	defer resp.Body.Close()
	messages, ended := receive(watchCtx, resp.Body)
	seen := from - 1
	ticker := time.NewTicker(c.progress)
	defer ticker.Stop()
	for {
		select {
		case msg := <-messages:
			if err := ending(msg); err != nil {
				return err
			}
			silence.Reset(c.silence)
			ticker.Reset(c.progress)
			if msg.Result.Created && len(msg.Result.Events) == 0 {
				if from == 0 {
					seen = int64(msg.Result.Header.Revision)
				}
				// The header of this message is newer than the events that are still to come.
				continue
			}
			batch := decodeBatch(msg)
			seen = max(seen, batch.Revision)
			fn(batch)
		case <-ticker.C:
			events, err := c.changedSince(watchCtx, prefix, seen)
			if err != nil || seen < 0 {
				continue
			}
			if len(events) == 0 {
				silence.Reset(c.silence)
			}
			// The revision stays that of the watch, so that a resumed watch delivers what this one has not.
			fn(kv.WatchBatch{Revision: seen, Events: events})
		case err := <-ended:
			return watchEnd(ctx, watchCtx, err)
		}
	}
}

// receive decodes the messages of a watch until it ends or ctx ends.
func receive(ctx context.Context, body io.Reader) (<-chan WatchResponse, <-chan error) {
	messages, ended := make(chan WatchResponse), make(chan error, 1)
	go func() {
		dec := json.NewDecoder(body)
		for {
			var msg WatchResponse
			if err := dec.Decode(&msg); err != nil {
				ended <- err
				return
			}
			select {
			case messages <- msg:
			case <-ctx.Done():
				ended <- ctx.Err()
				return
			}
		}
	}()
	return messages, ended
}

// ending returns the error of a message that ends the watch, or nil.
func ending(msg WatchResponse) error {
	if msg.Result.CompactRevision > 0 {
		return kv.ErrCompacted
	}
	if msg.Result.Canceled {
		return errors.Join(kv.ErrUnavailable, eris.New("watch cancelled by the store"))
	}
	return nil
}

// changedSince reads the keys that changed after the revision, in the order of their changes.
func (c *Client) changedSince(ctx context.Context, prefix string, revision int64) ([]kv.Event, error) {
	c.calls.Reads.Add(1)
	var out RangeResponse
	in := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), MinModRevision: Int64(revision + 1)}
	if err := c.call(ctx, PathRange, in, &out, kv.ErrUnavailable); err != nil {
		return nil, err
	}
	var events []kv.Event
	for _, k := range out.KVs {
		events = append(events, kv.Event{Item: k.Item()})
	}
	slices.SortFunc(events, func(a, b kv.Event) int { return cmp.Compare(a.Item.ModRevision, b.Item.ModRevision) })
	return events, nil
}

// watchEnd returns the error of a watch that broke: the caller's context error, or kv.ErrUnavailable with its cause.
func watchEnd(caller, watch context.Context, err error) error {
	if caller.Err() != nil {
		return caller.Err()
	}
	if cause := context.Cause(watch); cause != nil {
		err = cause
	}
	return errors.Join(kv.ErrUnavailable, eris.Wrap(err, "watch ended"))
}

// decodeBatch takes the revision of a batch from its last event. The header of a message that carries events may
// be newer than events that the store sends in the next message.
func decodeBatch(msg WatchResponse) kv.WatchBatch {
	batch := kv.WatchBatch{Revision: int64(msg.Result.Header.Revision)}
	for _, e := range msg.Result.Events {
		batch.Events = append(batch.Events, kv.Event{Item: e.KV.Item(), Deleted: e.Type == "DELETE"})
		batch.Revision = int64(e.KV.ModRevision)
	}
	return batch
}
