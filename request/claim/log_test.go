package claim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// No key may be granted twice, or granted without a durable record, under lost responses, late writes, stale reads, outages,
// pauses and restarts. Otherwise a call could run twice. Every claim must be decided in the end.
func TestLogNeverGrantsTwice(t *testing.T) {
	total := map[string]int{}
	property := func(t *rapid.T) {
		m := newModel(t, 3)
		for range rapid.IntRange(50, 600).Draw(t, "steps") {
			m.randomAction()
		}
		m.settle()
		// Claims may be refused immediately for up to RetryMax after the last failure.
		m.now = m.now.Add(m.cfg.RetryMax)
		for i := range m.actors {
			c := m.submit(i, byte(100+i), 1)
			m.settle()
			if !c.granted {
				t.Fatalf("a new key was not granted although the service works: %+v", c.answer)
			}
		}
		// Responses wait for the flush interval, releases for the write rate.
		for range 20 {
			m.now = m.now.Add(m.cfg.FlushInterval)
			for i := range m.actors {
				m.step(i, Tick{})
			}
			m.settle()
		}
		m.checkNoUngrantedClaims()
		for kind, n := range m.counts {
			total[kind] += n
		}
		total["segments"] += len(m.segments)
	}
	// rapid prints the seed of a failing check. With -rapid.seed all ten rounds are the same.
	for range 10 {
		rapid.Check(t, property)
	}
	t.Log("over all runs:", total)
	for _, kind := range []Kind{Granted, Finished, InDoubt, KeyReused, Unavailable} {
		must.Positive(t, total[kind.String()], must.Sprint(kind, " never happened"))
	}
	for _, event := range []string{"forwarded", "appended for another store", "forward outcome lost"} {
		must.Positive(t, total[event], must.Sprint(event, " never happened"))
	}
}

var errRefused = fmt.Errorf("connect: %w", services.ErrUnavailable)

// A key must not stay in doubt if its claim was reported as not run, because the claim was canceled after its write took effect
// and before the response arrived.
func TestLogReleasesAbandonedClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 2)
		m.faults = false
		first := m.submit(0, 1, 1)
		for m.segments[0] == nil {
			// The write takes effect; its response is not delivered before the claim ends.
			m.processCall()
			if m.segments[0] == nil {
				m.deliverResult()
			}
		}
		m.step(0, ClaimCanceled{ID: first.id})
		m.settle()
		for range 20 {
			for len(m.network) > 0 {
				m.processCall()
				m.deliverResult()
			}
			m.now = m.now.Add(20 * time.Millisecond)
			m.step(0, Tick{})
		}
		must.True(t, m.actors[0].Idle())
		second := m.submit(1, 1, 1)
		m.settle()
		must.False(t, first.granted)
		must.True(t, second.granted, must.Sprint("the released key was not granted"))
	})
}

// A call that ends after the retention must not release a newer grant of the same key by the same store. The late Finish comes
// before or after the newer claim is decided.
func TestLogLateFinish(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 2)
		m.faults = false
		m.submit(0, 1, 1)
		m.settle()
		m.now = m.now.Add(m.cfg.Retention)
		newer := m.submit(0, 1, 1)
		if rapid.Bool().Draw(t, "decided") {
			m.settle()
		}
		m.step(0, FinishSubmitted{Key: newer.key, Response: Response{Code: result.Leaving}})
		m.settle()
		must.True(t, newer.granted)
		for range 20 {
			m.now = m.now.Add(m.cfg.FlushInterval / 10)
			m.step(0, Tick{})
			m.settle()
		}
		other := m.submit(1, 1, 1)
		m.settle()
		must.Eq(t, InDoubt, other.answer.Decision.Kind)
	})
}

// Claims must not wait for the whole length of an outage, and a new key must not be granted after failed reads.
func TestLogRefusesInOutage(t *testing.T) {
	log, err := NewLog(DefaultConfig("s"), WriterID{1}, rand.New(rand.NewPCG(1, 1)))
	must.NoError(t, err)
	now := time.UnixMilli(1e6)
	effects := slices.Clone(log.Step(now, ClaimSubmitted{ID: 1, Key: Key{1}}))
	var answer *Answer
	for tries := 0; answer == nil; tries++ {
		must.Less(t, refuseAfterFailures+3, tries)
		for _, e := range effects {
			switch e := e.(type) {
			case Read:
				effects = slices.Clone(log.Step(now, ReadResult{Op: e.Op, Err: errRefused}))
			case Wake:
				now = e.At
				effects = slices.Clone(log.Step(now, Tick{}))
			}
		}
		for _, e := range effects {
			if a, ok := e.(Answer); ok {
				answer = &a
			}
		}
	}
	must.Eq(t, Unavailable, answer.Decision.Kind)
	must.True(t, errors.Is(answer.Err, services.ErrUnavailable))
	// The next claim is refused immediately, without a call.
	effects = log.Step(now, ClaimSubmitted{ID: 2, Key: Key{2}})
	must.Eq(t, Unavailable, effects[0].(Answer).Decision.Kind)
}
