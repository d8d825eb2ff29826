package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

// reply is the result of a Claim call.
type reply struct {
	decision Decision
	err      error
}

// message is an event for a shard. reply is set for a ClaimSubmitted and must have a buffer of one.
type message struct {
	event Event
	reply chan<- reply
	// done is set for a BatchReceived and must have a buffer of one.
	done chan<- BatchResult
}

// shard drives one Log. Its goroutine owns the log and never blocks on the network: calls run in goroutines of their own, of
// which the log has one in progress besides reads of bodies.
type shard struct {
	store  *Store
	number int
	prefix string
	log    *Log
	report *reporter
	inbox  chan message
	// done is closed when the goroutine has ended; no message is received from inbox after that.
	done    chan struct{}
	calls   sync.WaitGroup
	replies map[uint64]chan<- reply
	// received holds the reply channels for batches received from other stores.
	received map[uint64]chan<- BatchResult
	timer    *time.Timer
}

// send delivers a message to the shard, or returns false if the shard has ended.
func (s *shard) send(m message) bool {
	select {
	case s.inbox <- m:
		return true
	case <-s.done:
		return false
	}
}

// run handles events until the log is closed and idle, or the store's context ends.
func (s *shard) run(ctx context.Context) {
	defer s.calls.Wait()
	defer close(s.done)
	s.timer = time.NewTimer(time.Hour)
	defer s.timer.Stop()
	closing := false
	for {
		m := message{event: Tick{}}
		select {
		case m = <-s.inbox:
		case <-s.timer.C:
		case <-ctx.Done():
			s.handle(ctx, message{event: Closing{}})
			return
		}
		s.handle(ctx, m)
		if _, ok := m.event.(Closing); ok {
			closing = true
		}
		if closing && s.log.Idle() {
			return
		}
	}
}

func (s *shard) handle(ctx context.Context, m message) {
	if claim, ok := m.event.(ClaimSubmitted); ok {
		s.replies[claim.ID] = m.reply
	}
	if batch, ok := m.event.(BatchReceived); ok {
		s.received[batch.ID] = m.done
	}
	effects := s.log.Step(s.store.now(), m.event)
	if w, ok := m.event.(WriteResult); ok {
		s.report.callDone(w.Err, s.log.Settled())
	}
	if r, ok := m.event.(ReadResult); ok {
		s.report.callDone(r.Err, s.log.Settled())
	}
	for _, e := range effects {
		s.do(ctx, e)
	}
}

func (s *shard) do(ctx context.Context, e Effect) {
	switch e := e.(type) {
	case Read:
		s.call(ctx, func(ctx context.Context) Event {
			kv, err := s.get(ctx, e.Segment)
			return ReadResult{Op: e.Op, Value: kv.Value, Revision: kv.Revision, Err: err}
		})
	case Write:
		s.call(ctx, func(ctx context.Context) Event {
			revision, err := s.put(ctx, e)
			return WriteResult{Op: e.Op, Revision: revision, Err: err}
		})
	case ReadBodies:
		s.call(ctx, func(ctx context.Context) Event {
			kv, err := s.get(ctx, e.Segment)
			return BodyResult{Segment: e.Segment, Value: kv.Value, Err: err}
		})
	case Grant:
		s.reply(e.ID, reply{decision: Decision{Kind: Granted}})
	case Answer:
		s.report.claimAnswered(e)
		s.reply(e.ID, reply{decision: e.Decision, err: e.Err})
	case Forward:
		s.calls.Go(func() { s.forwardBatch(ctx, e) })
	case BatchResult:
		s.received[e.ID] <- e
		delete(s.received, e.ID)
	case Wake:
		s.timer.Reset(e.At.Sub(s.store.now()))
	}
}

func (s *shard) reply(id uint64, r reply) {
	s.replies[id] <- r
	delete(s.replies, id)
}

// call runs one call to the key-value service and sends its result to the shard.
func (s *shard) call(ctx context.Context, f func(context.Context) Event) {
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, s.store.cfg.PlatformTimeout)
		defer cancel()
		s.send(message{event: f(ctx)})
	})
}

// forwardBatch asks another store to append a batch and sends the reply to the shard.
func (s *shard) forwardBatch(ctx context.Context, e Forward) {
	ctx, cancel := context.WithTimeout(ctx, s.store.cfg.ForwardTimeout)
	defer cancel()
	result := ForwardResult{Op: e.Op, Err: errNoPeers}
	if s.store.peers != nil {
		result.Appended, result.Err = s.store.peers.Forward(ctx, e.To, s.number, e.Batch)
	}
	s.send(message{event: result})
}

func (s *shard) key(segment uint64) string { return fmt.Sprintf("%s/%012d", s.prefix, segment) }

func (s *shard) get(ctx context.Context, segment uint64) (services.KeyValue, error) {
	if err := s.ensureLayout(ctx); err != nil {
		return services.KeyValue{}, err
	}
	return s.store.kv.Get(ctx, s.key(segment))
}

func (s *shard) put(ctx context.Context, w Write) (services.Revision, error) {
	if err := s.ensureLayout(ctx); err != nil {
		return 0, err
	}
	return s.store.kv.CompareAndSwap(ctx, s.key(w.Segment), w.Prev, w.Value, 0)
}

// ensureLayout wraps every failure in ErrUnavailable and no other error of the service, because the shard's own call was not
// sent.
func (s *shard) ensureLayout(ctx context.Context) error {
	err := s.store.layout.ensure(ctx)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrLayout):
		return fmt.Errorf("%w: %w", services.ErrUnavailable, err)
	default:
		return fmt.Errorf("%w: reading the number of shards: %v", services.ErrUnavailable, err)
	}
}
