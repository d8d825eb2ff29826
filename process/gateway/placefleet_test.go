package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/process/queueing"
	"github.com/jayridge/jayridge/request/placement"
	"github.com/jayridge/jayridge/version/routing"
)

// placeSim simulates one service in virtual time: the queues and balancers of the gateways, the messages between them, and upstreams with few
// slots.
type placeSim struct {
	simClock
	config    placeSimConfig
	random    *rand.Rand
	gateways  []*placeGateway
	upstreams []*placeUpstream
	ids       uint64
	// rates is the number of requests a second of each team.
	rates []float64
	counts
	byClass [3]counts
	byTeam  []counts
	// deliver, if set, returns after how long a report is delivered, once for each time. strip removes what older builds do not send.
	deliver func() []time.Duration
	strip   bool
	// chosen are the upstreams of all requests that were sent, in order.
	chosen []string
}

// placeSimConfig describes the service.
type placeSimConfig struct {
	gateways, upstreams, slots, queue int
	// work is the mean time of a request in a slot. An answer begins after beginShare of it.
	work                time.Duration
	beginShare          float64
	objective, deadline time.Duration
	model, queueing     bool
	// busiest is the part of all callers that use the first third of the gateways.
	busiest float64
}

type counts struct {
	calls, inTime, late, refusedAtOnce, refusedAfterWait, sends, refusedThere int
	// early are the calls that were refused while fewer than half of the slots were taken and nothing waited there.
	early int
}

func (c *counts) add(o counts) {
	c.calls += o.calls
	c.inTime += o.inTime
	c.late += o.late
	c.refusedAtOnce += o.refusedAtOnce
	c.refusedAfterWait += o.refusedAfterWait
	c.sends += o.sends
	c.refusedThere += o.refusedThere
	c.early += o.early
}

func (c counts) share() float64 { return float64(c.inTime) / float64(max(1, c.calls)) }

func (c counts) String() string {
	const format = "%.3f in time of %d, %d late, %d refused at once, %d after waiting, %d of %d sends refused by upstreams, %d refused early"
	return fmt.Sprintf(format, c.share(), c.calls, c.late,
		c.refusedAtOnce, c.refusedAfterWait, c.refusedThere, c.sends, c.early)
}

type placeGateway struct {
	name     string
	balancer *balancer.Balancer
	places   *placeQueues
	// retries is the retry budget.
	retries float64
	dead    bool
}

type placeUpstream struct {
	directory.Upstream
	running int
	waiting []func()
	lost    bool
}

// simCall is a request of a caller. It implements placeSeeker.
type simCall struct {
	sim     *placeSim
	gateway *placeGateway
	query   balancer.Query
	team    int
	class   int
	at      time.Time
	sends   int
}

func (c *simCall) pick(now time.Time, reserve func(perSecond float64) float64) *balancer.Choice {
	c.query.Reserve = reserve
	return c.gateway.balancer.Pick(now, c.query)
}

func (c *simCall) hasCandidate() bool { return c.gateway.balancer.HasCandidate(c.query) }

const placeSimTick = 2 * time.Millisecond

func newPlaceSim(config placeSimConfig, seed uint64) *placeSim {
	s := &placeSim{config: config, random: rand.New(rand.NewPCG(seed, 3)), simClock: simClock{now: time.Unix(1000, 0)}}
	for i := range config.upstreams {
		u := &placeUpstream{}
		u.Entry = directory.Entry{
			ID: fmt.Sprint("u", i), Service: "service", Address: fmt.Sprint("u", i, ":80"), DataCentre: string(rune('a' + i%3)), Slots: config.slots,
		}
		s.upstreams = append(s.upstreams, u)
	}
	for i := range config.gateways {
		g := &placeGateway{name: fmt.Sprint("g", i), retries: 2}
		s.gateways = append(s.gateways, g)
		s.restart(g, seed<<8+uint64(i))
		s.after(time.Duration(s.random.Int64N(int64(smallMeshStatePeriod))), func() { s.report(g) })
	}
	return s
}

