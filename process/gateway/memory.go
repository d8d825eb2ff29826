package gateway

import (
	"context"
	"net"
	"sync"

	"github.com/jayridge/jayridge/process/bufferbudget"
)

// unreservedHeadBytes is the size up to which the head of a caller's request takes no reserved memory: net/http has a buffer of that size.
const unreservedHeadBytes = 4 << 10

// teamOwner, callerOwner and upstreamOwner name the owners of reserved memory.
func teamOwner(team string) string { return "team " + team }

func callerOwner(address net.Addr) string {
	host, _, _ := net.SplitHostPort(address.String()) // addresses of TCP connections have a port
	return "caller " + host
}

func upstreamOwner(id string) string { return "upstream " + id }

// headMemory is the memory of the head that a caller's connection is reading or has read for the request in progress.
type headMemory struct {
	budget *bufferbudget.Budget

	mu sync.Mutex
	// reading means that the bytes that arrive belong to a head.
	reading     bool
	bytes       int
	reservation *bufferbudget.Reservation
}

// begin prepares for the head of the next request and releases the memory of the latest one.
func (m *headMemory) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reservation.Release()
	m.reading, m.bytes, m.reservation = true, 0, nil
}

// end releases the memory for good.
func (m *headMemory) end() {
	m.begin()
	m.complete()
}

// complete records that the head is complete.
func (m *headMemory) complete() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reading = false
}

// add reserves memory for n more bytes of the connection if they belong to a long head.
func (m *headMemory) add(conn *callerConn, n int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reading {
		return nil
	}
	if m.bytes += n; m.bytes <= unreservedHeadBytes {
		return nil
	}
	if m.reservation == nil {
		m.reservation = m.budget.Open(bufferbudget.Receiving, callerOwner(conn.RemoteAddr()), func() { _ = conn.Close() })
		n = m.bytes
	}
	return m.reservation.Reserve(context.Background(), n)
}
