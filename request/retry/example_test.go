package retry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
)

func Example() {
	now := time.Now()
	policy, budget := retry.NewPolicy(retry.DefaultConfig()), retry.NewBudget(now, retry.DefaultConfig())
	random := rand.New(rand.NewPCG(1, 1))
	booking := retry.Request{TimeLeft: 5 * time.Second, CandidatesLeft: 3}
	budget.AddRequest(now)
	for _, attempt := range []retry.Attempt{{Code: result.OverBound}, {Code: result.ConnectionLost, Accepted: true}} {
		booking.Attempts = append(booking.Attempts, attempt)
		d := policy.Decide(now, booking, budget, random)
		fmt.Println(d.Action, d.Code)
	}
	// Output:
	// retry ok
	// give up connection-lost
}
