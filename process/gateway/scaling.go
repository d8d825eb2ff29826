package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/duty"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/lease"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/scaling"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/version/routing"
)

const (
	// scaleTick is the interval of decisions. Loads are told between gateways every 200 ms or more.
	scaleTick = 250 * time.Millisecond
	// scaleCallTimeout limits a call of the platform's API. An order that is a second late does less harm than a repeated call to a slow API.
	scaleCallTimeout = slowUsageCallTimeout
	// maxRegisteredAge is the age from which what the control goroutine has published is not used: it is published every controlTick.
	maxRegisteredAge = 2 * time.Second
)

// scaleDuty decides and orders the number of upstreams of the services with limits, if this gateway holds the duty. Its goroutine owns all fields but
// holder, published and counters.
type scaleDuty struct {
	g      *Gateway
	config scaling.Config
	holder *dutyLeaseHolder
	api    duty.API
	tenure *duty.Tenure
	// token is the token of the present term, zero if there is none. deciders holds the state of the term by service.
	token    uint64
	deciders map[string]*scaling.Decider
	// next is the service whose orders come first, so that none waits for ever while calls are few.
	next int
	// calling means that a call is in progress, whose result is sent to results. There is never more than one, also after a change of the term, so that
	// calls arrive in the order of their tokens.
	calling bool
	results chan scaleResult
	// published is what the control goroutine knows of the services, nil before it has a configuration.
	published atomic.Pointer[scaleView]
	counters  scaleMetrics
}

// scaleView is what is registered. It is immutable.
type scaleView struct {
	at time.Time
	// current means that upstreams are listed, which they are only for the holder of the duty, and that the list is up to date.
	current   bool
	services  []scaledService
	evacuated map[string]struct{}
}

// scaledService is a service with limits.
type scaledService struct {
	name    string
	scaling routing.Scaling
	slots   int
	rollout bool
	// upstreams are those that take requests or are draining.
	upstreams []directory.Upstream
}

type scaleResult struct {
	service string
	order   scaling.Order
	token   uint64
	err     error
}

// scaleMetrics are the metrics of the duty.
type scaleMetrics struct {
	token, failed, refused, short atomic.Int64

	mu sync.Mutex
	// orders counts the accepted orders, desired holds the latest ones.
	orders, desired map[scaleSubject]int64
}

type scaleSubject struct{ service, dataCentre string }

// newScaleDuty returns the duty, nil if the settings do not name it.
func newScaleDuty(g *Gateway, api duty.API) *scaleDuty {
	if api == nil || !g.settings.Duties.Has(settings.DutyScale) {
		return nil
	}
	d := &scaleDuty{
		g: g, config: scaling.DefaultConfig(), holder: newDutyLeaseHolder(g, duty.Scale), api: api, tenure: duty.NewTenure(g.dutyConfig()),
		deciders: make(map[string]*scaling.Decider), results: make(chan scaleResult, 1),
	}
	d.holder.wanted = d.wanted
	d.counters.orders, d.counters.desired = make(map[scaleSubject]int64), make(map[scaleSubject]int64)
	return d
}

// start starts the workers.
func (d *scaleDuty) start() {
	d.g.startWorker(d.holder.run)
	d.g.startWorker(d.run)
}

// applyItem applies a changed item of the copy of the store.
func (d *scaleDuty) applyItem(now time.Time, item mirror.Item) {
	if d != nil {
		d.holder.applyItem(now, item)
	}
}

// wanted reports whether the configuration has a service with limits.
func (d *scaleDuty) wanted() bool {
	v := d.published.Load()
	return v != nil && len(v.services) > 0
}

// publishScaling publishes what is registered for the scale duty. It is called on the control goroutine.
func (s *state) publishScaling(now time.Time) {
	d := s.g.scale
	if d == nil || s.table == nil {
		return
	}
	v := &scaleView{at: now, evacuated: maps.Clone(s.evacuated)}
	for _, service := range s.table.Services() {
		if service.Scaling != nil {
			v.services = append(v.services, scaledService{name: service.Name, scaling: *service.Scaling, slots: service.Slots})
		}
	}
	if _, held := d.holder.keeper.Held(); held && len(v.services) > 0 {
		v.current = s.directory.IsCurrent(now)
		registered := slices.Concat(s.directory.Usable(), s.directory.Leaving(now))
		for i := range v.services {
			known := &v.services[i]
			for _, u := range registered {
				if u.Service == known.name && u.State != directory.Gone {
					known.upstreams = append(known.upstreams, u)
				}
			}
			known.rollout = s.g.rollouts.mayChangeNumbers(known.name, known.upstreams)
		}
	}
	d.published.Store(v)
}

