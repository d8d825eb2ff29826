package gateway

import (
	"time"

	"github.com/jayridge/jayridge/request/forward"
)

const (
	// startupTime is how long after its start a gateway holds requests that arrive before its first configuration. A configuration of 2 MB takes 1.7 s
	// over a link of 10 Mbit/s.
	startupTime = 2 * time.Second
	// startupHoldShare is the share of a request's deadline for which it is held at most, so that a refused caller still has time for another gateway.
	startupHoldShare = 0.125
)

// currentView returns the published view. A gateway that has just started waits for its first one: callers are sent to it only if few others are
// ready, as after a restart of all gateways, so that a refused request would be refused again elsewhere. It returns nil if there is no view in time, and
// at once if the store does not answer.
func (c *call) currentView() *view {
	v := c.g.view.Load()
	if v != nil || time.Since(c.g.startedAt) > startupTime {
		return v
	}
	wait, stated := forward.ParseMilliseconds(c.request.Header, c.g.headers.Deadline)
	if !stated {
		wait = defaultDeadline
	}
	timer := time.NewTimer(min(time.Duration(startupHoldShare*float64(wait)), time.Until(c.g.startedAt.Add(startupTime))))
	defer timer.Stop()
	poll := time.NewTicker(startupPollInterval)
	defer poll.Stop()
	for !c.g.storeFailing.Load() && !c.g.leaving.Load() {
		select {
		case <-c.g.configured:
			return c.g.view.Load()
		case <-poll.C:
		case <-timer.C:
			return c.g.view.Load()
		case <-c.request.Context().Done():
			return nil
		}
	}
	return c.g.view.Load()
}

// startupPollInterval is the interval in which a held request checks whether the store still answers.
const startupPollInterval = 50 * time.Millisecond
