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
	c.Judges = 4
	c.MaxRoutes = 4
	c.Monitor = 10 * time.Minute
	return c
}

func simShift() Shift {
	return Shift{ID: "s1", Service: "press-model", From: "v1", To: "v2", By: simStart.Add(time.Hour), Cap: 0.05, Guards: []string{"/chat/driver"}}
}

// fault changes the rates of failed and slow requests of one cell.
type fault func(c Cell, share float64, side Side, failed, slow float64) (float64, float64)

// register is a fake of the key that holds the record.
type register struct {
	record   Record
	revision services.Revision
	down     bool
	// loseAnswers makes each write take effect and lose its answer.
	loseAnswers bool
}

func (r *register) write(w Write) (services.Revision, error) {
	switch {
	case r.down:
		return 0, services.ErrUnavailable
	case w.Previous != r.revision:
		return 0, services.ErrConflict
	}
	r.record = w.Record
	r.revision++
	if r.loseAnswers {
		return 0, services.ErrOutcomeUnknown
	}
	return r.revision, nil
}

// world is a small fleet: machine 0 judges all evidence, machines 1 to 3 that of one data centre, machine 4 is an entry without
// evidence that all traffic follows.
type world struct {
	random   *rand.Rand
	config   Config
	now      time.Time
	kv       register
	machines []*Machine
	paused   map[int]bool
	leases   map[int]Lease
	stops    []wire.RolloutStop
	messages []Message
	fault    fault
	perCell  float64
	open     [][]Cell

	maxShare   float64
	fullAt     time.Time
	stoppedAt  time.Time
	afterStop  float64
	roseInDown bool
}

const entryMachine = 4

var simCentres = []string{"suva", "nadi", "lautoka"}
var simRoutes = []string{"/chat/fabric-care", "/chat/driver", "/bookings"}

func newWorld(seed uint64, f fault) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), config: simConfig(), now: simStart, fault: f, perCell: 400}
	for range 5 {
		w.machines = append(w.machines, NewMachine(w.config, simShift(), simStart))
	}
	w.leases = map[int]Lease{0: {Held: true, Fence: 1}}
	w.paused = make(map[int]bool)
	return w
}

// run simulates until the time given, or until the shift is done or rolled back at the entry.
func (w *world) run(until time.Time) {
	for w.now.Before(until) {
		w.window()
		if s := w.machines[entryMachine].State(); s == Done || (s == RolledBack && w.now.Sub(w.stoppedAt) > time.Minute) {
			return
		}
	}
}

func (w *world) window() {
	cells := w.traffic()
	w.open = append(w.open, cells)
	const ticks = 5
	for range ticks {
		w.now = w.now.Add(w.config.Window / ticks)
		w.tick()
	}
	if len(w.open) > 1 {
		w.judge(w.open[0])
		w.open = w.open[1:]
	}
}

func (w *world) tick() {
	before := w.machines[entryMachine].Share()
	for i, m := range w.machines {
		if w.paused[i] {
			continue
		}
		w.handle(m, m.Tick(w.now, w.leases[i]))
		w.refresh(m)
		for _, s := range w.stops {
			w.handle(m, m.StopReceived(w.now, s))
		}
	}
	w.observe(before)
}

// refresh lets a machine read the record, as its driver does on a watch or a peer's message.
func (w *world) refresh(m *Machine) {
	switch {
	case w.kv.down:
		w.handle(m, m.PlatformDown(w.now))
	case w.kv.revision == 0:
		w.handle(m, m.RecordMissing(w.now))
	default:
		w.handle(m, m.RecordRead(w.now, w.kv.record, w.kv.revision))
	}
}

func (w *world) handle(m *Machine, out Output) {
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
	w.handle(m, m.Written(w.now, *out.Write, revision))
}

func (w *world) observe(before float64) {
	entry := w.machines[entryMachine]
	share := entry.Share()
	w.maxShare = max(w.maxShare, share)
	if w.kv.down && share > before {
		w.roseInDown = true
	}
	if share == 1 && w.fullAt.IsZero() {
		w.fullAt = w.now
	}
	if !w.stoppedAt.IsZero() && w.now.After(w.stoppedAt.Add(w.config.Window)) {
		w.afterStop = max(w.afterStop, share)
	}
}

func (w *world) judge(cells []Cell) {
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

// traffic draws the outcomes of one window.
func (w *world) traffic() []Cell {
	share := w.machines[entryMachine].Share()
	var cells []Cell
	for _, dc := range simCentres {
		for _, route := range simRoutes {
			c := Cell{Key: Key{DataCentre: dc, Route: route, Window: w.config.WindowOf(w.now), Step: w.machines[entryMachine].Step()}}
			n := binomial(w.random, 2*w.perCell, 0.5)
			fresh := binomial(w.random, n, share)
			c.Old = w.outcomes(c, share, Old, n-fresh)
			c.New = w.outcomes(c, share, New, fresh)
			cells = append(cells, c)
		}
	}
	return cells
}

func (w *world) outcomes(c Cell, share float64, side Side, n float64) Counts {
	failRate, slowRate := 0.005, 0.05
	if w.fault != nil {
		failRate, slowRate = w.fault(c, share, side, failRate, slowRate)
	}
	failed := binomial(w.random, n, failRate)
	slow := binomial(w.random, n-failed, slowRate)
	return Counts{OK: uint32(n - failed - slow), Failed: uint32(failed), Slow: uint32(slow)}
}

// binomial draws by the gaps between successes, or from the normal approximation where that is close.
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
