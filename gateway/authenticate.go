package gateway

import (
	"github.com/chivemill/chivemill/account"
	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/residency"
	"github.com/chivemill/chivemill/routing"
)

// authenticate sets the client account of a request from its key. It returns the account, nil if the request has none, and the regions
// in which the request may be served: those that both the route and the account allow. The account of a delegated request was
// determined by the daemon that the caller asked, under the same version of the configuration.
func authenticate(table *routing.Table, route *routing.Route, request *Request) (*account.Account, residency.Regions, *api.Error) {
	accounts := table.Accounts()
	if accounts == nil || route.Public {
		request.Account = ""
		return nil, route.AllowedRegions(), nil
	}
	find, value := accounts.Authenticate, request.Key
	if request.DelegatedBy != "" {
		find, value = accounts.Find, request.Account
	}
	found, ok := find(value)
	if !ok {
		return nil, residency.Regions{}, api.Errorf(api.Unauthenticated, "no client account has this key in version %d", table.Version())
	}
	request.Account = found.Name
	return found, route.AllowedRegions().Intersect(found.AllowedRegions()), nil
}
