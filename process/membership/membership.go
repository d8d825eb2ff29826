// Package membership tracks which instances exist and which are eligible for new work.
//
// Three sources can disagree for seconds at a time: the platform's instance list, which lags; the state of the connections to
// instances; and the leave announcements that instances send. A Table merges them. It does no I/O, reads no clock and is owned by one
// goroutine.
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
	// DownAfter is how long an unreachable instance stays eligible, so that a short interruption does not move its chats to other
	// instances. Default 5 s; zero makes it ineligible immediately.
	DownAfter time.Duration
	// LeavingFor is how long a leave announcement overrides an instance list that still shows the instance as live. A new connection
	// to the instance cancels the announcement earlier. Default 60 s; zero gives the list precedence immediately.
	LeavingFor time.Duration
	// RedialPerSecond is how many unreachable instances are redialed per second. Default 5: after a network partition of a region
	// with 1,430 upstreams ends, the first attempt succeeds within a second. Zero disables redialing.
	RedialPerSecond float64
	// RecoverPerSecond is how many unreachable instances of a data centre are redialed per second once one of them is reachable
	// again. Default 20: the 435 upstreams of a data centre are reconnected within 22 s, and their handshakes cost 1,360 B/s over a
	// minute. Zero leaves them to the next one that is reached.
	RecoverPerSecond float64
}

// DefaultConfig returns the default values that the fields of Config document.
func DefaultConfig() Config {
	return Config{DownAfter: 5 * time.Second, LeavingFor: time.Minute, RedialPerSecond: 5, RecoverPerSecond: 20}
}

// Validate returns an error that names the first invalid field.
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

// member is the merged state of one instance.
type member struct {
	services.Instance
	listed    bool
	connected bool
	// announced is when the instance's leave announcement arrived; zero if there was none.
	announced time.Time
	// downSince is when the instance became unreachable; zero while it is connected or no connection was attempted.
	downSince time.Time
	// queued is set while the member is in one of the redial queues.
	queued bool
}

// Table merges the instance list, connection states and leave announcements into one view.
type Table struct {
	cfg     Config
	members map[string]*member
	// expiring holds the members whose eligibility may change without an input: those that are down or leaving.
	expiring    map[string]*member
	dirty       bool
	lastChecked time.Time
	// unreachable is drained at RedialPerSecond, recovering at RecoverPerSecond.
	unreachable, recovering redialQueue
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg, members: map[string]*member{}, expiring: map[string]*member{},
		unreachable: newRedialQueue(cfg.RedialPerSecond), recovering: newRedialQueue(cfg.RecoverPerSecond),
	}
}

// ApplyList applies a complete instance list. The list's leaving state takes effect immediately. A missing instance is removed only when
// it is not connected either. An empty list is ignored, because it is more likely a fault of the list than the loss of all instances.
func (t *Table) ApplyList(instances []services.Instance) {
	if len(instances) == 0 {
		return
	}
	seen := make(map[string]bool, len(instances))
	for _, instance := range instances {
		seen[instance.ID] = true
		t.upsertListed(instance)
	}
	for id, m := range t.members {
		if m.listed && !seen[id] {
			m.listed = false
			t.dirty = true
		}
		t.dropIfGone(id, m)
	}
}

// ApplyChanges applies an incremental update: the listed instances that changed and the ids removed from the list.
func (t *Table) ApplyChanges(changed []services.Instance, removed []string) {
	for _, instance := range changed {
		t.upsertListed(instance)
	}
	for _, id := range removed {
		if m := t.members[id]; m != nil && m.listed {
			m.listed = false
			t.dirty = true
			t.dropIfGone(id, m)
		}
	}
}

func (t *Table) upsertListed(instance services.Instance) {
	m := t.members[instance.ID]
	if m == nil {
		m = &member{}
		t.members[instance.ID] = m
	}
	if !m.listed || m.Instance != instance {
		t.dirty = true
	}
	if m.Address != instance.Address {
		m.downSince = time.Time{}
	}
	m.Instance = instance
	m.listed = true
}

// ConnectedUnlisted returns the ids of connected instances that are missing from the list. Their connections may be half-open, so the
// caller probes them.
func (t *Table) ConnectedUnlisted() []string {
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
		delete(t.expiring, id)
		t.dirty = true
	}
}

// Connected records a connection to an instance, with the attributes from the instance's handshake. It cancels an earlier leave
// announcement, because a leaving instance accepts no new connections.
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
		t.promoteDataCentre(m.DataCentre)
	}
	m.connected = true
	m.announced = time.Time{}
	m.downSince = time.Time{}
	delete(t.expiring, self.ID)
	t.dirty = true
}

// Disconnected records that a connection ended or that an attempt to connect failed.
func (t *Table) Disconnected(now time.Time, id string) {
	m := t.members[id]
	if m == nil {
		return
	}
	m.connected = false
	if m.downSince.IsZero() {
		m.downSince = now
	}
	t.expiring[id] = m
	t.dirty = true
	t.enqueue(m)
	t.dropIfGone(id, m)
}

// Leaving records an instance's leave announcement.
func (t *Table) Leaving(now time.Time, id string) {
	if m := t.members[id]; m != nil {
		m.announced = now
		t.expiring[id] = m
		t.dirty = true
	}
}

// Changed reports whether the result of Eligible may have changed since the last call of Changed.
func (t *Table) Changed(now time.Time) bool {
	changed := t.dirty
	t.dirty = false
	for _, m := range t.expiring {
		// DownAfter and LeavingFor expire without an input to the table.
		if t.expiredSinceCheck(now, m.downSince, t.cfg.DownAfter) || t.expiredSinceCheck(now, m.announced, t.cfg.LeavingFor) {
			changed = true
		}
	}
	t.lastChecked = now
	return changed
}

func (t *Table) expiredSinceCheck(now, start time.Time, d time.Duration) bool {
	return expired(now, start, d) && !expired(t.lastChecked, start, d)
}

// expired reports whether d has passed since start; never if start is zero.
func expired(now, start time.Time, d time.Duration) bool {
	return !start.IsZero() && now.Sub(start) >= d
}

// Eligible returns the instances of a role that may be assigned new work, ordered by id.
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

// Known returns all instances of a role, eligible or not, ordered by id.
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
