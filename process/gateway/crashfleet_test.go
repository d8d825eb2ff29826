package gateway

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/quarantine"
)

// crashSim simulates the crash trackers of a fleet in virtual time: their reports to neighbours, the upstreams, and the requests.
type crashSim struct {
	simClock
	random   *rand.Rand
	gateways []*simGateway
	// stored are the quarantines in the store, which all gateways follow.
	stored    map[quarantine.Part]quarantine.QuarantinedPart
	storeDown bool
	upstreams []*simUpstream
	processes uint64

	crashes []time.Time
	// late is the number of late requests by the crashing part.
	late        map[string]int
	soundSent   int
	soundServed int
	soundBarred int
	// window is the time for which a disrupted gateway is excused.
	window time.Duration
}

// simClock is virtual time with scheduled events.
type simClock struct {
	now       time.Time
	events    simEvents
	scheduled int
}

// after schedules an event.
func (c *simClock) after(d time.Duration, do func()) {
	c.scheduled++
	heap.Push(&c.events, simEvent{c.now.Add(d), c.scheduled, do})
}

// advance advances the time by a tick and runs the events that are due.
func (c *simClock) advance(tick time.Duration) {
	c.now = c.now.Add(tick)
	for len(c.events) > 0 && !c.events[0].at.After(c.now) {
		heap.Pop(&c.events).(simEvent).do()
	}
}

type simEvent struct {
	at     time.Time
	number int
	do     func()
}

// simEvents is a heap of events by time, and by number among those of the same time.
type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e simEvents) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].number < e[j].number
	}
	return e[i].at.Before(e[j].at)
}

func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simGateway struct {
	tracker    *crashTracker
	neighbours []int
	// disturbedAt is the end of the latest freeze, cut or restart.
	disturbedAt time.Time
	frozenUntil time.Time
	cutUntil    time.Time
}

type simUpstream struct {
	process  uint64
	downTill time.Time
	inFlight []*simRequest
}

type simRequest struct {
	gateway *simGateway
	tracker *crashTracker
	call    *call
	started time.Time
	bad     bool
	// proven means that the answer has shown that the parts are sound.
	proven bool
}

// badPart matches the parts that crash upstreams.
var badPart = regexp.MustCompile(`bad[0-9]?`)

// simProvenAfter is how long an answer lasts until it has soundEvents events.
const simProvenAfter = 300 * time.Millisecond

const simTick = 10 * time.Millisecond

func newCrashSim(seed uint64, gateways, upstreams int) *crashSim {
	s := &crashSim{
		random: rand.New(rand.NewPCG(seed, 1)), simClock: simClock{now: time.Unix(1000, 0)}, window: stableWindow,
		stored: make(map[quarantine.Part]quarantine.QuarantinedPart), late: make(map[string]int),
	}
	var names []string
	dataCentres := make(map[string]string)
	for i := range gateways {
		names = append(names, fmt.Sprint("g", i))
		dataCentres[names[i]] = dataCentre(i)
	}
	for i := range gateways {
		g := &simGateway{}
		for _, n := range neighbours(names[i], dataCentres) {
			g.neighbours = append(g.neighbours, slices.Index(names, n))
		}
		s.gateways = append(s.gateways, g)
		s.start(i)
	}
	for range upstreams {
		u := &simUpstream{}
		s.restartUpstream(u)
		s.upstreams = append(s.upstreams, u)
	}
	return s
}

// start replaces the process of a gateway. It follows the store at once, and its neighbours a little later.
func (s *crashSim) start(i int) {
	g := s.gateways[i]
	n := uint64(len(s.gateways))
	g.tracker = newCrashTracker(func(task uint64) bool { return task%n == uint64(i) })
	g.disturbedAt = s.now
	if !s.storeDown {
		for _, q := range s.stored {
			s.adoptStored(g, q)
		}
	}
	s.connect(g)
}

// connect connects a gateway to its neighbours, once both ends are up.
func (s *crashSim) connect(g *simGateway) {
	for _, i := range g.neighbours {
		s.after(100*time.Millisecond, func() { s.dial(g, s.gateways[i]) })
	}
}

func (s *crashSim) dial(a, b *simGateway) {
	for _, g := range []*simGateway{a, b} {
		if s.now.Before(g.cutUntil) || s.now.Before(g.frozenUntil) {
			s.after(redialInterval, func() { s.dial(a, b) })
			return
		}
	}
	s.deliver(a, b.tracker.knownParts(s.now))
	s.deliver(b, a.tracker.knownParts(s.now))
}