// restart gives a gateway the state of a new process.
func (s *placeSim) restart(g *placeGateway, seed uint64) {
	c := balancer.DefaultConfig(string(rune('a' + seed%3)))
	c.Seed = seed
	c.Placement.LoadFactor = loadFactorShare * simLoadFactor
	g.balancer = balancer.New(c)
	g.balancer.SetEntries(s.config.gateways)
	g.places = newPlaceQueues(g.balancer, func() int { return s.config.gateways }, nil)
	g.places.setEnabled(s.config.queueing)
	s.list(g)
}

func (s *placeSim) list(g *placeGateway) {
	var ready []directory.Upstream
	for _, u := range s.upstreams {
		if !u.lost {
			ready = append(ready, u.Upstream)
		}
	}
	service := &routing.Service{Name: "service", CacheTokens: 400_000}
	g.balancer.SetUpstreams(ready, nil, func(string) *routing.Service { return service })
}

// lose takes an upstream away.
func (s *placeSim) lose(u *placeUpstream) {
	u.lost = true
	for _, g := range s.gateways {
		s.list(g)
	}
}

func (s *placeSim) report(g *placeGateway) {
	s.after(smallMeshStatePeriod, func() { s.report(g) })
	if g.dead {
		return
	}
	m := takeFleetState(g.balancer, s.now)
	if !s.strip {
		m.Waiting = g.places.takeReport(s.now)
	}
	slices.SortFunc(m.Loads, func(a, b wire.UpstreamLoad) int { return int(int64(a.Upstream) - int64(b.Upstream)) })
	for _, to := range s.gateways {
		if to == g {
			continue
		}
		delays := []time.Duration{time.Duration(1+s.random.IntN(3)) * time.Millisecond}
		if s.deliver != nil {
			delays = s.deliver()
		}
		for _, d := range delays {
			s.after(d, func() {
				applyBalancerState(to.balancer, s.now, g.name, m)
				to.places.hear(s.now, g.name, m.Waiting)
			})
		}
	}
}

// run advances the time by d.
func (s *placeSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance(placeSimTick)
		for _, g := range s.gateways {
			if g.places.waiting.Load() > 0 {
				g.places.dispatch(s.now)
			}
		}
		for team, rate := range s.rates {
			limit := math.Exp(-rate * placeSimTick.Seconds())
			for product := s.random.Float64(); product > limit; product *= s.random.Float64() {
				s.call(team)
			}
		}
	}
}

// begin discards the counts.
func (s *placeSim) begin() {
	s.counts, s.byClass, s.byTeam = counts{}, [3]counts{}, make([]counts, len(s.rates))
}

// count applies f to the counts that a call belongs to.
func (s *placeSim) count(c *simCall, f func(*counts)) {
	for _, n := range []*counts{&s.counts, &s.byClass[c.class], &s.byTeam[c.team]} {
		f(n)
	}
}

func (s *placeSim) call(team int) {
	c := &simCall{sim: s, team: team, class: s.random.IntN(3), at: s.now}
	g := s.random.IntN(len(s.gateways))
	if s.random.Float64() < s.config.busiest {
		g %= (len(s.gateways) + 2) / 3
	}
	c.gateway = s.gateways[g]
	if c.gateway.dead {
		return
	}
	c.query = balancer.Query{Service: "service"}
	if s.config.model {
		c.query.Placement = placement.Request{Session: s.random.Uint64(), Tokens: 300}
	}
	s.count(c, func(n *counts) { n.calls++ })
	c.gateway.retries = min(2, c.gateway.retries+budgetShare*0.2)
	if s.config.queueing {
		r := c.request()
		c.gateway.places.queue("service").arrived(s.now, &r)
	}
	s.attempt(c)
}

func (c *simCall) request() placeRequest {
	s := c.sim
	s.ids++
	return placeRequest{
		Request: queueing.Request{
			Priority: c.class, Team: fmt.Sprint("team-", c.team), Chat: c.query.Placement.Session, Deadline: c.at.Add(s.config.deadline),
			Objective: s.config.objective, Spread: hashFraction(fmt.Sprint(s.ids)),
		},
		service: "service", plain: !s.config.model,
	}
}

