package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/version/rollout"
)

// canary simulates the canary step of a rollout in a fleet that serves 57 requests a second on three routes and in three data centres. It
// returns when the test rejected the new version, zero if it did not within the given time. The rates are those of slow requests.
func canary(seed uint64, within time.Duration, oldRate, newRate float64) time.Duration {
	const requestsPerSecond = 57
	random := rand.New(rand.NewPCG(seed, 0))
	config := rolloutConfig(3)
	start := time.UnixMilli(0)
	s := rollout.Shift{ID: "s", Service: "m", From: "v1", To: "v2", Deadline: start.Add(within), MaxCanaryShare: rolloutCap}
	test := rollout.NewSequentialTest(config, s, start)
	perWindow := requestsPerSecond * config.Window.Seconds()
	for window := int64(1); time.Duration(window)*config.Window <= within; window++ {
		var evidence rollout.Evidence
		for range int(perWindow) {
			key := rollout.Key{Route: fmt.Sprint("r", random.IntN(3)), DataCentre: fmt.Sprint("c", random.IntN(3)), Window: window}
			side, rate := rollout.Old, oldRate
			if random.Float64() < rolloutCap {
				side, rate = rollout.New, newRate
			}
			outcome := rollout.OK
			if random.Float64() < rate {
				outcome = rollout.Slow
			}
			evidence.Add(key, side, outcome, 1)
		}
		if test.Observe(evidence.Cells()).Rejected {
			return time.Duration(window)*config.Window + config.Lag
		}
	}
	return 0
}

// A small fleet must reject a version that is slow in most requests well within a rollout of 15 s, and an equal one in at most one of 20.
func TestRolloutConfig_SmallFleet(t *testing.T) {
	const runs, within = 400, 12 * time.Second
	must.NoError(t, rolloutConfig(3).Validate())
	missed, late, wrong := 0, 0, 0
	for seed := range uint64(runs) {
		rejectedAt := canary(seed, within, 0.1, 0.9)
		switch {
		case rejectedAt == 0:
			missed++
		case rejectedAt > within*2/3:
			late++
		}
		if canary(seed, within, 0.1, 0.1) > 0 {
			wrong++
		}
	}
	t.Logf("slow version: %d of %d missed, %d after two thirds of the time; equal version: %d rejected", missed, runs, late, wrong)
	must.LessEq(t, runs/200, missed)
	must.LessEq(t, runs/20, late)
	must.LessEq(t, runs/20, wrong)
}