func (s *crashSim) restartUpstream(u *simUpstream) {
	s.processes++
	u.process, u.inFlight = s.processes, nil
}

func (s *crashSim) deliver(g *simGateway, report *wire.PartReport) {
	if report == nil || s.now.Before(g.cutUntil) {
		return
	}
	if s.now.Before(g.frozenUntil) {
		s.after(g.frozenUntil.Sub(s.now), func() { s.deliver(g, report) })
		return
	}
	g.tracker.recordPartsFromPeer(s.now, report)
}

// step advances the time by one tick.
func (s *crashSim) step() {
	s.advance(simTick)
	for _, g := range s.gateways {
		if s.now.Before(g.frozenUntil) {
			continue
		}
		s.save(g)
		report := g.tracker.takePartReport(s.now)
		if report == nil || s.now.Before(g.cutUntil) {
			continue
		}
		for _, i := range g.neighbours {
			s.after(time.Duration(10+s.random.IntN(30))*time.Millisecond, func() { s.deliver(s.gateways[i], report) })
		}
	}
}

// save writes a gateway's changes to the store and has all gateways follow.
func (s *crashSim) save(g *simGateway) {
	for !s.storeDown && !s.now.Before(g.cutUntil) {
		select {
		case c := <-g.tracker.quarantineChanges:
			s.store(c)
		default:
			return
		}
	}
}

func (s *crashSim) store(c quarantineChange) {
	if c.released {
		delete(s.stored, c.part)
		return
	}
	s.stored[c.part] = c.entry
	for _, g := range s.gateways {
		if !s.now.Before(g.frozenUntil) && !s.now.Before(g.cutUntil) {
			s.adoptStored(g, c.entry)
		}
	}
}

func (s *crashSim) inTouch(g *simGateway) bool {
	return s.now.Sub(g.disturbedAt) > s.window && !s.now.Before(g.frozenUntil) && !s.now.Before(g.cutUntil)
}

// send sends a request with the given description of its prompt to a random gateway.
func (s *crashSim) send(bad bool, parts string) {
	g := s.gateways[s.random.IntN(len(s.gateways))]
	if s.now.Before(g.frozenUntil) {
		return
	}
	c := &call{service: "model", partIDs: testHeaders.ParsePartIDs(http.Header{"Test-Parts": {parts}})}
	if !bad {
		s.soundSent++
	}
	if wait, _ := g.tracker.judgeParts(s.now, c); wait > 0 {
		if !bad {
			s.soundBarred++
		}
		return
	}
	u := s.upstreams[s.random.IntN(len(s.upstreams))]
	if s.now.Before(u.downTill) {
		return
	}
	r := &simRequest{gateway: g, tracker: g.tracker, call: c, started: s.now, bad: bad}
	u.inFlight = append(u.inFlight, r)
	if !bad {
		s.after(simProvenAfter, func() { s.prove(u, r) })
		s.after(time.Duration(100+s.random.IntN(1500))*time.Millisecond, func() { s.finish(u, r) })
		return
	}
	if len(s.crashes) >= 5 && s.now.Sub(s.crashes[4]) > s.window && s.inTouch(g) {
		s.late[badPart.FindString(strings.ToLower(parts))]++
	}
	s.after(60*time.Millisecond, func() {
		if slices.Contains(u.inFlight, r) {
			s.crashes = append(s.crashes, s.now)
			s.crash(u)
		}
	})
}

func (s *crashSim) finish(u *simUpstream, r *simRequest) {
	i := slices.Index(u.inFlight, r)
	if i < 0 {
		return
	}
	s.prove(u, r)
	u.inFlight = slices.Delete(u.inFlight, i, i+1)
	s.soundServed++
}

// prove records that a request which is still running is sound.
func (s *crashSim) prove(u *simUpstream, r *simRequest) {
	if !r.proven && slices.Contains(u.inFlight, r) && r.gateway.tracker == r.tracker {
		r.proven = true
		r.tracker.recordSound(s.now, r.call)
	}
}

