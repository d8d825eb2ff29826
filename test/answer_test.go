package test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/internal/standin/kv"
)

func staleReads(n int) kv.Faults { return kv.Faults{StaleReads: n} }

const streamBody = `{"prompt":"long review","max_tokens":40}`

// Guards against a stream that did not end whole and looks ended: no terminal event, or a connection that closes cleanly.
func TestStream_BrokenNeverLooksEnded(t *testing.T) {
	f := small(t)
	whole := f.post("entry-1", "/chat", "s", "", streamBody, "Accept", "text/event-stream")
	must.NoError(t, whole.err)
	must.StrContains(t, whole.body, "event: end\n")
	must.Eq(t, 40, strings.Count(whole.body, `"text":"w`))
	for _, e := range f.engines {
		e.SetFaults(engine.Faults{TruncateAfter: 7})
	}
	broken := f.post("entry-1", "/chat", "s", "", streamBody, "Accept", "text/event-stream")
	must.Error(t, broken.err, must.Sprint("the connection must be aborted"))
	must.StrContains(t, broken.body, "event: error\n")
	must.StrContains(t, broken.body, `"outcome":"unknown"`)
	must.StrNotContains(t, broken.body, "event: end\n")
}

// Guards against an answer whose parts come from two attempts: the first runner breaks off, another one answers.
func TestBuffered_RetryNeverMixesAttempts(t *testing.T) {
	f := small(t)
	for _, name := range []string{"press-1", "press-3"} {
		f.engines[name].SetFaults(engine.Faults{TruncateAfter: 3, TagVersion: true})
	}
	for i := range 24 {
		r := f.chat("entry-1", fmt.Sprintf("mix-%d", i))
		if r.status != http.StatusOK {
			must.Eq(t, "unknown", r.outcome)
		}
	}
}

// Guards against answers that go to another caller when many are in progress on the same connections.
func TestAnswers_ReachTheirCaller(t *testing.T) {
	f := small(t)
	const callers = 200
	replies := make(chan reply, callers)
	for i := range callers {
		go func() {
			entry := f.entries[i%len(f.entries)]
			replies <- f.chat(entry, fmt.Sprintf("caller-%d", i))
		}()
	}
	answered := 0
	for range callers {
		r := <-replies
		must.NoError(t, r.err)
		if r.status == http.StatusOK {
			answered++
		} else {
			must.Eq(t, "not-run", r.outcome)
		}
	}
	must.Positive(t, answered)
}