// mayChangeNumbers reports whether a rollout of a service may be the reason for the number of its upstreams: it is in progress, or has ended and
// upstreams of several versions are still registered.
func (r *rollouts) mayChangeNumbers(service string, upstreams []directory.Upstream) bool {
	order, found := r.orders[service]
	if !found {
		return false
	}
	status := r.statuses[service]
	if status.Target != order.Target || status.State == RolloutRunning {
		return true
	}
	return slices.ContainsFunc(upstreams, func(u directory.Upstream) bool { return u.Version != upstreams[0].Version })
}

// run decides and orders until the gateway stops.
func (d *scaleDuty) run() {
	ticker := time.NewTicker(scaleTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.step()
		case r := <-d.results:
			d.finish(r)
		case <-d.g.ctx.Done():
			return
		}
	}
}

// step decides, and starts a call if an order is due.
func (d *scaleDuty) step() {
	grant, held := d.holder.keeper.Grant()
	d.tenure.SetLease(duty.Lease{Token: grant.Fence, Since: grant.Since, Until: grant.Until}, held)
	if !held || d.g.leaving.Load() {
		d.endTerm()
		return
	}
	if !d.wanted() {
		d.giveUp(0, "no service has limits")
		return
	}
	if d.token != grant.Fence {
		d.beginTerm(grant)
	}
	now := bootclock.Now()
	service, order, found := d.decide(now)
	if found && !d.calling && d.tenure.MayCall(now) {
		d.call(now, service, order)
	}
}

// beginTerm begins a term without state.
func (d *scaleDuty) beginTerm(grant lease.Grant) {
	d.endTerm()
	d.token = grant.Fence
	d.counters.token.Store(int64(grant.Fence))
	event.Log(event.ScaleTakenOver, "token", grant.Fence)
}

func (d *scaleDuty) endTerm() {
	d.token = 0
	clear(d.deciders)
	d.counters.short.Store(0)
}

// giveUp ends the lease and lets others try for a time.
func (d *scaleDuty) giveUp(pause time.Duration, reason string) {
	event.Log(event.ScaleDutyGivenUp, "token", d.token, "reason", reason)
	d.holder.keeper.GiveUp(pause)
	d.endTerm()
}

// decide lets all services decide and returns the first order that is due.
func (d *scaleDuty) decide(now time.Time) (service string, order scaling.Order, found bool) {
	v := d.published.Load()
	stale := now.Sub(v.at) > maxRegisteredAge
	short, first := 0, len(v.services)
	for i := range v.services {
		known := &v.services[i]
		decider := d.deciders[known.name]
		if decider == nil {
			decider = scaling.New(d.config)
			d.deciders[known.name] = decider
		}
		snapshot := known.snapshot(now, d.g.settings.DataCentres, v.evacuated, d.g.balancer.ServiceLoads(now, known.name))
		snapshot.Current = v.current && !stale
		orders := decider.Decide(now, snapshot)
		short += decider.Short()
		// Services take turns: the one after that of the latest call comes first.
		if place := (i - d.next + len(v.services)) % len(v.services); len(orders) > 0 && place < first {
			service, order, found, first = known.name, orders[0], true, place
		}
	}
	for name := range d.deciders {
		if !slices.ContainsFunc(v.services, func(s scaledService) bool { return s.name == name }) {
			delete(d.deciders, name)
		}
	}
	if int(d.counters.short.Swap(int64(short))) != short && short > 0 {
		event.LogSampled(event.ScaleAtMaximum, "short", short, "token", d.token)
	}
	return service, order, found
}

// snapshot returns what is known of the service. A data centre all of whose registered upstreams are down counts as lost.
func (s *scaledService) snapshot(
	now time.Time, dataCentres []settings.DataCentre, evacuated map[string]struct{}, loads []balancer.UpstreamLoad,
) scaling.Snapshot {
	snapshot := scaling.Snapshot{
		Limits: scaling.Limits{Min: s.scaling.Min, Max: s.scaling.Max, Boot: s.scaling.BootTime}, Rollout: s.rollout,
	}
	down := make(map[string]bool, len(loads))
	for _, l := range loads {
		down[l.ID] = l.Down
	}
	for _, place := range dataCentres {
		c := scaling.DataCentre{Name: place.Name}
		slots := 0
		for _, u := range s.upstreams {
			if u.DataCentre != place.Name {
				continue
			}
			switch {
			case u.State == directory.Draining:
				c.Draining++
				continue
			case down[u.ID]:
				c.Starting++
			case u.ColdUntil.After(now):
				c.Cold++
			default:
				c.Ready++
			}
			slots += u.Slots
		}
		for _, l := range loads {
			if l.DataCentre == place.Name {
				c.InProgress += l.Requests
			}
		}
		c.Slots = s.slots
		if registered := c.Ready + c.Cold + c.Starting; slots > 0 {
			c.Slots = (slots + registered - 1) / registered
		}
		_, c.Lost = evacuated[place.Name]
		c.Lost = c.Lost || c.Starting > 0 && c.Ready+c.Cold == 0
		snapshot.DataCentres = append(snapshot.DataCentres, c)
	}
	return snapshot
}

