// Package instances is a small stand-in for the platform's instance list.
//
// GET /v1/instances?after=REVISION returns {"revision": N, "instances": [...]}, without instances when nothing changed since. With
// &changes=1 the reply has the changed rows only, the ids of removed ones in "removed" and "partial": true, if the changes since that
// revision are still known. Replies are compressed for clients that accept it.
// PUT /v1/instances/{id} sets a row, DELETE /v1/instances/{id} removes one. POST /faults {"down": bool, "lag_ms": N} makes the list
// unavailable or lets changes show only after a delay.
package instances

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/jayridge/jayridge/internal/standin/control"
	"github.com/jayridge/jayridge/process/services"
)

// Faults are switched on by a test.
type Faults struct {
	Down bool `json:"down"`
	// LagMS is the delay until a change shows, in milliseconds.
	LagMS int `json:"lag_ms"`
}

// Reply is the body of GET /v1/instances.
type Reply struct {
	Revision  uint64              `json:"revision"`
	Partial   bool                `json:"partial,omitempty"`
	Instances []services.Instance `json:"instances,omitempty"`
	Removed   []string            `json:"removed,omitempty"`
}

// keptChanges bounds the changes that the list can tell apart.
const keptChanges = 4096

// change is one edit of the list and the time from which it shows.
type change struct {
	shows    time.Time
	id       string
	instance *services.Instance
}

// Server is an instance list. It is an http.Handler.
type Server struct {
	http.Handler

	mu       sync.Mutex
	revision uint64
	rows     map[string]services.Instance
	pending  []change
	// changed has the ids of the last changes; the last one made the current revision.
	changed []string
	faults  Faults
}

// New returns a list with the given rows.
func New(rows []services.Instance) *Server {
	s := &Server{rows: map[string]services.Instance{}, revision: 1}
	for _, row := range rows {
		s.rows[row.ID] = row
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/instances", s.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/instances/{id}", s.put).Methods(http.MethodPut)
	r.HandleFunc("/v1/instances/{id}", s.remove).Methods(http.MethodDelete)
	r.HandleFunc("/faults", control.FaultsHandler(s.SetFaults)).Methods(http.MethodPost)
	s.Handler = r
	return s
}

// Put sets a row.
func (s *Server) Put(row services.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submit(change{id: row.ID, instance: &row})
}

// Remove deletes a row.
func (s *Server) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submit(change{id: id})
}

func (s *Server) submit(c change) {
	c.shows = time.Now().Add(time.Duration(s.faults.LagMS) * time.Millisecond)
	s.pending = append(s.pending, c)
}

// settle applies the changes whose delay has passed.
func (s *Server) settle() {
	now := time.Now()
	for len(s.pending) > 0 && !s.pending[0].shows.After(now) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.instance == nil {
			delete(s.rows, c.id)
		} else {
			s.rows[c.id] = *c.instance
		}
		s.revision++
		s.changed = append(s.changed, c.id)
		s.changed = s.changed[max(0, len(s.changed)-keptChanges):]
	}
}

// reply returns the answer to a reader that has seen a revision.
func (s *Server) reply(after uint64, changes bool) Reply {
	reply := Reply{Revision: s.revision}
	if after == s.revision {
		return reply
	}
	if known := s.revision - after; changes && after > 0 && after < s.revision && known <= uint64(len(s.changed)) {
		s.fill(&reply, s.changed[uint64(len(s.changed))-known:])
		return reply
	}
	for _, row := range s.rows {
		reply.Instances = append(reply.Instances, row)
	}
	sort.Slice(reply.Instances, func(i, j int) bool { return reply.Instances[i].ID < reply.Instances[j].ID })
	return reply
}

// fill adds the rows with the ids, each once.
func (s *Server) fill(reply *Reply, ids []string) {
	reply.Partial = true
	ids = slices.Compact(slices.Sorted(slices.Values(ids)))
	for _, id := range ids {
		if row, ok := s.rows[id]; ok {
			reply.Instances = append(reply.Instances, row)
		} else {
			reply.Removed = append(reply.Removed, id)
		}
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	s.settle()
	reply := s.reply(after, r.URL.Query().Get("changes") == "1")
	w.Header().Set("Content-Type", "application/json")
	if len(reply.Instances) == 0 || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_ = json.NewEncoder(w).Encode(reply)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	_ = json.NewEncoder(compressed).Encode(reply)
	_ = compressed.Close()
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var row services.Instance
	if err := json.NewDecoder(r.Body).Decode(&row); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	row.ID = mux.Vars(r)["id"]
	s.Put(row)
}

func (s *Server) remove(_ http.ResponseWriter, r *http.Request) { s.Remove(mux.Vars(r)["id"]) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}
