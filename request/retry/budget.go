package retry

import "time"

// Budget is a token bucket that limits the retries of a process to a fraction of its requests plus a fixed rate, so that retries do
// not multiply the load when many upstreams fail at once. It is not safe for concurrent use.
type Budget struct {
	cfg    Config
	tokens float64
	last   time.Time
}

// NewBudget returns a full budget. cfg must be valid.
func NewBudget(now time.Time, cfg Config) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.BudgetBurst, last: now}
}

// AddRequest adds BudgetRatio to the budget. Call it once for each request from a caller, but not for its retries.
func (b *Budget) AddRequest(now time.Time) {
	b.refill(now)
	b.add(b.cfg.BudgetRatio)
}

// Tokens returns the content of the budget, in retries.
func (b *Budget) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// spend takes cost from the budget and returns true, or returns false if the budget holds less.
func (b *Budget) spend(now time.Time, cost float64) bool {
	b.refill(now)
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// refill adds BudgetPerSecond for the time since the last call.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.add(elapsed.Seconds() * b.cfg.BudgetPerSecond)
}

// add adds tokens up to BudgetBurst.
func (b *Budget) add(tokens float64) {
	b.tokens = min(b.cfg.BudgetBurst, b.tokens+tokens)
}
