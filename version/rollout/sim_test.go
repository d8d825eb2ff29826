package rollout

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/services"
)

var simStart = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

func simConfig() Config {
	c := DefaultConfig()
	c.Window = 10 * time.Second
	c.Lag = 10 * time.Second
	c.IndependentTests = 4
	c.MaxRoutes = 4
	c.MonitorTime = 10 * time.Minute
	return c
}

func simShift() Shift {
	return Shift{ID: "s1", Service: "press-model", From: "v1", To: "v2", Deadline: simStart.Add(time.Hour), MaxCanaryShare: 0.05, Guards: []string{"/chat/driver"}}
}

// fault changes the rates of failed and slow requests of one cell.
type fault func(c Cell, share float64, side Side, failed, slow float64) (float64, float64)

// recordStore is a fake of the platform's key that holds the record.
type recordStore struct {
	record   Record
	revision services.Revision
	down     bool
	// loseResponses makes each write take effect but lose its response.
	loseResponses bool
}

func (r *recordStore) write(w Write) (services.Revision, error) {
	switch {
	case r.down:
		return 0, services.ErrUnavailable
	case w.Previous != r.revision:
		return 0, services.ErrConflict
	}
	r.record = w.Record
	r.revision++
	if r.loseResponses {
		return 0, services.ErrOutcomeUnknown
	}
	return r.revision, nil
}

// simulation is a small fleet. Machine 0 tests the evidence of all data centres and machines 1 to 3 that of one data centre each.
// Machine 4 is an entry without evidence; its share determines the traffic.
type simulation struct {
	rng      *rand.Rand
	config   Config
	now      time.Time
	kv       recordStore
	machines []*Machine
	paused   map[int]bool
	leases   map[int]Lease
	stops    []wire.RolloutStop
	messages []Message
	fault    fault
	perCell  float64
	// unmeasured makes the latency of all requests unknown.
	unmeasured  bool
	openWindows [][]Cell

	maxShare         float64
	fullAt           time.Time
	stoppedAt        time.Time
	shareAfterStop   float64
	roseDuringOutage bool
}

const entryMachine = 4

var simDataCentres = []string{"suva", "nadi", "lautoka"}
var simRoutes = []string{"/chat/fabric-care", "/chat/driver", "/bookings"}

func newSimulation(seed uint64, f fault) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), config: simConfig(), now: simStart, fault: f, perCell: 400}
	for range 5 {
		w.machines = append(w.machines, NewMachine(w.config, simShift(), simStart))
	}
	w.leases = map[int]Lease{0: {Held: true, Fence: 1}}
	w.paused = make(map[int]bool)
	return w
}

// run simulates until the given time, or until the shift is done, or was rolled back more than a minute ago, at the entry.
func (w *simulation) run(until time.Time) {
	for w.now.Before(until) {
		w.runWindow()
		if s := w.machines[entryMachine].State(); s == Done || (s == RolledBack && w.now.Sub(w.stoppedAt) > time.Minute) {
			return
		}
	}
}

func (w *simulation) runWindow() {
	cells := w.traffic()
	w.openWindows = append(w.openWindows, cells)
	const ticks = 5
	for range ticks {
		w.now = w.now.Add(w.config.Window / ticks)
		w.tick()
	}
	if len(w.openWindows) > 1 {
		w.deliverEvidence(w.openWindows[0])
		w.openWindows = w.openWindows[1:]
	}
}

func (w *simulation) tick() {
	before := w.machines[entryMachine].Share()
	for i, m := range w.machines {
		if w.paused[i] {
			continue
		}
		w.handle(m, m.Tick(w.now, w.leases[i]))
		w.refresh(m)
		for _, s := range w.stops {
			w.handle(m, m.RollbackReceived(w.now, s))
		}
	}
	w.recordObservations(before)
}

