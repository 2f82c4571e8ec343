package entry

import (
	"context"
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
)

// sendFunc is a scatter.Sender.
type sendFunc func(ctx context.Context) error

func (f sendFunc) Send(ctx context.Context, _ string, _ backend.SubRequest) (backend.SubResponse, error) {
	return backend.SubResponse{}, f(ctx)
}

// Guards against a refusal that says never run while a backend server may run an attempt: one that is still open
// when the query ends, one that lost its connection, or one that was answered.
func TestAttemptLogMayHaveRun(t *testing.T) {
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
		log := &attemptLog{}
		for _, err := range c.errs {
			log.next = sendFunc(func(context.Context) error { return err })
			_, _ = log.Send(t.Context(), "r", backend.SubRequest{})
		}
		must.Eq(t, c.want, log.mayHaveRun(), must.Sprint(c.name))
	}

	started, release := make(chan struct{}), make(chan struct{})
	log := &attemptLog{next: sendFunc(func(context.Context) error {
		close(started)
		<-release
		return refused
	})}
	done := make(chan struct{})
	go func() {
		_, _ = log.Send(t.Context(), "r", backend.SubRequest{})
		close(done)
	}()
	<-started
	must.True(t, log.mayHaveRun())
	close(release)
	<-done
	must.False(t, log.mayHaveRun())
}

// Guards against an overload signal from a coverage gap that has another cause, which would lower the admission
// limit after a crash.
func TestOverloaded(t *testing.T) {
	missing := func(reason api.MissingReason) api.Coverage {
		return api.Coverage{Missing: []api.MissingShard{{Shard: "s", Reason: reason}}}
	}
	log := &attemptLog{}
	must.True(t, overloaded(missing(api.MissingNoReplica), log))
	must.True(t, overloaded(missing(api.MissingRefused), log))
	must.False(t, overloaded(missing(api.MissingConnection), log))
	log.sheds.Store(2)
	must.True(t, overloaded(api.Coverage{}, log))
}
