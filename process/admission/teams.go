package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// team is one team that is active at this upstream: it has work in progress or tried recently.
type team struct {
	name     string
	work     uint64
	inFlight int
	weight   float64
	// limiter is nil for a team without a rate limit.
	limiter  *rate.Limiter
	lastSeen time.Time
	// prev and next link the active teams in ascending order of lastSeen.
	prev, next *team
}

// teams holds the active teams.
type teams struct {
	cfg    *Config
	limits *Limits
	byName map[string]*team
	// order is the head of the circular list of active teams; its next is the one not seen for the longest time.
	order team
	// weight is the sum of the weights of the active teams.
	weight float64
	// spare are records for reuse.
	spare []*team
	// other stands for all teams beyond MaxTeams. It is not in byName, and in the list only while it is active.
	other *team
}

func newTeams(cfg *Config, limits *Limits) *teams {
	t := &teams{cfg: cfg, limits: limits, byName: make(map[string]*team), other: new(team)}
	t.order.prev, t.order.next = &t.order, &t.order
	return t
}

// seen returns the record of a team that tries now.
func (t *teams) seen(now time.Time, name string) *team {
	t.expire(now)
	m := t.byName[name]
	if m == nil {
		m = t.activate(now, name)
	}
	t.touch(now, m)
	return m
}

// activate returns the record of a team that is not in byName.
func (t *teams) activate(now time.Time, name string) *team {
	if len(t.byName) >= t.cfg.MaxTeams {
		if t.other.next == nil {
			t.other.weight = 1
			t.weight++
		}
		return t.other
	}
	m := new(team)
	if last := len(t.spare) - 1; last >= 0 {
		m, t.spare = t.spare[last], t.spare[:last]
	}
	*m = team{name: name}
	t.configure(now, m)
	t.weight += m.weight
	t.byName[name] = m
	return m
}

// touch moves a team to the end of the list.
func (t *teams) touch(now time.Time, m *team) {
	m.lastSeen = now
	if m.next == &t.order {
		return
	}
	t.unlink(m)
	m.prev, m.next = t.order.prev, &t.order
	m.prev.next, m.next.prev = m, m
}

func (t *teams) unlink(m *team) {
	if m.next == nil {
		return
	}
	m.prev.next, m.next.prev = m.next, m.prev
	m.prev, m.next = nil, nil
}

// expire forgets the teams that did not try recently and have no work in progress.
func (t *teams) expire(now time.Time) {
	for m := t.order.next; m != &t.order; m = t.order.next {
		if now.Sub(m.lastSeen) <= t.cfg.TeamActiveFor {
			return
		}
		if m.inFlight > 0 {
			t.touch(now, m)
			if t.order.next == m {
				return
			}
			continue
		}
		t.forget(m)
	}
}

func (t *teams) forget(m *team) {
	t.unlink(m)
	t.weight -= m.weight
	if m != t.other {
		delete(t.byName, m.name)
		t.spare = append(t.spare, m)
	}
	if t.order.next == &t.order {
		t.weight = 0
	}
}

// configure takes a team's weight and rate limit from the limits.
func (t *teams) configure(now time.Time, m *team) {
	m.weight = 1
	if t.limits.TeamWeight != nil {
		if w := t.limits.TeamWeight(m.name); w > 0 && !math.IsInf(w, 1) {
			m.weight = w
		}
	}
	limit := 0.0
	if t.limits.TeamLimit != nil {
		limit = t.limits.TeamLimit(m.name)
	}
	if !(limit > 0) || math.IsInf(limit, 1) {
		m.limiter = nil
		return
	}
	burst := max(1, int(limit*t.cfg.TeamBurst.Seconds()))
	if m.limiter == nil {
		m.limiter = rate.NewLimiter(rate.Limit(limit), burst)
		return
	}
	m.limiter.SetLimitAt(now, rate.Limit(limit))
	m.limiter.SetBurstAt(now, burst)
}

// reconfigure applies changed limits to all active teams.
func (t *teams) reconfigure(now time.Time) {
	t.weight = 0
	for m := t.order.next; m != &t.order; m = m.next {
		if m != t.other {
			t.configure(now, m)
		}
		t.weight += m.weight
	}
}

// share returns the team's part of the weights of all active teams.
func (t *teams) share(m *team) float64 {
	if t.weight <= m.weight {
		return 1
	}
	return m.weight / t.weight
}

// takeToken takes one request from the team's rate limit, or returns the time until there is one.
func (m *team) takeToken(now time.Time) (time.Duration, bool) {
	if m.limiter == nil || m.limiter.AllowN(now, 1) {
		return 0, true
	}
	missing := 1 - m.limiter.TokensAt(now)
	return time.Duration(missing / float64(m.limiter.Limit()) * float64(time.Second)), false
}
