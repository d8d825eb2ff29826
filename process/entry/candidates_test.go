package entry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/request/candidate"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
	"github.com/jayridge/jayridge/version/rules"
)

// While a shift is in progress, the next attempt after a failure of the new version or a VersionStopped refusal must use the old version.
// After any other not-run result it must use another upstream of the new version. The old version must never fall back to the new one.
func TestSelectCandidates_FallsBackToOldVersion(t *testing.T) {
	r := &routingTable{}
	for i := range 16 {
		version := fmt.Sprintf("v%d", 1+i%2)
		r.reachable = append(r.reachable, services.Instance{
			ID: fmt.Sprintf("press-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%4/2), Service: "press-model", Version: version,
		})
	}
	r.build(&routingTable{})
	x := &exchange{e: &Entry{}, service: rules.Service{Name: "press-model"}, plan: &shift.Plan{From: "v1", To: "v2", Share: 1}}
	versions := func(c candidateList) (found []string) {
		for range len(c.all) {
			found = append(found, r.sidecars[c.next().ID].Version)
		}
		return found
	}
	for _, info := range result.All() {
		code := info.Code
		c := x.selectCandidates(r, []string{"v2", "v1"}, make([]candidate.Candidate, 0, maxCandidates))
		must.Eq(t, []string{"v2", "v2", "v2", "v2", "v1", "v1", "v1", "v1"}, versions(c))
		x.pruneCandidates(&c, r.sidecars[c.next().ID], code, retry.Decision{Action: retry.Retry})
		next := r.sidecars[c.next().ID].Version
		if code.Outcome() == result.NotRun && code != result.VersionStopped {
			must.Eq(t, "v2", next, must.Sprint(code))
			continue
		}
		must.Eq(t, "v1", next, must.Sprint(code))
		must.Eq(t, []string{"v1", "v1", "v1", "v1"}, versions(c))
	}
	c := x.selectCandidates(r, []string{"v1", "v2"}, make([]candidate.Candidate, 0, maxCandidates))
	must.SliceNotContains(t, versions(c), "v2")
}