// attempt looks for a place for a call.
func (s *placeSim) attempt(c *simCall) {
	if !s.config.queueing {
		if choice := c.pick(s.now, nil); choice != nil {
			s.forward(c, choice)
		} else {
			s.refuse(c)
		}
		return
	}
	places := c.gateway.places
	got, waits := places.queue("service").place(s.now, c.request(), c, func(r placeResult) {
		if r.choice == nil {
			s.refuse(c)
			return
		}
		s.forward(c, r.choice)
	})
	switch {
	case got.choice != nil:
		s.forward(c, got.choice)
	case waits == 0:
		s.refuse(c)
	}
}

// refuse ends a call as refused by its gateway.
func (s *placeSim) refuse(c *simCall) {
	held := s.now.Sub(c.at)
	taken, slots, waiting := 0, 0, 0
	for _, u := range s.upstreams {
		if !u.lost {
			taken += min(u.running, u.Slots)
			slots += u.Slots
			waiting += len(u.waiting)
		}
	}
	early := waiting == 0 && 2*taken < slots
	s.count(c, func(n *counts) {
		if early {
			n.early++
		}
		if held <= 2*placeSimTick {
			n.refusedAtOnce++
		} else {
			n.refusedAfterWait++
		}
	})
}

const simHop = time.Millisecond

// forward sends a call to the upstream that was chosen.
func (s *placeSim) forward(c *simCall, choice *balancer.Choice) {
	c.sends++
	s.chosen = append(s.chosen, choice.ID)
	s.count(c, func(n *counts) { n.sends++ })
	u := s.upstreams[slices.IndexFunc(s.upstreams, func(u *placeUpstream) bool { return u.ID == choice.ID })]
	s.after(simHop, func() {
		switch {
		case u.running < u.Slots:
			s.start(c, u, choice)
		case len(u.waiting) < s.config.queue:
			u.waiting = append(u.waiting, func() { s.start(c, u, choice) })
		default:
			s.count(c, func(n *counts) { n.refusedThere++ })
			s.after(simHop, func() { s.refusedBy(c, choice) })
		}
	})
}

// refusedBy applies the refusal of an upstream.
func (s *placeSim) refusedBy(c *simCall, choice *balancer.Choice) {
	choice.Done(s.now, health.Rejected)
	c.gateway.places.freed(s.now, "service", false)
	if c.sends >= maxSends || c.gateway.retries < 1 {
		s.refuse(c)
		return
	}
	c.gateway.retries--
	c.query.Tried = append(c.query.Tried, choice.ID)
	s.attempt(c)
}

// start runs a call in a slot of an upstream.
func (s *placeSim) start(c *simCall, u *placeUpstream, choice *balancer.Choice) {
	u.running++
	work := time.Duration(float64(s.config.work) * (0.67 + 0.67*s.random.Float64()))
	s.after(time.Duration(float64(work)*s.config.beginShare)+simHop, func() {
		choice.AnswerStarted(s.now, u.running+len(u.waiting))
		s.count(c, func(n *counts) {
			if s.now.Sub(c.at) <= s.config.objective {
				n.inTime++
			} else {
				n.late++
			}
		})
	})
	s.after(work, func() {
		u.running--
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next()
		}
	})
	s.after(work+simHop, func() {
		choice.Done(s.now, health.Answered)
		c.gateway.places.freed(s.now, "service", true)
	})
}

// plainService is the plain service of a deployment. perSecond is its usual rate.
func plainService(queue int, on bool) placeSimConfig {
	return placeSimConfig{
		gateways: 28, upstreams: 3, slots: 6, queue: queue, work: 45 * time.Millisecond, beginShare: 1, objective: 200 * time.Millisecond,
		deadline: 2 * time.Second, queueing: on,
	}
}

// surgingTeam is the team of a simulated day that sends more than usual.
const surgingTeam = 0

// playPlain plays usual load, then the loss of an upstream while a team sends surge times its usual.
func playPlain(config placeSimConfig, seed uint64, perSecond, surge float64) *placeSim {
	s := newPlaceSim(config, seed)
	for i := range 24 {
		weight := 0.55 / 21
		if i < 3 {
			weight = 0.15
		}
		s.rates = append(s.rates, perSecond*weight)
	}
	s.begin()
	s.run(15 * time.Second)
	s.rates[surgingTeam] *= surge
	s.lose(s.upstreams[2])
	s.run(time.Second)
	s.begin()
	s.run(20 * time.Second)
	return s
}

