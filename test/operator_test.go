package test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/request/result"
)

// runCommand runs an operator's command against the fleet's platform and returns its output and exit code.
func (f *fleet) runCommand(args ...string) (string, result.Code) {
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "JAYRIDGE_KV="+f.servers["kv"].URL, "JAYRIDGE_INSTANCES="+f.servers["list"].URL)
	out, _ := cmd.CombinedOutput()
	return string(out), result.Code(cmd.ProcessState.ExitCode())
}

// writeRules writes a rules file with the accepted rules and the given lines, and returns its path.
func (f *fleet) writeRules(name, lines string) string {
	accepted, code := f.runCommand("show")
	must.Eq(f.t, result.OK, code)
	path := filepath.Join(f.dir, name)
	must.NoError(f.t, os.WriteFile(path, []byte(accepted+lines), 0o600))
	return path
}

// A change must not silently undo another operator's change, and must not be reported as failed because the platform's answer is lost.
func TestApply_ConcurrentChange(t *testing.T) {
	f := newSmallFleet(t)
	first := f.writeRules("first", "drain datacentre nadi # ops: power work\n")
	second := f.writeRules("second", "drain upstream press-1 # ops: bad fan\n")
	f.kv.SetFaults(kv.Faults{LoseWrites: 2})
	out, code := f.runCommand("apply", "--wait", first)
	must.Eq(t, result.OK, code, must.Sprint(out))
	must.StrContains(t, out, "+drain datacentre nadi")
	out, code = f.runCommand("apply", second)
	must.Eq(t, result.ConfigConflict, code, must.Sprint(out))
	must.StrContains(t, out, "drain datacentre nadi")
	// Apply updated the file's base version, so the first operator can edit the file again without a new show.
	text, err := os.ReadFile(first)
	must.NoError(t, err)
	must.StrHasPrefix(t, "# based on version 2\n", string(text))
	must.NoError(t, os.WriteFile(first, append(text, "drain upstream press-2 # ops: bad disk\n"...), 0o600))
	_, code = f.runCommand("apply", "--wait", first)
	must.Eq(t, result.OK, code)
	out, code = f.runCommand("audit", "--output", "json")
	must.Eq(t, result.OK, code)
	var records []struct{ Version uint64 }
	must.NoError(t, json.Unmarshal([]byte(out), &records))
	must.Eq(t, 3, len(records))
	must.Eq(t, 3, records[0].Version)
}

// Apply must not report success while an instance has not confirmed, and moves must not report a drain as done while an instance is paused.
func TestApply_NamesUnconfirmedInstances(t *testing.T) {
	f := newSmallFleet(t)
	f.signal("press-3", syscall.SIGSTOP)
	path := f.writeRules("rules", "drain datacentre nadi # ops: power work\n")
	out, code := f.runCommand("apply", "--wait", "--timeout", "3s", path)
	must.Eq(t, result.NotConfirmed, code)
	must.StrContains(t, out, "not confirmed by: press-3")
	out, _ = f.runCommand("moves")
	must.StrContains(t, out, "under way")
	f.signal("press-3", syscall.SIGCONT)
	f.await("the drain is done", func() bool {
		out, _ = f.runCommand("moves")
		return strings.Contains(out, "done")
	})
}

// The check command must report all faults of a file, accept the example files, and exit with the result code of the failure.
func TestCheck(t *testing.T) {
	f := newFleet(t)
	for _, example := range []string{"vunilagi", "riga"} {
		out, code := f.runCommand("check", "../examples/"+example+".rules")
		must.Eq(t, result.OK, code, must.Sprint(out))
	}
	bad := filepath.Join(f.dir, "bad")
	must.NoError(t, os.WriteFile(bad, []byte("servise x\nroute /a service=y # a: b\ndrain datacentre nadi\n"), 0o600))
	out, code := f.runCommand("check", bad)
	must.Eq(t, result.InvalidRules, code)
	for _, place := range []string{bad + ":1:1", bad + ":2:", bad + ":3:"} {
		must.StrContains(t, out, place)
	}
	_, code = f.runCommand("check", "--settings", bad)
	must.Eq(t, result.InvalidSettings, code)
	_, code = f.runCommand("check")
	must.Eq(t, result.UsageError, code)
	_, code = f.runCommand("nonsense")
	must.Eq(t, result.UsageError, code)
}
