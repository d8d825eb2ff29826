package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/claim"
	"github.com/jayridge/jayridge/request/result"
)

// The load on the claims of one service and the platform that it meets.
const (
	claimsPerSecond = 3000
	// claimsOffered is a little above it, because the claims arrive at random.
	claimsOffered = 3060
	claimStores   = 3
	platformTrip  = 5 * time.Millisecond
	// sidecarHop is the way of a message between two sidecars.
	sidecarHop     = time.Millisecond
	callTime       = 20 * time.Millisecond
	maxClaimTrips  = 3
	maxClaimWrites = 300
)

// claims measures the rate of claimed calls, the platform's writes and the time that a claim adds, with the real state machines of three
// sidecars and a key-value service whose calls take 5 ms and take effect halfway.
func claims(o Options) []Figure {
	seconds := 30
	if o.Short {
		seconds = 5
	}
	var figures []Figure
	for _, elsewhere := range []int{0, 50} {
		r := newClaimRun(o.Seed, elsewhere, time.Duration(seconds)*time.Second)
		r.run()
		name := "each shard at its first sidecar"
		if elsewhere > 0 {
			name = "one claim in twenty at another sidecar"
		}
		figures = append(figures, r.figures(name)...)
	}
	return figures
}

// claimRun is one run in virtual time.
type claimRun struct {
	random    *rand.Rand
	length    time.Duration
	elsewhere int
	shards    int
	now       time.Time
	end       time.Time
	queue     claimQueue
	// logs is indexed by store and shard.
	logs     [][]*claim.Log
	wakes    [][]int
	keys     map[string]services.KeyValue
	writes   []time.Time
	reads    int
	revision services.Revision
	started  map[uint64]time.Time
	claimed  map[uint64]claim.Key
	lastID   uint64
	granted  int
	handed   int
	refused  int
	latency  *hdrhistogram.Histogram
	// received has the sidecar that waits for the answer about a batch that it handed over.
	received map[uint64]func(claim.BatchDone)
}

// timed is something that happens at a time.
type timed struct {
	at time.Time
	do func()
	// order keeps events of the same time in the order in which they were added.
	order int
}

type claimQueue []timed

