package kv

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/jayridge/jayridge/internal/standin/control"
	"github.com/jayridge/jayridge/process/services"
)

// maxBodyBytes bounds a request: a value of the greatest size in base64, and its envelope.
const maxBodyBytes = 2 * services.MaxValueBytes

// KeyValue is a key in a response.
type KeyValue struct {
	Key      string            `json:"key"`
	Value    []byte            `json:"value"`
	Revision services.Revision `json:"revision"`
}

// PutRequest is the body of a compare-and-swap.
type PutRequest struct {
	Key   string            `json:"key"`
	Prev  services.Revision `json:"prev"`
	Value []byte            `json:"value"`
	Lease services.LeaseID  `json:"lease,omitempty"`
}

// PutResponse is the response to a compare-and-swap.
type PutResponse struct {
	Revision services.Revision `json:"revision"`
}

// ListResponse is the response to a list.
type ListResponse struct {
	Keys []string `json:"keys"`
}

// LeaseRequest is the body of a grant.
type LeaseRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// LeaseResponse is the response to a grant.
type LeaseResponse struct {
	Lease services.LeaseID `json:"lease"`
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.store.expire(s.now())
	kv, err := s.store.get(r.URL.Query().Get("key"), s.takeStale())
	s.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return
	}
	control.WriteJSON(w, KeyValue(kv))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var req PutRequest
	if !readJSON(w, r, &req) {
		return
	}
	revision, lost, err := s.write(req)
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case err != nil:
		writeError(w, err)
	default:
		control.WriteJSON(w, PutResponse{Revision: revision})
	}
}

// write applies a compare-and-swap; lost says that it took effect and its response must not be sent.
func (s *Server) write(req PutRequest) (revision services.Revision, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.expire(s.now())
	revision, err = s.store.compareAndSwap(req.Key, req.Prev, req.Value, req.Lease)
	if err != nil {
		return 0, false, err
	}
	s.wake()
	return revision, s.takeLoss(), nil
}

// wake lets all watches look again. The caller holds mu.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 0 {
		http.Error(w, "limit is not a number of keys", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.store.expire(s.now())
	names := s.store.list(r.URL.Query().Get("prefix"), limit)
	s.mu.Unlock()
	control.WriteJSON(w, ListResponse{Keys: names})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err = errors.Join(err, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(time.Duration(wait)*time.Millisecond, MaxWait))
	defer timeout.Stop()
	for {
		kv, changed, down := s.peek(query.Get("key"))
		if down {
			panic(http.ErrAbortHandler)
		}
		if kv.Revision > services.Revision(after) {
			control.WriteJSON(w, kv)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// peek returns a key for a watch, the channel that is closed at the next write, and whether the service is down.
func (s *Server) peek(name string) (KeyValue, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.expire(s.now())
	kv, _ := s.store.get(name, false)
	return KeyValue(kv), s.changed, s.faults.Down != DownNo
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var req LeaseRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.TTLMS <= 0 {
		http.Error(w, "ttl_ms is not positive", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	id := s.store.grant(s.now(), time.Duration(req.TTLMS)*time.Millisecond)
	lost := s.takeLoss()
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	control.WriteJSON(w, LeaseResponse{Lease: id})
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	s.changeLease(w, r, func(id services.LeaseID) error { return s.store.renew(s.now(), id) })
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	s.changeLease(w, r, func(id services.LeaseID) error { return s.store.revoke(id) })
}

func (s *Server) changeLease(w http.ResponseWriter, r *http.Request, change func(services.LeaseID) error) {
	id, err := strconv.ParseUint(mux.Vars(r)["id"], 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.store.expire(s.now())
	err = change(services.LeaseID(id))
	lost := err == nil && s.takeLoss()
	s.mu.Unlock()
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case err != nil:
		writeError(w, err)
	default:
		control.WriteJSON(w, struct{}{})
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(w, services.ErrTooLarge)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, services.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, services.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, services.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}
