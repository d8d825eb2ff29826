// Package engine is a small stand-in for a model engine.
//
// Protocol, JSON over HTTP: POST /v1/generate streams newline-delimited objects {"data": text}, the last one {"done": true};
// POST /v1/cancel/{id}; GET /v1/load; GET /v1/cache-events?after=N; POST /v1/orders; GET and PUT /v1/cache/{chat};
// POST /faults replaces the faults; GET /counters. The answer to a body is a function of that body, so a test can compare it.
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

// Config describes an engine.
type Config struct {
	// Version is mixed into answers when Faults.TagVersion is set, and names the version that the engine serves.
	Version string
	// CachedChats is the number of chats whose prompt prefixes fit the cache. Zero: 1000.
	CachedChats int
	// TokenInterval is the time between parts of an answer. Zero: none.
	TokenInterval time.Duration
	// PrefillPerToken is the time for each prompt token that is not in the cache. Zero: none.
	PrefillPerToken time.Duration
	// Capacity is the most work, in tokens, that the engine says it can hold. Zero: 200000.
	Capacity uint64
	// ColdLimit is the concurrency that a cold engine survives; above it the engine crashes. Zero: no limit.
	ColdLimit int
	// WarmAfter is the number of answers after which a cold engine is warm. Zero: 20.
	WarmAfter int
	// ChecksFence says whether the engine refuses orders with an old fencing token.
	ChecksFence bool
}

// Faults are switched on by a test.
type Faults struct {
	// FailEvery makes each n-th request fail. Zero: none.
	FailEvery int `json:"fail_every"`
	// FailPath makes the requests of one path fail. Empty: none.
	FailPath string `json:"fail_path"`
	// SlowMS is added before the first part, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// CrashOn crashes the engine when a body contains the text.
	CrashOn string `json:"crash_on"`
	// TruncateAfter ends answers without the final object after n parts. Zero: never.
	TruncateAfter int `json:"truncate_after"`
	// TurnCold makes the engine cold now, with an empty cache.
	TurnCold bool `json:"turn_cold"`
	// HoldRequests keeps requests from answering until the fault is cleared.
	HoldRequests bool `json:"hold_requests"`
	// TagVersion puts the version in front of each answer.
	TagVersion bool `json:"tag_version"`
}

// Counters are what a test asserts.
type Counters struct {
	Received      int            `json:"received"`
	Completed     int            `json:"completed"`
	Crashes       int            `json:"crashes"`
	CacheHits     int            `json:"cache_hits"`
	CacheMisses   int            `json:"cache_misses"`
	InFlight      int            `json:"in_flight"`
	MaxInFlight   int            `json:"max_in_flight"`
	MaxCold       int            `json:"max_cold_in_flight"`
	PromptTokens  uint64         `json:"prompt_tokens"`
	CachedTokens  uint64         `json:"cached_tokens"`
	ByPath        map[string]int `json:"by_path"`
	HighestFence  uint64         `json:"highest_fence"`
	OrdersApplied int            `json:"orders_applied"`
}

// GenerateBody is the body of POST /v1/generate.
type GenerateBody struct {
	ID       string `json:"id"`
	Path     string `json:"path"`
	Body     []byte `json:"body"`
	Chat     uint64 `json:"chat"`
	Priority int    `json:"priority"`
	Offset   uint32 `json:"offset"`
}

// Part is one line of a generation.
type Part struct {
	Data string `json:"data,omitempty"`
	Done bool   `json:"done,omitempty"`
}

// Event is one cache event.
type Event struct {
	Sequence uint64 `json:"sequence"`
	Chat     uint64 `json:"chat"`
	Evicted  bool   `json:"evicted"`
}

// knownGenerations bounds the generations that can be resumed.
const knownGenerations = 1000

// maxEvents bounds the cache events kept; older ones are lost, as from a real engine.
const maxEvents = 1000

// Server is a model engine. It is an http.Handler.
type Server struct {
	http.Handler
	cfg Config

	mu       sync.Mutex
	startID  string
	cold     bool
	answered int
	work     uint64
	crash    chan struct{}
	hold     control.Hold
	faults   Faults
	counters Counters
	cancels  map[string]chan struct{}
	cache    *lru.Cache[uint64, int]
	// known holds the ids of recent generations, which can be resumed until the engine restarts.
	known     *lru.Cache[string, struct{}]
	events    []Event
	sequence  uint64
	blobs     map[uint64][]byte
	generated int
}

// New returns an engine that starts cold when cfg.ColdLimit is set.
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
	r.HandleFunc("/v1/load", s.load).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache-events", s.cacheEvents).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", s.order).Methods(http.MethodPost)
	r.HandleFunc("/v1/cache/{chat}", s.exportCache).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache/{chat}", s.importCache).Methods(http.MethodPut)
	r.HandleFunc("/faults", control.FaultsHandler(s.SetFaults)).Methods(http.MethodPost)
	r.HandleFunc("/counters", s.showCounters).Methods(http.MethodGet)
	s.Handler = r
	return s
}

// restart gives the engine a new start id and an empty cache. The lock is held, except in New.
func (s *Server) restart() {
	s.startID = strconv.FormatUint(rand.Uint64(), 16)
	s.cold = s.cfg.ColdLimit > 0
	s.answered = 0
	s.crash = make(chan struct{})
	cache, err := lru.NewWithEvict(s.cfg.CachedChats, s.evicted)
	if err != nil {
		panic(fmt.Sprintf("cache of %d chats: %v", s.cfg.CachedChats, err))
	}
	s.cache = cache
	// New fails for a size that is not positive only.
	s.known, _ = lru.New[string, struct{}](knownGenerations)
}

func (s *Server) evicted(chat uint64, _ int) { s.publish(chat, true) }

func (s *Server) publish(chat uint64, evicted bool) {
	s.sequence++
	s.events = append(s.events, Event{s.sequence, chat, evicted})
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
}

func (s *Server) crashNow() {
	s.counters.Crashes++
	close(s.crash)
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

func (s *Server) showCounters(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, s.Counters())
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	control.WriteJSON(w, map[string]any{
		"start_id": s.startID, "work_units": s.work, "capacity": s.cfg.Capacity,
		"cached_prefixes": s.cache.Len(), "cold": s.cold,
	})
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	later := []Event{}
	for _, e := range s.events {
		if e.Sequence > after {
			later = append(later, e)
		}
	}
	control.WriteJSON(w, later)
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

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
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
		http.Error(w, "old fencing token", http.StatusConflict)
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
		http.Error(w, "not an exported cache", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.Add(chat, tokens)
	s.publish(chat, false)
}

// Answer returns the parts of the answer to a body.
func Answer(body []byte) []string {
	n := MaxTokens(body)
	seed := xxhash.Sum64(body)
	parts := make([]string, n)
	for i := range parts {
		parts[i] = fmt.Sprintf("w%04x ", (seed+uint64(i)*2654435761)&0xffff)
	}
	return parts
}

// defaultTokens is the length of an answer when the body does not ask for one.
const defaultTokens = 16

// MaxTokens returns the length of the answer that a body asks for.
func MaxTokens(body []byte) int {
	var request struct {
		MaxTokens int `json:"max_tokens"`
	}
	if json.Unmarshal(body, &request) != nil || request.MaxTokens <= 0 {
		return defaultTokens
	}
	return request.MaxTokens
}