// call makes the call for an order on another goroutine.
func (d *scaleDuty) call(now time.Time, service string, order scaling.Order) {
	v := d.published.Load()
	d.next = slices.IndexFunc(v.services, func(s scaledService) bool { return s.name == service }) + 1
	d.calling = true
	d.tenure.CallStarted(now)
	result := scaleResult{service: service, order: order, token: d.token}
	d.g.startWorker(func() {
		ctx, cancel := context.WithTimeout(d.g.ctx, scaleCallTimeout)
		defer cancel()
		result.err = duty.ErrNotSent
		if token, held := d.holder.keeper.Held(); held && token == result.token {
			by := duty.Holder{Instance: d.g.settings.Instance, Token: token}
			result.err = d.api.OrderScale(ctx, by, service, order.DataCentre, order.Desired)
		}
		d.results <- result // has room for the only call
	})
}

// finish records the result of a call.
func (d *scaleDuty) finish(r scaleResult) {
	d.calling = false
	now := bootclock.Now()
	giveUp := d.tenure.CallEnded(now, r.token, r.err)
	outcome := scaling.Accepted
	subject := scaleSubject{r.service, r.order.DataCentre}
	switch {
	case r.err == nil:
		d.counters.accepted(subject, r.order.Desired)
		event.Log(event.ScaleOrdered, "service", r.service, "data_centre", r.order.DataCentre, "desired", r.order.Desired,
			"registered", r.order.Registered, "reason", r.order.Reason.String(), "token", r.token)
	case errors.Is(r.err, duty.ErrFenced):
		outcome = scaling.NotMade
		d.counters.refused.Add(1)
		event.Log(event.ScaleRefused, "service", r.service, "data_centre", r.order.DataCentre, "desired", r.order.Desired, "token", r.token)
	default:
		outcome = scaling.Unknown
		if errors.Is(r.err, duty.ErrNotSent) || errors.Is(r.err, duty.ErrThrottled) {
			outcome = scaling.NotMade
		}
		d.counters.failed.Add(1)
		event.LogSampled(event.ScaleOrderFailed, "service", r.service, "data_centre", r.order.DataCentre, "desired", r.order.Desired,
			"reason", r.order.Reason.String(), "token", r.token, "error", r.err)
	}
	if r.token != d.token {
		return // the order belongs to an earlier term
	}
	if decider := d.deciders[r.service]; decider != nil {
		decider.Record(now, r.order, outcome)
	}
	switch {
	case giveUp && errors.Is(r.err, duty.ErrFenced):
		d.giveUp(dutyPause, "a higher token was seen")
	case giveUp:
		d.giveUp(dutyPause, "calls of the API fail")
	}
}

func (m *scaleMetrics) accepted(subject scaleSubject, desired int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orders[subject]++
	m.desired[subject] = int64(desired)
}

// writeMetrics writes the metrics of the duty.
func (d *scaleDuty) writeMetrics(line func(name string, value int64)) {
	if d == nil {
		return
	}
	holds := int64(0)
	if _, held := d.holder.keeper.Held(); held {
		holds = 1
	}
	c := &d.counters
	line("jayridge_scale_holder", holds)
	line("jayridge_scale_token", c.token.Load())
	line("jayridge_scale_failures_total", c.failed.Load())
	line("jayridge_scale_refusals_total", c.refused.Load())
	line("jayridge_scale_short_upstreams", c.short.Load())
	c.mu.Lock()
	defer c.mu.Unlock()
	for subject, n := range c.orders {
		labels := "{service=\"" + subject.service + "\",data_centre=\"" + subject.dataCentre + "\"}"
		line("jayridge_scale_orders_total"+labels, n)
		line("jayridge_scale_desired"+labels, c.desired[subject])
	}
}
