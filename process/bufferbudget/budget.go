// Package bufferbudget divides the memory of a process for buffered messages among those that send them.
//
// Each message that is held in memory has a reservation, which grows as the message arrives. The sum of all reservations never exceeds the budget.
// If it is used up, owners that hold more than a fair share get no more, and messages that they are still sending are evicted in favour of owners
// that hold less. If all are within their shares, messages that have not grown for a while are evicted. Messages that were passed on are not evicted.
package bufferbudget

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// ErrNoRoom means that the budget has no room for more bytes of this owner now, or that the reservation was evicted.
var ErrNoRoom = trace.LimitExceeded("no memory for the message")

// Use is what buffered bytes are for. Each use has room that the others cannot take.
type Use uint8

// The uses of buffered bytes.
const (
	// Receiving is for messages of callers: heads, and bodies until the request has ended.
	Receiving Use = iota
	// Answering is for messages of upstreams: heads, bodies until they are delivered, and events.
	Answering

	uses
)

// Budget is a limit on the bytes that all reservations hold together. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ledger *ledger
	// freed is closed when a reservation that others wait for is released.
	freed chan struct{}
	// refusals and evictions are counted for the metrics.
	refusals, evictions int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{ledger: newLedger(limit), freed: make(chan struct{})} }

// Stats describes the state of a budget.
type Stats struct {
	// Limit is the budget in bytes, Reserved the sum of the reservations.
	Limit, Reserved int64
	// Refusals is the number of times that there was no room, Evictions the number of reservations that were evicted.
	Refusals, Evictions int64
}

// Stats returns the current state.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{b.ledger.limit, b.ledger.total, b.refusals, b.evictions}
}

// Reservation is the part of a budget that one message holds. Its methods may be called from one goroutine at a time; nil holds nothing and reserves
// without limit.
type Reservation struct {
	budget *Budget
	use    Use
	// released belongs to the goroutine that uses the reservation.
	released bool
	// owner, bytes, progress, evicted and evict are guarded by the budget's mutex. progress is the time of the latest growth.
	owner    string
	bytes    int64
	progress time.Time
	evicted  bool
	evict    func()
}

// Open returns an empty reservation of an owner, which is a team, the address of a caller, or an upstream. evict, unless it is nil, is called at most
// once, from another goroutine and without locks, if the message has to be given up: its receiver must soon call Release. The caller must call
// Release in any case.
func (b *Budget) Open(u Use, owner string, evict func()) *Reservation {
	r := &Reservation{budget: b, use: u, owner: owner, evict: evict}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.open(r)
	return r
}

// maxWait is the maximum time until evicted reservations are released, whose receivers only have to notice it.
const maxWait = 500 * time.Millisecond

// Reserve adds n bytes. It returns ErrNoRoom if there is no room. It waits while evicted reservations are being released, for maxWait at most and until
// ctx is done.
func (r *Reservation) Reserve(ctx context.Context, n int) error {
	if r == nil || n <= 0 {
		return nil
	}
	waited := false
	var expired <-chan time.Time
	for {
		freed, err := r.try(int64(n), &waited)
		if freed == nil {
			return err
		}
		if expired == nil {
			expired = time.After(maxWait)
		}
		select {
		case <-freed:
		case <-expired:
			r.stopWaiting()
			return trace.Wrap(ErrNoRoom, "evicted messages still hold it")
		case <-ctx.Done():
			r.stopWaiting()
			return trace.Wrap(ErrNoRoom, "%v", ctx.Err())
		}
	}
}

// try reserves n bytes. If room is being made, it returns a channel that is closed when there may be some. waited tells whether the reservation
// counts as waiting.
func (r *Reservation) try(n int64, waited *bool) (<-chan struct{}, error) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if *waited {
		b.ledger.wait(r, -1)
		*waited = false
	}
	decision, victims := b.ledger.reserve(time.Now(), r, n)
	for _, v := range victims {
		b.evictions++
		go v.evict()
	}
	switch decision {
	case granted:
		return nil, nil
	case pending:
		b.ledger.wait(r, 1)
		*waited = true
		return b.freed, nil
	default:
		b.refusals++
		return nil, trace.Wrap(ErrNoRoom)
	}
}

func (r *Reservation) stopWaiting() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.ledger.wait(r, -1)
	r.budget.refusals++
}

// Keep makes the reservation permanent until Release. It returns ErrNoRoom if the reservation has already been evicted.
func (r *Reservation) Keep() error {
	if r == nil {
		return nil
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.evict = nil
	if r.evicted {
		return trace.Wrap(ErrNoRoom)
	}
	return nil
}

// Assign makes another owner hold the bytes.
func (r *Reservation) Assign(owner string) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.ledger.assign(r, owner)
}

// Release returns all bytes. The reservation must not be used afterwards; further calls do nothing.
func (r *Reservation) Release() {
	if r == nil || r.released {
		return
	}
	r.released = true
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.close(r)
	if b.ledger.waiting > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}
