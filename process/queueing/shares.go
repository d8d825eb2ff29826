package queueing

import (
	"math"
	"time"
)

const (
	// fastWindow is the time constant of present rates. At one entry of 28 the largest teams send a few requests of a service in it.
	fastWindow = 2 * time.Second
	// slowWindow is the time constant of the usual rate of a team. A surge of 7.5 times stays above twice the usual for about a minute.
	slowWindow = 2 * time.Minute
	// surgeFactor is the multiple of its usual rate from which a team exceeds its share, surgeRequests the number of requests within about fastWindow
	// below which it never does: single requests show no surge.
	surgeFactor   = 2.5
	surgeRequests = 4
	// surgeShare is the fraction of all requests from which a team exceeds its share, whatever its usual rate, if there are others. An entry that has
	// just started knows no usual rates.
	surgeShare = 0.5
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

func (m *meter) add(now time.Time, window time.Duration) {
	m.value = m.count(now, window) + 1
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
	fast, slow meter
	firstAt    time.Time
	// next is the tag of the team's next request, waiting the number of its waiting ones.
	next    float64
	waiting int
	// chats holds the number of requests by chat that were sent or wait, chatFloor the least that a chat starts with.
	chats     map[uint64]float64
	chatFloor float64
}

// shares divides places among teams by start-time fair queueing: each request gets a tag when it arrives, teams that sent less have lower ones. A tag
// depends on earlier requests only, so that a large request does not come later for its own size.
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
		t = &share{chats: make(map[uint64]float64)}
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

func (s *shares) arrived(now time.Time, team string) {
	t := s.get(team)
	if t.firstAt.IsZero() {
		t.firstAt = now
	}
	t.fast.add(now, fastWindow)
	t.slow.add(now, slowWindow)
	s.all.add(now, fastWindow)
	s.allSlow.add(now, slowWindow)
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

// sent records that a request is sent that did not wait.
func (s *shares) sent(team string, chat uint64) {
	t := s.get(team)
	tag := max(t.next, s.virtual)
	t.next = tag + 1/s.weight(t)
	chatTag := max(t.chats[chat], t.chatFloor)
	t.addChat(chat, 1)
	t.chatFloor = max(t.chatFloor, chatTag)
	if t.waiting == 0 {
		s.virtual = max(s.virtual, min(tag, s.virtual+1))
	}
}

// exceeds reports whether a team sends so much more than usual, or than all others, that places are left to them.
func (s *shares) exceeds(now time.Time, team string) bool {
	t := s.teams[team]
	if t == nil {
		return false
	}
	fast := t.fast.count(now, fastWindow)
	if fast < surgeRequests {
		return false
	}
	all := s.all.count(now, fastWindow)
	if fast > surgeShare*all && all-fast >= activeArrivals {
		return true
	}
	history := min(now.Sub(t.firstAt), slowWindow)
	if history < minHistory {
		return false
	}
	// The sum of the weights of a window that has not passed entirely is smaller.
	full := slowWindow.Seconds() * (1 - math.Exp(-now.Sub(t.firstAt).Seconds()/slowWindow.Seconds()))
	usual := t.slow.count(now, slowWindow) / full * fastWindow.Seconds()
	return fast > surgeFactor*usual
}
