package gateway

import (
	"slices"
	"time"

	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/queueing"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/request/result"
)

// callSeeker seeks a place for an attempt of a call. It shares no state with the call, which other goroutines than the call's must not read.
type callSeeker struct {
	balancer *balancer.Balancer
	query    balancer.Query
	// versions are the groups of versions that may run the request, in the order in which they are tried.
	versions []balancer.Versions
}

func (s *callSeeker) pick(now time.Time, reserve func(perSecond float64) float64) *balancer.Choice {
	q := s.query
	q.Reserve = reserve
	for _, versions := range s.versions {
		q.Versions = versions
		if choice := s.balancer.Pick(now, q); choice != nil {
			return choice
		}
	}
	return nil
}

func (s *callSeeker) hasCandidate() bool {
	q := s.query
	for _, versions := range s.versions {
		q.Versions = versions
		if s.balancer.HasCandidate(q) {
			return true
		}
	}
	return false
}

// placeRequest returns what the place of the call in the order depends on.
func (c *call) placeRequest() placeRequest {
	return placeRequest{
		Request: queueing.Request{
			Priority: c.priority, Team: c.team, Chat: c.prompt.Session(), Deadline: bootclock.Now().Add(time.Until(c.deadline)),
			Objective: c.route.TargetLatency, Spread: hashFraction(c.id),
		},
		service: c.service, plain: c.prompt.Tokens == 0,
	}
}

// place returns an upstream with reserved capacity. If none has a place, the call waits for one in the order of its service. It returns nil and
// why if the call is to be refused.
func (c *call) place(plan *shift.Plan) (*balancer.Choice, result.Code) {
	seeker := c.seeker(plan)
	if !c.g.places.enabled.Load() || c.progress.answered {
		return seeker.pick(bootclock.Now(), nil), result.NoUpstream
	}
	queue := c.g.places.queue(c.service)
	results := make(chan placeResult, 1)
	got, id := queue.place(bootclock.Now(), c.placeRequest(), seeker, func(r placeResult) { results <- r })
	if id == 0 {
		return c.placed(got)
	}
	began := time.Now()
	got, code := c.wait(queue, id, results)
	c.progress.waited += time.Since(began)
	c.g.metrics.record(c.g.metrics.waited, time.Since(began))
	if code != result.OK {
		return nil, code
	}
	choice, code := c.placed(got)
	if choice == nil {
		return nil, code
	}
	code = c.readmit()
	if code == result.OK && !c.mayRunAt(choice) {
		code = result.NoUpstream // by a newer configuration or rollout plan
	}
	if code != result.OK {
		c.returnPlace(got)
		return nil, code
	}
	return choice, result.OK
}

// mayRunAt reports whether a call that has waited may still run at an upstream.
func (c *call) mayRunAt(choice *balancer.Choice) bool {
	permits := func(v balancer.Versions) bool { return v == nil || v(choice.Version) }
	return c.allowedIn(choice.DataCentre) && slices.ContainsFunc(c.versions(c.g.rollouts.driver.Plan(c.service)), permits)
}

// placed returns the result of a decision on a place.
func (c *call) placed(r placeResult) (*balancer.Choice, result.Code) {
	c.progress.refusalReason, c.progress.retryAfter = r.reason, r.retryAfter
	if r.reason == queueing.PastDeadline {
		return nil, result.DeadlineBeforeRun
	}
	return r.choice, result.NoUpstream
}

// wait waits until there is a result or the call ends.
func (c *call) wait(queue *placeQueue, id uint64, results <-chan placeResult) (placeResult, result.Code) {
	v := c.g.view.Load()
	changes := time.NewTicker(configCheckInterval)
	defer changes.Stop()
	for {
		select {
		case r := <-results:
			return r, result.OK
		case <-c.request.Context().Done():
			if !queue.withdraw(id) {
				c.returnPlace(<-results)
			}
			return placeResult{}, result.NoUpstream // the caller is gone, or the gateway stops
		case <-changes.C:
			if c.g.view.Load() == v {
				continue
			}
			v = c.g.view.Load()
			if code := c.readmit(); code != result.OK {
				if !queue.withdraw(id) {
					c.returnPlace(<-results)
				}
				return placeResult{}, code
			}
			queue.setPriority(id, c.priority)
		}
	}
}

// configCheckInterval is the interval at which a waiting request looks for a new configuration.
const configCheckInterval = 5 * time.Millisecond

// returnPlace gives back a place that came too late.
func (c *call) returnPlace(r placeResult) {
	if r.choice != nil {
		r.choice.Release()
		c.g.places.freed(bootclock.Now(), c.service, false)
	}
}

// readmit checks a call that has waited against the configuration now in force, and updates its priority. It returns result.OK if the call may be
// sent.
func (c *call) readmit() result.Code {
	if c.mayBeCut() {
		return result.Leaving
	}
	v := c.g.view.Load()
	c.configAge = v.age()
	if c.keyed && !c.g.acceptsKeys(c.configAge) {
		return result.StaleConfig
	}
	if v.table == c.view.table {
		return result.OK
	}
	route := v.table.Route(c.request.Host, targetPath(c.request.RequestURI))
	if route == nil {
		return c.denyCode(result.NoRoute)
	}
	team := v.table.TeamByKey(c.g.headers.CallerKey(c.request.Header))
	if v.table.NeedsKeys() && !route.Public && (team == nil || team.Name != c.team) {
		return c.denyCode(result.UnknownKey)
	}
	if route.Kind != c.route.Kind || !route.Uses(c.service) {
		return result.NoUpstream
	}
	c.view, c.route = v, route
	c.setPriority()
	return result.OK
}

// setPriority sets the call's priority according to the configuration.
func (c *call) setPriority() {
	table := c.view.table
	if c.keyed {
		c.priority = table.Priority(c.route, table.TeamByKey(c.g.headers.CallerKey(c.request.Header)))
	} else {
		c.priority = table.Priority(c.route, nil)
	}
	c.statesPriority = c.g.headers.Priority != "" && c.g.places.enabled.Load() && table.HasPriorities(c.service)
}

// dispatchPlaces gives places to waiting requests as time passes. It sleeps while nothing waits.
func (g *Gateway) dispatchPlaces() {
	ticker := time.NewTicker(queuePollInterval)
	defer ticker.Stop()
	for {
		ticker.Stop()
		select {
		case <-g.ctx.Done():
			return
		case <-g.placesWaiting:
		}
		ticker.Reset(queuePollInterval)
		for g.places.waiting.Load() > 0 {
			select {
			case <-g.ctx.Done():
				return
			case <-ticker.C:
				g.places.dispatch(bootclock.Now())
			}
		}
	}
}

// wakeDispatch wakes dispatchPlaces.
func (g *Gateway) wakeDispatch() {
	select {
	case g.placesWaiting <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// logClampedPriorities reports the priorities of a new configuration that are out of range.
func logClampedPriorities(version uint64, names []string) {
	if len(names) > 0 {
		event.Log(event.PriorityClamped, "version", version, "items", names[:min(len(names), maxLoggedParts)], "count", len(names))
	}
}
