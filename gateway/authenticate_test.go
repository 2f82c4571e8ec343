package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/account"
	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/topology"
)

const testKey = "pfi6y7z5k6pjs2eek22x"

// addAccounts puts a version with the accounts in force, in which the route "read" is public.
func addAccounts(t *testing.T, g *Gateway, accounts ...account.Account) {
	view, _ := g.directory.View()
	config := view.Table.Config()
	config.Version++
	config.Accounts, config.Routes = accounts, slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].Public = config.Routes[i].Name == "read"
	}
	_, err := g.directory.SetConfig(config)
	must.NoError(t, err)
}

func requestWithKey(path, key string) *Request {
	r := newRequest(path)
	r.Key = key
	return r
}

// TestRequestsNeedAKnownKey guards accounts against callers without their key: an unknown key is refused at once, nothing is
// sent, and a replica gets the name of the account that holds the key, whatever the caller states. Public routes need no key.
func TestRequestsNeedAKnownKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		addAccounts(t, g, account.Account{Name: "one", Keys: []account.KeyHash{account.HashKey(testKey)}})
		for _, path := range []string{"/q/1", "/o/1"} {
			for _, key := range []string{"", "other", testKey[1:]} {
				request, sent := requestWithKey(path, key), len(f.sentTo())
				request.Account = "one"
				reply := g.Serve(context.Background(), request)
				must.NotNil(t, reply.Err, must.Sprint(path, key))
				must.Eq(t, api.Unauthenticated, reply.Err.Kind)
				must.Len(t, sent, f.sentTo())
			}
			must.Nil(t, g.Serve(context.Background(), requestWithKey(path, testKey)).Err)
		}
		must.SliceContainsAll(t, []string{"one"}, slices.Compact(slices.Clone(f.accounts)))
		f.accounts = nil
		public := requestWithKey("/r/1", "other")
		public.Account = "one"
		must.Nil(t, g.Serve(context.Background(), public).Err)
		must.Eq(t, []string{""}, f.accounts)
	})
}

// TestRevokedKeyIsRefused guards accounts against a key that a later version no longer has.
func TestRevokedKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGateway(t)
		addAccounts(t, g, account.Account{Name: "one", Keys: []account.KeyHash{account.HashKey(testKey)}})
		must.Nil(t, g.Serve(context.Background(), requestWithKey("/o/1", testKey)).Err)
		addAccounts(t, g, account.Account{Name: "one", Keys: []account.KeyHash{account.HashKey("new")}})
		reply := g.Serve(context.Background(), requestWithKey("/o/1", testKey))
		must.NotNil(t, reply.Err)
		must.Eq(t, api.Unauthenticated, reply.Err.Kind)
	})
}

// TestDelegatedRequestsNameTheAccount guards keys against helpers: they get the name of the account only, and a helper that does
// not know the account does not accept the query.
func TestDelegatedRequestsNameTheAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, f := newDelegatingGateway(t)
		addAccounts(t, g, account.Account{Name: "one", Keys: []account.KeyHash{account.HashKey(testKey)}})
		f.respond = func(_ context.Context, q delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
			last := partForShards(q.Shards...)
			last.Last = true
			receive(last)
			return nil
		}
		must.Nil(t, g.Serve(t.Context(), requestWithKey("/q/1", testKey)).Err)
		query := f.sentQueries()[0]
		must.Eq(t, "one", query.Account)
		data, err := json.Marshal(query)
		must.NoError(t, err)
		must.False(t, strings.Contains(string(data), testKey))

		for name, accepted := range map[string]bool{"one": true, "": false, "two": false} {
			helper, sender := newGateway(t)
			addAccounts(t, helper, account.Account{Name: "one", Keys: []account.KeyHash{account.HashKey(testKey)}})
			query.Account, query.Shards = name, []int{0, 1}
			err := helper.Answer(t.Context(), query, func(delegation.PartialAnswer) {})
			if accepted {
				must.NoError(t, err)
				must.Eq(t, []string{"one", "one"}, sender.accounts)
				continue
			}
			must.ErrorIs(t, err, delegation.ErrNotAccepted, must.Sprint(name))
			must.Len(t, 0, sender.sentTo())
		}
	})
}

// TestRegionsOfAccountAndRouteBothBind guards data of an account that may be served in some regions only on a route with others.
func TestRegionsOfAccountAndRouteBothBind(t *testing.T) {
	for _, c := range []struct {
		route, account []string
		served         bool
	}{
		{nil, []string{"n"}, true}, {[]string{"n", "s"}, []string{"n"}, true}, {[]string{"s"}, []string{"n"}, false}, {nil, []string{"s"}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			g, f := newRestrictedGateway(t, c.route, "none")
			addAccounts(t, g, account.Account{Name: "one", Keys: []account.KeyHash{account.HashKey(testKey)}, Regions: c.account})
			reply := g.Serve(context.Background(), requestWithKey("/o/1", testKey))
			must.Eq(t, c.served, reply.Err == nil, must.Sprintf("%+v", c))
			must.Eq(t, c.served, len(f.sentTo()) > 0)
		})
	}
}

// TestInvalidAccountsKeepLastVersion guards callers against a version in which two accounts have one key: it is refused whole.
func TestInvalidAccountsKeepLastVersion(t *testing.T) {
	d := topology.NewDirectory()
	g, _ := newGateway(t)
	view, _ := g.directory.View()
	config := view.Table.Config()
	_, err := d.SetConfig(config)
	must.NoError(t, err)
	config.Version++
	key := []account.KeyHash{account.HashKey(testKey)}
	config.Accounts = []account.Account{{Name: "one", Keys: key}, {Name: "two", Keys: key}}
	applied, err := d.SetConfig(config)
	must.ErrorContains(t, err, `account "two"`)
	must.False(t, applied)
	view, _ = d.View()
	must.Eq(t, config.Version-1, view.Table.Version())
}
