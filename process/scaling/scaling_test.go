package scaling

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// steady returns a snapshot of two data centres with upstreams of 8 slots and a demand of each.
func steady(registered, demand int) Snapshot {
	s := Snapshot{Limits: Limits{Min: 1, Max: 6, Boot: 4 * time.Second}, Current: true}
	for _, name := range []string{"a", "b"} {
		s.DataCentres = append(s.DataCentres, DataCentre{Name: name, InProgress: demand, Slots: daySlots, Ready: registered})
	}
	return s
}

// run decides for a time and accepts all orders, which it returns.
func run(d *Decider, now *time.Time, length time.Duration, s Snapshot) []Order {
	var all []Order
	for end := now.Add(length); now.Before(end); *now = now.Add(dayTick) {
		orders := d.Decide(*now, s)
		for _, o := range orders {
			d.Record(*now, o, Accepted)
		}
		all = append(all, orders...)
	}
	return all
}

// What a state of the fleet leads to when nothing else changes.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *Snapshot)
		length time.Duration
		want   []Order
	}{
		"enough":                            {length: time.Minute},
		"new holder, within the first wave": {func(s *Snapshot) { s.setDemand(1) }, 15 * time.Second, nil},
		"new holder, then one step until it is executed": {func(s *Snapshot) { s.setDemand(1) }, 22 * time.Second, []Order{{"a", 2, 3, Surplus}}},
		"one more than enough for sixty": {func(s *Snapshot) {
			*s = steady(30, 180)
			s.DataCentres[0].InProgress, s.Max = 181, 100
		}, 10 * time.Second, nil},
		"new holder, ordered upstreams have not registered": {func(s *Snapshot) {
			s.setDemand(0)
			s.DataCentres[0].Ready, s.DataCentres[1].Ready = 0, 0
		}, 6 * time.Second, nil},
		"surplus while those that stay are cold": {func(s *Snapshot) {
			s.setDemand(6)
			s.DataCentres[0].Ready, s.DataCentres[0].Cold, s.DataCentres[1].Ready, s.DataCentres[1].Starting = 1, 2, 1, 2
		}, 30 * time.Second, nil},
		"surplus during a rollout":  {func(s *Snapshot) { s.setDemand(1); s.Rollout = true }, time.Minute, nil},
		"registrations out of date": {func(s *Snapshot) { s.setDemand(60); s.Current = false }, time.Minute, nil},
		"below minimum":             {func(s *Snapshot) { s.Min = 4 }, 8 * time.Second, []Order{{"a", 4, 3, BelowMin}, {"b", 4, 3, BelowMin}}},
		"above maximum":             {func(s *Snapshot) { s.Max = 2 }, 17 * time.Second, []Order{{"a", 2, 3, AboveMax}, {"b", 2, 3, AboveMax}}},
		"waiting requests":          {func(s *Snapshot) { s.DataCentres[1].Waiting = 8 }, 8 * time.Second, []Order{{"a", 4, 3, Demand}}},
		"requests that may run in one data centre only": {func(s *Snapshot) {
			s.DataCentres[0].InProgress, s.DataCentres[1].InProgress = 0, 25
		}, 3 * time.Second, []Order{{"b", 4, 3, SlotsFull}}},
		"one evacuated": {func(s *Snapshot) { s.DataCentres[0].Lost = true }, 8 * time.Second, []Order{{"b", 4, 3, Demand}, {"b", 5, 3, Demand}}},
		"all evacuated": {func(s *Snapshot) { s.DataCentres[0].Lost, s.DataCentres[1].Lost = true, true }, time.Minute, nil},
		"slots unknown": {func(s *Snapshot) { s.DataCentres[0].Slots, s.DataCentres[1].Slots = 0, 0 }, time.Minute, nil},
	} {
		s := steady(3, 15)
		if c.change != nil {
			c.change(&s)
		}
		now := time.Unix(1_700_000_000, 0)
		must.Eq(t, c.want, run(New(DefaultConfig()), &now, c.length, s), must.Sprint(name))
	}
}

func (s *Snapshot) setDemand(n int) {
	for i := range s.DataCentres {
		s.DataCentres[i].InProgress = n
	}
}

// Guards against a rollout's second set of upstreams that is taken for an order that was not followed or for the number to keep, and against an
// excess that stays without a rollout.
func TestDecide_RegisteredBesidesOrders(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := New(DefaultConfig())
	must.Eq(t, []Order{{"a", 4, 3, Demand}, {"b", 4, 3, Demand}}, run(d, &now, 8*time.Second, steady(3, 23)))
	must.SliceEmpty(t, run(d, &now, 3*time.Second, steady(4, 23)))
	rollout := steady(6, 23)
	rollout.Rollout = true
	must.SliceEmpty(t, run(d, &now, time.Minute, rollout))
	must.SliceEmpty(t, run(d, &now, time.Minute, steady(4, 23)))
	must.Eq(t, []Order{{"a", 4, 6, NotFollowed}, {"b", 4, 6, NotFollowed}},
		run(d, &now, 5*time.Second, steady(6, 23)))
}

// Guards against a data centre whose registrations vanish at once and that is still counted on, and against a holder that was paused and takes what
// it knew before for the latest period.
func TestDecide_SuddenChanges(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := New(DefaultConfig())
	must.SliceEmpty(t, run(d, &now, 10*time.Second, steady(3, 15)))
	gone := steady(3, 15)
	gone.DataCentres[0].Ready, gone.DataCentres[0].InProgress, gone.DataCentres[1].InProgress = 0, 0, 30
	must.Eq(t, []Order{{"b", 5, 3, Demand}}, run(d, &now, time.Second, gone))

	d = New(DefaultConfig())
	must.SliceEmpty(t, run(d, &now, 15*time.Second, steady(3, 1)))
	now = now.Add(time.Minute)
	must.SliceEmpty(t, run(d, &now, 15*time.Second, steady(3, 1)))
	must.SliceNotEmpty(t, run(d, &now, 2*time.Second, steady(3, 1)))
}

// Guards against a rise that is ordered in many small steps, and against upstreams that are given up at the moment at which demand returns.
func TestDecide_SuddenDemand(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	d := New(DefaultConfig())
	must.SliceEmpty(t, run(d, &now, 8*time.Second, steady(3, 15)))
	must.Eq(t, []Order{{"a", 4, 3, Demand}}, run(d, &now, time.Second, steady(3, 23)))

	d = New(DefaultConfig())
	must.SliceEmpty(t, run(d, &now, 16*time.Second, steady(3, 1)))
	must.SliceEmpty(t, run(d, &now, dayTick, steady(3, 20)))
}

// Guards against a parameter that makes the decision meaningless.
func TestConfig_Validate(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	must.Error(t, Config{}.Validate())
	c := DefaultConfig()
	c.DownUse = c.TargetUse + 0.1
	must.ErrorContains(t, c.Validate(), "DownUse")
}
