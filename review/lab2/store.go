package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is the latest change of a key.
type storeItem struct {
	Key       string
	Value     []byte `json:",omitempty"` // base64 on the wire
	Revision  uint64
	CreateRev uint64 `json:",omitempty"`
	Lease     uint64 `json:",omitempty"`
	Tombstone bool   `json:",omitempty"`
}

// storeContent is what a copy of the store holds.
type storeContent struct {
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	// leases are the ends of the leases.
	leases map[uint64]time.Time
	ttls   map[uint64]time.Duration
}

func (c storeContent) clone() storeContent {
	return storeContent{
		c.revision, maps.Clone(c.items), slices.Clone(c.history), maps.Clone(c.leases), maps.Clone(c.ttls),
	}
}

// store is a stand-in of the platform's store.
type store struct {
	address string
	mu      sync.Mutex
	content storeContent
	era     uint64
	away    bool
	// refusing means that the gateways' calls get 503.
	refusing bool
	// changed is closed at the next change.
	changed   chan struct{}
	lastLease uint64
	conns     map[net.Conn]struct{}
}

func newStore() (*store, error) {
	s := &store{
		content: storeContent{revision: 1, items: map[string]storeItem{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}},
		changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, lastLease: 1000,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+pathKey, s.serveKey)
	routes.HandleFunc("GET "+pathRange, s.serveRange)
	routes.HandleFunc("GET "+pathWatch, s.serveWatch)
	routes.HandleFunc("POST "+pathTxn, s.serveWrite)
	routes.HandleFunc("POST "+pathLease, s.serveGrant)
	routes.HandleFunc("POST "+pathKeep+"{id}", s.serveRenew)
	routes.HandleFunc("DELETE "+pathLeaseEnd+"{id}", s.serveEnd)
	server := &http.Server{Handler: s.guard(routes), ConnState: s.track}
	go func() { _ = server.Serve(listener) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.conns[c] = struct{}{}
	}
	if state == http.StateClosed {
		delete(s.conns, c)
	}
}

// guard closes the connections of calls that come while the store is away.
func (s *store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era, refusing := s.away, s.era, s.refusing
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		if refusing {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(headerEra, strconv.FormatUint(era, 10))
		next.ServeHTTP(w, r)
	})
}

// apply writes an item. The caller holds s.mu.
func (s *store) apply(i storeItem) uint64 {
	c := &s.content
	c.revision++
	i.Revision, i.CreateRev = c.revision, c.revision
	if known, found := c.items[i.Key]; found {
		i.CreateRev = known.CreateRev
	}
	if i.Tombstone {
		delete(c.items, i.Key)
	} else {
		c.items[i.Key] = i
	}
	c.history = append(c.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return c.revision
}

// put writes a key as the operator or a runner does. It reports whether the store acknowledged the write.
func (s *store) put(key string, value any) bool {
	text, err := json.Marshal(value)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.apply(storeItem{Key: key, Value: text})
	return true
}

// leave makes the store unreachable.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.cut()
}

// turnAway makes the store refuse the gateways' calls, and cuts those that wait. The operator and the runners are served.
func (s *store) turnAway(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = on
	if on {
		s.cut()
	}
}

// cut closes all connections. The caller holds s.mu.
func (s *store) cut() {
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *store) backup() storeContent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.clone()
}

// restore brings the store back from a copy, without its leases.
func (s *store) restore(c storeContent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content, s.era, s.away = c.clone(), s.era+1, false
	for key, i := range s.content.items {
		if i.Lease != 0 {
			delete(s.content.items, key)
		}
	}
	clear(s.content.leases)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, end := range s.content.leases {
			if !s.away && time.Now().After(end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds s.mu.
func (s *store) endLease(id uint64) {
	delete(s.content.leases, id)
	for key, i := range s.content.items {
		if i.Lease == id {
			s.apply(storeItem{Key: key, Tombstone: true})
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, found := s.content.items[r.URL.Query().Get("Key")]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("StartAfter")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for _, key := range slices.Sorted(maps.Keys(s.content.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, s.content.items[key])
		}
	}
	more := len(items) > pageItems
	reply(w, http.StatusOK, map[string]any{"Items": items[:min(len(items), pageItems)], "HasMore": more, "CurrentRev": s.content.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("PathPrefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("StartAfter"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	era := w.Header().Get(headerEra)
	for {
		s.mu.Lock()
		if s.away || strconv.FormatUint(s.era, 10) != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		events := []storeItem{}
		for _, i := range s.content.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.content.revision, s.changed
		s.mu.Unlock()
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expect []struct {
			Key      string
			Revision uint64
		}
		Puts []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	for _, e := range call.Expect {
		if s.content.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"Items": []storeItem{s.content.items[e.Key]}})
			return
		}
	}
	for _, p := range call.Puts {
		if _, found := s.content.leases[p.Lease]; p.Lease != 0 && !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range call.Puts {
		s.apply(storeItem{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range call.Remove {
		s.apply(storeItem{Key: key, Tombstone: true})
	}
	reply(w, http.StatusOK, map[string]any{"Revision": s.content.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var call struct{ TtlMs int64 }
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(call.TtlMs) * time.Millisecond
	s.content.leases[s.lastLease], s.content.ttls[s.lastLease] = time.Now().Add(ttl), ttl
	reply(w, http.StatusOK, map[string]any{"Lease": s.lastLease, "TtlMs": call.TtlMs})
}

func (s *store) serveRenew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.content.leases[id]; !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	ttl := s.content.ttls[id]
	s.content.leases[id] = time.Now().Add(ttl)
	reply(w, http.StatusOK, map[string]any{"TtlMs": ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.content.leases[id]; !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
