package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Keys that the operator and the runners write.
const (
	configKey    = "op/" + "config"
	serverPrefix = "servers" + "/"
)

// item is a key of the store in the encoding of its protocol.
type item struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	CreateRev uint64 `json:",omitempty"`
	Lease     uint64
	Tombstone bool `json:",omitempty"`
}

// content is what a copy of the store holds.
type content struct {
	items    map[string]item
	history  []item
	revision uint64
}

// store is a stand-in of the platform's store: one revision counter, conditional writes, leases, watches and an era.
type store struct {
	address string

	mu      sync.Mutex
	changed chan struct{}
	content
	leases map[uint64]*lease
	era    uint64
	away   bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newStore() (*store, error) {
	s := &store{changed: make(chan struct{}), leases: make(map[uint64]*lease), era: 1}
	s.items, s.revision = make(map[string]item), 100
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	go s.expire()
	return s, nil
}

// apply makes a change. The caller holds s.mu.
func (s *store) apply(i item) uint64 {
	s.revision++
	i.Revision, i.CreateRev = s.revision, s.revision
	if known, found := s.items[i.Key]; found {
		i.CreateRev = known.CreateRev
	}
	if i.Tombstone {
		i.CreateRev = 0
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.wake()
	return s.revision
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a runner does. It returns false while the store is away: nothing is acknowledged then.
func (s *store) put(key string, value any) bool {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.apply(item{Key: key, Value: text})
	return true
}

// remove deletes a key. It returns false while the store is away.
func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	if _, found := s.items[key]; found {
		s.apply(item{Key: key, Tombstone: true})
	}
	return true
}

// setAway makes the store give no answers, or answer again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// backup returns a copy of the content.
func (s *store) backup() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return content{maps.Clone(s.items), append([]item(nil), s.history...), s.revision}
}

// restore makes the store come back from a copy, in a new era and without the leases and their keys.
func (s *store) restore(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = content{maps.Clone(c.items), append([]item(nil), c.history...), c.revision}
	clear(s.leases)
	for key, i := range s.items {
		if i.Lease != 0 {
			s.apply(item{Key: key, Tombstone: true})
		}
	}
	s.era++
	s.away = false
	s.wake()
}

// expire ends leases and drops the entries of runners that have been silent for three heartbeats.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.apply(item{Key: key, Tombstone: true})
		}
	}
}

// ServeHTTP serves the calls of the store's protocol.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	era := s.era
	for s.away {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
		if !s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // a call that came while the store was away gets no answer
		}
	}
	s.mu.Unlock()
	call, ok := strings.CutPrefix(r.URL.Path, "/kv-")
	if !ok {
		http.NotFound(w, r)
		return
	}
	status, body := http.StatusNotFound, any(nil)
	switch {
	case call == "watch":
		status, body = s.watch(r, era)
	default:
		s.mu.Lock()
		status, body = s.handle(call, r)
		s.mu.Unlock()
	}
	s.mu.Lock()
	era, away := s.era, s.away
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// handle performs a call that does not wait. The caller holds s.mu.
func (s *store) handle(call string, r *http.Request) (int, any) {
	query := r.URL.Query()
	switch {
	case call == "key":
		i, found := s.items[query.Get("Key")]
		if !found {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, i
	case call == "range":
		items := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, query.Get("PathPrefix")) && key > query.Get("StartAfter") {
				items = append(items, i)
			}
		}
		return http.StatusOK, map[string]any{"Items": items, "HasMore": false, "CurrentRev": s.revision}
	case call == "txn":
		return s.transact(r)
	case call == "lease":
		var request struct{ TtlMs int64 }
		if json.NewDecoder(r.Body).Decode(&request) != nil {
			return http.StatusBadRequest, nil
		}
		s.revision++
		ttl := time.Duration(max(1000, request.TtlMs)) * time.Millisecond
		s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"Lease": s.revision, "TtlMs": ttl.Milliseconds()}
	}
	name, number, _ := strings.Cut(call, "/")
	id, _ := strconv.ParseUint(number, 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		return http.StatusNotFound, nil
	case name == "keep":
		l.expires = time.Now().Add(l.ttl)
		return http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()}
	case name == "lease-end":
		s.endLease(id)
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, nil
}

func (s *store) transact(r *http.Request) (int, any) {
	var request struct {
		Expect []struct {
			Key      string
			Revision uint64
		}
		Puts   []item
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return http.StatusBadRequest, nil
	}
	for _, e := range request.Expect {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"Items": []item{s.items[e.Key]}}
		}
	}
	for _, p := range request.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range request.Puts {
		s.apply(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range request.Remove {
		s.apply(item{Key: key, Tombstone: true})
	}
	return http.StatusOK, map[string]any{"Revision": s.revision}
}

// watch waits for changes. A watch that waits when the store goes away gets no answer.
func (s *store) watch(r *http.Request, era uint64) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("StartAfter"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for ended := false; ; {
		s.mu.Lock()
		if s.era != era || s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("PathPrefix")) {
				events = append(events, i)
			}
		}
		current, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			return http.StatusOK, map[string]any{"events": events, "CurrentRev": current}
		}
		select {
		case <-changed:
		case <-end.C:
			ended = true
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *store) String() string { return fmt.Sprintf("store at %s", s.address) }
