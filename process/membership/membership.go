// Package membership decides which instances exist and which may get new work.
//
// Three sources disagree for seconds at a time: the platform's instance list, which lags; the connections to instances; and the
// instances' own announcements that they leave. A Table merges them. It is a pure state machine owned by one goroutine.
package membership

import (
	"math"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
)

// Config configures a Table.
type Config struct {
	// DownAfter is how long an instance that cannot be reached stays a candidate, so that a short interruption does not move
	// its chats. Default 5 s; zero removes it at once.
	DownAfter time.Duration
	// LeavingFor is how long an announcement that an instance leaves outweighs a list that still has it as live. A new
	// connection to the instance ends it sooner. Default 60 s; zero believes the list at once.
	LeavingFor time.Duration
	// RedialPerSecond is how many unreachable instances are tried again in a second. Default 5: with a region of 1,430 upstreams cut
	// off, the first attempt after the cut succeeds within a second. Zero tries none.
	RedialPerSecond float64
	// RecoverPerSecond is how many instances of a data centre are tried in a second once one of them could be reached again. Default
	// 20: the 435 upstreams of a data centre are back within 22 s, and their handshakes cost 1,360 B/s over a minute. Zero leaves them
	// to the next one that is reached.
	RecoverPerSecond float64
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{DownAfter: 5 * time.Second, LeavingFor: time.Minute, RedialPerSecond: 5, RecoverPerSecond: 20}
}

// Validate returns an error that names the faulty field.
func (c Config) Validate() error {
	if c.DownAfter < 0 {
		return trace.BadParameter("DownAfter is %v, must not be negative", c.DownAfter)
	}
	if c.LeavingFor < 0 {
		return trace.BadParameter("LeavingFor is %v, must not be negative", c.LeavingFor)
	}
	if !(c.RedialPerSecond >= 0) || math.IsInf(c.RedialPerSecond, 1) {
		return trace.BadParameter("RedialPerSecond is %v, must be zero or more and finite", c.RedialPerSecond)
	}
	if !(c.RecoverPerSecond >= 0) || math.IsInf(c.RecoverPerSecond, 1) {
		return trace.BadParameter("RecoverPerSecond is %v, must be zero or more and finite", c.RecoverPerSecond)
	}
	return nil
}

// member is what is known of one instance.
type member struct {
	services.Instance
	listed    bool
	connected bool
	// announced is when the instance said that it leaves; zero if it did not.
	announced time.Time
	// downSince is when it could first not be reached; zero while it is connected or was not tried.
	downSince time.Time
	// queued says that the member is in one of the redial queues.
	queued bool
}

// Table merges the sources.
type Table struct {
	cfg     Config
	members map[string]*member
	// pending has the members whose state changes by time alone: those that are down or leaving.
	pending map[string]*member
	dirty   bool
	checked time.Time
	// unreachable are tried again at RedialPerSecond, recovering at RecoverPerSecond.
	unreachable, recovering redialQueue
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg, members: map[string]*member{}, pending: map[string]*member{},
		unreachable: newRedialQueue(cfg.RedialPerSecond), recovering: newRedialQueue(cfg.RecoverPerSecond),
	}
}

// ApplyList takes a new instance list. A listed instance that is leaving is believed at once. One that is missing goes only
// when it is not connected either. An empty list is ignored while instances are known: it is more likely a fault of the list.
func (t *Table) ApplyList(rows []services.Instance) {
	if len(rows) == 0 {
		return
	}
	seen := make(map[string]bool, len(rows))
	for _, row := range rows {
		seen[row.ID] = true
		t.list(row)
	}
	for id, m := range t.members {
		if m.listed && !seen[id] {
			m.listed = false
			t.dirty = true
		}
		t.dropIfGone(id, m)
	}
}

// ApplyChanges takes the rows of the instance list that changed and the ids that are gone from it.
func (t *Table) ApplyChanges(rows []services.Instance, removed []string) {
	for _, row := range rows {
		t.list(row)
	}
	for _, id := range removed {
		if m := t.members[id]; m != nil && m.listed {
			m.listed = false
			t.dirty = true
			t.dropIfGone(id, m)
		}
	}
}

