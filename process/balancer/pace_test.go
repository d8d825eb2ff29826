package balancer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/version/routing"
)

// The entries together must not send more to a plain service than its slots run and a few more, in place of filling the queues of its upstreams.
func TestPace_ShareOfEntries(t *testing.T) {
	var p pace
	const entries, slots = 28, 12
	window := minPlacesPerSlot * slots / float64(entries)
	sent := 0
	for ms := range 10_000 {
		if p.advance(at(1+ms), window); p.take(0) {
			sent++
			p.answered(50 * time.Millisecond)
		}
	}
	must.InDelta(t, 10*minPlacesPerSlot*slots/0.05/entries, float64(sent), 3)
}

// An entry must send less when its requests take longer, as they do when upstreams have more than they can run, and must know when it has a place.
func TestPace_SlowAnswers(t *testing.T) {
	var p pace
	p.advance(at(1), 0.5)
	must.True(t, p.take(0))
	p.answered(50 * time.Millisecond)
	p.answered(time.Minute)
	must.Less(t, 0.1, p.latency, must.Sprint("a single request that waited for a failing upstream"))
	for range 50 {
		p.answered(400 * time.Millisecond)
	}
	p.advance(at(2), 0.5)
	must.False(t, p.take(0))
	must.InDelta(t, 0.8, p.wait.Seconds(), 0.01)
	p.advance(at(2).Add(p.wait+time.Millisecond), 0.5)
	must.True(t, p.take(0))
	p.advance(at(10_000), 0)
	must.False(t, p.take(100))
	must.EqOp(t, maxPaceWait, p.wait)
}

// newPlainBalancer returns a balancer with upstreams of a plain service.
func newPlainBalancer(names ...string) *Balancer {
	b := New(DefaultConfig("here"))
	var upstreams []directory.Upstream
	for _, name := range names {
		upstreams = append(upstreams, directory.Upstream{
			Entry: directory.Entry{ID: name, Service: "s", Address: name + ":80", DataCentre: "here", Slots: 6}, State: directory.Ready,
		})
	}
	b.SetUpstreams(upstreams, nil, func(string) *routing.Service { return &routing.Service{Name: "s"} })
	return b
}

// A place must be left to more urgent requests only while places are scarce, and given back if no upstream takes the request.
func TestPick_Reserve(t *testing.T) {
	b := newPlainBalancer("a", "b")
	b.SetQueueing(true)
	asked := 0
	q := Query{Service: "s", Reserve: func(float64) float64 { asked++; return 0.5 }}
	var choices []*Choice
	for {
		c := b.Pick(at(0), q)
		if c == nil {
			break
		}
		must.EqOp(t, asked > 0, c.Scarce)
		choices = append(choices, c)
	}
	must.Positive(t, asked)
	must.Positive(t, b.PlaceIn("s"))
	must.NotNil(t, b.Pick(at(0), Query{Service: "s"}), must.Sprint("a more urgent request takes what was left"))
	for _, c := range choices {
		c.Done(at(50), health.Answered)
	}
	b.Yield("s", true)
	must.Positive(t, b.Free(at(50), "s"))
	must.True(t, b.HasCandidate(q))
	must.False(t, b.HasCandidate(Query{Service: "s", Tried: []string{"a", "b"}}))
}

// With queueing switched off, plain services are not limited by their places, as before.
func TestPick_PlainWithoutQueueing(t *testing.T) {
	b := newPlainBalancer("a", "b")
	for range 200 {
		c := b.Pick(at(0), Query{Service: "s", Reserve: func(float64) float64 { panic("not asked") }})
		must.NotNil(t, c)
		must.False(t, c.Scarce)
	}
}

// An entry must use the queues of upstreams that have some, and find out at the cost of few refusals that they have none.
func TestPace_PlacesPerSlot(t *testing.T) {
	p := newPace()
	must.EqOp(t, maxPlacesPerSlot, p.placesPerSlot)
	p.refused()
	p.refused()
	must.EqOp(t, minPlacesPerSlot, p.placesPerSlot)
	for range 100 {
		p.answered(50 * time.Millisecond)
	}
	must.Between(t, minPlacesPerSlot, p.placesPerSlot, minPlacesPerSlot+0.1)
	for range 10_000 {
		p.answered(50 * time.Millisecond)
	}
	must.EqOp(t, maxPlacesPerSlot, p.placesPerSlot)
}
