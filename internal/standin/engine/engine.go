// Package engine implements a stand-in model engine for tests. It generates text deterministically, simulates a prompt cache and a cold
// start, and fails on demand.
//
// # Protocol
//
// Bodies are JSON unless stated otherwise.
//
//	POST /v1/generate               streams newline-delimited objects {"data": text}, the last one {"done": true}
//	POST /v1/cancel/{id}            cancels a generation in progress
//	GET  /v1/load                   load report
//	GET  /v1/cache-events?after=N   cache events with a sequence number above N
//	POST /v1/orders                 applies an order with a fencing token
//	GET  /v1/cache/{chat}           exports a cached prompt prefix: its length in tokens, as text
//	PUT  /v1/cache/{chat}           imports a cached prompt prefix in the same format
//	POST /faults                    replaces the faults
//	GET  /counters                  counters for test assertions
//
// Unless Faults.TagVersion is set, the answer is a pure function of the request body, so tests can compute the expected answer.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/jayridge/jayridge/internal/standin/control"
)

// Config configures an engine.
type Config struct {
	// Version is mixed into answers when Faults.TagVersion is set, and names the version that the engine serves.
	Version string
	// CachedChats is the capacity of the prompt cache, in chats. Zero: 1000.
	CachedChats int
	// TokenInterval is the delay before each part of an answer. Zero: none.
	TokenInterval time.Duration
	// PrefillPerToken is the prefill time for each prompt token that is not in the cache. Zero: none.
	PrefillPerToken time.Duration
	// Capacity is the maximum concurrent work, in tokens, that the load report states. Zero: 200000.
	Capacity uint64
	// ColdLimit is the maximum number of concurrent requests of a cold engine; above it the engine crashes. Zero: no limit.
	ColdLimit int
	// WarmAfter is the number of completed answers after which a cold engine becomes warm. Zero: 20.
	WarmAfter int
	// ChecksFence makes the engine refuse orders whose fencing token is lower than the highest one seen.
	ChecksFence bool
}

// Faults configures fault injection. The zero value injects none.
type Faults struct {
	// FailEvery makes every n-th request fail with status 500. Zero: none.
	FailEvery int `json:"fail_every"`
	// FailPath makes all requests of one path fail with status 500. Empty: none.
	FailPath string `json:"fail_path"`
	// SlowMS is an extra delay before the first part, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// CrashOn crashes the engine when a request body contains this text. Empty: never.
	CrashOn string `json:"crash_on"`
	// TruncateAfter breaks the connection after the first n parts of an answer, without the final object. Zero: never.
	TruncateAfter int `json:"truncate_after"`
	// TurnCold restarts the engine immediately, cold and with an empty cache. Requests in progress continue.
	TurnCold bool `json:"turn_cold"`
	// HoldRequests blocks requests before the first part until the fault is cleared.
	HoldRequests bool `json:"hold_requests"`
	// TagVersion prepends Config.Version to each answer as an extra part.
	TagVersion bool `json:"tag_version"`
}

// Counters holds the counts that tests assert on.
type Counters struct {
	Received        int            `json:"received"`
	Completed       int            `json:"completed"`
	Crashes         int            `json:"crashes"`
	CacheHits       int            `json:"cache_hits"`
	CacheMisses     int            `json:"cache_misses"`
	InFlight        int            `json:"in_flight"`
	MaxInFlight     int            `json:"max_in_flight"`
	MaxColdInFlight int            `json:"max_cold_in_flight"`
	PromptTokens    uint64         `json:"prompt_tokens"`
	CachedTokens    uint64         `json:"cached_tokens"`
	ByPath          map[string]int `json:"by_path"`
	HighestFence    uint64         `json:"highest_fence"`
	OrdersApplied   int            `json:"orders_applied"`
}

// GenerateRequest is the body of POST /v1/generate.
type GenerateRequest struct {
	ID       string `json:"id"`
	Path     string `json:"path"`
	Body     []byte `json:"body"`
	Chat     uint64 `json:"chat"`
	Priority int    `json:"priority"`
	Offset   uint32 `json:"offset"`
}

// Part is one object in the response stream of a generation.
type Part struct {
	Data string `json:"data,omitempty"`
	Done bool   `json:"done,omitempty"`
}

// CacheEvent reports that the prompt prefix of a chat was cached or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Chat     uint64 `json:"chat"`
	Evicted  bool   `json:"evicted"`
}

// maxResumable bounds the number of generations that can be resumed.
const maxResumable = 1000

// maxEvents bounds the number of cache events kept. Older events are dropped, as in a real engine.
const maxEvents = 1000

// Server is a stand-in model engine. It implements http.Handler.
type Server struct {
	http.Handler
	cfg Config

	mu                  sync.Mutex
	startID             string
	cold                bool
	completedSinceStart int
	workUnits           uint64
	crashed             chan struct{}
	hold                control.Hold
	faults              Faults
	counters            Counters
	cancels             map[string]chan struct{}
	cache               *lru.Cache[uint64, int]
	// resumable holds the IDs of recent generations. They can be resumed until the engine restarts.
	resumable    *lru.Cache[string, struct{}]
	events       []CacheEvent
	sequence     uint64
	blobs        map[uint64][]byte
	requestCount int
}

