// Package loopback allocates loopback addresses for processes that tests start.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports lie below the kernel's ephemeral port range. A free port in the ephemeral range could be assigned to an outgoing connection
// before the process under test listens on it.
const (
	firstPort = 10_000
	portCount = 22_000
	// pidStride spreads the first ports of test processes that run at the same time.
	pidStride = 997
)

var allocated atomic.Int64

// UnusedAddress returns a loopback address that no process listens on. Each call returns a different address until the port range wraps
// around.
func UnusedAddress() string {
	for {
		n := int64(os.Getpid())*pidStride + allocated.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%portCount)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address
	}
}
