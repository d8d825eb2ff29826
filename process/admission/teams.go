package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// team is a team that is active at this upstream: it has work in progress or sent a request recently.
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
	// lru is the head of the circular list of active teams; its next is the least recently active one.
	lru team
	// weight is the sum of the weights of the active teams.
	weight float64
	// freeRecords holds records for reuse.
	freeRecords []*team
	// other represents all teams beyond MaxTeams. It is not in byName, and in the list only while it is active.
	other *team
}

func newTeams(cfg *Config, limits *Limits) *teams {
	t := &teams{cfg: cfg, limits: limits, byName: make(map[string]*team), other: new(team)}
	t.lru.prev, t.lru.next = &t.lru, &t.lru
	return t
}

// activeTeam returns the record of a team that sends a request now, and marks it as the most recently active one.
func (t *teams) activeTeam(now time.Time, name string) *team {
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
	if last := len(t.freeRecords) - 1; last >= 0 {
		m, t.freeRecords = t.freeRecords[last], t.freeRecords[:last]
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
	if m.next == &t.lru {
		return
	}
	t.unlink(m)
	m.prev, m.next = t.lru.prev, &t.lru
	m.prev.next, m.next.prev = m, m
}

func (t *teams) unlink(m *team) {
	if m.next == nil {
		return
	}
	m.prev.next, m.next.prev = m.next, m.prev
	m.prev, m.next = nil, nil
}

// expire removes the teams that sent no request recently and have no work in progress.
func (t *teams) expire(now time.Time) {
	for m := t.lru.next; m != &t.lru; m = t.lru.next {
		if now.Sub(m.lastSeen) <= t.cfg.TeamActiveFor {
			return
		}
		if m.inFlight > 0 {
			t.touch(now, m)
			if t.lru.next == m {
				return
			}
			continue
		}
		t.remove(m)
	}
}

func (t *teams) remove(m *team) {
	t.unlink(m)
	t.weight -= m.weight
	if m != t.other {
		delete(t.byName, m.name)
		t.freeRecords = append(t.freeRecords, m)
	}
	if t.lru.next == &t.lru {
		t.weight = 0
	}
}

// configure sets a team's weight and rate limit according to the limits.
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
	for m := t.lru.next; m != &t.lru; m = m.next {
		if m != t.other {
			t.configure(now, m)
		}
		t.weight += m.weight
	}
}

// share returns the team's weight as a fraction of the weights of all active teams.
func (t *teams) share(m *team) float64 {
	if t.weight <= m.weight {
		return 1
	}
	return m.weight / t.weight
}

// takeToken takes a token from the team's rate limiter. If there is none, it returns the time until the next one.
func (m *team) takeToken(now time.Time) (time.Duration, bool) {
	if m.limiter == nil || m.limiter.AllowN(now, 1) {
		return 0, true
	}
	missing := 1 - m.limiter.TokensAt(now)
	return time.Duration(missing / float64(m.limiter.Limit()) * float64(time.Second)), false
}
