package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/dispatch"
)

const (
	connectTime = 300 * time.Millisecond
	workTime    = 300 * time.Millisecond
	leaveTime   = 100 * time.Millisecond
)

// slowReplica is a sender whose connection takes connectTime to open, unless the context ends before, and whose replica works for
// workTime.
type slowReplica struct {
	connectTime time.Duration
	executed    bool
}

func (r *slowReplica) Send(ctx context.Context, _ string, sub backend.SubRequest) (backend.SubResponse, error) {
	select {
	case <-time.After(r.connectTime):
	case <-ctx.Done():
		return backend.SubResponse{}, &backend.Error{Failure: backend.NotSent, Cause: ctx.Err()}
	}
	gate := dispatch.FromContext(ctx)
	if gate != nil && !gate.Begin() {
		return backend.SubResponse{}, &backend.Error{Failure: backend.NotSent}
	}
	select {
	case <-time.After(workTime):
	case <-ctx.Done():
		return backend.SubResponse{}, &backend.Error{Failure: backend.TimedOut, Cause: ctx.Err()}
	}
	r.executed = true
	return backend.SubResponse{Request: sub.Request, Attempt: sub.Attempt, Shard: sub.Shard, End: sub.Attempt}, nil
}

// TestRelayedRequestIsWithheldAfterCallerLeft guards against a non-idempotent sub-request that a peer sends to a replica after its
// caller has left at the daemon that relays it.
func TestRelayedRequestIsWithheldAfterCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := &slowReplica{connectTime: connectTime}
		result, took := executeAndLeave(t, replica)
		must.Eq(t, backend.NotSent, result.Failure)
		must.Eq(t, leaveTime, took)
		must.False(t, replica.executed)
	})
}

// TestExecutingRelayedRequestOutlivesCaller guards a non-idempotent sub-request that a replica executes for a peer against being
// aborted when its caller leaves.
func TestExecutingRelayedRequestOutlivesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replica := &slowReplica{}
		result, took := executeAndLeave(t, replica)
		must.Eq(t, "", result.Failure)
		must.Eq(t, workTime, took)
		must.True(t, replica.executed)
	})
}

// executeAndLeave executes a non-idempotent sub-request whose caller leaves at leaveTime.
func executeAndLeave(t *testing.T, replica Sender) (result SubResult, took time.Duration) {
	sub := SubRequest{SubRequest: testSub(1), ID: 3, Replica: "a"}
	cancelled := make(chan int32, 1)
	time.AfterFunc(leaveTime, func() { cancelled <- sub.ID })
	begin := time.Now()
	NewLocalExecutor(directOwners{}, replica).Execute(t.Context(), []SubRequest{sub}, cancelled, func(r SubResult) { result = r })
	return result, time.Since(begin)
}

// withholdingTransport answers a sub-request as not sent once it is told that nobody waits for it.
type withholdingTransport struct{ asked []string }

func (w *withholdingTransport) Forward(ctx context.Context, to Peer, subs []SubRequest, cancelled <-chan int32, done func(SubResult)) (bool, error) {
	w.asked = append(w.asked, to.ID)
	select {
	case id := <-cancelled:
		done(SubResult{ID: id, Attempt: subs[id].Attempt, Failure: backend.NotSent})
		return true, nil
	case <-ctx.Done():
		return true, ctx.Err()
	}
}

// TestPeerLearnsThatCallerLeft guards against a non-idempotent sub-request that waits at a peer, or is then sent through another one,
// after its caller has left.
func TestPeerLearnsThatCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &withholdingTransport{}
		router := NewRouter(fakeOwners{{ID: "one"}, {ID: "two"}}, nil, transport)
		defer router.Close()
		caller, leave := context.WithCancel(t.Context())
		gate, ctx := dispatch.NewGate(t.Context(), caller)
		defer gate.Release()
		time.AfterFunc(leaveTime, leave)
		begin := time.Now()
		_, err := router.Send(dispatch.NewContext(ctx, gate), "x", testSub(0))
		must.Eq(t, backend.NotSent, backend.FailureOf(err))
		must.Eq(t, leaveTime, time.Since(begin))
		must.Eq(t, []string{"one"}, transport.asked)
		must.True(t, gate.Close())
	})
}
