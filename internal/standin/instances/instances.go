// Package instances implements a stand-in for the platform's instance list.
//
// # Protocol
//
//	GET    /v1/instances?after=REVISION             {"revision": N, "instances": [...]}
//	GET    /v1/instances?after=REVISION&changes=1   the same, or only the changes since REVISION
//	PUT    /v1/instances/{id}                       sets a row
//	DELETE /v1/instances/{id}                       removes a row
//	POST   /faults {"down": bool, "lag_ms": N}      makes the list unavailable, or delays the visibility of changes
//
// If nothing changed since REVISION, the reply contains no instances. With changes=1, and if the changes since REVISION are still in
// the change log, the reply has "partial": true, contains only the changed rows, and lists the IDs of removed rows in "removed".
// Replies with instances are compressed with gzip if the client accepts it.
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

// Faults configures fault injection. The zero value injects none.
type Faults struct {
	// Down makes reads of the list fail with status 503.
	Down bool `json:"down"`
	// LagMS is the delay until a change becomes visible, in milliseconds.
	LagMS int `json:"lag_ms"`
}

// Reply is the body of GET /v1/instances.
type Reply struct {
	Revision  uint64              `json:"revision"`
	Partial   bool                `json:"partial,omitempty"`
	Instances []services.Instance `json:"instances,omitempty"`
	Removed   []string            `json:"removed,omitempty"`
}

// maxChangeLog bounds the length of the change log. A reader that is further behind gets the full list.
const maxChangeLog = 4096

// change is one change of the list. A nil instance removes the row.
type change struct {
	visibleAt time.Time
	id        string
	instance  *services.Instance
}

// Server is a stand-in instance list. It implements http.Handler.
type Server struct {
	http.Handler

	mu       sync.Mutex
	revision uint64
	rows     map[string]services.Instance
	pending  []change
	// changeLog holds the row IDs of the most recent changes. The last change produced the current revision.
	changeLog []string
	faults    Faults
}

// New returns a list that contains the given rows.
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

// Put adds or replaces a row after the configured lag.
func (s *Server) Put(row services.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueue(change{id: row.ID, instance: &row})
}

// Remove deletes a row after the configured lag.
func (s *Server) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueue(change{id: id})
}

func (s *Server) enqueue(c change) {
	c.visibleAt = time.Now().Add(time.Duration(s.faults.LagMS) * time.Millisecond)
	s.pending = append(s.pending, c)
}

// applyDue applies the pending changes whose delay has passed. The caller holds mu.
func (s *Server) applyDue() {
	now := time.Now()
	for len(s.pending) > 0 && !s.pending[0].visibleAt.After(now) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.instance == nil {
			delete(s.rows, c.id)
		} else {
			s.rows[c.id] = *c.instance
		}
		s.revision++
		s.changeLog = append(s.changeLog, c.id)
		s.changeLog = s.changeLog[max(0, len(s.changeLog)-maxChangeLog):]
	}
}

// buildReply returns the reply to a reader that has seen revision after. The caller holds mu.
func (s *Server) buildReply(after uint64, changes bool) Reply {
	reply := Reply{Revision: s.revision}
	if after == s.revision {
		return reply
	}
	if missed := s.revision - after; changes && after > 0 && after < s.revision && missed <= uint64(len(s.changeLog)) {
		s.addChangedRows(&reply, s.changeLog[uint64(len(s.changeLog))-missed:])
		return reply
	}
	for _, row := range s.rows {
		reply.Instances = append(reply.Instances, row)
	}
	sort.Slice(reply.Instances, func(i, j int) bool { return reply.Instances[i].ID < reply.Instances[j].ID })
	return reply
}

// addChangedRows adds the rows with the given IDs to a partial reply, each once. IDs without a row are reported as removed.
func (s *Server) addChangedRows(reply *Reply, ids []string) {
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
	s.applyDue()
	reply := s.buildReply(after, r.URL.Query().Get("changes") == "1")
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