// refresh gives a machine the stored record, as its driver does after a watch event or a peer's message.
func (w *simulation) refresh(m *Machine) {
	switch {
	case w.kv.down:
		w.handle(m, m.PlatformDown(w.now))
	case w.kv.revision == 0:
		w.handle(m, m.RecordMissing(w.now))
	default:
		w.handle(m, m.RecordRead(w.now, w.kv.record, w.kv.revision))
	}
}

func (w *simulation) handle(m *Machine, out Output) {
	w.messages = append(w.messages, out.Messages...)
	if out.Stop != nil && len(w.stops) == 0 {
		w.stops = append(w.stops, *out.Stop)
		w.stoppedAt = w.now
	}
	if out.Write == nil {
		return
	}
	revision, err := w.kv.write(*out.Write)
	if err != nil {
		w.handle(m, m.WriteFailed(w.now, err))
		return
	}
	w.handle(m, m.WriteSucceeded(w.now, *out.Write, revision))
}

func (w *simulation) recordObservations(before float64) {
	entry := w.machines[entryMachine]
	share := entry.Share()
	w.maxShare = max(w.maxShare, share)
	if w.kv.down && share > before {
		w.roseDuringOutage = true
	}
	if share == 1 && w.fullAt.IsZero() {
		w.fullAt = w.now
	}
	if !w.stoppedAt.IsZero() && w.now.After(w.stoppedAt.Add(w.config.Window)) {
		w.shareAfterStop = max(w.shareAfterStop, share)
	}
}

func (w *simulation) deliverEvidence(cells []Cell) {
	perCentre := len(simRoutes)
	for i, m := range w.machines[:entryMachine] {
		own := cells
		if i > 0 {
			own = cells[(i-1)*perCentre : i*perCentre]
		}
		if !w.paused[i] {
			w.handle(m, m.Evidence(w.now, own))
		}
	}
}

// traffic generates the outcomes of one window.
func (w *simulation) traffic() []Cell {
	share := w.machines[entryMachine].Share()
	var cells []Cell
	for _, dc := range simDataCentres {
		for _, route := range simRoutes {
			c := Cell{Key: Key{DataCentre: dc, Route: route, Window: w.config.WindowOf(w.now), Step: w.machines[entryMachine].Step()}}
			n := binomial(w.rng, 2*w.perCell, 0.5)
			newRequests := binomial(w.rng, n, share)
			c.Old = w.outcomes(c, share, Old, n-newRequests)
			c.New = w.outcomes(c, share, New, newRequests)
			cells = append(cells, c)
		}
	}
	return cells
}

func (w *simulation) outcomes(c Cell, share float64, side Side, n float64) Counts {
	failRate, slowRate := 0.005, 0.05
	if w.fault != nil {
		failRate, slowRate = w.fault(c, share, side, failRate, slowRate)
	}
	failed := binomial(w.rng, n, failRate)
	if w.unmeasured {
		return Counts{Failed: uint32(failed), Unmeasured: uint32(n - failed)}
	}
	slow := binomial(w.rng, n-failed, slowRate)
	return Counts{OK: uint32(n - failed - slow), Failed: uint32(failed), Slow: uint32(slow)}
}

// binomial returns a random number with a binomial distribution. It draws the gaps between successes, or uses the normal
// approximation where that is accurate.
func binomial(r *rand.Rand, n, p float64) float64 {
	switch {
	case p <= 0 || n <= 0:
		return 0
	case p >= 1:
		return n
	case p > 0.5:
		return n - binomial(r, n, 1-p)
	case n*p > 30:
		return min(max(math.Round(n*p+r.NormFloat64()*math.Sqrt(n*p*(1-p))), 0), n)
	}
	count := 0.0
	for i := math.Floor(math.Log(1-r.Float64()) / math.Log1p(-p)); i < n; count++ {
		i += 1 + math.Floor(math.Log(1-r.Float64())/math.Log1p(-p))
	}
	return count
}
