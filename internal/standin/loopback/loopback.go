// Package loopback finds addresses for processes that a test starts.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports below the range from which the kernel takes the local ports of outgoing connections: a port that was free a moment ago in that
// range may be taken by any connection before the process under test listens on it.
const (
	firstPort = 10_000
	ports     = 22_000
	// stride spreads the first ports of test processes that run at the same time.
	stride = 997
)

var used atomic.Int64

// Address returns a loopback address that nothing listens on. It returns another one at each call until the range is used up.
func Address() string {
	for {
		n := int64(os.Getpid())*stride + used.Add(1)
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+n%ports)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address
	}
}
