package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is one key, or one change of it, as the store's protocol encodes it.
type storeItem struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  uint64
	CreateRev uint64 `json:",omitempty"`
	Lease     uint64
	Tombstone bool `json:",omitempty"`
}

// store is a stand-in for the platform's store. It loses nothing that it has acknowledged.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	items    map[string]storeItem
	history  []storeItem
	revision uint64
	leases   map[uint64]time.Time
	ttls     map[uint64]time.Duration
	// era counts the returns from older copies. away is set while the store does not answer. oldest is the revision from which the history is known.
	era    int
	away   bool
	oldest uint64
	// onChange, if set, is called with each change while mu is held.
	onChange func(storeItem)
}

func newStore() *store {
	s := &store{items: map[string]storeItem{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, revision: 1, era: 1}
	s.changed = sync.NewCond(&s.mu)
	go s.expireLeases()
	return s
}

// expireLeases ends leases when their time is over and wakes watches, so that they notice their deadlines.
func (s *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for lease, expires := range s.leases {
			if time.Now().After(expires) {
				s.endLease(lease)
			}
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}

// put writes a key as the operator or a runner and returns when it is acknowledged.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeItem{Key: key, Value: text})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.apply(storeItem{Key: key, Tombstone: true})
	}
}

// apply records a change. The caller holds mu.
func (s *store) apply(i storeItem) {
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.CreateRev = s.revision
		if known, found := s.items[i.Key]; found {
			i.CreateRev = known.CreateRev
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	if s.onChange != nil {
		s.onChange(i)
	}
	s.changed.Broadcast()
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *store) endLease(lease uint64) {
	delete(s.leases, lease)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == lease {
			s.apply(storeItem{Key: key, Tombstone: true})
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	status, body := s.handle(r)
	w.Header().Set(headerEra, strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handle(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	number, _ := strconv.ParseUint(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	switch {
	case r.URL.Path == pathKey:
		if i, found := s.items[query.Get("Key")]; found {
			return http.StatusOK, i
		}
		return http.StatusNotFound, struct{}{}
	case r.URL.Path == pathRange:
		return s.list(query.Get("PathPrefix"), query.Get("StartAfter"))
	case r.URL.Path == pathWatch:
		return s.watch(r)
	case r.URL.Path == pathTxn:
		return s.transact(r)
	case r.URL.Path == pathLease:
		var request struct{ TtlMs int64 }
		if json.NewDecoder(r.Body).Decode(&request) != nil {
			return http.StatusBadRequest, struct{}{}
		}
		s.revision++
		s.ttls[s.revision] = time.Duration(request.TtlMs) * time.Millisecond
		s.leases[s.revision] = time.Now().Add(s.ttls[s.revision])
		return http.StatusOK, map[string]any{"Lease": s.revision, "TtlMs": request.TtlMs}
	case strings.HasPrefix(r.URL.Path, pathKeep):
		if _, found := s.leases[number]; !found {
			return http.StatusNotFound, struct{}{}
		}
		s.leases[number] = time.Now().Add(s.ttls[number])
		return http.StatusOK, map[string]any{"TtlMs": s.ttls[number].Milliseconds()}
	case strings.HasPrefix(r.URL.Path, pathLeaseEnd):
		s.endLease(number)
		return http.StatusOK, struct{}{}
	}
	return http.StatusNotFound, struct{}{}
}

// list returns the items with a prefix in ascending order, 500 at most. The caller holds mu.
func (s *store) list(prefix, after string) (int, any) {
	items, more := []storeItem{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after && after != "" {
			continue
		}
		if more = len(items) == 500; more {
			break
		}
		items = append(items, s.items[key])
	}
	return http.StatusOK, map[string]any{"Items": items, "HasMore": more, "CurrentRev": s.revision}
}

// transact applies a conditional write. The caller holds mu.
func (s *store) transact(r *http.Request) (int, any) {
	var request struct {
		Expect []struct {
			Key      string
			Revision uint64
		}
		Puts   []storeItem
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	for _, e := range request.Expect {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"Items": []storeItem{s.items[e.Key]}}
		}
	}
	for _, p := range request.Puts {
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, p := range request.Puts {
		s.apply(storeItem{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range request.Remove {
		if _, found := s.items[key]; found {
			s.apply(storeItem{Key: key, Tombstone: true})
		}
	}
	return http.StatusOK, map[string]any{"Revision": s.revision}
}

// watch waits for changes after a revision, or until the end of the wait. The caller holds mu.
func (s *store) watch(r *http.Request) (int, any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("StartAfter"), 10, 64)
	prefix := r.URL.Query().Get("PathPrefix")
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for era := s.era; ; {
		if s.era != era {
			return http.StatusServiceUnavailable, struct{}{} // the watch is cut
		}
		if after < s.oldest || after > s.revision {
			return http.StatusGone, struct{}{}
		}
		events := []storeItem{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, prefix) {
				events = append(events, s.history[i])
			}
		}
		if len(events) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			slices.Reverse(events)
			return http.StatusOK, map[string]any{"events": events, "CurrentRev": s.revision}
		}
		s.changed.Wait()
	}
}

// storeCopy is a copy of the store's content. Leases and what depends on them are not part of it.
type storeCopy struct {
	items    map[string]storeItem
	revision uint64
	at       time.Time
}

func (s *store) backup() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := maps.Clone(s.items)
	maps.DeleteFunc(items, func(_ string, i storeItem) bool { return i.Lease != 0 })
	return storeCopy{items: items, revision: s.revision, at: time.Now()}
}

// goAway makes the store refuse all calls.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
}

// restore brings the store back from a copy. Leases are gone, revisions go back and are given out again.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.items, s.history, s.revision, s.oldest = maps.Clone(c.items), nil, c.revision, c.revision
	clear(s.leases)
	s.away = false
	s.changed.Broadcast()
}

// value returns the value of a key, nil if it does not exist.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}
