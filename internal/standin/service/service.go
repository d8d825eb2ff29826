// Package service is a small stand-in for a plain service whose calls have effects, such as bookings.
//
// Any path accepts GET (a status look-up) and POST (an effect). POST /faults replaces the faults; GET /counters returns how often
// each effect, named by the body's "id" field, took place. GET /v1/load is the load report.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/jayridge/jayridge/internal/standin/control"
)

// Faults are switched on by a test.
type Faults struct {
	// HoldRequests keeps answers back, after the effect, until the fault is cleared.
	HoldRequests bool `json:"hold_requests"`
	// DropAnswers breaks the connection after the effect of the next n calls.
	DropAnswers int `json:"drop_answers"`
	// FailEvery answers each n-th call with status 500, without an effect.
	FailEvery int `json:"fail_every"`
	// SlowMS delays each effect, in milliseconds.
	SlowMS int `json:"slow_ms"`
}

// Counters are what a test asserts.
type Counters struct {
	Calls   int            `json:"calls"`
	Effects map[string]int `json:"effects"`
	// InFlight is the number of calls in progress.
	InFlight int `json:"in_flight"`
}

// Effect is the body of an effect and of its answer.
type Effect struct {
	ID     string `json:"id"`
	Status string `json:"status,omitempty"`
}

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 1 << 20

// Server is a plain service. It is an http.Handler.
type Server struct {
	http.Handler

	mu       sync.Mutex
	startID  string
	faults   Faults
	counters Counters
	hold     control.Hold
}

// New returns a plain service without effects so far.
func New() *Server {
	s := &Server{startID: strconv.FormatUint(rand.Uint64(), 16)}
	s.counters.Effects = map[string]int{}
	r := mux.NewRouter()
	r.HandleFunc("/faults", control.FaultsHandler(s.SetFaults)).Methods(http.MethodPost)
	r.HandleFunc("/counters", s.showCounters).Methods(http.MethodGet)
	r.HandleFunc("/v1/load", s.load).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.lookUp).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.call).Methods(http.MethodPost)
	s.Handler = r
	return s
}

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.Effects = maps.Clone(s.counters.Effects)
	return c
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold.Set(f.HoldRequests)
	s.faults = f
}

func (s *Server) showCounters(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, s.Counters())
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	control.WriteJSON(w, map[string]any{"start_id": s.startID, "work_units": s.counters.InFlight, "capacity": 0})
}

func (s *Server) lookUp(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.URL.Query().Get("id")
	status := "unknown"
	if s.counters.Effects[id] > 0 {
		status = "done"
	}
	control.WriteJSON(w, Effect{ID: id, Status: status})
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var effect Effect
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || json.Unmarshal(body, &effect) != nil || effect.ID == "" {
		http.Error(w, `the body must be a JSON object with an "id"`, http.StatusBadRequest)
		return
	}
	failed, dropped, faults, released := s.begin()
	defer s.end()
	time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
	if failed {
		http.Error(w, "call failed", http.StatusInternalServerError)
		return
	}
	s.take(effect.ID)
	select {
	case <-released:
	case <-r.Context().Done():
	}
	if dropped {
		panic(http.ErrAbortHandler)
	}
	effect.Status = "done"
	control.WriteJSON(w, effect)
}

func (s *Server) begin() (failed, dropped bool, faults Faults, released <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Calls++
	s.counters.InFlight++
	failed = s.faults.FailEvery > 0 && s.counters.Calls%s.faults.FailEvery == 0
	if s.faults.DropAnswers > 0 {
		s.faults.DropAnswers--
		dropped = true
	}
	return failed, dropped, s.faults, s.hold.Released()
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.InFlight--
}

func (s *Server) take(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Effects[id]++
}