// crash ends an upstream process. The gateways with requests there find out within some milliseconds.
func (s *crashSim) crash(u *simUpstream) {
	process, broken := u.process, u.inFlight
	u.downTill = s.now.Add(3 * time.Second)
	s.restartUpstream(u)
	for _, r := range broken {
		s.after(time.Duration(s.random.IntN(30))*time.Millisecond, func() { s.observeCrash(r, process) })
	}
}

func (s *crashSim) observeCrash(r *simRequest, process uint64) {
	if r.gateway.tracker != r.tracker {
		return
	}
	if s.now.Before(r.gateway.frozenUntil) {
		s.after(r.gateway.frozenUntil.Sub(s.now), func() { s.observeCrash(r, process) })
		return
	}
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	crash := quarantine.Crash{Upstream: process, Started: r.started, Service: r.call.serviceHash()}
	if !r.proven {
		crash.Parts = r.call.partIDs.All
	}
	t.recordDetected(s.now, t.detector.RecordBrokenAnswer(s.now, crash))
	t.recordDetected(s.now, t.detector.RecordUnreachable(s.now, process))
}

// disturb restarts, freezes or cuts off random gateways: about one a second.
func (s *crashSim) disturb() {
	if s.times(1) == 0 {
		return
	}
	i := s.random.IntN(len(s.gateways))
	g := s.gateways[i]
	d := time.Duration(500+s.random.IntN(3000)) * time.Millisecond
	switch s.random.IntN(3) {
	case 0:
		s.start(i)
	case 1:
		g.frozenUntil, g.disturbedAt = s.now.Add(d), s.now.Add(d)
	case 2:
		g.cutUntil, g.disturbedAt = s.now.Add(d), s.now.Add(d)
		s.after(d+100*time.Millisecond, func() { s.reconnect(g) })
	}
}

// reconnect connects a gateway to its neighbours and the store again.
func (s *crashSim) reconnect(g *simGateway) {
	s.connect(g)
	for _, q := range s.stored {
		s.adoptStored(g, q)
	}
}

func (s *crashSim) adoptStored(g *simGateway, q quarantine.QuarantinedPart) {
	value, err := json.Marshal(storedQuarantine{Service: q.Part.Service, Part: q.Part.ID, Crashes: q.Crashes})
	if err != nil {
		panic(err)
	}
	g.tracker.applyStored(s.now, mirror.Item{Key: quarantineKeyPrefix, Value: value})
}

// times returns how often something that happens at a rate, in 1/s, happens in this tick.
func (s *crashSim) times(rate float64) int {
	whole, fraction := math.Modf(rate * simTick.Seconds())
	if s.random.Float64() < fraction {
		whole++
	}
	return int(whole)
}

// simPrompts makes descriptions of prompts. No two are the same.
type simPrompts struct {
	sim  *crashSim
	next int
}

func (p *simPrompts) own() string {
	p.next++
	return fmt.Sprintf("f%07x:40", p.next)
}

func (p *simPrompts) sound() string {
	return fmt.Sprintf("c0de:800,5a:300,d%d:200,a%d:60,%s", p.sim.random.IntN(20), p.sim.random.IntN(500), p.own())
}

// junk returns n parts that no other request has.
func (p *simPrompts) junk(n int) string {
	var parts strings.Builder
	for range n {
		parts.WriteString(p.own() + ",")
	}
	return parts.String()
}

// simFleet is a fleet and its load.
type simFleet struct {
	gateways, upstreams int
	// sound, bad and crashes are the rates of sound requests, of requests with the part, and of crashes for other reasons, in 1/s.
	sound, bad, crashes float64
	duration            time.Duration
	// restartAt is when all gateways restart at once, zero for never.
	restartAt time.Duration
}

// simBadAfter is the time after which there are requests with the part.
const simBadAfter = 3 * time.Second

// simulate runs a fleet under an attack and returns what happened.
func simulate(seed uint64, fleet simFleet, attack func(p *simPrompts) string) *crashSim {
	s := newCrashSim(seed, fleet.gateways, fleet.upstreams)
	p := &simPrompts{sim: s}
	for begin := s.now; s.now.Sub(begin) < fleet.duration; {
		s.step()
		s.disturb()
		if fleet.restartAt > 0 && s.now.Sub(begin) >= fleet.restartAt {
			fleet.restartAt = 0
			for i := range s.gateways {
				s.start(i)
			}
		}
		for range s.times(fleet.sound) {
			s.send(false, p.sound())
		}
		for range s.times(fleet.bad) {
			if s.now.Sub(begin) > simBadAfter {
				s.send(true, attack(p))
			}
		}
		for range s.times(fleet.crashes) {
			s.crash(s.upstreams[s.random.IntN(len(s.upstreams))])
		}
	}
	return s
}

