package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
)

// All gateways together must stay within the fleet's retry ratio and slack when every request fails.
func TestBudgets_ShareOfTheFleet(t *testing.T) {
	const entries, requests = 5, 400
	fleet := settings.GatewayDefaults().Fleet
	repeats := 0
	for range entries {
		b := newBudgets(fleet)
		b.setGatewayCount(entries)
		now := time.Unix(1000, 0)
		for range requests {
			now = now.Add(20 * time.Millisecond)
			b.request(now, "plain")
			failed := retry.Request{
				Attempts:   []retry.Attempt{{Code: result.ConnectionLost, Accepted: true}},
				Idempotent: true, TimeLeft: time.Second, CandidatesLeft: 1,
			}
			if b.decide(now, "plain", 2, failed).Action == retry.Retry {
				repeats++
			}
		}
	}
	must.LessEq(t, int(fleet.RetryRatio*entries*requests+fleet.RetrySlack), repeats)
	must.Greater(t, int(fleet.RetryRatio*entries*requests/2), repeats)
}
