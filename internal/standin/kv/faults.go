package kv

import (
	"net/http"
	"time"

	"github.com/jayridge/jayridge/internal/standin/control"
)

// Down says how the service fails all calls.
type Down string

// Ways to be down. A refused connection needs no fault: the test closes the listener.
const (
	// DownNo means that the service works.
	DownNo Down = ""
	// DownRefuse answers 503 before anything is done.
	DownRefuse Down = "503"
	// DownClose closes the connection without a response and without doing anything.
	DownClose Down = "close"
)

// Faults says what the service does wrong. The zero value is no fault.
type Faults struct {
	Down Down `json:"down,omitempty"`
	// SlowMS delays each call before it is done, in ms. A write takes effect even if its client has gone by then.
	SlowMS int `json:"slow_ms,omitempty"`
	// LoseWrites is the number of further writes that take effect and get no response.
	LoseWrites int `json:"lose_writes,omitempty"`
	// StaleReads is the number of further reads that are answered with the previous revision of their key.
	StaleReads int `json:"stale_reads,omitempty"`
}

// Counters count the calls that reached the service, failed ones included.
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
	// Watches that are waiting see a new outage.
	s.wake()
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, s.Counters())
}

// injectFaults counts a call and applies the faults that precede it.
func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := s.count(r)
		if faults.SlowMS > 0 {
			s.sleep(time.Duration(faults.SlowMS) * time.Millisecond)
		}
		switch faults.Down {
		case DownNo:
			next.ServeHTTP(w, r)
		case DownClose:
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set(AppliedHeader, "no")
			http.Error(w, "down", http.StatusServiceUnavailable)
		}
	})
}

func (s *Server) count(r *http.Request) Faults {
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

// takeStale uses up one stale read. The caller holds mu.
func (s *Server) takeStale() bool {
	if s.faults.StaleReads == 0 {
		return false
	}
	s.faults.StaleReads--
	return true
}

// takeLoss uses up one lost write. The caller holds mu.
func (s *Server) takeLoss() bool {
	if s.faults.LoseWrites == 0 {
		return false
	}
	s.faults.LoseWrites--
	return true
}
