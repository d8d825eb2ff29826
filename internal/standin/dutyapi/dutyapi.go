// Package dutyapi is a stand-in for the platform API, which accepts usage reports and scaling orders of the holders of duties. It keeps the highest
// token of each duty and subject, records the calls that it accepts, and checks that the callers keep their rules. Its faults are set by tests.
package dutyapi

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jayridge/jayridge/process/duty"
)

// Call is one call of the API.
type Call struct {
	// Duty is duty.Usage or duty.Scale.
	Duty   string
	Holder string
	Token  uint64
	// Window and Counts are set for duty.Usage.
	Window int64
	Counts map[string]uint64
	// Service, DataCentre and Desired are set for duty.Scale.
	Service, DataCentre string
	Desired             int
	// At is the time at which the call arrived. Late means that it was held and executed later.
	At   time.Time
	Late bool
}

// subject is what a token is compared for.
type subject struct{ duty, service, dataCentre string }

func (c Call) subject() subject { return subject{c.Duty, c.Service, c.DataCentre} }

// Faults are the faults of the API until they are set anew. The zero value means none.
type Faults struct {
	// Down drops calls without a response; they are not executed.
	Down bool
	// Delay is the time before a call is executed.
	Delay time.Duration
	// LoseResponses executes calls and sends no response.
	LoseResponses bool
	// Hold sends no response and keeps the calls for ExecuteHeld.
	Hold bool
	// Hang, with one of the faults without a response, leaves the caller waiting instead of closing its connection.
	Hang bool
}

// Server is the state of the API. It is safe for concurrent use.
type Server struct {
	// callsPerSecond is the number of calls that the API accepts within a second.
	callsPerSecond int
	// lease is the time within which holders must not alternate.
	lease time.Duration

	mu       sync.Mutex
	faults   Faults
	highest  map[subject]uint64
	accepted []Call
	held     []Call
	billed   int
	// recent are the times of the calls of the last second.
	recent []time.Time
	// windows are the reported counts by window, holders the holder of each token by subject, fenced the tokens that got 409 by holder and duty.
	windows    map[int64]map[string]uint64
	holders    map[subject]map[uint64]string
	fenced     map[string]uint64
	lastTokens map[string]uint64
	violations []string
}

// New returns an API without faults that accepts callsPerSecond calls a second and reports holders that alternate within lease as a violation.
func New(callsPerSecond int, lease time.Duration) *Server {
	return &Server{
		callsPerSecond: callsPerSecond, lease: lease,
		highest: make(map[subject]uint64), windows: make(map[int64]map[string]uint64), holders: make(map[subject]map[uint64]string),
		fenced: make(map[string]uint64), lastTokens: make(map[string]uint64),
	}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Accepted returns the executed calls in the order of their execution.
func (s *Server) Accepted() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.accepted)
}

// Billed returns the number of calls that arrived, refused ones included.
func (s *Server) Billed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.billed
}

// Violations returns the rules that callers broke: two reports with different counts for a window, one token of two holders for a subject, tokens of
// a holder that decrease, holders that alternate within the lease, and calls with a token that has got a 409. A token below that of another holder
// is no violation: a holder that was paused cannot take back a call that it has sent.
func (s *Server) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// ExecuteHeld executes the held calls in the order of their arrival. Their tokens are compared now.
func (s *Server) ExecuteHeld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.held {
		c.Late = true
		s.execute(c)
	}
	s.held = nil
}

// Do handles a call. It returns the HTTP status of the response, or false if the caller gets none; hang then tells whether its connection stays open.
func (s *Server) Do(ctx context.Context, c Call) (status int, answered, hang bool) {
	c.At = time.Now()
	c.Counts = maps.Clone(c.Counts)
	s.mu.Lock()
	f := s.faults
	s.billed++
	s.checkSender(c)
	throttled := s.throttle(c.At)
	s.mu.Unlock()
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done(): // the call is executed although its caller has gone
			<-timer.C
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Down:
		return 0, false, f.Hang
	case f.Hold:
		s.held = append(s.held, c)
		return 0, false, f.Hang
	case throttled:
		return http.StatusTooManyRequests, true, false
	}
	status = s.execute(c)
	return status, !f.LoseResponses, f.Hang
}

// throttle reports whether a call exceeds the rate.
func (s *Server) throttle(now time.Time) bool {
	s.recent = slices.DeleteFunc(s.recent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if len(s.recent) >= s.callsPerSecond {
		return true
	}
	s.recent = append(s.recent, now)
	return false
}

// execute compares the token of a call and executes the call.
func (s *Server) execute(c Call) int {
	if c.Token < s.highest[c.subject()] {
		if !c.Late {
			s.fenced[c.Holder+"/"+c.Duty] = max(c.Token, s.fenced[c.Holder+"/"+c.Duty])
		}
		return http.StatusConflict
	}
	s.highest[c.subject()] = c.Token
	if c.Duty == duty.Usage {
		if counts, reported := s.windows[c.Window]; !reported {
			s.windows[c.Window] = c.Counts
		} else if !maps.Equal(counts, c.Counts) {
			s.violate("window %d: %v after %v", c.Window, c.Counts, counts)
		} else {
			return http.StatusOK // an exact repeat is ignored
		}
	}
	s.accepted = append(s.accepted, c)
	if !c.Late {
		s.checkAlternation(c)
	}
	return http.StatusOK
}

// checkSender checks the rules that concern the caller alone.
func (s *Server) checkSender(c Call) {
	key := c.Holder + "/" + c.Duty
	if fenced, found := s.fenced[key]; found && c.Token <= fenced {
		s.violate("%s called with token %d after a 409 with token %d", key, c.Token, fenced)
	}
	if last := s.lastTokens[key]; c.Token < last {
		s.violate("%s sent token %d after %d", key, c.Token, last)
	}
	s.lastTokens[key] = max(s.lastTokens[key], c.Token)
	holders := s.holders[c.subject()]
	if holders == nil {
		holders = make(map[uint64]string)
		s.holders[c.subject()] = holders
	}
	if other, found := holders[c.Token]; found && other != c.Holder {
		s.violate("token %d of %s was sent by %s and %s", c.Token, c.Duty, other, c.Holder)
	}
	holders[c.Token] = c.Holder
}

// checkAlternation checks that the holder of the latest accepted call did not act shortly before the previous holder.
func (s *Server) checkAlternation(c Call) {
	between := ""
	for _, earlier := range slices.Backward(s.accepted[:len(s.accepted)-1]) {
		switch {
		case c.At.Sub(earlier.At) >= s.lease:
			return
		case earlier.Duty != c.Duty || earlier.Late:
		case earlier.Holder != c.Holder:
			between = earlier.Holder
		case between != "":
			s.violate("%s: %s, %s and %s within %v", c.Duty, c.Holder, between, c.Holder, c.At.Sub(earlier.At))
			return
		}
	}
}

func (s *Server) violate(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}
