package rules

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// manyTeams returns a rules file with 46,000 teams, the number that the parser is designed for.
func manyTeams() []byte {
	var b strings.Builder
	b.WriteString("service m kind=model versions=v1  # ops: the model\n")
	for i := range 46_000 {
		fmt.Fprintf(&b, "team team-%05d-%x weight=%d limit=%d    # person%d: asked in ticket %d for the office\n",
			i, i*7919, 1+i%9, 1+i%500, i%300, i*31)
	}
	return []byte(b.String())
}

// BenchmarkRoute measures the route lookup, which an entry makes for each request.
func BenchmarkRoute(b *testing.B) {
	set, faults := Parse("f", []byte(twoServices+"route /chat/fabric-care service=m"+comment+"route /chat/drivers service=m"+comment+"route /charges service=p"+comment))
	must.NoError(b, faults.Err())
	b.ReportAllocs()
	for b.Loop() {
		set.Route("/chat/fabric-care/wool/12345")
	}
}

// BenchmarkParseTeams measures parsing a whole file.
func BenchmarkParseTeams(b *testing.B) {
	text := manyTeams()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		_, faults := Parse("f", text)
		must.NoError(b, faults.Err())
	}
}
