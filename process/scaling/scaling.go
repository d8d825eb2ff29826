package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits are the configured limits of a service.
type Limits struct {
	// Min and Max limit the number of upstreams in each data centre.
	Min, Max int
	// Boot is the time from an order until a new upstream serves.
	Boot time.Duration
}

// DataCentre is what is known of a service in a data centre.
type DataCentre struct {
	Name string
	// InProgress is the number of requests that upstreams of the data centre hold, Waiting the number of those that wait for a place there.
	InProgress, Waiting int
	// Slots is the number of requests that one upstream runs at once, zero if unknown.
	Slots int
	// Ready upstreams serve, Cold ones serve at a limited rate, Starting ones are registered and do not serve yet. Draining ones take no requests and
	// are not counted against an order.
	Ready, Cold, Starting, Draining int
	// Lost means that the data centre is evacuated or cannot be reached. Nothing is ordered there.
	Lost bool
}

func (c *DataCentre) registered() int { return c.Ready + c.Cold + c.Starting }

// Snapshot is what is known of a service at one time.
type Snapshot struct {
	Limits
	DataCentres []DataCentre
	// Rollout means that a rollout is in progress: upstreams of the old and the new version may be registered side by side, beyond what was ordered.
	// Nothing is given up and no excess is corrected meanwhile.
	Rollout bool
	// Current means that what is registered is up to date. Otherwise nothing is decided.
	Current bool
}

// Reason is why a number was ordered.
type Reason uint8

// The reasons.
const (
	// Unchanged means that there is no order.
	Unchanged Reason = iota
	// Demand means that the service's demand, with its growth within a boot time, needs more upstreams.
	Demand
	// SlotsFull means that all slots of the data centre stay in use.
	SlotsFull
	// BelowMin and AboveMax mean that the number was outside the configured limits.
	BelowMin
	AboveMax
	// Surplus means that upstreams are given up.
	Surplus
	// NotFollowed means that what is registered does not follow the latest order, which is repeated.
	NotFollowed
	// Unconfirmed means that an order is repeated whose outcome is unknown.
	Unconfirmed
)

// String returns the reason as it appears in logs.
func (r Reason) String() string {
	return [...]string{"unchanged", "demand", "slots full", "below minimum", "above maximum", "surplus", "not followed", "outcome unknown"}[r]
}

// Order is a number of upstreams to order for a data centre.
type Order struct {
	DataCentre string
	// Desired is the number to order, Registered the number that is registered.
	Desired, Registered int
	Reason              Reason
}

// Outcome is the outcome of the call that carried an order.
type Outcome uint8

// The outcomes.
const (
	// Accepted means that the order was accepted.
	Accepted Outcome = iota
	// NotMade means that the order was certainly not executed.
	NotMade
	// Unknown means that the order may have been executed or may be executed later.
	Unknown
)

// maxRepeats bounds the doubling of the time between repeats of an order that is not followed: at most 16 times the time within which it should have
// been.
const maxRepeats = 4

// Decider decides the numbers of upstreams of one service. It must be used by one goroutine only.
type Decider struct {
	config  Config
	history history
	centres map[string]*centre
	// slots is the number of slots of an upstream of the service as last known.
	slots float64
	// changedAt is the time of the latest change of any number.
	changedAt time.Time
	// short is the number of upstreams that are needed beyond the maximum.
	short int
}

// centre is the state of a data centre.
type centre struct {
	// target is the number that was last ordered, or the registered number as long as nothing was ordered.
	target  int
	ordered bool
	// changedAt is the time of the latest change of target, callAt that of the latest call that may have been executed.
	changedAt, callAt time.Time
	// reason is that of the pending order; Unchanged if there is none.
	reason Reason
	// unconfirmed means that the outcome of the latest call is unknown.
	unconfirmed bool
	// reached means that what is registered has been equal to target since it changed, differsSince the time since which it is not.
	reached      bool
	differsSince time.Time
	repeats      int
	// missing is the number of upstreams that were ordered and cannot be counted on.
	missing int

	now DataCentre
}

// effective is the number of upstreams that can be counted on.
func (c *centre) effective() int { return c.target - c.missing }

// New returns a decider without state, as after a change of the holder. The config must be valid.
func New(config Config) *Decider {
	return &Decider{config: config, history: history{config: config}, centres: make(map[string]*centre)}
}

// Decide returns the orders that are due, in ascending order of the data centres' names. It should be called some times a second. An order is
// returned again until Record is called with an outcome other than NotMade.
func (d *Decider) Decide(now time.Time, s Snapshot) []Order {
	d.update(now, s)
	if !s.Current || len(s.DataCentres) == 0 {
		return nil
	}
	available := d.available()
	for _, c := range available {
		d.follow(now, c, s)
	}
	mayLower := !s.Rollout && now.Sub(d.history.since) >= d.window(s)
	if mayLower {
		d.limit(now, available, s)
	}
	d.raise(now, available, s)
	if mayLower && d.slots > 0 && now.Sub(d.changedAt) >= d.config.MinDownInterval {
		d.lower(now, available, s)
	}
	var due []Order
	for _, c := range available {
		if c.reason != Unchanged {
			due = append(due, Order{c.now.Name, c.target, c.now.registered(), c.reason})
		}
	}
	return due
}

