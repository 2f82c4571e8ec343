package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/chivemill/chivemill/account"
	"github.com/chivemill/chivemill/api"
)

// Quotas limits the requests of client accounts over all daemons. Implementations are safe for concurrent use.
type Quotas interface {
	// Acquire returns a permit for one request, or refuses the request and returns when it can probably be served. It may wait some tens
	// of milliseconds. a is nil for a request without an account.
	Acquire(ctx context.Context, a *account.Account) (permit Permit, retryAfter time.Duration, ok bool)
}

// Permit allows one request to be sent to replicas.
type Permit interface {
	// Return gives back the permit of a request that no replica has executed.
	Return()
}

// acquirePermit obtains the permit of a request that came directly from a caller. release must be called with the reply: it gives back
// the permit if no replica has executed anything of the request. refusal is nil if there is a permit.
func (g *Gateway) acquirePermit(ctx context.Context, request *Request, a *account.Account) (release func(Reply), refusal *api.Error) {
	// A delegated request has its permit from the daemon that received it from the caller.
	if g.opts.Quotas == nil || request.DelegatedBy != "" || a == nil || !a.HasQuota() {
		return func(Reply) {}, nil
	}
	permit, retryAfter, ok := g.opts.Quotas.Acquire(ctx, a)
	if !ok {
		refusal = errorReply(api.OverQuota, retryAfter, fmt.Sprintf("account %q may send %v requests a second", a.Name, a.RatePerS)).Err
		return nil, refusal
	}
	return func(reply Reply) {
		if reply.Err != nil && reply.Err.Kind.Outcome().Run == api.RunNever {
			permit.Return()
		}
	}, nil
}
