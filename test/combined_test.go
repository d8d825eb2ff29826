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
	// defaultSeconds is how long failures are brought about; JAYRIDGE_SECONDS overrides it, JAYRIDGE_SEED the seed.
	defaultSeconds = 10
	// maxFaults bounds the faults that are in effect together.
	maxFaults = 3
	// drainGrace is within the few seconds after which a drained data centre gets no work.
	drainGrace = time.Second
)

func envInt(name string, byDefault int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return byDefault
}

// fault is one way to break something. begin returns what mends it.
type fault struct {
	name  string
	begin func() (mend func())
}

// combined brings failures about while callers are at work.
type combined struct {
	*fleet
	random *rand.Rand
	// active are the faults in effect by name, with what mends them.
	active map[string]func()
	// answered counts the calls that were answered whole.
	answered atomic.Int64
	// begun and drains count what the driver did.
	begun, drains int
	done          chan struct{}
}

// processFaults breaks one process.
func (c *combined) processFaults(name string) []fault {
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
			p.gate.cut.Store(true)
			return func() { p.gate.cut.Store(false) }
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

// platformFaults breaks the key-value service or the instance list.
func (c *combined) platformFaults() []fault {
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
		store(kv.Faults{Down: kv.DownRefuse}), store(kv.Faults{SlowMS: 200}), store(kv.Faults{LoseWrites: 5}), store(kv.Faults{StaleReads: 20}),
		list(instances.Faults{Down: true}), list(instances.Faults{LagMS: 1000}),
	}
}

// upstreamFaults breaks an engine or a plain service.
func (c *combined) upstreamFaults(name string) []fault {
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

// pick returns a random fault of something that is not broken already.
func (c *combined) pick() (fault, bool) {
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

func (c *combined) mend(name string) {
	mend := c.active[name]
	delete(c.active, name)
	mend()
}

func (c *combined) mendAll() {
	for _, name := range slices.Sorted(maps.Keys(c.active)) {
		c.mend(name)
	}
}

// step begins a fault or mends one.
func (c *combined) step() {
	if len(c.active) >= maxFaults {
		names := slices.Sorted(maps.Keys(c.active))
		c.mend(names[c.random.IntN(len(names))])
		return
	}
	if f, ok := c.pick(); ok {
		c.active[f.name] = f.begin()
		c.begun++
	}
}

// chats sends chats until done is closed. f.chat checks each answer.
func (c *combined) chats(caller int) {
	for n := 0; !c.over(); n++ {
		r := c.chat(c.entries[(caller+n)%len(c.entries)], fmt.Sprintf("chat-%d-%d", caller, n%20))
		if r.err == nil && r.status == http.StatusOK {
			c.answered.Add(1)
		}
	}
}

// bookings sends bookings until done is closed, each until its outcome is known, to all entries in turn.
func (c *combined) bookings(caller int) {
	for n := 0; !c.over(); n++ {
		c.settle(fmt.Sprintf("b-%d-%d", caller, n))
	}
}

// settle sends a booking until its outcome is known or it stays in doubt, and checks what callers are told.
func (c *combined) settle(id string) {
	// sent says that an earlier attempt may have run.
	sent := false
	for try := 0; !c.over() && try < 40; try++ {
		r := c.book(c.entries[try%len(c.entries)], id)
		ran := c.effects(id)
		switch {
		case r.err != nil || r.outcome == "unknown":
			sent = true
		case r.outcome == "not-run" && !sent && ran != 0:
			c.t.Errorf("booking %s is said not to have run, and ran: %+v", id, r)
			return
		case r.outcome == "run" && ran != 1:
			c.t.Errorf("booking %s is said to have run, and ran %d times: %+v", id, ran, r)
			return
		case r.outcome == "run":
			c.answered.Add(1)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *combined) over() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// propose applies rules; it reports false if the platform does not take them.
func (c *combined) propose(text string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	head, err := config.ReadHead(ctx, c.store, nil)
	if err != nil {
		return 0, false
	}
	c.ids++
	outcome, err := config.Propose(ctx, c.store, config.Proposal{
		File: "rules", Text: text, Base: head.Version, ChangeID: fmt.Sprintf("change-%d", c.ids), Author: "test", Time: time.Now(),
	})
	return outcome.Version, err == nil
}

// drain takes nadi out in the midst of the faults, checks that it gets no work, and takes it back.
func (c *combined) drain() {
	isBroken := func(name string) bool { return c.active[name] != nil }
	if !slices.ContainsFunc(c.entries, func(name string) bool { return !isBroken(name) }) {
		// Sidecars learn of a change from entries.
		return
	}
	version, ok := c.propose(drainNadi)
	if !ok {
		return
	}
	var running []string
	for name := range c.procs {
		if !isBroken(name) {
			running = append(running, name)
		}
	}
	c.awaitVersion(version, running...)
	time.Sleep(drainGrace)
	before := c.nadi()
	answered := c.answered.Load()
	time.Sleep(drainGrace)
	if after := c.nadi(); after != before {
		c.t.Errorf("nadi is drained and got %d requests, while %d were answered elsewhere", after-before, c.answered.Load()-answered)
	}
	c.drains++
	c.propose(baseRules)
}

// Guards against failures that are harmless one at a time and break a promise together: kills, graceful and sudden restarts, pauses, cuts,
// outages of the platform, lost writes, stale reads, a lagging list, failing, slow, cold and truncating upstreams.
func TestCombined_FailuresTogether(t *testing.T) {
	t.Parallel()
	seed := uint64(envInt("JAYRIDGE_SEED", 1))
	t.Logf("JAYRIDGE_SEED=%d", seed)
	c := &combined{fleet: small(t), random: rand.New(rand.NewPCG(seed, 0)), active: map[string]func(){}, done: make(chan struct{})}
	for i, dc := range []string{"suva", "nadi"} {
		c.startUpstream(fmt.Sprintf("basket-%d", i+1), dc)
	}
	c.awaitSidecars("entry-1", 6)
	c.awaitSidecars("entry-2", 6)
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { c.chats(i) })
	}
	for i := range 4 {
		callers.Go(func() { c.bookings(i) })
	}
	stop := sync.OnceFunc(func() {
		close(c.done)
		c.mendAll()
		callers.Wait()
	})
	t.Cleanup(stop)

	end := time.Now().Add(time.Duration(envInt("JAYRIDGE_SECONDS", defaultSeconds)) * time.Second)
	for n := 1; time.Now().Before(end); n++ {
		c.step()
		time.Sleep(time.Duration(50+c.random.IntN(250)) * time.Millisecond)
		if n%12 == 0 {
			c.drain()
		}
	}
	c.mendAll()
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
	t.Logf("%d answers, %d bookings, %d faults, %d drains", c.answered.Load(), len(c.services["basket-1"].Counters().Effects)+len(c.services["basket-2"].Counters().Effects), c.begun, c.drains)
}