// others returns the counts of all teams but the surging one.
func (s *placeSim) others() (sum counts) {
	for i, n := range s.byTeam {
		if i != surgingTeam {
			sum.calls += n.calls
			sum.inTime += n.inTime
		}
	}
	return sum
}

// playSeeds plays a day with several seeds and returns the sums.
func playSeeds(config placeSimConfig, perSecond, surge float64) *placeSim {
	sum := playPlain(config, 0, perSecond, surge)
	for seed := uint64(1); seed < 4; seed++ {
		s := playPlain(config, seed, perSecond, surge)
		sum.counts.add(s.counts)
		for i := range s.byClass {
			sum.byClass[i].add(s.byClass[i])
		}
		for i := range s.byTeam {
			sum.byTeam[i].add(s.byTeam[i])
		}
	}
	return sum
}

// A team at many times its usual load must not take the places of other teams while an upstream of a plain service is lost, and requests must
// wait at gateways instead of upstreams.
func TestLoadFleet_PlainServiceInSurge(t *testing.T) {
	t.Parallel()
	for _, queue := range []int{6, 40} {
		for _, perSecond := range []float64{160, 200} {
			t.Run(fmt.Sprintf("queue of %d, %g a second", queue, perSecond), func(t *testing.T) {
				t.Parallel()
				before := playSeeds(plainService(queue, false), perSecond, 7.5)
				calm := playSeeds(plainService(queue, true), perSecond, 1)
				after := playSeeds(plainService(queue, true), perSecond, 7.5)
				for _, day := range []struct {
					name string
					*placeSim
				}{{"before", before}, {"without the surge", calm}, {"after", after}} {
					t.Logf("%s: %s; surging team %.3f, others %.3f, classes %s", day.name, day.counts, day.byTeam[surgingTeam].share(), day.others().share(),
						day.classShares())
				}
				after.requireClassOrder(t)
				must.LessEq(t, 0.02, float64(after.early)/float64(after.calls))
				must.Greater(t, before.others().share(), after.others().share())
				// The figures at 200 a second, 1.55 times what the upstreams can take, are not as good as stated in docs/design/overview.md.
				allowed, refused := 0.03, 0.02
				if perSecond > 160 {
					allowed, refused = 0.1, 0.035
				}
				must.LessEq(t, refused, float64(after.refusedThere)/float64(after.sends))
				must.LessEq(t, allowed, calm.others().share()-after.others().share())
			})
		}
	}
}

// classShares returns the shares in time by class.
func (s *placeSim) classShares() string {
	return fmt.Sprintf("%.3f %.3f %.3f", s.byClass[0].share(), s.byClass[1].share(), s.byClass[2].share())
}

// requireClassOrder requires that no class is served less than a less urgent one, but for chance.
func (s *placeSim) requireClassOrder(t *testing.T) {
	t.Helper()
	for c := range 2 {
		must.Less(t, s.byClass[c].share()+0.03, s.byClass[c+1].share(), must.Sprint(s.classShares()))
	}
}

func modelService(on bool) placeSimConfig {
	return placeSimConfig{
		gateways: 28, upstreams: 50, slots: 16, queue: 8, work: 1200 * time.Millisecond, beginShare: 0.02, objective: 400 * time.Millisecond,
		deadline: 10 * time.Second, model: true, queueing: on,
	}
}

// playOverload plays a multiple of what the upstreams can take. fault, if set, is called before the part that counts.
func playOverload(config placeSimConfig, overload float64, fault func(s *placeSim)) *placeSim {
	s := newPlaceSim(config, 1)
	capacity := float64(config.upstreams*config.slots) / config.work.Seconds()
	for range 24 {
		s.rates = append(s.rates, overload*capacity/24)
	}
	s.begin()
	s.run(3 * time.Second)
	if fault != nil {
		fault(s)
	}
	s.begin()
	s.run(5 * time.Second)
	return s
}