// New returns an engine. It starts cold if cfg.ColdLimit is positive.
func New(cfg Config) *Server {
	if cfg.CachedChats == 0 {
		cfg.CachedChats = 1000
	}
	if cfg.Capacity == 0 {
		cfg.Capacity = 200_000
	}
	if cfg.WarmAfter == 0 {
		cfg.WarmAfter = 20
	}
	s := &Server{cfg: cfg, cancels: map[string]chan struct{}{}, blobs: map[uint64][]byte{}}
	s.counters.ByPath = map[string]int{}
	s.restart()
	r := mux.NewRouter()
	r.HandleFunc("/v1/generate", s.generate).Methods(http.MethodPost)
	r.HandleFunc("/v1/cancel/{id}", s.cancel).Methods(http.MethodPost)
	r.HandleFunc("/v1/load", s.getLoad).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache-events", s.listCacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", s.postOrder).Methods(http.MethodPost)
	r.HandleFunc("/v1/cache/{chat}", s.exportCache).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache/{chat}", s.importCache).Methods(http.MethodPut)
	r.HandleFunc("/faults", control.FaultsHandler(s.SetFaults)).Methods(http.MethodPost)
	r.HandleFunc("/counters", s.getCounters).Methods(http.MethodGet)
	s.Handler = r
	return s
}

// restart simulates a restart: the engine gets a new start ID and an empty cache, and earlier generations can no longer be resumed.
// The caller holds mu, except in New.
func (s *Server) restart() {
	s.startID = strconv.FormatUint(rand.Uint64(), 16)
	s.cold = s.cfg.ColdLimit > 0
	s.completedSinceStart = 0
	s.crashed = make(chan struct{})
	cache, err := lru.NewWithEvict(s.cfg.CachedChats, s.recordEviction)
	if err != nil {
		panic(fmt.Sprintf("cache of %d chats: %v", s.cfg.CachedChats, err))
	}
	s.cache = cache
	// lru.New fails only if the size is not positive.
	s.resumable, _ = lru.New[string, struct{}](maxResumable)
}

func (s *Server) recordEviction(chat uint64, _ int) { s.appendEvent(chat, true) }

func (s *Server) appendEvent(chat uint64, evicted bool) {
	s.sequence++
	s.events = append(s.events, CacheEvent{s.sequence, chat, evicted})
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
}

func (s *Server) simulateCrash() {
	s.counters.Crashes++
	close(s.crashed)
	s.restart()
}

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.ByPath = map[string]int{}
	for path, n := range s.counters.ByPath {
		c.ByPath[path] = n
	}
	return c
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.TurnCold {
		s.restart()
		s.cold = true
	}
	s.hold.Set(f.HoldRequests)
	s.faults = f
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, s.Counters())
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	control.WriteJSON(w, map[string]any{
		"start_id": s.startID, "work_units": s.workUnits, "capacity": s.cfg.Capacity,
		"cached_prefixes": s.cache.Len(), "cold": s.cold,
	})
}

func (s *Server) listCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter after: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := []CacheEvent{}
	for _, e := range s.events {
		if e.Sequence > after {
			newer = append(newer, e)
		}
	}
	control.WriteJSON(w, newer)
}

func (s *Server) cancel(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := mux.Vars(r)["id"]
	if done, ok := s.cancels[id]; ok {
		close(done)
		delete(s.cancels, id)
	}
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Fence uint64 `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFence && order.Fence < s.counters.HighestFence {
		http.Error(w, fmt.Sprintf("fencing token %d is lower than %d", order.Fence, s.counters.HighestFence), http.StatusConflict)
		return
	}
	s.counters.HighestFence = max(s.counters.HighestFence, order.Fence)
	s.counters.OrdersApplied++
}

func (s *Server) exportCache(w http.ResponseWriter, r *http.Request) {
	chat, _ := strconv.ParseUint(mux.Vars(r)["chat"], 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens, ok := s.cache.Peek(chat)
	if !ok {
		http.NotFound(w, r)
		return
	}
	fmt.Fprint(w, tokens)
}

func (s *Server) importCache(w http.ResponseWriter, r *http.Request) {
	chat, _ := strconv.ParseUint(mux.Vars(r)["chat"], 10, 64)
	text, err := io.ReadAll(io.LimitReader(r.Body, 64))
	tokens, convErr := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil || convErr != nil {
		http.Error(w, "body is not a number of cached tokens", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.Add(chat, tokens)
	s.appendEvent(chat, false)
}

// ExpectedAnswer returns the parts of the answer to a request body.
func ExpectedAnswer(body []byte) []string {
	n := MaxTokens(body)
	seed := xxhash.Sum64(body)
	parts := make([]string, n)
	for i := range parts {
		parts[i] = fmt.Sprintf("w%04x ", (seed+uint64(i)*2654435761)&0xffff)
	}
	return parts
}

// defaultMaxTokens is the length of an answer, in tokens, if the request body does not set max_tokens.
const defaultMaxTokens = 16

// MaxTokens returns the length of the answer, in tokens, that a request body asks for.
func MaxTokens(body []byte) int {
	var request struct {
		MaxTokens int `json:"max_tokens"`
	}
	if json.Unmarshal(body, &request) != nil || request.MaxTokens <= 0 {
		return defaultMaxTokens
	}
	return request.MaxTokens
}