func (q claimQueue) Len() int      { return len(q) }
func (q claimQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *claimQueue) Push(x any)   { *q = append(*q, x.(timed)) }
func (q claimQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q *claimQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newClaimRun(seed uint64, elsewhere int, length time.Duration) *claimRun {
	cfg := claim.DefaultConfig("cards")
	r := &claimRun{
		random: rand.New(rand.NewPCG(seed, uint64(elsewhere))), length: length, elsewhere: elsewhere, shards: cfg.Shards,
		now: time.Unix(1_800_000_000, 0), keys: map[string]services.KeyValue{}, started: map[uint64]time.Time{}, claimed: map[uint64]claim.Key{},
		latency: hdrhistogram.New(1, 10_000_000, 3), received: map[uint64]func(claim.BatchDone){},
	}
	for store := range claimStores {
		var logs []*claim.Log
		cfg.Address = strconv.Itoa(store)
		for range cfg.Shards {
			log, err := claim.NewLog(cfg, claim.WriterID{byte(store + 1)}, rand.New(rand.NewPCG(seed, uint64(store))))
			if err != nil {
				panic(err)
			}
			logs = append(logs, log)
		}
		r.logs = append(r.logs, logs)
		r.wakes = append(r.wakes, make([]int, cfg.Shards))
	}
	return r
}

func (r *claimRun) after(d time.Duration, do func()) {
	r.lastID++
	heap.Push(&r.queue, timed{at: r.now.Add(d), do: do, order: int(r.lastID)})
}

func (r *claimRun) run() {
	r.end = r.now.Add(r.length)
	r.after(0, r.arrive)
	// What is under way at the end has two more seconds.
	for len(r.queue) > 0 && r.now.Before(r.end.Add(2*time.Second)) {
		next := heap.Pop(&r.queue).(timed)
		r.now = next.at
		next.do()
	}
}

// arrive submits one claim and schedules the next.
func (r *claimRun) arrive() {
	if r.now.After(r.end) {
		return
	}
	r.after(time.Duration(r.random.ExpFloat64()/claimsOffered*float64(time.Second)), r.arrive)
	r.lastID++
	id := r.lastID
	key := claim.KeyOf("team", fmt.Sprint("call ", id))
	shard := key.Shard(r.shards)
	store := shard % claimStores
	if r.random.IntN(1000) < r.elsewhere {
		store = r.random.IntN(claimStores)
	}
	r.started[id], r.claimed[id] = r.now, key
	r.step(store, shard, claim.ClaimSubmitted{ID: id, Key: key, Fingerprint: 1})
}

func (r *claimRun) step(store, shard int, event claim.Event) {
	for _, effect := range r.logs[store][shard].Step(r.now, event) {
		r.do(store, shard, effect)
	}
}

func (r *claimRun) do(store, shard int, effect claim.Effect) {
	switch e := effect.(type) {
	case claim.Read:
		r.get(shard, e.Segment, func(kv services.KeyValue, err error) {
			r.step(store, shard, claim.ReadResult{Op: e.Op, Value: kv.Value, Revision: kv.Revision, Err: err})
		})
	case claim.ReadBodies:
		r.get(shard, e.Segment, func(kv services.KeyValue, err error) {
			r.step(store, shard, claim.BodyResult{Segment: e.Segment, Value: kv.Value, Err: err})
		})
	case claim.Write:
		r.put(shard, e, func(revision services.Revision, err error) {
			r.step(store, shard, claim.WriteResult{Op: e.Op, Revision: revision, Err: err})
		})
	case claim.HandOver:
		r.handOver(store, shard, e)
	case claim.BatchDone:
		r.received[e.ID](e)
		delete(r.received, e.ID)
	case claim.Grant:
		r.grant(store, shard, e.ID)
	case claim.Answer:
		r.refused++
	case claim.Wake:
		r.wakes[store][shard]++
		wake := r.wakes[store][shard]
		r.after(e.At.Sub(r.now), func() {
			if wake == r.wakes[store][shard] {
				r.step(store, shard, claim.Tick{})
			}
		})
	}
}

// handOver carries a batch to another sidecar and its answer back.
func (r *claimRun) handOver(store, shard int, e claim.HandOver) {
	to, err := strconv.Atoi(e.To)
	if err != nil {
		panic(err)
	}
	r.handed++
	id := uint64(r.handed)
	r.received[id] = func(done claim.BatchDone) {
		r.after(sidecarHop, func() {
			r.step(store, shard, claim.HandOverResult{Op: e.Op, Appended: done.Appended, Err: done.Err})
		})
	}
	r.after(sidecarHop, func() { r.step(to, shard, claim.BatchReceived{ID: id, Batch: e.Batch}) })
}

func segmentKey(shard int, segment uint64) string { return fmt.Sprintf("%d/%d", shard, segment) }

func (r *claimRun) get(shard int, segment uint64, done func(services.KeyValue, error)) {
	r.reads++
	r.after(platformTrip/2, func() {
		kv, ok := r.keys[segmentKey(shard, segment)]
		var err error
		if !ok {
			err = services.ErrNotFound
		}
		r.after(platformTrip/2, func() { done(kv, err) })
	})
}

func (r *claimRun) put(shard int, w claim.Write, done func(services.Revision, error)) {
	r.after(platformTrip/2, func() {
		r.writes = append(r.writes, r.now)
		key := segmentKey(shard, w.Segment)
		if r.keys[key].Revision != w.Prev {
			r.after(platformTrip/2, func() { done(0, services.ErrConflict) })
			return
		}
		r.revision++
		revision := r.revision
		r.keys[key] = services.KeyValue{Key: key, Value: w.Value, Revision: revision}
		r.after(platformTrip/2, func() { done(revision, nil) })
	})
}

// grant lets the call run and stores its response.
func (r *claimRun) grant(store, shard int, id uint64) {
	r.granted++
	_ = r.latency.RecordValue(r.now.Sub(r.started[id]).Microseconds())
	key := r.claimed[id]
	delete(r.started, id)
	delete(r.claimed, id)
	r.after(callTime, func() {
		r.step(store, shard, claim.FinishSubmitted{Key: key, Response: claim.Response{Code: result.OK, Status: 200, Body: make([]byte, 200)}})
	})
}

// mostWrites is the largest number of writes in any second.
func (r *claimRun) mostWrites() int {
	most, first := 0, 0
	for i := range r.writes {
		for r.writes[i].Sub(r.writes[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (r *claimRun) figures(name string) []Figure {
	trips := func(quantile float64) float64 {
		return float64(r.latency.ValueAtQuantile(quantile)) / float64(platformTrip.Microseconds())
	}
	figures := []Figure{
		{Name: "granted per second", Value: float64(r.granted) / r.length.Seconds(), Unit: "1/s", Bound: claimsPerSecond, AtLeast: true},
		{Name: "most writes in a second", Value: float64(r.mostWrites()), Unit: "writes", Bound: maxClaimWrites},
		{Name: "added latency p99", Value: trips(99), Unit: "round trips", Bound: maxClaimTrips},
		{Name: "added latency p50", Value: trips(50), Unit: "round trips"},
		{Name: "batches handed over per second", Value: float64(r.handed) / r.length.Seconds(), Unit: "1/s"},
		{Name: "reads per second", Value: float64(r.reads) / r.length.Seconds(), Unit: "1/s"},
	}
	for i := range figures {
		figures[i].Measure, figures[i].Name = "claims", name+": "+figures[i].Name
		figures[i].Bounded = i < 3
	}
	return figures
}
