package quarantine

import (
	"context"

	"github.com/chivemill/chivemill/backend"
)

// Sender sends a sub-request to a replica, as scatter.Sender does.
type Sender interface {
	Send(ctx context.Context, replica string, sub backend.SubRequest) (backend.SubResponse, error)
}

type guardedSender struct {
	run  *Run
	next Sender
}

// WrapSender returns a sender that reports the answers and lost connections of the request to the guard, and delays the
// attempts of a suspected request until it is cleared or quarantined.
func (r *Run) WrapSender(next Sender) Sender { return &guardedSender{r, next} }

// Send implements Sender.
func (s *guardedSender) Send(ctx context.Context, replica string, sub backend.SubRequest) (backend.SubResponse, error) {
	if err := s.run.Wait(ctx); err != nil {
		return backend.SubResponse{}, &backend.Error{Failure: backend.NotSent, Cause: err}
	}
	defer s.run.AttemptEnded()
	answer, err := s.next.Send(ctx, replica, sub)
	// The replicas of a shard do the same work, as those of a service without shards.
	service := sub.Service + "/" + sub.Shard
	switch {
	case err == nil:
		s.run.Answered(service)
	case backend.IsConnectionLost(err):
		s.run.ConnectionLost(service, replica, s.run.guard.clock.Now())
	}
	return answer, err
}
