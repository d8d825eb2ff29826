// Package kv is a stand-in for the platform's key-value service. It keeps keys in memory and can be told to fail.
//
// # Protocol
//
// Bodies are JSON, values are base64. Keys travel in the query, so that slashes need no escaping.
//
//	GET    /v1/key?key=K                       200 {"key","value","revision"}, 404
//	PUT    /v1/key {"key","prev","value","lease"}  200 {"revision"}, 404 (the lease has ended), 409, 413
//	GET    /v1/keys?prefix=P&limit=N           200 {"keys":[...]} in ascending order; limit 0 means no limit
//	GET    /v1/watch?key=K&after=R&wait_ms=N   200 as for a key once its revision exceeds R, 204 after N ms
//	POST   /v1/leases {"ttl_ms"}               200 {"lease"}
//	POST   /v1/leases/ID/renew                 200, 404
//	DELETE /v1/leases/ID                       200, 404
//	POST   /faults {Faults}                    200; replaces all faults
//	GET    /counters                           200 {Counters}
//
// Revisions come from one counter for all keys, so a key that is deleted and created again gets a higher one. A write with
// prev zero creates the key. Nothing was done if the status is 4xx, or 503 with the header Kv-Applied: no; any other failure of a
// write leaves its outcome open.
package kv

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/jayridge/jayridge/internal/standin/control"
	"github.com/jayridge/jayridge/process/services"
)

// AppliedHeader says "no" in a response that was sent before the request changed anything.
const AppliedHeader = "Kv-Applied"

// MaxWait bounds how long the service holds one watch request.
const MaxWait = 30 * time.Second

// Server is the service. It is safe for concurrent use.
type Server struct {
	router *mux.Router
	now    func() time.Time
	// sleep waits for the slow fault.
	sleep func(time.Duration)

	mu       sync.Mutex
	store    store
	faults   Faults
	counters Counters
	// changed is closed and replaced on each write; watches wait on it.
	changed chan struct{}
}

// Option changes a Server that New makes.
type Option func(*Server)

// WithClock sets the clock that ends leases. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(s *Server) { s.now = now }
}

// New returns a service without keys or faults.
func New(options ...Option) *Server {
	s := &Server{now: time.Now, sleep: time.Sleep, store: newStore(), changed: make(chan struct{})}
	for _, option := range options {
		option(s)
	}
	s.router = mux.NewRouter()
	s.route()
	return s
}

func (s *Server) route() {
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

// Keys returns a copy of all values, for checks in tests.
func (s *Server) Keys() map[string]services.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.expire(s.now())
	all := make(map[string]services.KeyValue, len(s.store.keys))
	for name, k := range s.store.keys {
		all[name] = services.KeyValue{Key: name, Value: k.value, Revision: k.revision}
	}
	return all
}
