package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/queueing"
)

const (
	// queuePollInterval is the interval at which waiting requests are tried again while there are any. Places also become free by the passing of time
	// and by messages, which wake nobody. It bounds the error of the times for which requests wait.
	queuePollInterval = 2 * time.Millisecond
	// claimInterval is the minimum time between computations of the share of the free places. The loads of other gateways are known 200 ms late.
	claimInterval = 20 * time.Millisecond
	// maxTriedInOrder is the number of waiting requests of a service that are tried, in order, when those before them can use no place: an upstream
	// may have refused them before, or their regions or versions differ.
	maxTriedInOrder = 4
	// maxReportedServices bounds the services in a report of waiting requests.
	maxReportedServices = 16
)

// placeSeeker is a request that needs a place at an upstream.
type placeSeeker interface {
	// pick chooses an upstream and reserves capacity there, or returns nil. It is called with the lock of the service's queue held and must not
	// block. reserve is passed to the balancer.
	pick(now time.Time, reserve func(perSecond float64) float64) *balancer.Choice
	// hasCandidate reports whether an upstream is up that may get the request, regardless of its places.
	hasCandidate() bool
}

// placeRequest is what the order depends on.
type placeRequest struct {
	queueing.Request
	service string
	// plain means that the request describes no prompt.
	plain bool
}

// placeResult ends the wait of a request.
type placeResult struct {
	// choice is the upstream that was reserved, nil if the request is refused.
	choice     *balancer.Choice
	retryAfter time.Duration
	reason     queueing.Reason
}

// placeWaiter is a waiting request.
type placeWaiter struct {
	placeRequest
	seeker placeSeeker
	// done is called once with the result, with the lock of the queue held. It must not block.
	done func(placeResult)
}

// placeQueue is the queue of one service.
type placeQueue struct {
	owner   *placeQueues
	service string

	mu      sync.Mutex
	order   *queueing.Queue
	waiters map[uint64]*placeWaiter
	// claimedAt is the time at which the share of the free places was computed, zero if it is the equal one.
	claimedAt time.Time
	// now and current are the arguments of reserve, which is made once so that a decision allocates nothing.
	now     time.Time
	current placeRequest
	reserve func(perSecond float64) float64
	// waiting is the number of waiters, which can be read without the lock.
	waiting atomic.Int64
}

// placeQueues holds the queues of all services of a gateway. It is used without goroutines or clocks of its own.
type placeQueues struct {
	balancer *balancer.Balancer
	// gateways returns the number of gateways that share the upstreams.
	gateways func() int
	// enabled is set while requests may wait.
	enabled atomic.Bool
	// waiting is the number of waiting requests of all services. started is called when it becomes positive.
	waiting atomic.Int64
	started func()
	serial  atomic.Uint64
	// refusals counts refused requests by reason, waited the requests that waited and then got a place.
	refusals [16]atomic.Int64
	waited   atomic.Int64

	mu       sync.Mutex
	services map[string]*placeQueue
}

func newPlaceQueues(b *balancer.Balancer, gateways func() int, started func()) *placeQueues {
	return &placeQueues{
		balancer: b, gateways: gateways, started: started, services: make(map[string]*placeQueue),
	}
}

// setEnabled switches waiting on or off. Requests that wait when it is switched off are refused when their time is up.
func (qs *placeQueues) setEnabled(on bool) {
	qs.enabled.Store(on)
	qs.balancer.SetQueueing(on)
}

func serviceHash(service string) uint64 { return xxhash.Sum64String(service) }

// queue returns the queue of a service.
func (qs *placeQueues) queue(service string) *placeQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	q := qs.services[service]
	if q == nil {
		q = &placeQueue{owner: qs, service: service, order: queueing.New(queueing.DefaultConfig()), waiters: make(map[uint64]*placeWaiter)}
		q.reserve = func(perSecond float64) float64 {
			return q.order.Reserve(q.now, q.current.Priority, q.current.Team, perSecond)
		}
		qs.services[service] = q
	}
	return q
}

// all returns the queues of all services.
func (qs *placeQueues) all() []*placeQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	out := make([]*placeQueue, 0, len(qs.services))
	for _, q := range qs.services {
		out = append(out, q)
	}
	return out
}

// arrived records a new request.
func (q *placeQueue) arrived(now time.Time, r *placeRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.order.Arrived(now, r.Priority, r.Team)
}

// place returns a place for a request, or makes it wait and returns its ID, by which it can be withdrawn; done is then called with the result
// unless it is withdrawn. Both results are zero if the request is refused.
func (q *placeQueue) place(now time.Time, r placeRequest, seeker placeSeeker, done func(placeResult)) (got placeResult, waits uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	first := q.order.ComesFirst(now, r.Request)
	if first {
		if choice := q.pick(now, &r, seeker); choice != nil {
			return placeResult{choice: choice}, 0
		}
	}
	if !seeker.hasCandidate() {
		return placeResult{}, 0
	}
	r.ID = q.owner.serial.Add(1)
	var placeIn time.Duration
	if r.plain && first {
		placeIn = q.owner.balancer.PlaceIn(q.service)
	}
	decision := q.order.Offer(now, r.Request, placeIn)
	if decision.HasDisplaced {
		q.refuse(decision.Displaced)
	}
	if !decision.Wait {
		q.owner.refusals[decision.Reason].Add(1)
		return placeResult{retryAfter: decision.RetryAfter, reason: decision.Reason}, 0
	}
	q.waiters[r.ID] = &placeWaiter{placeRequest: r, seeker: seeker, done: done}
	q.count(1)
	return placeResult{}, r.ID
}

