// Package service implements a stand-in for a plain service whose calls have side effects, such as bookings.
//
// # Protocol
//
//	POST /faults      replaces the faults
//	GET  /counters    counters for test assertions: how often each effect, identified by the "id" field of the body, took place
//	GET  /v1/load     load report
//	GET  other paths  status of the effect whose ID is in the query parameter "id"
//	POST other paths  performs an effect
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

// Faults configures fault injection. The zero value injects none.
type Faults struct {
	// HoldRequests withholds responses, after the effect, until the fault is cleared.
	HoldRequests bool `json:"hold_requests"`
	// DropAnswers breaks the connection after the effect of the next n calls.
	DropAnswers int `json:"drop_answers"`
	// FailEvery fails every n-th call with status 500 and without an effect. Zero: none.
	FailEvery int `json:"fail_every"`
	// SlowMS delays each effect, in milliseconds.
	SlowMS int `json:"slow_ms"`
}

// Counters holds the counts that tests assert on.
type Counters struct {
	Calls   int            `json:"calls"`
	Effects map[string]int `json:"effects"`
	// InFlight is the number of calls in progress.
	InFlight int `json:"in_flight"`
}

// Effect is the body of a POST request, and of the responses to POST and to status look-ups.
type Effect struct {
	ID     string `json:"id"`
	Status string `json:"status,omitempty"`
}

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 1 << 20

// Server is a stand-in plain service. It implements http.Handler.
type Server struct {
	http.Handler

	mu       sync.Mutex
	startID  string
	faults   Faults
	counters Counters
	hold     control.Hold
}

// New returns a plain service that has performed no effects.
func New() *Server {
	s := &Server{startID: strconv.FormatUint(rand.Uint64(), 16)}
	s.counters.Effects = map[string]int{}
	r := mux.NewRouter()
	r.HandleFunc("/faults", control.FaultsHandler(s.SetFaults)).Methods(http.MethodPost)
	r.HandleFunc("/counters", s.getCounters).Methods(http.MethodGet)
	r.HandleFunc("/v1/load", s.getLoad).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.getStatus).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.postEffect).Methods(http.MethodPost)
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

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, s.Counters())
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	control.WriteJSON(w, map[string]any{"start_id": s.startID, "work_units": s.counters.InFlight, "capacity": 0})
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.URL.Query().Get("id")
	status := "unknown"
	if s.counters.Effects[id] > 0 {
		status = "done"
	}
	control.WriteJSON(w, Effect{ID: id, Status: status})
}

func (s *Server) postEffect(w http.ResponseWriter, r *http.Request) {
	var effect Effect
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || json.Unmarshal(body, &effect) != nil || effect.ID == "" {
		http.Error(w, `the body must be a JSON object with an "id"`, http.StatusBadRequest)
		return
	}
	failed, dropped, faults, released := s.startCall()
	defer s.endCall()
	time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
	if failed {
		http.Error(w, "injected fault: call failed", http.StatusInternalServerError)
		return
	}
	s.recordEffect(effect.ID)
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

// startCall registers a call and selects the faults that apply to it.
func (s *Server) startCall() (failed, dropped bool, faults Faults, released <-chan struct{}) {
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

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.InFlight--
}

func (s *Server) recordEffect(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Effects[id]++
}
