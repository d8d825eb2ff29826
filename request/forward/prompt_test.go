package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func partIDs(values ...string) PartIDs {
	names := &HeaderNames{PromptParts: "Parts"}
	return names.ParsePartIDs(http.Header{"Parts": values})
}

// All spellings of a part must have the same hash, wherever it stands, and only an unambiguous prompt may show that its parts are sound.
func TestParsePartIDs(t *testing.T) {
	bad := partIDs("bad:1").All[0]
	for _, value := range []string{"bad:200,f:1", "BAD:200,f:1", "x:1, bAd : 7,f:1", "x,:,bad:y,f:1", "f:1,bad:200", ",,bad"} {
		must.SliceContains(t, partIDs(value).All, bad, must.Sprint(value))
	}
	must.SliceContains(t, partIDs("a:1,b:2", "bad:200,f:1").All, bad)
	must.Eq(t, partIDs("a:1,bad:2").All, partIDs("a:1,bad:2,f:1").Answered)
	for _, value := range []string{"A:1,b:2", "a:1,b", "a:1,,b:2", " a:1,b:2", "a:x,b:2", ""} {
		must.SliceEmpty(t, partIDs(value).Answered, must.Sprint(value))
	}
	must.SliceEmpty(t, partIDs("a:1,b:2", "c:3").Answered)
}

// The parts of a very long prompt must not go unchecked.
func TestParsePartIDs_ManyParts(t *testing.T) {
	long := func(first string) PartIDs {
		var parts []string
		for i := range 400 {
			parts = append(parts, fmt.Sprintf("%s%x:1", first, i))
		}
		return partIDs(strings.Join(parts, ","))
	}
	a, b := long("a"), long("b")
	must.Len(t, maxCheckedParts+1, a.All)
	must.EqOp(t, a.All[maxCheckedParts], b.All[maxCheckedParts])
	must.Eq(t, a.All, a.Answered)
}
