package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// docs/events.md must list every event with its current name, level and action.
func TestDocs_ListEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	must.NoError(t, err)
	levels := map[Level]string{Info: "info", Warning: "warning", Error: "error"}
	for _, d := range All() {
		action := d.Action
		if action == "" {
			action = "nothing"
		}
		must.StrContains(t, string(page), fmt.Sprintf("| %d | %s | %s | %s |\n", d.ID, d.Name, levels[d.Level], action))
	}
	must.Eq(t, len(All()), strings.Count(string(page), "\n| ")-1)
}
