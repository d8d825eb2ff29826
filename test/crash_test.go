package test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/engine"
)

// A request must not crash one upstream after another while its caller retries it, and other requests must not be quarantined for its
// crashes.
func TestCrash_PoisonRequestIsQuarantined(t *testing.T) {
	f := newSmallFleet(t)
	for _, e := range f.engines {
		e.SetFaults(engine.Faults{CrashOn: "poison"})
	}
	crashes := func(c engine.Counters) int { return c.Crashes }
	poison := `{"prompt":"poison","max_tokens":4}`
	f.await("the request is quarantined everywhere", func() bool {
		f.post("entry-1", "/chat", "p", "", poison)
		f.chat("entry-1", "innocent")
		return f.post("entry-1", "/chat", "p", "", poison).name == "quarantined" &&
			f.post("entry-2", "/chat", "other", "", poison).name == "quarantined"
	})
	must.LessEq(t, 2, f.total(crashes))
	for i := range 20 {
		must.Eq(t, "quarantined", f.post("entry-2", "/chat", fmt.Sprintf("again-%d", i), "", poison).name)
		f.chatUntilOK("entry-1", "innocent")
	}
	must.LessEq(t, 2, f.total(crashes))
}