func (t *Table) list(row services.Instance) {
	m := t.members[row.ID]
	if m == nil {
		m = &member{}
		t.members[row.ID] = m
	}
	if !m.listed || m.Instance != row {
		t.dirty = true
	}
	if m.Address != row.Address {
		m.downSince = time.Time{}
	}
	m.Instance = row
	m.listed = true
}

// Unlisted returns the ids of connected instances that the list does not have. Their connections may be dead without having said so.
func (t *Table) Unlisted() []string {
	var ids []string
	for id, m := range t.members {
		if m.connected && !m.listed {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (t *Table) dropIfGone(id string, m *member) {
	if !m.listed && !m.connected {
		delete(t.members, id)
		delete(t.pending, id)
		t.dirty = true
	}
}

// Connected notes a connection to an instance, with what the instance says of itself. It ends an earlier announcement: an
// instance that leaves accepts no new connections.
func (t *Table) Connected(self services.Instance) {
	m := t.members[self.ID]
	if m == nil {
		m = &member{Instance: self}
		m.State = services.InstanceLive
		t.members[self.ID] = m
	}
	if self.Version != "" && m.Version != self.Version {
		m.Version = self.Version
	}
	if m.queued && m.unreachable() {
		t.recovered(m.DataCentre)
	}
	m.connected = true
	m.announced = time.Time{}
	m.downSince = time.Time{}
	delete(t.pending, self.ID)
	t.dirty = true
}

// Disconnected notes that a connection ended or that one could not be made.
func (t *Table) Disconnected(now time.Time, id string) {
	m := t.members[id]
	if m == nil {
		return
	}
	m.connected = false
	if m.downSince.IsZero() {
		m.downSince = now
	}
	t.pending[id] = m
	t.dirty = true
	t.enqueue(m)
	t.dropIfGone(id, m)
}

// Leaving notes an instance's own announcement.
func (t *Table) Leaving(now time.Time, id string) {
	if m := t.members[id]; m != nil {
		m.announced = now
		t.pending[id] = m
		t.dirty = true
	}
}

// Changed reports whether Eligible may return something else than at the last call of Changed.
func (t *Table) Changed(now time.Time) bool {
	changed := t.dirty
	t.dirty = false
	for _, m := range t.pending {
		// Passing time alone removes an unreachable instance and ends an announcement.
		if t.expiredSinceCheck(now, m.downSince, t.cfg.DownAfter) || t.expiredSinceCheck(now, m.announced, t.cfg.LeavingFor) {
			changed = true
		}
	}
	t.checked = now
	return changed
}

func (t *Table) expiredSinceCheck(now, start time.Time, d time.Duration) bool {
	return expired(now, start, d) && !expired(t.checked, start, d)
}

// expired reports whether d has passed since start; never if start is zero.
func expired(now, start time.Time, d time.Duration) bool {
	return !start.IsZero() && now.Sub(start) >= d
}

// Eligible returns the instances of a role that may get new work, ordered by id.
func (t *Table) Eligible(now time.Time, role string) []services.Instance {
	var eligible []services.Instance
	for _, m := range t.members {
		if m.Role == role && t.eligible(now, m) {
			eligible = append(eligible, m.Instance)
		}
	}
	sort.Slice(eligible, func(i, j int) bool { return eligible[i].ID < eligible[j].ID })
	return eligible
}

func (t *Table) eligible(now time.Time, m *member) bool {
	if m.State == services.InstanceLeaving {
		return false
	}
	if !m.announced.IsZero() && !expired(now, m.announced, t.cfg.LeavingFor) {
		return false
	}
	return m.connected || !expired(now, m.downSince, t.cfg.DownAfter)
}

// Known returns all instances of a role, ordered by id, whether or not they may get new work.
func (t *Table) Known(role string) []services.Instance {
	var known []services.Instance
	for _, m := range t.members {
		if m.Role == role {
			known = append(known, m.Instance)
		}
	}
	sort.Slice(known, func(i, j int) bool { return known[i].ID < known[j].ID })
	return known
}
