package retry

import "time"

// Budget bounds the retries of a process to a share of its requests plus a rate, so that upstreams that fail together do not
// receive a multiple of the load. It is not safe for concurrent use.
type Budget struct {
	cfg    Config
	tokens float64
	last   time.Time
}

// NewBudget returns a full budget. cfg must be valid.
func NewBudget(now time.Time, cfg Config) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.BudgetBurst, last: now}
}

// Request adds the share of one request. Call it once for each request from a caller, not for its retries.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.add(b.cfg.BudgetShare)
}

// Tokens returns what is left, in retries.
func (b *Budget) Tokens(now time.Time) float64 {
	b.advance(now)
	return b.tokens
}

// spend takes cost from the budget if it holds that much.
func (b *Budget) spend(now time.Time, cost float64) bool {
	b.advance(now)
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

func (b *Budget) advance(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.add(elapsed.Seconds() * b.cfg.BudgetPerSecond)
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.cfg.BudgetBurst, b.tokens+tokens)
}
