package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/relay"
	"github.com/chivemill/chivemill/snapshot"
)

// Executor executes sub-requests for a peer over this daemon's own connections; relay.LocalExecutor implements it.
type Executor interface {
	// Execute calls done once for each sub-request, possibly concurrently, and returns after the last call. Each ID
	// received from cancelled means that nobody waits for the sub-request with that ID any more.
	Execute(ctx context.Context, subs []relay.SubRequest, cancelled <-chan int32, done func(relay.SubResult))
}

var _ relay.Transport = (*Client)(nil)

// Forward implements relay.Transport.
func (c *Client) Forward(
	ctx context.Context, to relay.Peer, subs []relay.SubRequest, cancelled <-chan int32, done func(relay.SubResult),
) (bool, error) {
	conn, release, err := c.pool.get(ctx, poolKey{to.Address, classRelay})
	if err != nil {
		return false, err
	}
	defer release()
	req := &RelayRequest{From: c.self}
	for _, s := range subs {
		req.Subs = append(req.Subs, encodeSubRequest(s))
	}
	stream, err := NewDRPCRelayClient(conn).Forward(ctx)
	if err != nil {
		return true, eris.Wrapf(err, "forward sub-requests through peer %s", to.ID)
	}
	defer stream.Close()
	if err := stream.Send(req); err != nil {
		return true, eris.Wrapf(err, "forward sub-requests through peer %s", to.ID)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { sendCancellations(stream, cancelled, stop) })
	defer wg.Wait()
	defer close(stop)
	for {
		resp, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return true, eris.Wrapf(err, "forward sub-requests through peer %s", to.ID)
		}
		for _, s := range resp.GetSubs() {
			done(decodeResult(s))
		}
	}
}

// sendCancellations sends cancelled IDs to the peer until stop is closed or the stream fails.
func sendCancellations(stream DRPCRelay_ForwardClient, cancelled <-chan int32, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case id := <-cancelled:
			if stream.Send(&RelayRequest{Cancel: []int32{id}}) != nil {
				return
			}
		}
	}
}

type relayServer struct{ executor Executor }

// Forward implements DRPCRelayServer.
func (s *relayServer) Forward(stream DRPCRelay_ForwardStream) error {
	r, err := stream.Recv()
	if err != nil {
		return err
	}
	cancelled := make(chan int32)
	go receiveCancellations(stream, cancelled)
	subs := make([]relay.SubRequest, len(r.GetSubs()))
	for i, sub := range r.GetSubs() {
		subs[i] = decodeSubRequest(sub)
	}
	var mu sync.Mutex
	var sendErr error
	s.executor.Execute(stream.Context(), subs, cancelled, func(result relay.SubResult) {
		mu.Lock()
		defer mu.Unlock()
		if sendErr == nil {
			sendErr = stream.Send(&RelayResponse{Subs: []*SubResponse{encodeResult(result)}})
		}
	})
	return sendErr
}

// receiveCancellations passes cancelled IDs from the stream to the channel until the stream ends.
func receiveCancellations(stream DRPCRelay_ForwardStream, cancelled chan<- int32) {
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		for _, id := range r.GetCancel() {
			select {
			case cancelled <- id:
			case <-stream.Context().Done():
				return
			}
		}
	}
}

func encodeSubRequest(s relay.SubRequest) *SubRequest {
	return &SubRequest{
		Replica: s.Replica, Service: s.Service, Request: s.Request, Attempt: s.Attempt, Index: s.Version.Index,
		Map: s.Version.Map, Shard: s.Shard, Query: s.Query, Key: s.Key, Id: s.ID, RemainingUs: s.Remaining.Microseconds(),
	}
}

func decodeSubRequest(s *SubRequest) relay.SubRequest {
	return relay.SubRequest{
		ID:        s.GetId(),
		Replica:   s.GetReplica(),
		Remaining: time.Duration(s.GetRemainingUs()) * time.Microsecond,
		SubRequest: backend.SubRequest{
			Service: s.GetService(), Request: s.GetRequest(), Attempt: s.GetAttempt(),
			Version: snapshot.Version{Index: s.GetIndex(), Map: s.GetMap()},
			Shard:   s.GetShard(), Query: s.GetQuery(), Key: s.GetKey(),
		},
	}
}

func encodeResult(r relay.SubResult) *SubResponse {
	return &SubResponse{
		Id: r.ID, Attempt: r.Attempt, Answer: r.Answer, Failure: string(r.Failure), Reason: string(r.Reason),
	}
}

func decodeResult(r *SubResponse) relay.SubResult {
	return relay.SubResult{
		ID: r.GetId(), Attempt: r.GetAttempt(), Answer: r.GetAnswer(), Failure: backend.Failure(r.GetFailure()),
		Reason: backend.RefusalReason(r.GetReason()),
	}
}
