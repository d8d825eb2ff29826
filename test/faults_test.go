package test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/internal/standin/instances"
	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/internal/standin/service"
	"github.com/jayridge/jayridge/version/config"
)

const (
	// defaultSeconds is how long faults are injected. JAYRIDGE_SECONDS overrides it; JAYRIDGE_SEED sets the seed.
	defaultSeconds = 10
	// maxFaults bounds the number of faults in effect at the same time.
	maxFaults = 3
	// drainGrace is the time after which a drained data centre must get no more requests; the promise is a few seconds.
	drainGrace = time.Second
)

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// fault is a fault of the named component. inject brings it about and returns the function that reverts it.
type fault struct {
	name   string
	inject func() (revert func())
}

// faultTest injects random faults into a fleet while callers send requests.
type faultTest struct {
	*fleet
	random *rand.Rand
	// active holds the functions that revert the faults in effect, by component.
	active map[string]func()
	// answered counts the calls with a complete answer.
	answered atomic.Int64
	// injected and drains count the faults injected and the drains checked.
	injected, drains int
	done             chan struct{}
}

// processFaults returns the faults of one process: a crash, a pause, a disconnection from the platform and a graceful restart.
func (c *faultTest) processFaults(name string) []fault {
	p := c.procs[name]
	return []fault{
		{name, func() func() {
			c.kill(name)
			return func() { c.restart(name) }
		}},
		{name, func() func() {
			c.signal(name, syscall.SIGSTOP)
			return func() { c.signal(name, syscall.SIGCONT) }
		}},
		{name, func() func() {
			p.kvProxy.disconnected.Store(true)
			return func() { p.kvProxy.disconnected.Store(false) }
		}},
		{name, func() func() {
			c.signal(name, syscall.SIGTERM)
			return func() {
				<-p.exited
				c.restart(name)
			}
		}},
	}
}

// platformFaults returns the faults of the key-value service and of the instance list.
func (c *faultTest) platformFaults() []fault {
	store := func(f kv.Faults) fault {
		return fault{"key-value service", func() func() {
			c.kv.SetFaults(f)
			return func() { c.kv.SetFaults(kv.Faults{}) }
		}}
	}
	list := func(f instances.Faults) fault {
		return fault{"instance list", func() func() {
			c.list.SetFaults(f)
			return func() { c.list.SetFaults(instances.Faults{}) }
		}}
	}
	return []fault{
		store(kv.Faults{Down: kv.DownUnavailable}), store(kv.Faults{SlowMS: 200}), store(kv.Faults{LoseWrites: 5}), store(kv.Faults{StaleReads: 20}),
		list(instances.Faults{Down: true}), list(instances.Faults{LagMS: 1000}),
	}
}

// upstreamFaults returns the faults of the engine or plain service behind a sidecar.
func (c *faultTest) upstreamFaults(name string) []fault {
	if e := c.engines[name]; e != nil {
		var faults []fault
		for _, f := range []engine.Faults{{FailEvery: 3}, {SlowMS: 300}, {TruncateAfter: 2}, {TurnCold: true}} {
			faults = append(faults, fault{name + "'s upstream", func() func() {
				e.SetFaults(f)
				return func() { e.SetFaults(engine.Faults{}) }
			}})
		}
		return faults
	}
	s := c.services[name]
	return []fault{{name + "'s upstream", func() func() {
		s.SetFaults(service.Faults{DropAnswers: 3})
		return func() { s.SetFaults(service.Faults{}) }
	}}}
}

// pickFault returns a random fault. It reports false if the component has a fault already.
func (c *faultTest) pickFault() (fault, bool) {
	names := slices.Sorted(maps.Keys(c.procs))
	name := names[c.random.IntN(len(names))]
	var faults []fault
	switch n := c.random.IntN(10); {
	case n < 6:
		faults = c.processFaults(name)
	case n < 8 && c.procs[name].role == "sidecar":
		faults = c.upstreamFaults(name)
	default:
		faults = c.platformFaults()
	}
	f := faults[c.random.IntN(len(faults))]
	return f, c.active[f.name] == nil
}

func (c *faultTest) revert(name string) {
	revert := c.active[name]
	delete(c.active, name)
	revert()
}

func (c *faultTest) revertAll() {
	for _, name := range slices.Sorted(maps.Keys(c.active)) {
		c.revert(name)
	}
}

// step injects a fault, or reverts one if maxFaults are in effect.
func (c *faultTest) step() {
	if len(c.active) >= maxFaults {
		names := slices.Sorted(maps.Keys(c.active))
		c.revert(names[c.random.IntN(len(names))])
		return
	}
	if f, ok := c.pickFault(); ok {
		c.active[f.name] = f.inject()
		c.injected++
	}
}

// runChatCaller sends chats until done is closed. fleet.chat checks each answer.
func (c *faultTest) runChatCaller(caller int) {
	for n := 0; !c.isDone(); n++ {
		r := c.chat(c.entries[(caller+n)%len(c.entries)], fmt.Sprintf("chat-%d-%d", caller, n%20))
		if r.err == nil && r.status == http.StatusOK {
			c.answered.Add(1)
		}
	}
}

