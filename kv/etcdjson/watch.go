package etcdjson

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/kv"
)

// watchSilence ends a watch on which nothing arrived for this long, so that a half-open connection is noticed. The
// store must send progress messages more often than this.
const watchSilence = 5 * time.Second

// Watch implements kv.Store.
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
	dec := json.NewDecoder(resp.Body)
	for {
		var msg WatchResponse
		if err := dec.Decode(&msg); err != nil {
			return watchEnd(ctx, watchCtx, err)
		}
		silence.Reset(c.silence)
		if msg.Result.CompactRevision > 0 {
			return kv.ErrCompacted
		}
		if msg.Result.Canceled {
			return errors.Join(kv.ErrUnavailable, eris.New("watch cancelled by the store"))
		}
		if msg.Result.Created && len(msg.Result.Events) == 0 {
			// The header of this message is newer than the events that are still to come.
			continue
		}
		fn(decodeBatch(msg))
	}
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
