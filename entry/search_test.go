package entry

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
)

// sendFunc implements scatter.Sender with a function.
type sendFunc func(ctx context.Context) error

func (f sendFunc) Send(ctx context.Context, _ string, _ backend.SubRequest) (backend.SubResponse, error) {
	return backend.SubResponse{}, f(ctx)
}

// Guards against an error that states run: never although a backend server may execute an attempt: one that is open
// when the query ends, one whose connection was lost, or one that was answered.
func TestAttemptTrackerMayHaveExecuted(t *testing.T) {
	refused := &backend.Error{Failure: backend.Refused}
	cases := []struct {
		name string
		errs []error
		want bool
	}{
		{"none sent", nil, false},
		{"all refused or not sent", []error{refused, &backend.Error{Failure: backend.NotSent}}, false},
		{"one answered", []error{refused, nil}, true},
		{"one lost", []error{&backend.Error{Failure: backend.ConnectionLost}, refused}, true},
		{"unknown error", []error{errors.New("unknown")}, true},
	}
	for _, c := range cases {
		tracker := &attemptTracker{}
		for _, err := range c.errs {
			tracker.next = sendFunc(func(context.Context) error { return err })
			_, _ = tracker.Send(t.Context(), "r", backend.SubRequest{})
		}
		must.Eq(t, c.want, tracker.mayHaveExecuted(), must.Sprint(c.name))
	}

	started, release := make(chan struct{}), make(chan struct{})
	tracker := &attemptTracker{next: sendFunc(func(context.Context) error {
		close(started)
		<-release
		return refused
	})}
	done := make(chan struct{})
	go func() {
		_, _ = tracker.Send(t.Context(), "r", backend.SubRequest{})
		close(done)
	}()
	<-started
	must.True(t, tracker.mayHaveExecuted())
	close(release)
	<-done
	must.False(t, tracker.mayHaveExecuted())
}

// Guards against missing shards with another cause, such as a crash, that count as overload and lower the admission
// limit.
func TestOverloadDetection(t *testing.T) {
	missing := func(reason api.MissingReason) api.Coverage {
		return api.Coverage{Missing: []api.MissingShard{{Shard: "s", Reason: reason}}}
	}
	tracker := &attemptTracker{}
	must.True(t, sawOverload(missing(api.MissingNoReplica), tracker))
	must.True(t, sawOverload(missing(api.MissingRefused), tracker))
	must.False(t, sawOverload(missing(api.MissingConnection), tracker))
	tracker.shedCount.Store(2)
	must.True(t, sawOverload(api.Coverage{}, tracker))
}
