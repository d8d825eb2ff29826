package test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/internal/standin/service"
)

// newBookingFleet starts two entries and three upstreams of the plain service.
func newBookingFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.startEntry("entry-1", "suva")
	f.startEntry("entry-2", "nadi")
	for i, dc := range []string{"suva", "nadi", "lautoka"} {
		f.startUpstream(fmt.Sprintf("basket-%d", i+1), dc)
	}
	f.awaitVersion(f.apply(baseRules))
	f.awaitSidecars("entry-1", 3)
	f.awaitSidecars("entry-2", 3)
	return f
}

// book sends a booking. Its id is also the idempotency key.
func (f *fleet) book(entry, id string) reply {
	return f.post(entry, "/bookings", "", id, fmt.Sprintf(`{"id":%q}`, id))
}

// bookUntilSettled retries a booking until its outcome is not "not-run". If the outcome is "run", it requires exactly one effect.
func (f *fleet) bookUntilSettled(entry, id string) reply {
	f.t.Helper()
	var last reply
	f.await("booking "+id+" is settled", func() bool {
		last = f.book(entry, id)
		return last.err == nil && last.outcome != "not-run"
	})
	if last.outcome == "run" {
		must.Eq(f.t, 1, f.effects(id), must.Sprint(id))
	}
	return last
}

// Guards against a booking that runs twice when it is sent to two entries at the same time, several times each.
func TestClaim_SentTwiceAtOnce(t *testing.T) {
	f := newBookingFleet(t)
	for i := range 20 {
		id := fmt.Sprintf("b-%d", i)
		var callers sync.WaitGroup
		for n := range 4 {
			callers.Go(func() { f.bookUntilSettled(f.entries[n%2], id) })
		}
		callers.Wait()
		must.Eq(t, 1, f.effects(id))
	}
}

// A call must not run twice or have the outcome "not-run" when the sidecar is killed after the effect and before its answer.
func TestClaim_SidecarKilledAfterEffect(t *testing.T) {
	f := newBookingFleet(t)
	first := f.holdBooking("b-held")
	for name := range f.services {
		if f.services[name].Counters().InFlight > 0 {
			f.kill(name)
		}
	}
	r := <-first
	must.Eq(t, "unknown", r.outcome)
	for _, s := range f.services {
		s.SetFaults(service.Faults{})
	}
	again := f.bookUntilSettled("entry-2", "b-held")
	must.Eq(t, "unknown", again.outcome)
	must.Eq(t, 1, f.effects("b-held"))
}

// holdBooking sends a booking, waits for its effect, and makes the upstreams withhold the answer.
func (f *fleet) holdBooking(id string) <-chan reply {
	for _, s := range f.services {
		s.SetFaults(service.Faults{HoldRequests: true})
	}
	first := make(chan reply, 1)
	go func() { first <- f.book("entry-1", id) }()
	f.await("the effect took place", func() bool { return f.effects(id) == 1 })
	return first
}

// Guards against a second run when a sidecar is paused between claim and answer while the caller retries elsewhere, and then resumes.
func TestClaim_SidecarPausedThenResumed(t *testing.T) {
	f := newBookingFleet(t)
	// Slow claims make it likely that the pause falls between the claim and the call. The invariant must hold wherever it falls.
	for i := range 12 {
		id := fmt.Sprintf("b-frozen-%d", i)
		f.kv.SetFaults(kv.Faults{SlowMS: 5 * (i % 4)})
		first := make(chan reply, 1)
		go func() {
			first <- f.post("entry-1", "/bookings", "", id, fmt.Sprintf(`{"id":%q}`, id), "Jayridge-Deadline-Ms", "1500")
		}()
		paused := fmt.Sprintf("basket-%d", i%3+1)
		f.signal(paused, syscall.SIGSTOP)
		elsewhere := f.post("entry-2", "/bookings", "", id, fmt.Sprintf(`{"id":%q}`, id), "Jayridge-Deadline-Ms", "500")
		f.signal(paused, syscall.SIGCONT)
		r := <-first
		for _, answer := range []reply{r, elsewhere} {
			if answer.status == http.StatusOK {
				must.Eq(t, 1, f.effects(id))
			}
		}
		f.kv.SetFaults(kv.Faults{})
		f.bookUntilSettled("entry-2", id)
		must.LessEq(t, 1, f.effects(id))
	}
}

// A call must not run twice, and must not be reported as "not-run" after it ran, when the platform's answer to a write that took effect is
// lost.
func TestClaim_LostAnswersOfThePlatform(t *testing.T) {
	f := newBookingFleet(t)
	for i := range 20 {
		id := fmt.Sprintf("b-lost-%d", i)
		f.kv.SetFaults(kv.Faults{LoseWrites: 1 + i%3, StaleReads: i % 3})
		r := f.bookUntilSettled(f.entries[i%2], id)
		must.Eq(t, "run", r.outcome)
		must.Eq(t, http.StatusOK, f.bookUntilSettled(f.entries[(i+1)%2], id).status)
		must.Eq(t, 1, f.effects(id))
	}
}

// Guards against calls that run without a claim while the platform is unreachable.
func TestClaim_PlatformDown(t *testing.T) {
	f := newBookingFleet(t)
	for _, p := range f.procs {
		p.kvProxy.disconnected.Store(true)
	}
	for i := range 5 {
		r := f.post("entry-1", "/bookings", "", fmt.Sprintf("b-down-%d", i), fmt.Sprintf(`{"id":"b-down-%d"}`, i), "Jayridge-Deadline-Ms", "2000")
		must.Eq(t, "not-run", r.outcome)
		must.Zero(t, f.effects(fmt.Sprintf("b-down-%d", i)))
	}
	for _, p := range f.procs {
		p.kvProxy.disconnected.Store(false)
	}
	for i := range 5 {
		must.Eq(t, http.StatusOK, f.bookUntilSettled("entry-2", fmt.Sprintf("b-down-%d", i)).status)
	}
}

// Guards against a sidecar that matches the query string as a part of the path and finds no route.
func TestRoute_WithQuery(t *testing.T) {
	f := newBookingFleet(t)
	must.Eq(t, http.StatusOK, f.post("entry-1", "/bookings/late?shop=suva", "", "q-1", `{"id":"q-1"}`).status)
	must.Eq(t, "no-route", f.post("entry-1", "/bookings/../charges", "", "q-2", `{"id":"q-2"}`).name)
}

// Guards against a second run of a call without an idempotency key whose connection breaks after the effect.
func TestNoKey_NotRetriedAfterHandOver(t *testing.T) {
	f := newBookingFleet(t)
	for i := range 6 {
		for _, s := range f.services {
			s.SetFaults(service.Faults{DropAnswers: 1})
		}
		id := fmt.Sprintf("b-nokey-%d", i)
		r := f.post("entry-1", "/bookings", "", "", fmt.Sprintf(`{"id":%q}`, id))
		must.Eq(t, "unknown", r.outcome)
		must.Eq(t, 1, f.effects(id))
	}
}
