package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/retry"
)

const (
	// budgetShare is the fraction of the fleet's retry ratio that a gateway uses. The margin covers requests counted in another window.
	budgetShare = 0.8
	// minBurst is the minimum retry burst of a gateway, whatever its share of the fleet's slack.
	minBurst = 2
	// minAssumedGateways is the number of gateways assumed to share the budget while fewer are known.
	minAssumedGateways = 4
	// maxUnreachable is the maximum number of upstreams that one request may find unreachable. With a third of a service's upstreams down
	// and not yet known to be, one request in several thousand finds no upstream.
	maxUnreachable = 8
	// maxSends is the maximum number of upstreams that one request is sent to, including those that refuse it.
	maxSends = 4
)

// budgets holds one retry budget per service.
type budgets struct {
	fleet settings.Fleet

	mu        sync.Mutex
	random    *rand.Rand
	byService map[string]*retry.Budget
	policies  map[int]*retry.Policy
	// gateways is the number of gateways among which the fleet's budget is divided.
	gateways int
}

func newBudgets(fleet settings.Fleet) *budgets {
	return &budgets{
		fleet:     fleet,
		random:    rand.New(rand.NewPCG(rand.Uint64(), 0)),
		byService: make(map[string]*retry.Budget),
		policies:  make(map[int]*retry.Policy),
		gateways:  minAssumedGateways,
	}
}

// setFleet sets the fleet-wide limits. If they changed, all budgets are reset.
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

// setGatewayCount sets the number of gateways among which the fleet's budget is divided. If it changes, which is rare, all budgets are
// reset.
func (b *budgets) setGatewayCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n = max(minAssumedGateways, n); n != b.gateways {
		b.gateways = n
		clear(b.byService)
	}
}

// config returns the retry settings of routes with the given maximum number of attempts.
func (b *budgets) config(attempts int) retry.Config {
	c := retry.DefaultConfig()
	c.MaxAttempts = max(maxSends, attempts)
	c.MaxReruns = attempts - 1
	c.BudgetRatio = budgetShare * b.fleet.RetryRatio
	c.BudgetPerSecond = 0
	c.BudgetBurst = max(minBurst, budgetShare*b.fleet.RetrySlack/float64(b.gateways))
	c.RefusalCost = 1 // a refused send costs as much as any other
	c.UnreachableCost = 0
	c.MaxUnreachable = maxUnreachable
	return c
}

// budget returns a service's budget and creates it if needed. The caller holds b.mu.
func (b *budgets) budget(now time.Time, service string) *retry.Budget {
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewBudget(now, b.config(1))
		b.byService[service] = budget
	}
	return budget
}

// request credits a service's budget for a caller's request.
func (b *budgets) request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(now, service).AddRequest(now)
}

// decide returns what to do after the latest attempt of a request.
func (b *budgets) decide(now time.Time, service string, attempts int, r retry.Request) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy(attempts).Decide(now, r, b.budget(now, service), b.random)
}

// reserve takes the cost of a retry from a service's budget before the attempt is given up. It returns false if the budget does not hold it.
func (b *budgets) reserve(now time.Time, service string, attempts int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy(attempts).Reserve(now, b.budget(now, service))
}

// policy returns the retry policy of routes with the given maximum number of attempts. The caller holds b.mu.
func (b *budgets) policy(attempts int) *retry.Policy {
	policy := b.policies[attempts]
	if policy == nil {
		policy = retry.NewPolicy(b.config(attempts))
		b.policies[attempts] = policy
	}
	return policy
}
