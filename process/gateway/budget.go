package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/retry"
)

const (
	// budgetShare is the part of the fleet's retry ratio that a gateway uses. The rest covers requests counted in another window.
	budgetShare = 0.8
	// minBurst is the least number of retries that a gateway may make without requests, whatever its share of the fleet's.
	minBurst = 2
	// assumedEntries is the number of gateways that share the budget as long as fewer are known.
	assumedEntries = 4
	// maxUnreachable bounds the upstreams that one request finds unreachable. Of a service of which a third is gone and not yet known to be,
	// one request in thousands finds none.
	maxUnreachable = 8
	// maxSends bounds the upstreams that one request is offered to, refusals included.
	maxSends = 4
)

// budgets hold one retry budget for each service.
type budgets struct {
	fleet settings.Fleet

	mu        sync.Mutex
	random    *rand.Rand
	byService map[string]*retry.Budget
	policies  map[int]*retry.Policy
	// entries is the number of gateways that share the fleet's budget.
	entries int
}

func newBudgets(fleet settings.Fleet) *budgets {
	return &budgets{
		fleet:     fleet,
		random:    rand.New(rand.NewPCG(rand.Uint64(), 0)),
		byService: make(map[string]*retry.Budget),
		policies:  make(map[int]*retry.Policy),
		entries:   assumedEntries,
	}
}

// setFleet takes changed bounds. Budgets begin anew.
func (b *budgets) setFleet(fleet settings.Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fleet == fleet {
		return
	}
	b.fleet = fleet
	clear(b.byService)
	clear(b.policies)
}

// setEntries tells how many gateways share the fleet's budget. Budgets begin anew if the number changes, which happens rarely.
func (b *budgets) setEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n = max(assumedEntries, n); n != b.entries {
		b.entries = n
		clear(b.byService)
	}
}

// config returns the retry settings of routes with a number of attempts.
func (b *budgets) config(attempts int) retry.Config {
	c := retry.DefaultConfig()
	c.MaxAttempts = max(maxSends, attempts)
	c.MaxReruns = attempts - 1
	c.BudgetShare = budgetShare * b.fleet.RetryRatio
	c.BudgetPerSecond = 0
	c.BudgetBurst = max(minBurst, budgetShare*b.fleet.RetrySlack/float64(b.entries))
	c.RefusalCost = 1 // a send that an upstream refuses counts like any other
	c.UnreachableCost = 0
	c.MaxUnreachable = maxUnreachable
	return c
}

// budget returns a service's budget. The lock is held.
func (b *budgets) budget(now time.Time, service string) *retry.Budget {
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewBudget(now, b.config(1))
		b.byService[service] = budget
	}
	return budget
}

// request counts a caller's request to a service.
func (b *budgets) request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(now, service).Request(now)
}

// decide says what to do after the latest attempt of a request.
func (b *budgets) decide(now time.Time, service string, attempts int, r retry.Request) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	policy := b.policies[attempts]
	if policy == nil {
		policy = retry.NewPolicy(b.config(attempts))
		b.policies[attempts] = policy
	}
	return policy.Decide(now, r, b.budget(now, service), b.random)
}
