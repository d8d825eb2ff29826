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

// Offered load, latencies of the simulated platform, and targets.
const (
	claimsPerSecond = 3000
	// offeredClaimsPerSecond exceeds claimsPerSecond a little, because the claims arrive at random.
	offeredClaimsPerSecond = 3060
	claimSidecars          = 3
	platformRoundTrip      = 5 * time.Millisecond
	// sidecarLatency is the one-way latency of a message between two sidecars.
	sidecarLatency     = time.Millisecond
	callDuration       = 20 * time.Millisecond
	maxClaimRoundTrips = 3
	maxClaimWrites     = 300
)

// measureClaims measures the rate of granted claims, the writes to the platform, and the latency that a claim adds. It runs the real state
// machines of three sidecars against a key-value service whose calls take 5 ms and take effect halfway.
func measureClaims(o Options) []Figure {
	seconds := 30
	if o.Short {
		seconds = 5
	}
	var figures []Figure
	for _, strayPerMille := range []int{0, 50} {
		r := newClaimRun(o.Seed, strayPerMille, time.Duration(seconds)*time.Second)
		r.run()
		name := "each shard at its first sidecar"
		if strayPerMille > 0 {
			name = "one claim in twenty at another sidecar"
		}
		figures = append(figures, r.figures(name)...)
	}
	return figures
}

// claimRun simulates the claims of one service in virtual time.
type claimRun struct {
	random        *rand.Rand
	duration      time.Duration
	strayPerMille int
	shards        int
	now           time.Time
	end           time.Time
	queue         claimQueue
	// logs is indexed by sidecar and shard.
	logs        [][]*claim.Log
	wakeCounts  [][]int
	segments    map[string]services.KeyValue
	writeTimes  []time.Time
	reads       int
	revision    services.Revision
	submitTimes map[uint64]time.Time
	keysByID    map[uint64]claim.Key
	lastID      uint64
	granted     int
	forwarded   int
	refused     int
	latency     *hdrhistogram.Histogram
	// pendingBatches has the callbacks that deliver the results of forwarded batches to the sidecars that forwarded them.
	pendingBatches map[uint64]func(claim.BatchResult)
}

// claimEvent is a call at a virtual time.
type claimEvent struct {
	at   time.Time
	call func()
	// sequence orders events of the same time by their creation.
	sequence int
}

type claimQueue []claimEvent

