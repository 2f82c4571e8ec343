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
	// defaultSilenceTimeout is the time without a message or an empty poll after which a watch ends, so that a half-open
	// connection is detected.
	defaultSilenceTimeout = 5 * time.Second
	// defaultProgressInterval is the time without a message after which the watch reads the changed keys from the store.
	defaultProgressInterval = 1500 * time.Millisecond
)

// Watch implements kv.Store. While no message arrives, it polls the store for changes with range requests, because etcd by
// default sends progress messages only every ten minutes. A change found by polling is delivered a second time when the
// watch reports it. A deletion cannot be found by polling and is delivered by the watch only. The watch ends if, for the
// length of the silence timeout, it delivers no message and no poll shows that nothing changed.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, fn func(kv.WatchBatch)) error {
	c.calls.Watches.Add(1)
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(c.silenceTimeout, func() { cancel(eris.Errorf("nothing received for %s", c.silenceTimeout)) })
	defer silenceTimer.Stop()
	create := WatchCreate{
		Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), StartRevision: Int64(from), ProgressNotify: true,
	}
	resp, _, err := c.send(watchCtx, PathWatch, WatchRequest{Create: &create}, true)
	if err != nil {
		return watchEndError(ctx, watchCtx, err)
	}
	defer resp.Body.Close()
	messages, ended := readMessages(watchCtx, resp.Body)
	seenRevision := from - 1
	ticker := time.NewTicker(c.progressInterval)
	defer ticker.Stop()
	for {
		select {
		case msg := <-messages:
			if err := watchError(msg); err != nil {
				return err
			}
			silenceTimer.Reset(c.silenceTimeout)
			ticker.Reset(c.progressInterval)
			if msg.Result.Created && len(msg.Result.Events) == 0 {
				if from == 0 {
					seenRevision = int64(msg.Result.Header.Revision)
				}
				// The revision in this message's header may be newer than events that have not arrived yet, so it is not
				// used as a resume revision.
				continue
			}
			batch := decodeBatch(msg)
			seenRevision = max(seenRevision, batch.Revision)
			fn(batch)
		case <-ticker.C:
			events, err := c.changedSince(watchCtx, prefix, seenRevision)
			if err != nil || seenRevision < 0 {
				continue
			}
			if len(events) == 0 {
				silenceTimer.Reset(c.silenceTimeout)
			}
			// The batch carries the watch's revision, so that a resumed watch delivers the events that this one has not.
			fn(kv.WatchBatch{Revision: seenRevision, Events: events})
		case err := <-ended:
			return watchEndError(ctx, watchCtx, err)
		}
	}
}

// maxWatchMessageBytes limits a message of a watch: the events of one transaction in base64.
const maxWatchMessageBytes = 8 << 20

var errMessageTooLarge = errors.New("message of the watch is too large")

// messageReader reads at most left bytes.
type messageReader struct {
	body io.Reader
	left int
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if m.left == 0 {
		return 0, errMessageTooLarge
	}
	n, err := m.body.Read(p[:min(len(p), m.left)])
	m.left -= n
	return n, err
}

// readMessages decodes the messages of a watch until the stream or ctx ends, or a message is too large.
func readMessages(ctx context.Context, body io.Reader) (<-chan WatchResponse, <-chan error) {
	messages, ended := make(chan WatchResponse), make(chan error, 1)
	go func() {
		limited := &messageReader{body: body}
		dec := json.NewDecoder(limited)
		for {
			limited.left = maxWatchMessageBytes
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

// watchError returns the error for a message that ends the watch, or nil for any other message.
func watchError(msg WatchResponse) error {
	if msg.Result.CompactRevision > 0 {
		return kv.ErrCompacted
	}
	if msg.Result.Canceled {
		return errors.Join(kv.ErrUnavailable, eris.New("watch cancelled by the store"))
	}
	return nil
}

// changedSince reads the existing keys that changed after the revision, ordered by their modification revision.
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

// watchEndError returns the error of a watch whose connection ended: the error of the caller's context, or
// kv.ErrUnavailable with the cause.
func watchEndError(caller, watch context.Context, err error) error {
	if caller.Err() != nil {
		return caller.Err()
	}
	if cause := context.Cause(watch); cause != nil {
		err = cause
	}
	return errors.Join(kv.ErrUnavailable, eris.Wrap(err, "watch ended"))
}

// decodeBatch converts a watch message to a batch. The batch's revision is that of its last event, because the header
// revision of a message with events may be newer than events in the next message.
func decodeBatch(msg WatchResponse) kv.WatchBatch {
	batch := kv.WatchBatch{Revision: int64(msg.Result.Header.Revision)}
	for _, e := range msg.Result.Events {
		batch.Events = append(batch.Events, kv.Event{Item: e.KV.Item(), Deleted: e.Type == "DELETE"})
		batch.Revision = int64(e.KV.ModRevision)
	}
	return batch
}
