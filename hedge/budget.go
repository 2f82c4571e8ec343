package hedge

import "sync"

// maxTokens is the maximum number of saved tokens. A larger burst would let a single incident send many extra
// sub-requests at once.
const maxTokens = 50

// Budget is a token bucket that limits the hedges and retries of one profile in one daemon together. Every required
// sub-request deposits a fraction of a token. Hedges are limited to their own fraction, while retries may use the
// whole budget, because a retry restores a missing result and a hedge only reduces latency. It is safe for
// concurrent use.
type Budget struct {
	mu                        sync.Mutex
	hedgeRate                 float64
	rate                      float64
	hedgeTokens               float64
	tokens                    float64
	requiredTotal, extraTotal int64
}

// NewBudget returns a budget that allows the given fractions of hedges and retries per required sub-request, both
// in [0, 0.5]. It starts with one token, or with maxTokens times the sum of the rates if that is less. A hedge also
// needs a hedge token, of which there is none at the start.
func NewBudget(hedges, retries float64) *Budget {
	b := &Budget{}
	b.SetRates(hedges, retries)
	b.tokens = min(1, b.rate*maxTokens)
	return b
}

// SetRates changes the fractions. The saved tokens are kept.
func (b *Budget) SetRates(hedges, retries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedgeRate, b.rate = hedges, hedges+retries
}

// Deposit adds tokens for required sub-requests.
func (b *Budget) Deposit(subRequests int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := float64(subRequests)
	b.requiredTotal += int64(subRequests)
	b.tokens = min(maxTokens, b.tokens+n*b.rate)
	b.hedgeTokens = min(maxTokens, b.hedgeTokens+n*b.hedgeRate)
}

// Counts returns the total number of required and of extra sub-requests so far.
func (b *Budget) Counts() (required, extra int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requiredTotal, b.extraTotal
}

// Hedges returns the view of the budget that limits hedges.
func (b *Budget) Hedges() *HedgeBudget { return (*HedgeBudget)(b) }

// Retries returns the view of the budget that limits retries.
func (b *Budget) Retries() *RetryBudget { return (*RetryBudget)(b) }

// HedgeBudget is the view of a Budget for hedges. It implements scatter.Budget, scatter.Depositor and scatter.Refunder.
type HedgeBudget Budget

// Withdraw withdraws a token for a hedge and reports whether one was available.
func (h *HedgeBudget) Withdraw() bool {
	b := (*Budget)(h)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 || b.hedgeTokens < 1 {
		return false
	}
	b.tokens--
	b.hedgeTokens--
	b.extraTotal++
	return true
}

// Refund returns the token of a hedge that was not sent.
func (h *HedgeBudget) Refund() {
	b := (*Budget)(h)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
	b.hedgeTokens++
	b.extraTotal--
}

// Deposit adds tokens for required sub-requests, for hedges and retries alike.
func (h *HedgeBudget) Deposit(subRequests int) { (*Budget)(h).Deposit(subRequests) }

// RetryBudget is the view of a Budget for retries. It implements scatter.Budget and scatter.Refunder. Deposits for both
// kinds are made through HedgeBudget.
type RetryBudget Budget

// Withdraw withdraws a token for a retry and reports whether one was available.
func (r *RetryBudget) Withdraw() bool {
	b := (*Budget)(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.extraTotal++
	return true
}

// Refund returns the token of a retry that was not sent.
func (r *RetryBudget) Refund() {
	b := (*Budget)(r)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
	b.extraTotal--
}
