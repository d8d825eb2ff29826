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

// maxBodyBytes limits the size of a request body. It leaves room for a base64-encoded value of the maximum size and the JSON around it.
const maxBodyBytes = 2 * services.MaxValueBytes

// KeyValue is the representation of a key in responses.
type KeyValue struct {
	Key      string            `json:"key"`
	Value    []byte            `json:"value"`
	Revision services.Revision `json:"revision"`
}

// PutRequest is the body of a compare-and-swap request.
type PutRequest struct {
	Key   string            `json:"key"`
	Prev  services.Revision `json:"prev"`
	Value []byte            `json:"value"`
	Lease services.LeaseID  `json:"lease,omitempty"`
}

// PutResponse is the response to a PutRequest.
type PutResponse struct {
	Revision services.Revision `json:"revision"`
}

// ListResponse is the response to a request to list keys.
type ListResponse struct {
	Keys []string `json:"keys"`
}

// LeaseRequest is the body of a request to grant a lease.
type LeaseRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// LeaseResponse is the response to a LeaseRequest.
type LeaseResponse struct {
	Lease services.LeaseID `json:"lease"`
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.store.expire(s.now())
	kv, err := s.store.get(r.URL.Query().Get("key"), s.consumeStaleRead())
	s.mu.Unlock()
	if err != nil {
		writeError(w, err)
		return
	}
	control.WriteJSON(w, KeyValue(kv))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var req PutRequest
	if !decodeBody(w, r, &req) {
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

// write applies a compare-and-swap. If lost is true, it took effect and the response must not be sent.
func (s *Server) write(req PutRequest) (revision services.Revision, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.expire(s.now())
	revision, err = s.store.compareAndSwap(req.Key, req.Prev, req.Value, req.Lease)
	if err != nil {
		return 0, false, err
	}
	s.notifyWatches()
	return revision, s.consumeLostWrite(), nil
}

// notifyWatches wakes up all waiting watches so that they check their key again. The caller holds mu.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 0 {
		http.Error(w, "query parameter limit must be a non-negative integer", http.StatusBadRequest)
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
	timeout := time.NewTimer(min(time.Duration(wait)*time.Millisecond, MaxWatchWait))
	defer timeout.Stop()
	for {
		kv, changed, down := s.getForWatch(query.Get("key"))
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

// getForWatch returns a key, a channel that is closed when the watch must check again, and whether the service is down.
func (s *Server) getForWatch(name string) (KeyValue, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.expire(s.now())
	kv, _ := s.store.get(name, false)
	return KeyValue(kv), s.changed, s.faults.Down != DownNone
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var req LeaseRequest
	if !decodeBody(w, r, &req) {
		return
	}
	if req.TTLMS <= 0 {
		http.Error(w, "ttl_ms must be positive", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	id := s.store.grant(s.now(), time.Duration(req.TTLMS)*time.Millisecond)
	lost := s.consumeLostWrite()
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	control.WriteJSON(w, LeaseResponse{Lease: id})
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	s.updateLease(w, r, func(id services.LeaseID) error { return s.store.renew(s.now(), id) })
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	s.updateLease(w, r, func(id services.LeaseID) error { return s.store.revoke(id) })
}

func (s *Server) updateLease(w http.ResponseWriter, r *http.Request, change func(services.LeaseID) error) {
	id, err := strconv.ParseUint(mux.Vars(r)["id"], 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.store.expire(s.now())
	err = change(services.LeaseID(id))
	lost := err == nil && s.consumeLostWrite()
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

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
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
