package test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/engine"
)

// balancer gives callers the entries that are ready, in turn.
type balancer struct {
	mu    sync.Mutex
	ready []string
	next  int
}

func (b *balancer) entry() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.ready[b.next%len(b.ready)]
}

func (b *balancer) remove(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = slices.DeleteFunc(slices.Clone(b.ready), func(n string) bool { return n == name })
}

func (b *balancer) add(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = append(b.ready, name)
}

// isReady reports what a process's readiness page says; false also if there is none.
func (f *fleet) isReady(name string) bool {
	resp, err := f.client.Get("http://" + f.procs[name].admin + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// replace shuts a process down gracefully and starts the new program with the same settings. The instance list shows it as live throughout.
func (f *fleet) replace(b *balancer, name string) {
	f.t.Helper()
	p := f.procs[name]
	f.signal(name, syscall.SIGTERM)
	if p.role == "entry" {
		f.await(name+" is not ready", func() bool { return !f.isReady(name) })
		b.remove(name)
	}
	<-p.exited
	must.Zero(f.t, p.cmd.ProcessState.ExitCode(), must.Sprint(name))
	p.binary = binary
	f.restart(name)
	f.await(name+" is ready", func() bool { return f.isReady(name) })
	if p.role == "entry" {
		f.awaitSidecars(name, len(f.engines)+len(f.services))
		b.add(name)
		return
	}
	for _, e := range f.entries {
		f.awaitSidecars(e, len(f.engines)+len(f.services))
	}
}

// watchVersions fails the test when a process shows a configuration older than floor, until done is closed. A process that has just
// started and has none yet shows zero.
func (f *fleet) watchVersions(floor *atomic.Uint64, done <-chan struct{}) {
	for {
		for name := range f.procs {
			accepted := floor.Load()
			if s := f.status(name); s != nil && s.ConfigVersion != 0 && s.ConfigVersion < accepted {
				f.t.Errorf("%s went back to configuration %d after %d was in force everywhere", name, s.ConfigVersion, accepted)
			}
		}
		select {
		case <-done:
			return
		default:
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// upgradeFleet has two entries, four runners and three upstreams of the plain service, all of the earlier revision but one sidecar of each
// service, so that the old entries meet new sidecars.
func upgradeFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.old = func(int) bool { return true }
	f.startEntry("entry-1", "suva")
	f.startEntry("entry-2", "nadi")
	for i, dc := range []string{"suva", "nadi", "suva", "nadi"} {
		f.old = func(int) bool { return i < 3 }
		f.startRunner(fmt.Sprintf("press-%d", i+1), dc, "v1", engine.Config{TokenInterval: 5 * time.Millisecond})
	}
	for i, dc := range []string{"suva", "nadi", "lautoka"} {
		f.old = func(int) bool { return i < 2 }
		f.startUpstream(fmt.Sprintf("basket-%d", i+1), dc)
	}
	return f
}

// Guards against a rolling upgrade that cuts requests, runs a booking twice, or loses or reverts the configuration while both builds run
// side by side.
func TestUpgrade_RollingReplacement(t *testing.T) {
	if oldBinary == "" {
		t.Skip("JAYRIDGE_OLD_BINARY names no build of an earlier revision; run make upgrade-test")
	}
	f := upgradeFleet(t)
	var floor atomic.Uint64
	inForce := func(rules string) {
		version := f.apply(rules)
		f.awaitVersion(version)
		floor.Store(version)
	}
	inForce(baseRules)
	f.awaitSidecars("entry-1", 7)
	f.awaitSidecars("entry-2", 7)

	b := &balancer{ready: []string{"entry-1", "entry-2"}}
	done := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() { f.watchVersions(&floor, done) })
	var chats, bookings atomic.Int64
	for i := range 12 {
		work.Go(func() {
			f.repeat(done, &chats, func(n int) bool { return f.upgradeChat(b, fmt.Sprintf("chat-%d-%d", i, n)) })
		})
	}
	for i := range 4 {
		work.Go(func() {
			f.repeat(done, &bookings, func(n int) bool { return f.upgradeBooking(b, fmt.Sprintf("b-%d-%d", i, n)) })
		})
	}
	stop := sync.OnceFunc(func() {
		close(done)
		work.Wait()
	})
	t.Cleanup(stop)
	// Entries come first: those built before the fault was mended never try a sidecar again that is replaced under its name and address.
	for i, name := range []string{"entry-1", "entry-2", "press-1", "basket-1", "press-2", "basket-2", "press-3"} {
		before := chats.Load() + bookings.Load()
		f.replace(b, name)
		f.await("callers are answered", func() bool { return chats.Load()+bookings.Load() > before+20 })
		inForce(baseRules + fmt.Sprintf("route /chat/step-%d service=press-model deadline=30s # ops: upgrade\n", i))
	}
	stop()
	// A request that was cut would have run a second time elsewhere, and its caller would not have noticed.
	must.Eq(t, int(chats.Load()), f.total(func(c engine.Counters) int { return c.Received }))
	ran := 0
	for _, s := range f.services {
		for id, n := range s.Counters().Effects {
			must.Eq(t, 1, n, must.Sprint(id))
			ran++
		}
	}
	must.Eq(t, int(bookings.Load()), ran)
}

// repeat calls send with rising numbers until done is closed and counts the calls that were answered.
func (f *fleet) repeat(done <-chan struct{}, answered *atomic.Int64, send func(n int) bool) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		if !send(n) {
			return
		}
		answered.Add(1)
	}
}

// upgradeChat sends a chat until it is answered whole. It reports false, and fails the test, if it was cut.
func (f *fleet) upgradeChat(b *balancer, chat string) bool {
	for {
		r := f.chat(b.entry(), chat)
		switch {
		case r.err != nil || r.status != http.StatusOK && r.outcome != "not-run":
			f.t.Errorf("chat %s: %+v", chat, r)
			return false
		case r.status == http.StatusOK:
			return true
		}
	}
}

// upgradeBooking sends a booking until it has run, and then once more to the other entry.
func (f *fleet) upgradeBooking(b *balancer, id string) bool {
	answers := 0
	for answers < 2 {
		r := f.book(b.entry(), id)
		switch {
		case r.err != nil || r.status != http.StatusOK && r.outcome != "not-run":
			f.t.Errorf("booking %s: %+v", id, r)
			return false
		case r.status == http.StatusOK:
			answers++
		}
	}
	return true
}
