package kv

import (
	"net/http"
	"time"

	"github.com/jayridge/jayridge/internal/standin/control"
)

// Down selects how the service fails all calls.
type Down string

// Outage modes. There is none for refused connections: a test closes the listener instead.
const (
	// DownNone means that the service works.
	DownNone Down = ""
	// DownUnavailable answers calls with status 503 and changes nothing.
	DownUnavailable Down = "503"
	// DownClose closes the connection without a response and changes nothing.
	DownClose Down = "close"
)

// Faults configures fault injection. The zero value injects none.
type Faults struct {
	Down Down `json:"down,omitempty"`
	// SlowMS delays each call before it is processed, in milliseconds. A write takes effect even if its client has disconnected by then.
	SlowMS int `json:"slow_ms,omitempty"`
	// LoseWrites is the number of subsequent writes that take effect but get no response.
	LoseWrites int `json:"lose_writes,omitempty"`
	// StaleReads is the number of subsequent reads that return the previous revision of their key.
	StaleReads int `json:"stale_reads,omitempty"`
}

// Counters counts the calls that reached the service, including failed ones.
type Counters struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Counters returns the counts so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	// Wake up waiting watches so that a new outage ends them.
	s.notifyWatches()
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, s.Counters())
}

// injectFaults is the middleware that counts a call and applies the delay and outage faults.
func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := s.countCall(r)
		if faults.SlowMS > 0 {
			s.sleep(time.Duration(faults.SlowMS) * time.Millisecond)
		}
		switch faults.Down {
		case DownNone:
			next.ServeHTTP(w, r)
		case DownClose:
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set(AppliedHeader, "no")
			http.Error(w, "injected fault: service unavailable", http.StatusServiceUnavailable)
		}
	})
}

// countCall counts a call as a read, write or watch, and returns the current faults.
func (s *Server) countCall(r *http.Request) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method != http.MethodGet:
		s.counters.Writes++
	case r.URL.Path == "/v1/watch":
		s.counters.Watches++
	default:
		s.counters.Reads++
	}
	return s.faults
}

// consumeStaleRead reports whether StaleReads applies to the current read, and decrements it. The caller holds mu.
func (s *Server) consumeStaleRead() bool {
	if s.faults.StaleReads == 0 {
		return false
	}
	s.faults.StaleReads--
	return true
}

// consumeLostWrite reports whether LoseWrites applies to the current write, and decrements it. The caller holds mu.
func (s *Server) consumeLostWrite() bool {
	if s.faults.LoseWrites == 0 {
		return false
	}
	s.faults.LoseWrites--
	return true
}
