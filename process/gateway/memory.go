package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/jayridge/jayridge/connection/headscan"
	"github.com/jayridge/jayridge/process/bufferbudget"
)

// teamOwner, callerOwner and upstreamOwner name the owners of reserved memory.
func teamOwner(team string) string { return "team " + team }

func callerOwner(address netip.Addr) string { return "caller " + address.String() }

func upstreamOwner(id string) string { return "upstream " + id }

// Costs of a request's head: net/http holds each byte in its buffer, in the line that it reads and in the parsed field, and each field in a map,
// which the head that goes to the upstream copies. Short fields cost some fifteen times their bytes.
const (
	costPerHeadByte = 3
	costPerField    = 320 // with 128, requests with thousands of fields took 51 to 69 MB of 64
)

// unreservedHeadCost is the cost up to which a head takes no reserved memory. It fits ordinary heads, which idle
// connections do not hold.
const unreservedHeadCost = 12 << 10

// serverBufferBytes is the size of the buffer through which net/http reads a connection.
const serverBufferBytes = 4 << 10

// errTooManyFields means that a head has more fields than the settings allow.
var errTooManyFields = errors.New("too many fields in the head of a request")

// headMemory is the memory of the head that a caller's connection is reading or has read for the request in progress.
type headMemory struct {
	budget    *bufferbudget.Budget
	maxFields int

	mu   sync.Mutex
	scan headscan.Scanner
	// parsed means that the server has read the head.
	parsed bool
	// buffered is the maximum number of lines of the head that may have arrived with the request before.
	buffered int
	// after is the number of bytes that have arrived after the head, lastLines the number of line feeds among those that may be in the server's buffer.
	after, lastLines int
	// content is the length of the request's body, negative if it is not known.
	content int64
	// answering means that an answer to the request is being written.
	answering atomic.Bool
	// early means that bytes after the request have arrived before its answer, expected that it was so with the request before. A caller that waits
	// for the end of an answer may have sent its next request before the server reports the connection as idle.
	early, expected bool
	charged         atomic.Int64
	reservation     *bufferbudget.Reservation
	// ahead is about the number of requests in a row that arrived before the answer to the one before was complete.
	ahead int
}

// begin prepares for the head of the next request and releases the memory of the latest one.
func (m *headMemory) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reservation.Release()
	m.expected = m.early
	known := m.content >= 0
	fromBuffer := m.parsed && !m.scan.Complete()
	if known && int64(m.after) <= m.content && !fromBuffer {
		m.lastLines = 0 // the server's buffer is empty
	}
	m.buffered = m.lastLines
	m.scan, m.parsed, m.after, m.content, m.early, m.reservation = headscan.Scanner{}, false, 0, 0, false, nil
	m.answering.Store(false)
	m.charged.Store(0)
}

// end releases the memory for good.
func (m *headMemory) end() {
	m.begin()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.parsed = true
}

// complete records that the server has read the head of a request with a body of some length, which is negative if it is not known. It returns
// about the number of requests in a row that were sent ahead.
func (m *headMemory) complete(content int64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.expected || !m.scan.Complete() {
		m.ahead++
	} else {
		m.ahead = max(0, m.ahead-1) // a head of which the first bytes were in the server's buffer looks as if it were not ahead
	}
	m.parsed, m.content = true, content
	m.noteEarly()
	return m.ahead
}

// noteEarly records whether bytes after the request have arrived before its answer.
func (m *headMemory) noteEarly() {
	m.early = m.early || m.parsed && m.content >= 0 && int64(m.after) > m.content && !m.answering.Load()
}

// keep makes the reservation permanent until the request has ended. It fails if the reservation has been evicted.
func (m *headMemory) keep() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reservation.Keep()
}

// add takes bytes of the connection into account. It reserves memory if they belong to a head that is not a small one.
func (m *headMemory) add(conn *callerConn, p []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.parsed && !m.scan.Complete() {
		p = p[m.scan.Add(p):]
		if err := m.reserve(conn); err != nil {
			return err
		}
		if !m.scan.Complete() {
			return nil
		}
	}
	m.after += len(p)
	m.noteEarly()
	switch {
	case len(p) == 1: // net/http reads one byte while a request is in progress; its buffer keeps what it held
		m.lastLines += bytes.Count(p, []byte{'\n'})
	case len(p) <= serverBufferBytes:
		m.lastLines = bytes.Count(p, []byte{'\n'})
	default: // larger reads go past the buffer
		m.lastLines = 0
	}
	return nil
}

// reserve reserves the memory for what has arrived of the head.
func (m *headMemory) reserve(conn *callerConn) error {
	if m.scan.Lines-1 > m.maxFields {
		return errTooManyFields
	}
	cost := costPerHeadByte*m.scan.Bytes + costPerField*(m.scan.Lines+m.buffered)
	if cost <= unreservedHeadCost {
		return nil
	}
	if m.reservation == nil {
		m.reservation = m.budget.Open(bufferbudget.Receiving, callerOwner(conn.address), func() { conn.evict(closedForMemory) })
	}
	if err := m.reservation.Reserve(context.Background(), cost-int(m.charged.Load())); err != nil {
		return err
	}
	m.charged.Store(int64(cost))
	return nil
}