// simSeeds returns the number of seeds of the simulations, JAYRIDGE_SIM_SEEDS. If that is not set, it is one, and only the attacks of usualAttacks
// are simulated in all fleets; the others are in the small one.
func simSeeds(t *testing.T) (seeds int, all bool) {
	text := os.Getenv("JAYRIDGE_SIM_SEEDS")
	if text == "" {
		return 1, false
	}
	n, err := strconv.Atoi(text)
	must.NoError(t, err)
	return n, true
}

var usualAttacks = []string{"third of four", "with victims' parts"}

// attacks are the prompts of requests with the part, by what the attacker varies.
var attacks = map[string]func(p *simPrompts) string{
	"third of four": func(p *simPrompts) string { return "c0de:800,5a:300,bad:200," + p.own() },
	"first":         func(p *simPrompts) string { return "bad:200,c0de:800,5a:300," + p.own() },
	"two parts": func(p *simPrompts) string {
		return fmt.Sprintf("c0de:800,5a:300,bad%d:200,%s", p.sim.random.IntN(2), p.own())
	},
	"after many others": func(p *simPrompts) string { return "c0de:800," + p.junk(200) + "bad:200," + p.own() },
	"after too many":    func(p *simPrompts) string { return "c0de:800," + p.junk(300) + "bad:200," + p.own() },
	"in other spelling": func(p *simPrompts) string {
		return []string{"bad:200", "BAD:200", "bad:x", " bad : 7", ",,bAd"}[p.sim.random.IntN(5)] + ",c0de:800,5a:300," + p.own()
	},
	"with one fixed companion": func(p *simPrompts) string { return "c0de:800,5a:300,bad:200,ff:10," + p.own() },
	"with victims' parts": func(p *simPrompts) string {
		return fmt.Sprintf("c0de:800,5a:300,d%d:200,a%d:60,bad:200,%s", p.sim.random.IntN(20), p.sim.random.IntN(500), p.own())
	},
}

// At most three requests with a prompt part that crashes upstreams may reach them after the fifth crash and the stable window, in small and large
// fleets, beside restarts, freezes and cuts of gateways and other crashes, whatever else the requests hold. Sound requests must not be rejected.
func TestCrashParts_FleetRejectsOnlyTheCrashingPart(t *testing.T) {
	for fleetName, fleet := range map[string]simFleet{
		"small":           {gateways: 4, upstreams: 9, sound: 60, bad: 12, crashes: 0.05, duration: time.Minute},
		"medium":          {gateways: 24, upstreams: 44, sound: 100, bad: 20, crashes: 0.1, duration: 30 * time.Second},
		"hundreds":        {gateways: 300, upstreams: 400, sound: 300, bad: 20, crashes: 0.2, duration: 30 * time.Second},
		"few requests":    {gateways: 4, upstreams: 9, sound: 60, bad: 0.15, crashes: 0.05, duration: 5 * time.Minute},
		"restart of all":  {gateways: 4, upstreams: 9, sound: 60, bad: 3, crashes: 0.05, duration: time.Minute, restartAt: 20 * time.Second},
		"restart at once": {gateways: 4, upstreams: 9, sound: 60, bad: 12, crashes: 0.05, duration: time.Minute, restartAt: simBadAfter},
	} {
		for attackName, attack := range attacks {
			seeds, all := simSeeds(t)
			if !all && fleetName != "small" && !slices.Contains(usualAttacks, attackName) {
				continue
			}
			t.Run(fleetName+", "+attackName, func(t *testing.T) {
				t.Parallel()
				for seed := range seeds {
					s := simulate(uint64(seed), fleet, attack)
					t.Logf("seed %d: %d crashes by the part, late requests %v; %d sound requests, %d served, %d rejected",
						seed, len(s.crashes), s.late, s.soundSent, s.soundServed, s.soundBarred)
					for part, late := range s.late {
						must.LessEq(t, maxLateRequests, late, must.Sprint("seed ", seed, " part ", part))
					}
					must.LessEq(t, s.soundSent/200, s.soundBarred, must.Sprint("seed ", seed))
				}
			})
		}
	}
}

