package hedge

import "sync"

// budgetBurst is the number of extra sub-requests that a budget saves up. A larger burst lets one incident send
// many extra sub-requests at once.
const budgetBurst = 50

// Budget bounds the hedges and retries of one profile in one daemon together. Every needed sub-request earns a
// fraction of an extra one. Hedges may use their fraction only; retries may use the whole, because a retry
// repairs an answer and a hedge only speeds one up. It is safe for concurrent use.
type Budget struct {
	mu           sync.Mutex
	hedgeRate    float64
	rate         float64
	hedgeTokens  float64
	tokens       float64
	earned, used int64
}

// NewBudget returns a budget that earns hedges and retries extra sub-requests per needed one, both in [0, 0.5].
// It starts with one token.
func NewBudget(hedges, retries float64) *Budget {
	b := &Budget{}
	b.SetRates(hedges, retries)
	b.tokens = min(1, b.rate*budgetBurst)
	return b
}

// SetRates changes the fractions; the tokens saved so far are kept.
func (b *Budget) SetRates(hedges, retries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedgeRate, b.rate = hedges, hedges+retries
}

// Earn credits needed sub-requests.
func (b *Budget) Earn(subRequests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := float64(subRequests)
	b.earned += int64(subRequests)
	b.tokens = min(budgetBurst, b.tokens+n*b.rate)
	b.hedgeTokens = min(budgetBurst, b.hedgeTokens+n*b.hedgeRate)
}

// Counts returns the needed and the extra sub-requests so far.
func (b *Budget) Counts() (needed, extra int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.earned, b.used
}

// Hedges is the view of the budget that a plan uses for hedges.
func (b *Budget) Hedges() *Hedges { return (*Hedges)(b) }

// Retries is the view of the budget that a plan uses for retries.
func (b *Budget) Retries() *Retries { return (*Retries)(b) }

// Hedges takes hedges from a Budget. It implements scatter.Budget, Earner and Refunder.
type Hedges Budget

// Take reports whether one more hedge is allowed, and counts it.
func (h *Hedges) Take() bool {
	b := (*Budget)(h)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 || b.hedgeTokens < 1 {
		return false
	}
	b.tokens--
	b.hedgeTokens--
	b.used++
	return true
}

// Refund takes back a hedge that was not sent.
func (h *Hedges) Refund() {
	b := (*Budget)(h)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
	b.hedgeTokens++
	b.used--
}

// Earn credits needed sub-requests to the whole budget.
func (h *Hedges) Earn(subRequests int) { (*Budget)(h).Earn(subRequests) }

// Retries takes retries from a Budget. It implements scatter.Budget and Refunder; the hedges' view earns for
// both.
type Retries Budget

// Take reports whether one more retry is allowed, and counts it.
func (r *Retries) Take() bool {
	b := (*Budget)(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.used++
	return true
}

// Refund takes back a retry that was not sent.
func (r *Retries) Refund() {
	b := (*Budget)(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
	b.used--
}