// count changes the number of waiting requests.
func (q *placeQueue) count(n int64) {
	q.waiting.Add(n)
	if q.owner.waiting.Add(n) == 1 && n > 0 && q.owner.started != nil {
		q.owner.started()
	}
}

// pick tries to get a place for a request that does not wait.
func (q *placeQueue) pick(now time.Time, r *placeRequest, seeker placeSeeker) *balancer.Choice {
	choice := q.try(now, r, seeker)
	if choice != nil && choice.Scarce {
		q.order.SentAtOnce(now, r.Priority, r.Team, r.Chat)
	}
	return choice
}

// try tries to get a place for a request. A place that more urgent requests need elsewhere is given up first.
func (q *placeQueue) try(now time.Time, r *placeRequest, seeker placeSeeker) *balancer.Choice {
	if q.order.Yields(now, r.Priority) {
		q.owner.balancer.Yield(q.service, r.plain)
	}
	q.now, q.current = now, *r
	return seeker.pick(now, q.reserve)
}

// refuse ends the wait of a request.
func (q *placeQueue) refuse(r queueing.Refusal) {
	w := q.waiters[r.ID]
	delete(q.waiters, r.ID)
	q.count(-1)
	q.owner.refusals[r.Reason].Add(1)
	w.done(placeResult{retryAfter: r.RetryAfter, reason: r.Reason})
}

// dispatch gives the places that are free to the waiting requests in order.
func (q *placeQueue) dispatch(now time.Time) {
	for _, r := range q.order.Expired(now) {
		q.refuse(r)
	}
	q.claim(now)
	for placed := true; placed && len(q.waiters) > 0; {
		placed = false
		for _, id := range q.order.Next(maxTriedInOrder) {
			w := q.waiters[id]
			choice := q.try(now, &w.placeRequest, w.seeker)
			if choice == nil {
				continue
			}
			q.order.Sent(now, id)
			delete(q.waiters, id)
			q.count(-1)
			q.owner.waited.Add(1)
			w.done(placeResult{choice: choice})
			placed = true
			break
		}
	}
}

// claim sets this gateway's share of the free places while requests wait.
func (q *placeQueue) claim(now time.Time) {
	if now.Sub(q.claimedAt) < claimInterval {
		return
	}
	q.claimedAt = now
	q.owner.balancer.SetClaim(q.service, q.order.FreeShare(now, q.owner.balancer.Free(now, q.service), q.owner.gateways()))
}

// withdraw ends the wait of a request without a result. It returns false if done was called.
func (q *placeQueue) withdraw(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters[id] == nil {
		return false
	}
	delete(q.waiters, id)
	q.order.Remove(id)
	q.count(-1)
	return true
}

// setPriority changes the priority of a waiting request.
func (q *placeQueue) setPriority(id uint64, priority int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w := q.waiters[id]; w != nil {
		w.Priority = queueing.Clamp(priority)
		q.order.SetPriority(id, priority)
	}
}

// freed gives the place of a request of this gateway that has ended to a waiting one. ran means that the request held a place of the upstream.
func (qs *placeQueues) freed(now time.Time, service string, ran bool) {
	if !qs.enabled.Load() {
		return
	}
	q := qs.queue(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	if ran {
		q.order.PlaceFree(now)
	}
	if len(q.waiters) > 0 {
		q.dispatch(now)
	}
}

// dispatch refuses the requests that have waited as long as they may, and gives the places that are free to the others.
func (qs *placeQueues) dispatch(now time.Time) {
	for _, q := range qs.all() {
		if q.waiting.Load() == 0 {
			continue
		}
		q.mu.Lock()
		q.dispatch(now)
		q.mu.Unlock()
	}
}

// takeReport returns the numbers of requests that waited since the last call.
func (qs *placeQueues) takeReport(now time.Time) []wire.ServiceWaiting {
	if !qs.enabled.Load() {
		return nil
	}
	var out []wire.ServiceWaiting
	for _, q := range qs.all() {
		q.mu.Lock()
		peaks, surging := q.order.TakePeaks(), q.order.Surging(now)
		q.mu.Unlock()
		var counts []uint16
		for class, n := range peaks {
			if n > 0 {
				counts = append(counts, make([]uint16, class+1-len(counts))...)
				counts[class] = uint16(min(n, 1<<16-1))
			}
		}
		if len(counts)+len(surging) > 0 && len(out) < maxReportedServices {
			out = append(out, wire.ServiceWaiting{Service: serviceHash(q.service), Counts: counts, Surging: surging})
		}
	}
	return out
}

// hear applies another gateway's report. Services that it does not name have nothing waiting there.
func (qs *placeQueues) hear(now time.Time, peer string, report []wire.ServiceWaiting) {
	if !qs.enabled.Load() {
		return
	}
	for _, q := range qs.all() {
		var waiting [queueing.Classes]int
		var surging []uint64
		for _, s := range report {
			if s.Service != serviceHash(q.service) {
				continue
			}
			surging = s.Surging
			for class, n := range s.Counts[:min(len(s.Counts), queueing.Classes)] {
				waiting[class] = int(n)
			}
		}
		q.mu.Lock()
		q.order.Hear(now, peer, waiting, surging, qs.gateways())
		if len(q.waiters) > 0 {
			q.dispatch(now)
		}
		q.mu.Unlock()
	}
}

// forget drops the reports of a gateway that is no longer connected.
func (qs *placeQueues) forget(peer string) {
	for _, q := range qs.all() {
		q.mu.Lock()
		q.order.Forget(peer)
		q.mu.Unlock()
	}
}
