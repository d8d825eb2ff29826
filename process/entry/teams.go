package entry

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/version/rules"
)

// maxTrackedTeams is the maximum number of teams with a rate limiter in memory.
const maxTrackedTeams = 65_536

// teamLimits enforces this entry's share of each team's request rate limit. The load balancer in front of the entries spreads requests
// evenly, so the share is the limit divided by the number of entries.
type teamLimits struct {
	mu       sync.Mutex
	limiters *lru.Cache[string, *rate.Limiter]
}

func newTeamLimits() *teamLimits {
	// New fails only if the size is not positive.
	limiters, _ := lru.New[string, *rate.Limiter](maxTrackedTeams)
	return &teamLimits{limiters: limiters}
}

// reserve takes a token for one request of the team and returns zero. If the team is over its limit, it takes none and returns the time
// until the next token.
func (t *teamLimits) reserve(now time.Time, team rules.Team, entries int) time.Duration {
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
	entryLimit := rate.Limit(team.Limit / float64(entries))
	burst := max(1, int(entryLimit))
	t.mu.Lock()
	defer t.mu.Unlock()
	limiter, ok := t.limiters.Get(team.Name)
	if !ok {
		limiter = rate.NewLimiter(entryLimit, burst)
		t.limiters.Add(team.Name, limiter)
	}
	if limiter.Limit() != entryLimit {
		limiter.SetLimit(entryLimit)
		limiter.SetBurst(burst)
	}
	return limiter
}
