// Package kv implements a stand-in for the platform's key-value service. It stores keys in memory and supports fault injection.
//
// # Protocol
//
// Bodies are JSON and values are encoded in base64. Keys are query parameters, so slashes need no escaping.
//
//	GET    /v1/key?key=K                       200 {"key","value","revision"}, 404
//	PUT    /v1/key {"key","prev","value","lease"}  200 {"revision"}, 404 (the lease does not exist or has expired), 409, 413
//	GET    /v1/keys?prefix=P&limit=N           200 {"keys":[...]} in ascending order; limit 0 means no limit
//	GET    /v1/watch?key=K&after=R&wait_ms=N   200 and the key once its revision exceeds R, 204 after N ms
//	POST   /v1/leases {"ttl_ms"}               200 {"lease"}
//	POST   /v1/leases/ID/renew                 200, 404
//	DELETE /v1/leases/ID                       200, 404
//	POST   /faults {Faults}                    200; replaces all faults
//	GET    /counters                           200 {Counters}
//
// All keys share one revision counter, so a key that is deleted and created again gets a higher revision. A write with prev zero
// creates the key. A write had no effect if the status is 4xx, or 503 with the header Kv-Applied: no. After any other failure its
// outcome is unknown.
package kv

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/jayridge/jayridge/internal/standin/control"
	"github.com/jayridge/jayridge/process/services"
)

// AppliedHeader is the response header that has the value "no" if the request changed nothing.
const AppliedHeader = "Kv-Applied"

// MaxWatchWait is the maximum time that the service holds one watch request.
const MaxWatchWait = 30 * time.Second

// Server is a stand-in key-value service. It implements http.Handler and is safe for concurrent use.
type Server struct {
	router *mux.Router
	now    func() time.Time
	// sleep implements the delay of Faults.SlowMS.
	sleep func(time.Duration)

	mu       sync.Mutex
	store    store
	faults   Faults
	counters Counters
	// changed is closed and replaced to wake up waiting watches.
	changed chan struct{}
}

// Option configures a Server.
type Option func(*Server)

// WithClock sets the clock by which leases expire. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(s *Server) { s.now = now }
}

// New returns a service without keys, leases or faults.
func New(options ...Option) *Server {
	s := &Server{now: time.Now, sleep: time.Sleep, store: newStore(), changed: make(chan struct{})}
	for _, option := range options {
		option(s)
	}
	s.router = mux.NewRouter()
	s.registerRoutes()
	return s
}

func (s *Server) registerRoutes() {
	s.router.HandleFunc("/faults", control.FaultsHandler(s.SetFaults)).Methods(http.MethodPost)
	s.router.HandleFunc("/counters", s.getCounters).Methods(http.MethodGet)
	v1 := s.router.PathPrefix("/v1").Subrouter()
	v1.Use(s.injectFaults)
	v1.HandleFunc("/key", s.get).Methods(http.MethodGet)
	v1.HandleFunc("/key", s.put).Methods(http.MethodPut)
	v1.HandleFunc("/keys", s.list).Methods(http.MethodGet)
	v1.HandleFunc("/watch", s.watch).Methods(http.MethodGet)
	v1.HandleFunc("/leases", s.grant).Methods(http.MethodPost)
	v1.HandleFunc("/leases/{id:[0-9]+}/renew", s.renew).Methods(http.MethodPost)
	v1.HandleFunc("/leases/{id:[0-9]+}", s.revoke).Methods(http.MethodDelete)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Snapshot returns a copy of all values, for checks in tests.
func (s *Server) Snapshot() map[string]services.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.expire(s.now())
	all := make(map[string]services.KeyValue, len(s.store.keys))
	for name, k := range s.store.keys {
		all[name] = services.KeyValue{Key: name, Value: k.value, Revision: k.revision}
	}
	return all
}
