package edge

import (
	"context"
	"time"

	"github.com/chivemill/chivemill/account"
	"github.com/chivemill/chivemill/gateway"
	"github.com/chivemill/chivemill/quota"
)

// gatewayQuotas adapts an exchange to gateway.Quotas.
type gatewayQuotas struct{ exchange *quota.Exchange }

// Acquire implements gateway.Quotas.
func (q gatewayQuotas) Acquire(ctx context.Context, a *account.Account) (gateway.Permit, time.Duration, bool) {
	return q.exchange.Acquire(ctx, a)
}
