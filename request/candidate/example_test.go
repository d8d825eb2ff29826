package candidate_test

import (
	"fmt"

	"github.com/jayridge/jayridge/request/candidate"
)

func Example() {
	ups := []candidate.Upstream{
		{ID: "press-1", DataCentre: "suva", Service: "press-model", Version: "v1"},
		{ID: "press-2", DataCentre: "nadi", Service: "press-model", Version: "v1"},
		{ID: "press-3", DataCentre: "nadi", Service: "press-model", Version: "v1"},
	}
	view := candidate.Build(nil, ups, candidate.DefaultConfig())
	list := make([]candidate.Candidate, 0, 8)
	for _, c := range view.Candidates("press-model", "v1", candidate.NewDataCentreSet("suva", "nadi"), 42, list) {
		fmt.Println(c.DataCentre, c.ID)
	}
	// Output:
	// nadi press-3
	// nadi press-2
	// suva press-1
}
