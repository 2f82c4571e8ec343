package gateway

import (
	"time"

	"github.com/chivemill/chivemill/hedge"
)

// budget limits the extra sub-requests to a service.
type budget struct {
	*hedge.SlidingWindow
	// fraction is this daemon's fraction of the fixed budget.
	fraction *hedge.BudgetFraction
}

// ensureBudget returns the budget of a service. Since no daemon has used any of a new service's budget, its fraction only
// waits for the hold time that follows the start of this daemon. The caller holds the lock.
func (g *Gateway) ensureBudget(service string) *budget {
	b := g.budgets[service]
	if b == nil {
		b = &budget{hedge.NewSlidingWindow(g.opts.BudgetWindow, g.opts.BudgetRatio*budgetUsableFraction, 0),
			hedge.NewBudgetFraction(g.opts.BudgetWindow)}
		if !g.daemonsKnownSince.IsZero() {
			b.fraction.Set(g.shares.fraction(service), g.daemonsKnownSince)
		}
		g.budgets[service] = b
	}
	return b
}

// budget returns the budget for extra sub-requests to a service.
func (g *Gateway) budget(service string) *hedge.SlidingWindow {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.ensureBudget(service)
	g.updateFixedBudget(b, time.Now())
	return b.SlidingWindow
}

// updateFixedBudget sets the fixed part of a budget to what the daemon's fraction currently allows. The caller holds the lock.
func (g *Gateway) updateFixedBudget(b *budget, now time.Time) {
	b.SetFixed(g.opts.BudgetFixed * fixedBudgetUsableFraction * b.fraction.Fraction(now))
}

// BudgetsLeft returns the number of extra sub-requests currently allowed, by service. A number is negative while more
// were sent than the current limit allows.
func (g *Gateway) BudgetsLeft(now time.Time) map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := make(map[string]float64, len(g.budgets))
	for service, b := range g.budgets {
		g.updateFixedBudget(b, now)
		left[service] = b.Remaining(now)
	}
	return left
}

// BudgetsSpent returns the number of extra sub-requests since the start, by service.
func (g *Gateway) BudgetsSpent() map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	spent := make(map[string]int64, len(g.budgets))
	for service, b := range g.budgets {
		spent[service] = b.Spent()
	}
	return spent
}
