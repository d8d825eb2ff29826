// Package loopback allocates loopback addresses for processes that tests start.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// The ports lie below the kernel's ephemeral port range. A free port in the ephemeral range could be assigned to an outgoing connection
// before the process under test listens on it.
const (
	firstPort = 10_000
	portCount = 22_000
	// pidStride spreads the first ports of test processes that run at the same time.
	pidStride = 997
	// lockHost is the address at which a port is locked.
	lockHost = "127.0.0.2"
)

var (
	mu        sync.Mutex
	allocated int64
	// locks keep other test processes from allocating the same ports, until this process ends.
	locks []net.Listener
)

// UnusedAddress returns a loopback address that no process listens on and that no other test process has been given.
func UnusedAddress() string {
	mu.Lock()
	defer mu.Unlock()
	for {
		allocated++
		port := firstPort + (int64(os.Getpid())*pidStride+allocated)%portCount
		lock, err := net.Listen("tcp", fmt.Sprintf("%s:%d", lockHost, port))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err == nil {
			locks = append(locks, lock)
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return address
	}
}
