package test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/internal/standin/kv"
)

func staleReads(n int) kv.Faults { return kv.Faults{StaleReads: n} }

const streamBody = `{"prompt":"long review","max_tokens":40}`

// Guards against an incomplete stream that looks complete: one without a terminal event, or whose connection closes cleanly.
func TestStream_BrokenNeverLooksEnded(t *testing.T) {
	f := newSmallFleet(t)
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

// Guards against an answer with parts from two attempts: the first runner stops in the middle of its answer, and another one answers.
func TestBuffered_RetryNeverMixesAttempts(t *testing.T) {
	f := newSmallFleet(t)
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

// Guards against answers that reach the wrong caller when many requests share the same connections.
func TestAnswers_ReachTheirCaller(t *testing.T) {
	f := newSmallFleet(t)
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

// A stream must not fail while its engine is still running: when the sidecar is killed in mid-stream and replaced, the stream must resume at
// its offset from the same engine.
func TestStream_ResumedAfterSidecarIsReplaced(t *testing.T) {
	f := newFleet(t)
	f.startEntry("entry-1", "suva")
	f.startRunner("press-1", "suva", "v1", engine.Config{TokenInterval: 20 * time.Millisecond})
	f.awaitVersion(f.apply(baseRules))
	f.awaitSidecars("entry-1", 1)
	body := `{"prompt":"long review","max_tokens":100}`
	req, err := http.NewRequest(http.MethodPost, "http://"+f.procs["entry-1"].http+"/chat", strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Jayridge-Team", "drivers")
	req.Header.Set("Accept", "text/event-stream")
	resp, err := f.client.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	first := make([]byte, 200)
	n, err := io.ReadAtLeast(resp.Body, first, 100)
	must.NoError(t, err)
	f.kill("press-1")
	f.restart("press-1")
	rest, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	stream := string(first[:n]) + string(rest)
	must.StrContains(t, stream, "event: end\n")
	var text strings.Builder
	for _, part := range strings.Split(stream, `"text":"`)[1:] {
		word, _, _ := strings.Cut(part, `"`)
		if strings.HasPrefix(word, "w") {
			text.WriteString(word)
		}
	}
	must.Eq(t, strings.Join(engine.ExpectedAnswer([]byte(body)), ""), text.String())
}
