package kv

import (
	"slices"
	"strings"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

// entry holds the current and the previous value of a key. The previous one is returned by stale reads.
type entry struct {
	value    []byte
	revision services.Revision
	lease    services.LeaseID

	prevValue    []byte
	prevRevision services.Revision
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store holds keys and leases. Methods that depend on the time take it as an argument. The caller synchronizes access.
type store struct {
	keys      map[string]*entry
	leases    map[services.LeaseID]*lease
	revision  services.Revision
	lastLease services.LeaseID
}

func newStore() store {
	return store{keys: map[string]*entry{}, leases: map[services.LeaseID]*lease{}}
}

// get returns a key. If stale is set, it returns the previous revision, which for a new key is ErrNotFound.
func (s *store) get(name string, stale bool) (services.KeyValue, error) {
	e := s.keys[name]
	if e == nil || stale && e.prevRevision == 0 {
		return services.KeyValue{}, services.ErrNotFound
	}
	if stale {
		return services.KeyValue{Key: name, Value: e.prevValue, Revision: e.prevRevision}, nil
	}
	return services.KeyValue{Key: name, Value: e.value, Revision: e.revision}, nil
}

func (s *store) compareAndSwap(name string, prev services.Revision, value []byte, id services.LeaseID) (services.Revision, error) {
	if len(value) > services.MaxValueBytes {
		return 0, services.ErrTooLarge
	}
	if id != 0 && s.leases[id] == nil {
		return 0, services.ErrNotFound
	}
	e := s.keys[name]
	if e == nil {
		e = &entry{}
	}
	if e.revision != prev {
		return 0, services.ErrConflict
	}
	s.revision++
	e.prevValue, e.prevRevision = e.value, e.revision
	e.value, e.revision, e.lease = value, s.revision, id
	s.keys[name] = e
	return e.revision, nil
}

func (s *store) list(prefix string, limit int) []string {
	names := []string{}
	for name := range s.keys {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if limit > 0 && len(names) > limit {
		names = names[:limit]
	}
	return names
}

func (s *store) grant(now time.Time, ttl time.Duration) services.LeaseID {
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, end: now.Add(ttl)}
	return s.lastLease
}

func (s *store) renew(now time.Time, id services.LeaseID) error {
	l := s.leases[id]
	if l == nil {
		return services.ErrNotFound
	}
	l.end = now.Add(l.ttl)
	return nil
}

func (s *store) revoke(id services.LeaseID) error {
	if s.leases[id] == nil {
		return services.ErrNotFound
	}
	delete(s.leases, id)
	for name, e := range s.keys {
		if e.lease == id {
			delete(s.keys, name)
		}
	}
	return nil
}

// expire revokes the leases that have expired and deletes their keys.
func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if !now.Before(l.end) {
			_ = s.revoke(id)
		}
	}
}
