package balancer

import (
	"time"

	"github.com/jayridge/jayridge/request/placement"
)

// creditWindow is the time after which an entry's view of the other entries' requests is up to date again.
const creditWindow = 300 * time.Millisecond

// credit limits how fast an entry fills the free slots of a service. The other entries see the same free slots, and until they learn of each other's
// requests all of them together could fill each slot many times over. An entry therefore sends a request for each of its own that ended, and its share
// of the slots that are free in each creditWindow.
type credit struct {
	requests  float64
	updatedAt time.Time
}

// minCredit is the number of requests that an entry may send at once, however few slots are free.
const minCredit = 1

// maxCreditDebt is the number of its requests that have to end before an entry sends another, if upstreams have more than they can run.
const maxCreditDebt = 1

// take takes the credit for one request and leaves reserve. It returns false if there is not as much. share is this entry's share of the free
// slots of the service, or of the requests beyond the slots if it is negative: these wait at upstreams until fewer are sent. saved is the credit
// beyond minCredit that is kept while no request takes it.
func (c *credit) take(now time.Time, share, reserve, saved float64) bool {
	fill := max(minCredit, share)
	if c.updatedAt.IsZero() {
		c.requests, c.updatedAt = fill, now
	}
	elapsed := max(0, now.Sub(c.updatedAt))
	c.updatedAt = now
	// A saved request leaves a slot free, which all entries count as such. It must not bring further credit.
	if c.requests < fill || share < 0 {
		c.requests = min(fill, c.requests+share*elapsed.Seconds()/creditWindow.Seconds())
	}
	c.requests = min(c.requests, max(minCredit+saved, share))
	if share < 0 {
		c.requests = max(c.requests, -maxCreditDebt)
	}
	if c.requests < 1+reserve {
		return false
	}
	c.requests--
	return true
}

// ended returns the credit of a request that ended.
func (c *credit) ended() { c.requests++ }

// freeSlots returns the number of free slots of the upstreams that can take a request, and whether they are so few that the entries have to share them:
// fewer than half. They are not scarce if an upstream does not tell its slots.
func freeSlots(upstreams []placement.Upstream) (free float64, scarce bool) {
	slots := 0.0
	for i := range upstreams {
		u := &upstreams[i]
		switch {
		case u.Excluded:
		case u.Slots <= 0:
			return 0, false
		default:
			slots += float64(u.Slots)
			free += max(0, float64(u.Slots)-u.Load)
		}
	}
	return free, free < slots/2
}

// netFreeSlots returns the number of slots of the upstreams that can take a request, less their requests.
func netFreeSlots(upstreams []placement.Upstream) float64 {
	net := 0.0
	for i := range upstreams {
		if u := &upstreams[i]; !u.Excluded {
			net += float64(u.Slots) - u.Load
		}
	}
	return net
}
