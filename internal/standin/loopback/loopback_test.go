package loopback

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// beginAsProcess is a variable with a process ID. It makes the test binary begin at the ports of that process, print one address and exit.
const beginAsProcess = "JAYRIDGE_BEGIN_AS_PROCESS"

func TestMain(m *testing.M) {
	if pid, err := strconv.Atoi(os.Getenv(beginAsProcess)); err == nil {
		allocated = int64(pid-os.Getpid()) * pidStride
		_, _ = os.Stdout.WriteString(UnusedAddress())
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Guards against two test processes that are given the same ports: process IDs 22 apart begin 66 ports apart.
func TestUnusedAddress_OtherProcess(t *testing.T) {
	mine := make(map[string]bool)
	for range 50 {
		address := UnusedAddress()
		must.False(t, mine[address])
		mine[address] = true
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), fmt.Sprint(beginAsProcess, "=", os.Getpid()))
	text, err := command.Output()
	must.NoError(t, err)
	must.True(t, strings.HasPrefix(string(text), "127.0.0.1:"))
	must.False(t, mine[string(text)])
}
