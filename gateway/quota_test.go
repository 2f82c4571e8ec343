package gateway

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/account"
	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/delegation"
)

// fakeQuotas admits a number of requests.
type fakeQuotas struct {
	left     int
	acquired []string
	returned int
}

func (f *fakeQuotas) Acquire(_ context.Context, a *account.Account) (Permit, time.Duration, bool) {
	f.acquired = append(f.acquired, a.Name)
	if f.left == 0 {
		return nil, 1500 * time.Millisecond, false
	}
	f.left--
	return fakePermit{f}, 0, true
}

type fakePermit struct{ quotas *fakeQuotas }

func (p fakePermit) Return() {
	p.quotas.left++
	p.quotas.returned++
}

// newLimitedGateway returns a gateway with an account that has a quota and one that has none.
func newLimitedGateway(t *testing.T, left int) (*Gateway, *fakeSender, *fakeQuotas) {
	g, f := newGateway(t)
	quotas := &fakeQuotas{left: left}
	g.opts.Quotas = quotas
	addAccounts(t, g, account.Account{Name: "limited", Keys: []account.KeyHash{account.HashKey(testKey)}, RatePerS: 1},
		account.Account{Name: "unlimited", Keys: []account.KeyHash{account.HashKey("other")}})
	return g, f, quotas
}

// TestRequestOverQuotaAsksNoReplica guards the other accounts against one over its quota: its requests are refused before any replica is
// asked, with the time to return, and they have not run.
func TestRequestOverQuotaAsksNoReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f, quotas := newLimitedGateway(t, 1)
		must.Nil(t, g.Serve(t.Context(), requestWithKey("/o/1", testKey)).Err)
		sent := len(f.sentTo())
		must.Positive(t, sent)
		for _, path := range []string{"/o/1", "/q/1"} {
			reply := g.Serve(t.Context(), requestWithKey(path, testKey))
			must.NotNil(t, reply.Err)
			must.Eq(t, api.OverQuota, reply.Err.Kind)
			must.Eq(t, 429, reply.Err.Kind.Outcome().Status)
			must.Eq(t, api.RunNever, reply.Err.Kind.Outcome().Run)
			must.Eq(t, 1500*time.Millisecond, reply.Err.RetryAfter)
		}
		must.Len(t, sent, f.sentTo())
		must.Nil(t, g.Serve(t.Context(), requestWithKey("/q/1", "other")).Err)
		must.Nil(t, g.Serve(t.Context(), requestWithKey("/r/1", testKey)).Err)
		must.Eq(t, []string{"limited", "limited", "limited"}, quotas.acquired, must.Sprint("accounts without a quota and public routes need no permit"))
		must.Eq(t, 0, quotas.returned)
	})
}

// TestQueryTakesOnePermit guards accounts against a query that counts once for each shard, attempt or helper.
func TestQueryTakesOnePermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f, quotas := newLimitedGateway(t, 2)
		f.responses["s3-0"] = respondAfter(time.Millisecond, Answer{}, failWith(backend.ServerError))
		must.Nil(t, g.Serve(t.Context(), requestWithKey("/q/1", testKey)).Err)
		must.Greater(t, shardCount, len(f.sentTo()))
		must.Len(t, 1, quotas.acquired)
		query := delegation.Query{ID: "r1", From: "other", Method: "GET", Host: "h", Target: "/q/1", Path: "/q/1", Version: 2, Account: "limited",
			Shards: []int{0, 1}, CallerTimeout: 900 * time.Millisecond}
		must.NoError(t, g.Answer(t.Context(), query, func(delegation.PartialAnswer) {}))
		must.Len(t, 1, quotas.acquired)
	})
}

// TestPermitOfUnsentRequestIsReturned guards accounts against losing their quota to requests that no replica has executed, and the bound
// against permits of executed ones that are used again.
func TestPermitOfUnsentRequestIsReturned(t *testing.T) {
	for name, c := range map[string]struct {
		respond  func(context.Context) (Answer, error)
		returned int
	}{
		"answered":    {respondAfter(time.Millisecond, Answer{Status: 200}, nil), 0},
		"refused":     {respondAfter(time.Millisecond, Answer{}, failWith(backend.Refused)), 1},
		"unconnected": {respondAfter(time.Millisecond, Answer{}, failWith(backend.NotSent)), 1},
		"broken":      {respondAfter(time.Millisecond, Answer{}, failWith(backend.ConnectionLost)), 0},
		"failed":      {respondAfter(time.Millisecond, Answer{}, failWith(backend.ServerError)), 0},
		"panic":       {func(context.Context) (Answer, error) { panic(errors.New("test")) }, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			g, f, quotas := newLimitedGateway(t, 1)
			for id := range f.responses {
				f.responses[id] = c.respond
			}
			g.Serve(t.Context(), requestWithKey("/o/1", testKey))
			must.Len(t, 1, quotas.acquired, must.Sprint(name))
			must.Eq(t, c.returned, quotas.returned, must.Sprint(name))
		})
	}
}