func (q claimQueue) Len() int      { return len(q) }
func (q claimQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *claimQueue) Push(x any)   { *q = append(*q, x.(claimEvent)) }
func (q claimQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q *claimQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newClaimRun(seed uint64, strayPerMille int, duration time.Duration) *claimRun {
	cfg := claim.DefaultConfig("cards")
	r := &claimRun{
		random: rand.New(rand.NewPCG(seed, uint64(strayPerMille))), duration: duration, strayPerMille: strayPerMille, shards: cfg.Shards,
		now: time.Unix(1_800_000_000, 0), segments: map[string]services.KeyValue{}, submitTimes: map[uint64]time.Time{}, keysByID: map[uint64]claim.Key{},
		latency: hdrhistogram.New(1, 10_000_000, 3), pendingBatches: map[uint64]func(claim.BatchResult){},
	}
	for sidecar := range claimSidecars {
		var logs []*claim.Log
		cfg.Address = strconv.Itoa(sidecar)
		for range cfg.Shards {
			log, err := claim.NewLog(cfg, claim.WriterID{byte(sidecar + 1)}, rand.New(rand.NewPCG(seed, uint64(sidecar))))
			if err != nil {
				panic(err)
			}
			logs = append(logs, log)
		}
		r.logs = append(r.logs, logs)
		r.wakeCounts = append(r.wakeCounts, make([]int, cfg.Shards))
	}
	return r
}

func (r *claimRun) schedule(d time.Duration, call func()) {
	r.lastID++
	heap.Push(&r.queue, claimEvent{at: r.now.Add(d), call: call, sequence: int(r.lastID)})
}

func (r *claimRun) run() {
	r.end = r.now.Add(r.duration)
	r.schedule(0, r.submitClaim)
	// Claims in progress at the end get two more seconds.
	for len(r.queue) > 0 && r.now.Before(r.end.Add(2*time.Second)) {
		next := heap.Pop(&r.queue).(claimEvent)
		r.now = next.at
		next.call()
	}
}

// submitClaim submits one claim and schedules the next.
func (r *claimRun) submitClaim() {
	if r.now.After(r.end) {
		return
	}
	r.schedule(time.Duration(r.random.ExpFloat64()/offeredClaimsPerSecond*float64(time.Second)), r.submitClaim)
	r.lastID++
	id := r.lastID
	key := claim.KeyOf("team", fmt.Sprint("call ", id))
	shard := key.Shard(r.shards)
	sidecar := shard % claimSidecars
	if r.random.IntN(1000) < r.strayPerMille {
		sidecar = r.random.IntN(claimSidecars)
	}
	r.submitTimes[id], r.keysByID[id] = r.now, key
	r.step(sidecar, shard, claim.ClaimSubmitted{ID: id, Key: key, Fingerprint: 1})
}

func (r *claimRun) step(sidecar, shard int, event claim.Event) {
	for _, effect := range r.logs[sidecar][shard].Step(r.now, event) {
		r.applyEffect(sidecar, shard, effect)
	}
}

func (r *claimRun) applyEffect(sidecar, shard int, effect claim.Effect) {
	switch e := effect.(type) {
	case claim.Read:
		r.get(shard, e.Segment, func(kv services.KeyValue, err error) {
			r.step(sidecar, shard, claim.ReadResult{Op: e.Op, Value: kv.Value, Revision: kv.Revision, Err: err})
		})
	case claim.ReadBodies:
		r.get(shard, e.Segment, func(kv services.KeyValue, err error) {
			r.step(sidecar, shard, claim.BodyResult{Segment: e.Segment, Value: kv.Value, Err: err})
		})
	case claim.Write:
		r.put(shard, e, func(revision services.Revision, err error) {
			r.step(sidecar, shard, claim.WriteResult{Op: e.Op, Revision: revision, Err: err})
		})
	case claim.Forward:
		r.forwardBatch(sidecar, shard, e)
	case claim.BatchResult:
		r.pendingBatches[e.ID](e)
		delete(r.pendingBatches, e.ID)
	case claim.Grant:
		r.grant(sidecar, shard, e.ID)
	case claim.Answer:
		r.refused++
	case claim.Wake:
		r.wakeCounts[sidecar][shard]++
		wake := r.wakeCounts[sidecar][shard]
		r.schedule(e.At.Sub(r.now), func() {
			if wake == r.wakeCounts[sidecar][shard] {
				r.step(sidecar, shard, claim.Tick{})
			}
		})
	}
}

// forwardBatch delivers a batch to another sidecar and its result back.
func (r *claimRun) forwardBatch(sidecar, shard int, e claim.Forward) {
	to, err := strconv.Atoi(e.To)
	if err != nil {
		panic(err)
	}
	r.forwarded++
	id := uint64(r.forwarded)
	r.pendingBatches[id] = func(done claim.BatchResult) {
		r.schedule(sidecarLatency, func() {
			r.step(sidecar, shard, claim.ForwardResult{Op: e.Op, Appended: done.Appended, Err: done.Err})
		})
	}
	r.schedule(sidecarLatency, func() { r.step(to, shard, claim.BatchReceived{ID: id, Batch: e.Batch}) })
}

func segmentKey(shard int, segment uint64) string { return fmt.Sprintf("%d/%d", shard, segment) }

func (r *claimRun) get(shard int, segment uint64, done func(services.KeyValue, error)) {
	r.reads++
	r.schedule(platformRoundTrip/2, func() {
		kv, ok := r.segments[segmentKey(shard, segment)]
		var err error
		if !ok {
			err = services.ErrNotFound
		}
		r.schedule(platformRoundTrip/2, func() { done(kv, err) })
	})
}

func (r *claimRun) put(shard int, w claim.Write, done func(services.Revision, error)) {
	r.schedule(platformRoundTrip/2, func() {
		r.writeTimes = append(r.writeTimes, r.now)
		key := segmentKey(shard, w.Segment)
		if r.segments[key].Revision != w.Prev {
			r.schedule(platformRoundTrip/2, func() { done(0, services.ErrConflict) })
			return
		}
		r.revision++
		revision := r.revision
		r.segments[key] = services.KeyValue{Key: key, Value: w.Value, Revision: revision}
		r.schedule(platformRoundTrip/2, func() { done(revision, nil) })
	})
}

// grant records the latency of a claim and submits the response of its call after callDuration.
func (r *claimRun) grant(sidecar, shard int, id uint64) {
	r.granted++
	_ = r.latency.RecordValue(r.now.Sub(r.submitTimes[id]).Microseconds())
	key := r.keysByID[id]
	delete(r.submitTimes, id)
	delete(r.keysByID, id)
	r.schedule(callDuration, func() {
		r.step(sidecar, shard, claim.FinishSubmitted{Key: key, Response: claim.Response{Code: result.OK, Status: 200, Body: make([]byte, 200)}})
	})
}

// maxWritesPerSecond returns the largest number of writes within any second.
func (r *claimRun) maxWritesPerSecond() int {
	most, first := 0, 0
	for i := range r.writeTimes {
		for r.writeTimes[i].Sub(r.writeTimes[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (r *claimRun) figures(name string) []Figure {
	trips := func(quantile float64) float64 {
		return float64(r.latency.ValueAtQuantile(quantile)) / float64(platformRoundTrip.Microseconds())
	}
	figures := []Figure{
		{Name: "granted per second", Value: float64(r.granted) / r.duration.Seconds(), Unit: "1/s", Bound: claimsPerSecond, AtLeast: true},
		{Name: "most writes in a second", Value: float64(r.maxWritesPerSecond()), Unit: "writes", Bound: maxClaimWrites},
		{Name: "added latency p99", Value: trips(99), Unit: "round trips", Bound: maxClaimRoundTrips},
		{Name: "added latency p50", Value: trips(50), Unit: "round trips"},
		{Name: "batches handed over per second", Value: float64(r.forwarded) / r.duration.Seconds(), Unit: "1/s"},
		{Name: "reads per second", Value: float64(r.reads) / r.duration.Seconds(), Unit: "1/s"},
	}
	for i := range figures {
		figures[i].Measure, figures[i].Name = "claims", name+": "+figures[i].Name
		figures[i].Bounded = i < 3
	}
	return figures
}