// Beyond the load that a model service can take, the more urgent classes must be served first, and gateways instead of upstreams must refuse the
// rest.
func TestLoadFleet_ModelServicePriorities(t *testing.T) {
	t.Parallel()
	for _, overload := range []float64{1.2, 1.5, 2, 3} {
		for _, uneven := range []float64{0, 0.6} {
			t.Run(fmt.Sprintf("%g times, %g at a third of the gateways", overload, uneven), func(t *testing.T) {
				t.Parallel()
				var days [2]*placeSim
				for i, on := range []bool{false, true} {
					config := modelService(on)
					config.busiest = uneven
					days[i] = playOverload(config, overload, nil)
				}
				before, after := days[0], days[1]
				t.Logf("before: %s; classes %s", before.counts, before.classShares())
				t.Logf("after: %s; classes %s", after.counts, after.classShares())
				after.requireClassOrder(t)
				must.LessEq(t, 0.02, float64(after.refusedThere)/float64(after.sends))
				must.Greater(t, before.byClass[0].share(), after.byClass[0].share())
				must.Greater(t, 0.95*before.share(), after.share())
				must.EqOp(t, 0, after.early)
			})
		}
	}
}

// Faults of gateways and messages must not lead upstreams to refuse, reverse the order of classes, or leave places empty.
func TestLoadFleet_PlacesUnderFaults(t *testing.T) {
	t.Parallel()
	delays := func(ms ...int) func(s *placeSim) {
		return func(s *placeSim) {
			s.deliver = func() []time.Duration {
				var out []time.Duration
				for _, m := range ms {
					out = append(out, time.Duration(1+s.random.IntN(m))*time.Millisecond)
				}
				return out
			}
		}
	}
	faults := map[string]func(s *placeSim){
		"gateways killed": func(s *placeSim) {
			for _, g := range s.gateways[:7] {
				g.dead = true
			}
		},
		"all gateways restart": func(s *placeSim) {
			for i, g := range s.gateways {
				s.restart(g, uint64(100+i))
			}
		},
		"messages lost": func(s *placeSim) {
			s.deliver = func() []time.Duration {
				if s.random.IntN(2) == 0 {
					return nil
				}
				return []time.Duration{time.Millisecond}
			}
		},
		"messages doubled and late": delays(3, 600),
		"older builds":              func(s *placeSim) { s.strip = true },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, after := playOverload(modelService(false), 2, fault), playOverload(modelService(true), 2, fault)
			t.Logf("before: %s; classes %s", before.counts, before.classShares())
			t.Logf("after: %s; classes %s", after.counts, after.classShares())
			after.requireClassOrder(t)
			must.LessEq(t, 0.01+float64(before.refusedThere)/float64(before.sends), float64(after.refusedThere)/float64(after.sends))
			must.Greater(t, 0.95*before.share(), after.share())
		})
	}
}

// Without scarcity, requests must go to the same upstreams as without queues, at once, and at no cost of memory.
func TestLoadFleet_PlacesWithoutScarcity(t *testing.T) {
	for name, config := range map[string]placeSimConfig{"model": modelService(true), "plain": plainService(6, true)} {
		t.Run(name, func(t *testing.T) {
			play := func(on bool) *placeSim {
				config.queueing = on
				s := newPlaceSim(config, 1)
				capacity := float64(config.upstreams*config.slots) / config.work.Seconds()
				s.rates = []float64{0.1 * capacity, 0.05 * capacity}
				s.begin()
				s.run(4 * time.Second)
				return s
			}
			off, on := play(false), play(true)
			must.Positive(t, len(on.chosen))
			must.Eq(t, off.chosen, on.chosen)
			must.EqOp(t, off.counts, on.counts)
			must.EqOp(t, on.calls, on.sends)

			c := &simCall{sim: on, gateway: on.gateways[0], at: on.now, query: balancer.Query{Service: "service", Placement: placement.Request{Tokens: 300}}}
			r, q := c.request(), on.gateways[0].places.queue("service")
			direct := testing.AllocsPerRun(100, func() { c.pick(on.now, nil).Release() })
			queued := testing.AllocsPerRun(100, func() {
				got, _ := q.place(on.now, r, c, nil)
				got.choice.Release()
			})
			must.EqOp(t, direct, queued)
		})
	}
}
