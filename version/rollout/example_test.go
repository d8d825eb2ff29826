package rollout_test

import (
	"fmt"
	"time"

	"github.com/jayridge/jayridge/version/rollout"
)

func Example() {
	start := time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	config := rollout.DefaultConfig()
	shift := rollout.Shift{ID: "7f3a", Service: "press-model", From: "v1", To: "v2", Deadline: start.Add(6 * time.Hour), MaxCanaryShare: 0.05}
	machine := rollout.NewMachine(config, shift, start)
	record := rollout.Record{ID: "7f3a", State: rollout.Canary, Share: 0.05}
	fmt.Println(machine.RecordRead(start, record, 1).Share)

	var evidence rollout.Evidence
	for i := range int64(6) {
		for _, centre := range []string{"suva", "nadi"} {
			key := rollout.Key{DataCentre: centre, Route: "/chat/driver", Window: config.WindowOf(start) + i}
			evidence.Add(key, rollout.Old, rollout.OK, 950)
			evidence.Add(key, rollout.Old, rollout.Failed, 2)
			evidence.Add(key, rollout.New, rollout.OK, 20)
			evidence.Add(key, rollout.New, rollout.Failed, 30)
		}
	}
	out := machine.Evidence(start.Add(time.Minute), evidence.Cells())
	fmt.Println(out.Share, machine.State())
	fmt.Println(out.Stop.Reason)
	// Output:
	// 0.05
	// 0 rolled back
	// v2 fails more often than v1 on all routes: 120 of 200 requests since the last step against 8 of 3808
}