// Short returns the number of upstreams that the latest decision needed beyond the maximum of all data centres.
func (d *Decider) Short() int { return d.short }

// Record records the outcome of the call for an order that Decide returned, made at time now.
func (d *Decider) Record(now time.Time, o Order, outcome Outcome) {
	c := d.centres[o.DataCentre]
	if c == nil || outcome == NotMade {
		return
	}
	c.ordered, c.callAt, c.unconfirmed = true, now, outcome == Unknown
	if c.target == o.Desired {
		c.reason = Unchanged
	}
}

// update takes over what is known.
func (d *Decider) update(now time.Time, s Snapshot) {
	demand := make(map[string]float64, len(s.DataCentres))
	slots, upstreams := 0, 0
	for i := range s.DataCentres {
		known := &s.DataCentres[i]
		demand[known.Name] = float64(max(0, known.InProgress) + max(0, known.Waiting))
		if known.Slots > 0 {
			slots += known.Slots * known.registered()
			upstreams += known.registered()
		}
		if !s.Current {
			continue
		}
		c := d.centres[known.Name]
		if c == nil {
			c = &centre{target: known.registered(), changedAt: now, reached: true}
			d.centres[known.Name] = c
		}
		c.now = *known
	}
	if upstreams > 0 {
		d.slots = float64(slots) / float64(upstreams)
	}
	window := d.window(s)
	d.history.add(now, demand, window+d.horizon(s)+sampleInterval)
	if !s.Current {
		return
	}
	for name := range d.centres {
		if _, found := demand[name]; !found {
			delete(d.centres, name)
		}
	}
}

// available returns the data centres in which upstreams can be ordered, in ascending order of the name.
func (d *Decider) available() []*centre {
	var all []*centre
	for _, c := range d.centres {
		if c.now.Lost {
			c.differsSince = time.Time{} // what is registered there says nothing about an order
			continue
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *centre) int { return cmp.Compare(a.now.Name, b.now.Name) })
	return all
}

func (d *Decider) window(s Snapshot) time.Duration {
	return max(d.config.Window, 2*min(s.Boot, maxHorizon))
}

func (d *Decider) horizon(s Snapshot) time.Duration { return min(s.Boot, maxHorizon) }

// follow compares what is registered with the target, and has an order repeated that is not followed.
func (d *Decider) follow(now time.Time, c *centre, s Snapshot) {
	registered := c.now.registered()
	within := s.Boot + d.config.FollowMargin
	differs := registered != c.target
	if s.Rollout && registered > c.target {
		differs = false
	}
	if !differs {
		c.reached, c.differsSince, c.repeats, c.missing = true, time.Time{}, 0, 0
		return
	}
	if !c.ordered && c.reason == Unchanged {
		// Nothing is known but what is registered. It counts as falling only after the time in which a replacement registers.
		if registered > c.target || c.differs(now) >= within {
			c.target, c.differsSince, c.missing = registered, time.Time{}, 0
			return
		}
	}
	differsFor := c.differs(now)
	c.missing = min(c.missing, max(0, c.target-registered))
	if c.reached && registered == 0 || differsFor >= 2*within && now.Sub(c.changedAt) >= 2*within {
		c.missing = max(0, c.target-registered)
	}
	if !c.ordered || c.reason != Unchanged {
		return
	}
	wait := within << c.repeats
	if c.reached && c.repeats == 0 {
		wait = d.config.FallTime
	}
	switch {
	case c.unconfirmed && now.Sub(c.callAt) >= d.config.UnknownRetry:
		c.reason = Unconfirmed
	case differsFor >= wait && now.Sub(c.callAt) >= wait:
		c.reason = NotFollowed
		c.repeats = min(c.repeats+1, maxRepeats)
	}
}

// differs returns since when what is registered has differed from the target, and starts counting if it has not.
func (c *centre) differs(now time.Time) time.Duration {
	if c.differsSince.IsZero() {
		c.differsSince = now
	}
	return now.Sub(c.differsSince)
}

// set changes the target of a data centre.
func (d *Decider) set(now time.Time, c *centre, target int, reason Reason) {
	c.target, c.reason, c.changedAt = target, reason, now
	c.reached, c.differsSince, c.repeats = false, time.Time{}, 0
	d.changedAt = now
}

