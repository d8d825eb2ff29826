package result

import (
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// docs/result-codes.md must list every code with the same description.
func TestDocs_ListEveryCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/result-codes.md")
	must.NoError(t, err)
	for _, i := range All() {
		elsewhere := map[bool]string{true: "yes", false: "no"}[i.RetryElsewhere]
		row := fmt.Sprintf("| %d | `%s` | %s | %d | %s | %s |\n", i.Code, i.Name, i.Outcome, i.HTTPStatus, elsewhere, i.Text)
		must.StrContains(t, string(page), row)
	}
}

// Numbers and names must be unique, a shell must be able to distinguish the exit codes, and no code may allow a retry on another
// upstream after the hand-over.
func TestTable_IsConsistent(t *testing.T) {
	names := map[string]bool{}
	for _, i := range All() {
		must.Eq(t, i, i.Code.Info(), must.Sprint("number used twice"))
		must.False(t, names[i.Name], must.Sprint(i.Name))
		must.Less(t, 126, int(i.Code))
		must.False(t, i.RetryElsewhere && i.Outcome != NotRun, must.Sprint(i.Name))
		names[i.Name] = true
	}
	must.Eq(t, Unknown, Code(250).Outcome())
}
