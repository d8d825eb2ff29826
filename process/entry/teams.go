package entry

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/version/rules"
)

// trackedTeams bounds the teams whose request rate an entry counts at one time.
const trackedTeams = 65_536

// teamLimits enforces this entry's part of the teams' request rates. The balancer spreads callers evenly, so the part is the limit
// divided by the number of entries.
type teamLimits struct {
	mu       sync.Mutex
	limiters *lru.Cache[string, *rate.Limiter]
}

func newTeamLimits() *teamLimits {
	// New fails for a size that is not positive only.
	limiters, _ := lru.New[string, *rate.Limiter](trackedTeams)
	return &teamLimits{limiters: limiters}
}

// take counts a request. It returns how long the team must wait if it is over its limit, zero otherwise.
func (t *teamLimits) take(now time.Time, team rules.Team, entries int) time.Duration {
	if team.Limit <= 0 {
		return 0
	}
	limiter := t.limiter(team, entries)
	reservation := limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

func (t *teamLimits) limiter(team rules.Team, entries int) *rate.Limiter {
	part := rate.Limit(team.Limit / float64(entries))
	burst := max(1, int(part))
	t.mu.Lock()
	defer t.mu.Unlock()
	limiter, ok := t.limiters.Get(team.Name)
	if !ok {
		limiter = rate.NewLimiter(part, burst)
		t.limiters.Add(team.Name, limiter)
	}
	if limiter.Limit() != part {
		limiter.SetLimit(part)
		limiter.SetBurst(burst)
	}
	return limiter
}
