package test

import (
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a sidecar that never gets work again when it is replaced under its name and address: the list shows no change, so the
// entries must try it again. One is replaced gracefully, one is killed and away for longer than an entry keeps it as a candidate.
func TestRestart_SidecarGetsWorkAgain(t *testing.T) {
	t.Parallel()
	f := small(t)
	f.signal("press-1", syscall.SIGTERM)
	f.kill("press-4")
	<-f.procs["press-1"].exited
	for _, entry := range f.entries {
		f.awaitSidecars(entry, 2)
	}
	before := f.received("press-1") + f.received("press-4")
	f.chats("entry-1", "away", 20)
	must.Eq(t, before, f.received("press-1")+f.received("press-4"))
	f.restart("press-1")
	f.restart("press-4")
	for _, entry := range f.entries {
		f.awaitSidecars(entry, 4)
	}
	f.chats("entry-2", "back", 60)
	must.Positive(t, f.received("press-1"))
	must.Positive(t, f.received("press-4"))
}
