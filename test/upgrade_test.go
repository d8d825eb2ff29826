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

// balancer is a round-robin load balancer over the entries that are ready.
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

// isReady reports whether the readiness endpoint of a process, /readyz, answers 200. It is false if there is no answer.
func (f *fleet) isReady(name string) bool {
	resp, err := f.client.Get("http://" + f.procs[name].admin + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// replace shuts a process down gracefully and starts the new build with the same settings. The instance list shows it as live throughout.
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

// watchVersions fails the test if a process shows a configuration version below minVersion before done is closed. Version zero is allowed:
// a process that has just started shows it until it has a configuration.
func (f *fleet) watchVersions(minVersion *atomic.Uint64, done <-chan struct{}) {
	for {
		for name := range f.procs {
			accepted := minVersion.Load()
			if s := f.status(name); s != nil && s.ConfigVersion != 0 && s.ConfigVersion < accepted {
				f.t.Errorf("%s reverted to configuration version %d after version %d was in force everywhere", name, s.ConfigVersion, accepted)
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

// upgradeFleet starts two entries, four runners and three upstreams of the plain service. All processes run the earlier build, except one
// sidecar of each service, so that entries of the earlier build are tested with sidecars of the new one.
func upgradeFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.useOld = func(int) bool { return true }
	f.startEntry("entry-1", "suva")
	f.startEntry("entry-2", "nadi")
	for i, dc := range []string{"suva", "nadi", "suva", "nadi"} {
		f.useOld = func(int) bool { return i < 3 }
		f.startRunner(fmt.Sprintf("press-%d", i+1), dc, "v1", engine.Config{TokenInterval: 5 * time.Millisecond})
	}
	for i, dc := range []string{"suva", "nadi", "lautoka"} {
		f.useOld = func(int) bool { return i < 2 }
		f.startUpstream(fmt.Sprintf("basket-%d", i+1), dc)
	}
	return f
}

// A rolling upgrade must not cut requests, run a booking twice, or lose or revert the configuration while both builds are running.
func TestUpgrade_RollingReplacement(t *testing.T) {
	if oldBinary == "" {
		t.Skip("JAYRIDGE_OLD_BINARY is not set to a build of an earlier revision; run make upgrade-test")
	}
	f := upgradeFleet(t)
	var minVersion atomic.Uint64
	applyAndAwait := func(rules string) {
		version := f.apply(rules)
		f.awaitVersion(version)
		minVersion.Store(version)
	}
	applyAndAwait(baseRules)
	f.awaitSidecars("entry-1", 7)
	f.awaitSidecars("entry-2", 7)

	b := &balancer{ready: []string{"entry-1", "entry-2"}}
	done := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() { f.watchVersions(&minVersion, done) })
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
	// Entries are replaced first: builds before 1422c00 never reconnect to a sidecar that is replaced under the same name and address.
	for i, name := range []string{"entry-1", "entry-2", "press-1", "basket-1", "press-2", "basket-2", "press-3"} {
		before := chats.Load() + bookings.Load()
		f.replace(b, name)
		f.await("20 more requests are answered", func() bool { return chats.Load()+bookings.Load() > before+20 })
		applyAndAwait(baseRules + fmt.Sprintf("route /chat/step-%d service=press-model deadline=30s # ops: upgrade\n", i))
	}
	stop()
	// An entry retries an interrupted request at another upstream without notice to the caller, so an interruption shows only in the number
	// of requests that the engines received.
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

// repeat calls send with increasing numbers until done is closed or send returns false, and counts the answered calls.
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

// upgradeChat sends a chat until it has a complete answer. It fails the test and returns false on any error but "not-run".
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

// upgradeBooking sends a booking until it has been answered twice, each time to the next ready entry.
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
