package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/jayridge/jayridge/request/result"
)

func TestTrace(t *testing.T) {
	for _, cold := range []bool{true, false} {
		for ci, c := range reuseCases[:2] {
			o := Options{Seed: 1, Short: true}
			d := deployments[0]
			f := newFleet(fleetOptions{seed: o.Seed, dataCentres: d.dataCentres, runners: d.runners, entriesPerDataCentre: d.entries, router: c.router,
				coldInitial: coldBears, coldLimit: coldBears + warmServed, restartsWarm: true, withoutLimit: c.withoutLimit})
			codes := map[result.Code]int{}
			att := map[int]int{}
			ref := map[result.Code]int{}
			n := 0
			startChats(f, d.runners, reuseUtilisation, func(j *job, code result.Code) {
				if f.elapsed < 3*time.Minute {
					return
				}
				n++
				codes[code]++
				att[len(j.attempts)]++
				for _, a := range j.attempts {
					ref[a.Code]++
				}
			})
			times := reuseTime(o, d)
			if cold {
				f.replaceRunners(times)
			}
			f.run(times.warmUp + times.measured)
			fmt.Println(cold, ci, n, "codes", codes, "attempts", att, "refusals", ref)
			var mh, mt float64
			for _, r := range f.runners {
				fmt.Print(r.admission.State().MeanUnits, " ", r.work, " ", len(r.running), "; ")
				mh += float64(r.admission.State().MeanUnits)
				mt += float64(r.work)
			}
			fmt.Println("\n mean hint", mh/float64(len(f.runners)), mt/float64(f.alive))
		}
	}
}
