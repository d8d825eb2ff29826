package test

import (
	"os/exec"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/request/result"
)

// Guards against a restarted sidecar that forwards an order before it knows the highest fencing token. The engine does not check tokens.
func TestOrder_RestartedSidecar(t *testing.T) {
	f := newFleet(t)
	f.startRunner("press-1", "suva", "v1", engine.Config{})
	order := func() int {
		cmd := exec.Command(binary, "order", "--kv", f.servers["kv"].URL, "--instances", f.servers["list"].URL,
			"--upstream", "press-1", "--kind", "set-role", "--target", "prefill")
		_ = cmd.Run()
		return cmd.ProcessState.ExitCode()
	}
	f.await("the sidecar listens", func() bool { return f.status("press-1") != nil })
	must.Zero(t, order())
	must.Zero(t, order())
	f.kill("press-1")
	f.procs["press-1"].kvProxy.disconnected.Store(true)
	f.restart("press-1")
	f.await("the sidecar listens again", func() bool { return f.status("press-1") != nil })
	must.Eq(t, int(result.FenceUnknown), order())
	f.procs["press-1"].kvProxy.disconnected.Store(false)
	must.Zero(t, order())
	must.Eq(t, 3, f.engines["press-1"].Counters().OrdersApplied)
}
