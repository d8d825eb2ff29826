package rules

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against examples that operators would copy and that have faults.
func TestExamples(t *testing.T) {
	for _, name := range []string{"../../examples/vunilagi.rules", "../../examples/riga.rules"} {
		text, err := os.ReadFile(name)
		must.NoError(t, err)
		set, faults := Parse(name, text)
		must.NoError(t, faults.Err())
		must.Len(t, 2, set.Services())
		must.Len(t, 10, set.Teams())
		must.Len(t, 1, set.Shifts())
		must.Len(t, 1, set.Drains())
	}
}