// runBookingCaller sends bookings until done is closed. Each is sent to the entries in turn until its outcome is known.
func (c *faultTest) runBookingCaller(caller int) {
	for n := 0; !c.isDone(); n++ {
		c.bookUntilKnown(fmt.Sprintf("b-%d-%d", caller, n))
	}
}

// bookUntilKnown sends a booking until its outcome is known, at most 40 times, and checks the reported outcomes against the effects.
func (c *faultTest) bookUntilKnown(id string) {
	// sent is true if an earlier attempt may have run.
	sent := false
	for try := 0; !c.isDone() && try < 40; try++ {
		r := c.book(c.entries[try%len(c.entries)], id)
		ran := c.effects(id)
		switch {
		case r.err != nil || r.outcome == "unknown":
			sent = true
		case r.outcome == "not-run" && !sent && ran != 0:
			c.t.Errorf("booking %s was reported as not run, but took effect: %+v", id, r)
			return
		case r.outcome == "run" && ran != 1:
			c.t.Errorf("booking %s was reported as run, but took effect %d times: %+v", id, ran, r)
			return
		case r.outcome == "run":
			c.answered.Add(1)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *faultTest) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// propose proposes rules on top of the accepted version. It reports false if the platform does not accept them.
func (c *faultTest) propose(text string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	head, err := config.ReadHead(ctx, c.store, nil)
	if err != nil {
		return 0, false
	}
	c.changes++
	outcome, err := config.Propose(ctx, c.store, config.Proposal{
		File: "rules", Text: text, Base: head.Version, ChangeID: fmt.Sprintf("change-%d", c.changes), Author: "test", Time: time.Now(),
	})
	return outcome.Version, err == nil
}

// checkDrain drains nadi while faults are in effect, checks that its runners get no requests, and ends the drain.
func (c *faultTest) checkDrain() {
	isFaulty := func(name string) bool { return c.active[name] != nil }
	if !slices.ContainsFunc(c.entries, func(name string) bool { return !isFaulty(name) }) {
		// No entry is free of faults, and sidecars get configuration changes from entries.
		return
	}
	version, ok := c.propose(drainNadiRules)
	if !ok {
		return
	}
	var running []string
	for name := range c.procs {
		if !isFaulty(name) {
			running = append(running, name)
		}
	}
	c.awaitVersion(version, running...)
	time.Sleep(drainGrace)
	before := c.receivedInNadi()
	answered := c.answered.Load()
	time.Sleep(drainGrace)
	if after := c.receivedInNadi(); after != before {
		c.t.Errorf("nadi is drained and got %d requests, while %d were answered elsewhere", after-before, c.answered.Load()-answered)
	}
	c.drains++
	c.propose(baseRules)
}

// Faults that are harmless alone must not violate an invariant in combination: kills, graceful and sudden restarts, pauses,
// disconnections, outages of the platform, lost writes, stale reads, a lagging instance list, and failing, slow, cold and truncating
// upstreams.
func TestCombined_FailuresTogether(t *testing.T) {
	t.Parallel()
	seed := uint64(envInt("JAYRIDGE_SEED", 1))
	t.Logf("JAYRIDGE_SEED=%d", seed)
	c := &faultTest{fleet: newSmallFleet(t), random: rand.New(rand.NewPCG(seed, 0)), active: map[string]func(){}, done: make(chan struct{})}
	for i, dc := range []string{"suva", "nadi"} {
		c.startUpstream(fmt.Sprintf("basket-%d", i+1), dc)
	}
	c.awaitSidecars("entry-1", 6)
	c.awaitSidecars("entry-2", 6)
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { c.runChatCaller(i) })
	}
	for i := range 4 {
		callers.Go(func() { c.runBookingCaller(i) })
	}
	stop := sync.OnceFunc(func() {
		close(c.done)
		c.revertAll()
		callers.Wait()
	})
	t.Cleanup(stop)

	end := time.Now().Add(time.Duration(envInt("JAYRIDGE_SECONDS", defaultSeconds)) * time.Second)
	for n := 1; time.Now().Before(end); n++ {
		c.step()
		time.Sleep(time.Duration(50+c.random.IntN(250)) * time.Millisecond)
		if n%12 == 0 {
			c.checkDrain()
		}
	}
	c.revertAll()
	for _, entry := range c.entries {
		c.awaitSidecars(entry, 6)
	}
	before := c.answered.Load()
	c.await("callers are answered again", func() bool { return c.answered.Load() > before+200 })
	stop()
	for _, s := range c.services {
		for id, n := range s.Counters().Effects {
			must.Eq(t, 1, n, must.Sprint(id))
		}
	}
	t.Logf("%d answers, %d bookings, %d faults, %d drains", c.answered.Load(), len(c.services["basket-1"].Counters().Effects)+len(c.services["basket-2"].Counters().Effects), c.injected, c.drains)
}