// upstreamsFor returns the number of upstreams for a demand if at most a fraction of their slots may be in use.
func (d *Decider) upstreamsFor(demand, use float64) int {
	switch {
	case demand <= 0:
		return 0
	case d.slots <= 0:
		return 1 // nothing is known of upstreams until there is one
	}
	const rounding = 1e-9 // a demand that fits exactly needs no further upstream
	return int(math.Ceil(demand/(d.slots*use) - rounding))
}

// raise increases the numbers to what is needed.
func (d *Decider) raise(now time.Time, available []*centre, s Snapshot) {
	window := d.window(s)
	// What the former holder ordered may still be booting. Until it has registered, a number that is only expected to be needed could be lower.
	settled := now.Sub(d.history.since) >= s.Boot+d.config.FollowMargin
	for _, c := range available {
		if c.target < s.Min && settled {
			d.set(now, c, s.Min, BelowMin)
		}
		if full := d.ownNeed(now, c, window); c.now.registered() > 0 && c.effective() < full && c.target < s.Max {
			d.set(now, c, min(full+c.missing, s.Max), SlotsFull)
		}
	}
	expected := d.history.peak(now, window) + d.history.growth(now, window, d.horizon(s))
	wanted := max(1, d.upstreamsFor(expected, d.config.TargetUse)) // without any upstream, no demand would be seen
	urgent := d.upstreamsFor(max(d.current(), d.history.peak(now, window)), 1)
	have := total(available)
	d.short = 0
	switch {
	case have >= max(wanted, urgent):
		return
	case !settled:
		wanted = urgent
	case have >= urgent && (wanted-have < d.least(have) || now.Sub(d.changedAt) < d.config.MinUpInterval):
		return
	}
	for have < max(wanted, urgent) {
		c := d.next(available, s.Max)
		if c == nil {
			d.short = max(wanted, urgent) - have
			return
		}
		d.set(now, c, c.target+1, Demand)
		have++
	}
}

// current returns the demand of the latest sample.
func (d *Decider) current() float64 {
	if n := len(d.history.samples); n > 0 {
		return d.history.samples[n-1].total
	}
	return 0
}

// ownNeed returns the number of upstreams that a data centre needs on its own account: one more than its sustained demand fills. Requests that found
// no free slot there cannot be seen.
func (d *Decider) ownNeed(now time.Time, c *centre, window time.Duration) int {
	if d.slots <= 0 {
		return 0
	}
	filled := int(d.history.sustained(now, c.now.Name, window) / d.slots)
	if filled == 0 {
		return 0
	}
	return filled + 1
}

// least returns the smallest change of a number of upstreams.
func (d *Decider) least(have int) int { return max(1, int(d.config.LeastChange*float64(have))) }

func total(centres []*centre) int {
	sum := 0
	for _, c := range centres {
		sum += c.effective()
	}
	return sum
}

// next returns the data centre that gets the next upstream: one whose orders are followed, with the fewest upstreams. It returns nil if all have
// the maximum.
func (d *Decider) next(available []*centre, limit int) *centre {
	var best *centre
	for _, c := range available {
		if c.target >= limit {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.missing, best.missing), cmp.Compare(c.target, best.target)) < 0 {
			best = c
		}
	}
	return best
}

// limit decreases the numbers that are above the maximum.
func (d *Decider) limit(now time.Time, available []*centre, s Snapshot) {
	for _, c := range available {
		if c.target > s.Max {
			d.set(now, c, s.Max, AboveMax)
		}
	}
}

// lower decreases the numbers by a step if fewer upstreams suffice.
func (d *Decider) lower(now time.Time, available []*centre, s Snapshot) {
	window := d.window(s)
	expected := d.history.peak(now, window) + d.history.growth(now, window, d.horizon(s))
	kept := max(1, d.upstreamsFor(max(expected, d.current()), d.config.DownUse))
	have, serving := total(available), 0
	for _, c := range available {
		if c.now.registered() > c.target {
			return // the previous step has not been executed
		}
		serving += c.now.Ready
	}
	if have-kept < d.least(have) {
		return
	}
	step := min(have-kept, max(1, int(d.config.MaxDecrease*float64(have))), serving-kept) // those that do not serve yet replace none
	for range step {
		c := d.last(now, available, s, window)
		if c == nil {
			return
		}
		d.set(now, c, c.target-1, Surplus)
		c.missing = min(c.missing, c.target)
	}
}

// last returns the data centre that gives up an upstream next: one with upstreams that were ordered and have not come, else the one with the most. It
// returns nil if all have as few as they may.
func (d *Decider) last(now time.Time, available []*centre, s Snapshot, window time.Duration) *centre {
	var best *centre
	for _, c := range available {
		if c.target <= max(s.Min, d.ownNeed(now, c, window)) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.missing, best.missing), cmp.Compare(c.target, best.target)) > 0 {
			best = c
		}
	}
	return best
}
