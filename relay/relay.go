// Package relay sends sub-requests to replicas to which this daemon has no connections through a peer that has some
// (the second hop). Sub-requests to the same peer within a short window are sent in one batch.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/backend"
)

// Peer is another entry daemon.
type Peer struct {
	ID      string
	Address string
}

// ConnectionOwners looks up the daemons that hold connections to a replica. Implementations are safe for concurrent use.
type ConnectionOwners interface {
	// IsDirect reports whether this daemon holds connections to the replica.
	IsDirect(replica string) bool
	// Owners returns the live peers that hold connections to the replica, best first.
	Owners(replica string) []Peer
}

// Sender sends a sub-request directly to a replica. Implementations are safe for concurrent use.
type Sender interface {
	Send(ctx context.Context, replica string, sub backend.SubRequest) (backend.SubResponse, error)
}

// SubRequest is a sub-request that is sent through a peer.
type SubRequest struct {
	backend.SubRequest
	// ID identifies the sub-request within its batch.
	ID      int32
	Replica string
	// Remaining is the time left when the sub-request is sent, or 0 if it has no deadline. A negative value means that
	// the deadline has passed.
	Remaining time.Duration
}

// SubResult is the result of the sub-request with the same ID and attempt. Failure is empty if there is an answer,
// which is JSON-encoded.
type SubResult struct {
	ID      int32
	Attempt string
	Answer  []byte
	Failure backend.Failure
	Reason  backend.RefusalReason
}

// Transport sends a batch to a peer. Implementations are safe for concurrent use.
type Transport interface {
	// Forward calls done for each result as it arrives, and returns after the last one or on failure. sent is false
	// only if no byte of the batch reached the peer. The end of ctx cancels the batch at the peer; an ID received from
	// cancelled means that nobody waits for this sub-request any more. done is safe for concurrent use.
	Forward(ctx context.Context, to Peer, subs []SubRequest, cancelled <-chan int32, done func(SubResult)) (sent bool, err error)
}

var errNoOwner = errors.New("no live daemon has connections to the replica")

// Router implements Sender: it sends directly if this daemon has connections to the replica, and through a peer
// otherwise. It is safe for concurrent use.
type Router struct {
	owners  ConnectionOwners
	direct  Sender
	batcher *batcher
}

// NewRouter returns a router. It must be closed with Close.
func NewRouter(owners ConnectionOwners, direct Sender, transport Transport) *Router {
	return &Router{owners: owners, direct: direct, batcher: newBatcher(transport)}
}

// Close cancels the batches in flight and waits for their end. Send must not be called afterwards.
func (r *Router) Close() { r.batcher.close() }

// Send implements Sender. Errors are of type *backend.Error: NotSent and Refused mean that nothing was executed. A
// sub-request that was never sent is sent through the next owner. After any other failure Send does not retry, so a
// non-idempotent sub-request is never relayed twice after a failure with unknown outcome.
func (r *Router) Send(ctx context.Context, replica string, sub backend.SubRequest) (backend.SubResponse, error) {
	if r.owners.IsDirect(replica) {
		return r.direct.Send(ctx, replica, sub)
	}
	err := error(&backend.Error{Failure: backend.NotSent, Cause: errNoOwner})
	for _, peer := range r.owners.Owners(replica) {
		var answer backend.SubResponse
		answer, err = r.sendThroughPeer(ctx, peer, replica, sub)
		if err == nil || backend.FailureOf(err) != backend.NotSent || ctx.Err() != nil {
			return answer, err
		}
	}
	return backend.SubResponse{}, err
}

func (r *Router) sendThroughPeer(ctx context.Context, peer Peer, replica string, sub backend.SubRequest) (backend.SubResponse, error) {
	pending := &pendingSub{ctx: ctx, sub: SubRequest{SubRequest: sub, Replica: replica}, done: make(chan outcome, 1)}
	r.batcher.add(peer, pending)
	select {
	case o := <-pending.done:
		answer, err := decodeAnswer(sub, replica, o)
		pending.recordError(err)
		return answer, err
	case <-ctx.Done():
	}
	if pending.withdraw() {
		return backend.SubResponse{}, &backend.Error{Failure: backend.NotSent, Cause: ctx.Err()}
	}
	return backend.SubResponse{}, &backend.Error{Failure: backend.TimedOut, Cause: ctx.Err()}
}

// decodeAnswer decodes the answer and checks that it belongs to the attempt.
func decodeAnswer(sub backend.SubRequest, replica string, o outcome) (backend.SubResponse, error) {
	if o.err != nil {
		return backend.SubResponse{}, o.err
	}
	if o.result.Attempt != sub.Attempt {
		return backend.SubResponse{}, &backend.Error{Failure: backend.Mismatched, Cause: eris.New("result belongs to another attempt")}
	}
	if o.result.Failure != "" {
		return backend.SubResponse{}, &backend.Error{
			Failure: o.result.Failure,
			Refusal: backend.Refusal{Reason: o.result.Reason, Ran: "never", Replica: replica},
			Cause:   eris.New("reported by the peer"),
		}
	}
	var answer backend.SubResponse
	if err := json.Unmarshal(o.result.Answer, &answer); err != nil {
		return answer, &backend.Error{Failure: backend.Undecodable, Cause: err}
	}
	if answer.Request != sub.Request || answer.Attempt != sub.Attempt || answer.End != sub.Attempt ||
		answer.Shard != sub.Shard || sub.Key == "" && answer.Version != sub.Version {
		return backend.SubResponse{}, &backend.Error{Failure: backend.Mismatched, Cause: eris.New("answer belongs to another attempt")}
	}
	return answer, nil
}
