package balancer

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/request/placement"
	"github.com/jayridge/jayridge/version/routing"
)

// All entries that see the same free slots must not fill each of them.
func TestCredit_SharesFreeSlots(t *testing.T) {
	const entries, free = 50, 100
	sent := 0
	for range entries {
		var c credit
		for ms := range 300 {
			if c.take(at(ms), free/float64(entries), 0, 0) {
				sent++
			}
		}
	}
	must.LessEq(t, 2*free, sent) // those of the beginning and those of the window
}

// Without free slots, an entry must send as many requests as have ended.
func TestCredit_RequestsThatEnded(t *testing.T) {
	var c credit
	must.True(t, c.take(at(0), 0, 0, 0))
	must.False(t, c.take(at(1000), 0, 0, 0))
	c.ended()
	must.True(t, c.take(at(1000), 0, 0, 0))
	must.False(t, c.take(at(1000), 0, 0, 0))
}

// An entry that could not send for a while must not send more than its share at once.
func TestCredit_DoesNotAccumulate(t *testing.T) {
	var c credit
	sent := 0
	for range 20 {
		c.ended()
	}
	for range 20 {
		if c.take(at(0), 5, 0, 0) {
			sent++
		}
	}
	must.EqOp(t, 5, sent)
}

// A caller that has part of an answer must be served even if no slot is free; new requests must be refused.
func TestPick_StartedRequestsNeedNoCredit(t *testing.T) {
	b := newCreditBalancer(4)
	q := Query{Service: "model", Placement: placement.Request{Tokens: 100}}
	var choices []*Choice
	for c := b.Pick(at(0), q); c != nil; c = b.Pick(at(0), q) {
		choices = append(choices, c)
	}
	must.EqOp(t, 4, len(choices)) // three while half of the slots are free, one of the credit that each entry has
	started := q
	started.Started = true
	must.NotNil(t, b.Pick(at(0), started))
	choices[0].Done(at(1), health.Answered)
	must.NotNil(t, b.Pick(at(1), q))
	must.NotNil(t, b.Pick(at(1), Query{Service: "model"})) // requests without a prompt have no credit
}

// Requests must not be refused while half of the slots are free, or if it is not known how many there are.
func TestPick_CreditOnlyWhenSlotsAreScarce(t *testing.T) {
	for _, slots := range []int{0, 100} {
		b := newCreditBalancer(slots)
		for range 50 {
			must.NotNil(t, b.Pick(at(0), Query{Service: "model", Placement: placement.Request{Tokens: 100}}))
		}
	}
}

// Credit that is kept for more urgent requests must not grow with the slots that it leaves free, and requests that wait at upstreams must be sent
// back to the entries: at 3 times the load, every gateway kept three more requests at upstreams and half of the requests were late.
func TestCredit_SavedAndOverfull(t *testing.T) {
	var c credit
	must.True(t, c.take(at(0), 0.5, 0, 3))
	for range 3 {
		c.ended()
	}
	must.False(t, c.take(at(1), 0.5, 3, 3))
	must.False(t, c.take(at(10_000), 0.5, 3, 3))
	must.True(t, c.take(at(10_000), 0.5, 2, 3))
	must.True(t, c.take(at(10_000), 0.5, 0, 3))
	must.False(t, c.take(at(10_600), -2, 0, 3))
	c.ended()
	must.False(t, c.take(at(10_600), -2, 0, 3))
	c.ended()
	must.True(t, c.take(at(10_600), -2, 0, 3))
}

// newCreditBalancer returns the balancer of one of many entries, for a service with one upstream.
func newCreditBalancer(slots int) *Balancer {
	b := New(DefaultConfig("here"))
	b.SetEntries(100)
	u := directory.Upstream{Entry: directory.Entry{ID: "a", Service: "model", Slots: slots}}
	b.SetUpstreams([]directory.Upstream{u}, nil, func(string) *routing.Service { return &routing.Service{Name: "model"} })
	return b
}