// No request may be rejected while upstreams crash for other reasons, one after the other.
func TestCrashParts_NoCulpritAmongSoundParts(t *testing.T) {
	for name, fleet := range map[string]simFleet{
		"small":          {gateways: 4, upstreams: 9, sound: 60, crashes: 1.5, duration: time.Minute},
		"little traffic": {gateways: 4, upstreams: 9, sound: 2, crashes: 1.5, duration: 3 * time.Minute},
		"hundreds":       {gateways: 300, upstreams: 400, sound: 300, crashes: 10, duration: 30 * time.Second},
		"restart of all": {gateways: 4, upstreams: 9, sound: 60, crashes: 1.5, duration: time.Minute, restartAt: 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seeds, _ := simSeeds(t)
			for seed := range seeds {
				s := simulate(uint64(seed), fleet, nil)
				t.Logf("seed %d: %d sound requests, %d served, %d rejected", seed, s.soundSent, s.soundServed, s.soundBarred)
				must.EqOp(t, 0, s.soundBarred, must.Sprint("seed ", seed))
			}
		})
	}
}

// simRequests is a fleet of crash trackers that exchange reports on whole requests.
type simRequests struct {
	trackers []*crashTracker
	now      time.Time
	// sent is the number of reports exchanged.
	sent int
}

// exchange lets each tracker send its reports to all others, for some rounds.
func (s *simRequests) exchange(rounds int) {
	for range rounds {
		s.now = s.now.Add(simTick)
		for i, from := range s.trackers {
			crashes, parts := from.takeReports(s.now), from.takePartReport(s.now)
			s.sent += len(crashes)
			for j, to := range s.trackers {
				if i == j {
					continue
				}
				to.recordFromPeer(s.now, crashes)
				if parts != nil {
					to.recordPartsFromPeer(s.now, parts)
				}
			}
		}
	}
}

// A request that one gateway saw answered must not be rejected by another that only heard of the crashes, and reports of a crash must not go round for
// ever once the request was answered.
func TestCrashTracker_RequestAnsweredElsewhere(t *testing.T) {
	s := &simRequests{now: time.Unix(1000, 0)}
	for range 3 {
		s.trackers = append(s.trackers, newCrashTracker(func(uint64) bool { return false }))
	}
	c := &call{team: "drivers", request: &http.Request{RequestURI: "/look/popular"}}
	for crash := range uint64(4) {
		s.now = s.now.Add(time.Second)
		first := s.trackers[0]
		first.mu.Lock()
		first.recordDetected(s.now, []quarantine.DetectedCrash{{At: s.now, Crash: quarantine.Crash{
			Fingerprint: c.fingerprint(), Upstream: crash, Started: s.now.Add(-50 * time.Millisecond),
		}}})
		first.mu.Unlock()
		s.exchange(5)
		s.trackers[0].recordAnswered(c)
		s.exchange(5)
		s.trackers[1].recordAnswered(c)
		s.exchange(5)
	}
	must.EqOp(t, 0, s.trackers[2].quarantinedFor(s.now, c))
	s.sent = 0
	for range 20 {
		s.trackers[0].recordAnswered(c)
		s.trackers[1].recordAnswered(c)
		s.exchange(1)
	}
	must.EqOp(t, 0, s.sent)
}

// A gateway that starts must reject a quarantined part that it reads from the store, also if its neighbours know nothing of it.
func TestCrashTracker_StoredQuarantine(t *testing.T) {
	s := newCrashSim(1, 1, 1)
	bad := &call{service: "model", partIDs: testHeaders.ParsePartIDs(http.Header{"Test-Parts": {"bad:1,f:1"}})}
	part := quarantine.Part{Service: bad.serviceHash(), ID: bad.partIDs.All[0]}
	s.stored[part] = quarantine.QuarantinedPart{Part: part, Crashes: 3}
	s.start(0)
	wait, _ := s.gateways[0].tracker.judgeParts(s.now, bad)
	must.Positive(t, wait)
	other := &call{service: "model", partIDs: testHeaders.ParsePartIDs(http.Header{"Test-Parts": {"a:1,f:1"}})}
	wait, _ = s.gateways[0].tracker.judgeParts(s.now, other)
	must.EqOp(t, 0, wait)
}
