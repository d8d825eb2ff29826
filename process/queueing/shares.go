package queueing

import (
	"math"
	"time"
)

const (
	// fastWindow is the time constant of present rates. At one entry of 28 the largest teams send a few requests of a service in it.
	fastWindow = 2 * time.Second
	// slowWindow is the time constant of the usual rate of a team.
	slowWindow = 2 * time.Minute
	// surgeFactor is the multiple of its usual rate from which a team exceeds its share, surgeRequests the number of requests within about fastWindow
	// below which it never does: single requests show no surge.
	surgeFactor   = 2.5
	surgeRequests = 5
	// surgeAllowance is the multiple of its usual rate that a team may send in a surge as any other.
	surgeAllowance = 1.25
	// surgeWeight is the weight of the requests of a surge in the usual rate. It makes a rate that lasts the usual one after some minutes.
	surgeWeight = 0.1
	// minHistory is the shortest time for which arrivals make a usual rate.
	minHistory = 5 * time.Second
	// maxTeams and maxChats bound the state that is kept.
	maxTeams = 1024
	maxChats = 256
)

// meter counts events with exponentially decreasing weight. A zero meter has counted none.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) add(now time.Time, window time.Duration, n float64) {
	m.value = m.count(now, window) + n
	m.at = now
}

// count returns the events of about the last window.
func (m *meter) count(now time.Time, window time.Duration) float64 {
	if m.value == 0 || !now.After(m.at) {
		return m.value
	}
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/window.Seconds())
}

// share is the state of one team.
type share struct {
	hash       uint64
	fast, slow meter
	// sent are the requests that were sent while places were scarce.
	sent    meter
	firstAt time.Time
	// next is the tag of the team's next request, waiting the number of its waiting ones.
	next    float64
	waiting int
	// chats holds the number of requests by chat that were sent or wait, chatFloor the least that a chat starts with.
	chats     map[uint64]float64
	chatFloor float64
}

// shares divides places among teams by start-time fair queueing: each request gets a tag when it arrives, teams that sent less have lower ones. A
// tag depends on earlier requests only, so that a large request does not come later for its own size.
type shares struct {
	teams map[string]*share
	// virtual is the highest tag of a request that was sent.
	virtual float64
	all     meter
	allSlow meter
}

func newShares() *shares { return &shares{teams: make(map[string]*share)} }

// get returns the state of a team. Teams beyond maxTeams share one.
func (s *shares) get(team string) *share {
	t := s.teams[team]
	if t == nil {
		if len(s.teams) >= maxTeams {
			s.prune()
		}
		if len(s.teams) >= maxTeams {
			team = ""
			if t = s.teams[team]; t != nil {
				return t
			}
		}
		t = &share{hash: TeamHash(team), chats: make(map[uint64]float64)}
		s.teams[team] = t
	}
	return t
}

// prune removes teams without waiting requests whose next request would get the tag of an unknown team.
func (s *shares) prune() {
	for name, t := range s.teams {
		if t.waiting == 0 && t.next <= s.virtual {
			delete(s.teams, name)
		}
		if len(s.teams) <= maxTeams/2 {
			return
		}
	}
}

// arrived records a request of a team and reports whether the team surges.
func (s *shares) arrived(now time.Time, team string, elsewhere func(now time.Time, team uint64) bool) bool {
	t := s.get(team)
	if t.firstAt.IsZero() {
		t.firstAt = now
	}
	weight := 1.0
	_, surges := t.surge(now, elsewhere(now, t.hash))
	if surges {
		weight = surgeWeight
	}
	t.fast.add(now, fastWindow, 1)
	t.slow.add(now, slowWindow, weight)
	s.all.add(now, fastWindow, 1)
	s.allSlow.add(now, slowWindow, weight)
	return surges
}

// weight returns a team's share relative to an average one: its part of the requests of the last minutes, within bounds.
func (s *shares) weight(t *share) float64 {
	if s.allSlow.value == 0 {
		return 1
	}
	return min(max(0.5, t.slow.value/s.allSlow.value*float64(len(s.teams))), 8)
}

// tags returns the tags of a team's next request.
func (s *shares) tags(team string, chat uint64) (tag, chatTag float64) {
	t := s.get(team)
	return max(t.next, s.virtual), max(t.chats[chat], t.chatFloor)
}

// queued records that n more requests of a team wait.
func (s *shares) queued(team string, chat uint64, n int) {
	t := s.get(team)
	t.waiting += n
	if n > 0 {
		t.next = max(t.next, s.virtual)
	}
	t.next += float64(n) / s.weight(t)
	t.addChat(chat, float64(n))
}

// addChat counts requests of a chat. Beyond maxChats, all chats start again alike.
func (t *share) addChat(chat uint64, n float64) {
	if len(t.chats) >= maxChats {
		clear(t.chats)
	}
	t.chats[chat] = max(t.chats[chat], t.chatFloor) + n
}

// sentQueued records that a waiting request is sent, which was counted when it was queued.
func (s *shares) sentQueued(w *waiting) {
	t := s.get(w.Team)
	t.waiting--
	t.chatFloor = max(t.chatFloor, w.chatTag)
	s.virtual = max(s.virtual, w.tag)
}

// sentAtOnce records that a request is sent that did not wait.
func (s *shares) sentAtOnce(now time.Time, team string, chat uint64) {
	t := s.get(team)
	t.sent.add(now, fastWindow, 1)
	tag := max(t.next, s.virtual)
	t.next = tag + 1/s.weight(t)
	chatTag := max(t.chats[chat], t.chatFloor)
	t.addChat(chat, 1)
	t.chatFloor = max(t.chatFloor, chatTag)
	if t.waiting == 0 {
		s.virtual = max(s.virtual, min(tag, s.virtual+1))
	}
}

// exceeds reports whether a team sends many times its usual, or more than all others, and has got its part: its further requests come after all
// others.
func (s *shares) exceeds(now time.Time, team string, elsewhere func(now time.Time, team uint64) bool) bool {
	t := s.teams[team]
	if t == nil {
		return false
	}
	fast, sent := t.fast.count(now, fastWindow), t.sent.count(now, fastWindow)
	if usual, surges := t.surge(now, elsewhere(now, t.hash)); surges && sent > surgeAllowance*usual {
		return true
	}
	others := s.all.count(now, fastWindow) - fast
	return fast >= surgeRequests && fast > others && others >= activeArrivals && sent > others
}

// surge returns the team's usual number of requests in fastWindow, and whether it sends many times as many. It knows no usual number at first.
// elsewhere means that other entries see a surge of the team, for which a slight one here suffices.
func (t *share) surge(now time.Time, elsewhere bool) (usual float64, surges bool) {
	history := now.Sub(t.firstAt)
	if history < minHistory {
		return 0, false
	}
	// The weights of a window that has not passed entirely sum up to less.
	full := slowWindow.Seconds() * (1 - math.Exp(-history.Seconds()/slowWindow.Seconds()))
	usual = t.slow.count(now, slowWindow) / full * fastWindow.Seconds()
	fast := t.fast.count(now, fastWindow)
	if elsewhere {
		return usual, fast > usual
	}
	return usual, fast >= surgeRequests && fast > surgeFactor*usual
}
