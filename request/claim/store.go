package claim

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
)

// Store decides the claims of one process for one service. It is safe for concurrent use.
type Store struct {
	kv     services.KV
	cfg    Config
	layout *layout
	peers  Peers
	shards []*shard
	lastID atomic.Uint64
	// start is the base of the store's clock, which advances by the monotonic clock, so that steps of the system clock do not make
	// keys expire early.
	start time.Time
	// abort stops the shards immediately.
	abort context.CancelFunc
	wait  sync.WaitGroup
}

// Peers forwards batches to the stores of other processes. A store calls it from separate goroutines.
type Peers interface {
	// Forward asks the store at address to append a batch to a shard by its method Append, and returns the result. It may
	// block until ctx ends. An error wraps services.ErrUnavailable only if the other store has not appended the batch and
	// never will.
	Forward(ctx context.Context, address string, shard int, batch []byte) (AppendResult, error)
}

// errNoPeers is the result of forwarding a batch from a store without Peers.
var errNoPeers = fmt.Errorf("%w: this store cannot forward batches", services.ErrUnavailable)

// Option configures a Store created by NewStore.
type Option func(*Store)

// WithPeers lets the store forward batches to other stores. Without it, the store appends all its batches itself.
func WithPeers(p Peers) Option { return func(s *Store) { s.peers = p } }

// NewStore returns a store that keeps claims in kv. writer names the process in logs; the store generates its own unique
// writer id. It makes no call before the first claim. The caller must close the store.
func NewStore(kv services.KV, cfg Config, writer string, options ...Option) (*Store, error) {
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	if writer == "" {
		return nil, trace.BadParameter("writer name is empty")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Store{
		kv:     kv,
		cfg:    cfg,
		layout: &layout{kv: kv, key: "claims/" + cfg.Service + "/layout", shards: cfg.Shards},
		abort:  cancel,
		start:  time.Now(),
	}
	for _, option := range options {
		option(s)
	}
	var id WriterID
	// crypto/rand.Read never returns an error.
	_, _ = crand.Read(id[:])
	for number := range cfg.Shards {
		if err := s.addShard(number, id, writer); err != nil {
			cancel()
			return nil, trace.Wrap(err)
		}
	}
	for _, shard := range s.shards {
		s.wait.Go(func() { shard.run(ctx) })
	}
	return s, nil
}

func (s *Store) addShard(number int, id WriterID, writer string) error {
	log, err := NewLog(s.cfg, id, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return err
	}
	prefix := fmt.Sprintf("claims/%s/%04d", s.cfg.Service, number)
	s.shards = append(s.shards, &shard{
		store:    s,
		number:   number,
		prefix:   prefix,
		log:      log,
		report:   newReporter(prefix, writer),
		inbox:    make(chan message),
		done:     make(chan struct{}),
		replies:  map[uint64]chan<- reply{},
		received: map[uint64]chan<- BatchResult{},
	})
	return nil
}

// Claim asks for the right to run the call with this key. fingerprint is a hash of the request; it detects a key that is
// reused for a different request. Claim blocks until the claim is decided, ctx ends or Config.ClaimTimeout has passed. The
// error is set only if the decision is Unavailable, and gives the reason.
func (s *Store) Claim(ctx context.Context, key Key, fingerprint uint64) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ClaimTimeout)
	defer cancel()
	if ctx.Err() != nil {
		return Decision{Kind: Unavailable}, trace.Wrap(ctx.Err())
	}
	shard := s.shardOf(key)
	id := s.lastID.Add(1)
	replies := make(chan reply, 1)
	if !shard.send(message{event: ClaimSubmitted{ID: id, Key: key, Fingerprint: fingerprint}, reply: replies}) {
		return Decision{Kind: Unavailable}, trace.Wrap(ErrClosed)
	}
	select {
	case r := <-replies:
		return r.decision, trace.Wrap(r.err)
	case <-ctx.Done():
	}
	// The claim may have been granted just before, so the shard decides. It replies to every claim that it accepted, at the
	// latest when it ends.
	shard.send(message{event: ClaimCanceled{ID: id}})
	r := <-replies
	return r.decision, trace.Wrap(r.err)
}

// Finish stores the response of a call whose claim this store granted; it is ignored for any other key. Each grant must be
// finished exactly once, with whatever result is known. Finish does not wait for the write: if the process ends first, the
// response is lost and the key stays in doubt. A result code whose outcome is result.NotRun says that the granted call was
// never sent to the upstream; the key is released, so that a retry may run.
func (s *Store) Finish(key Key, response Response) {
	s.shardOf(key).send(message{event: FinishSubmitted{Key: key, Response: response}})
}

// Append appends a batch that another process's store forwards to a shard. It blocks until the batch is in the log, this store
// has refused it, or ctx ends. An error wraps services.ErrUnavailable if this store has not appended the batch and never will.
func (s *Store) Append(ctx context.Context, shard int, batch []byte) (AppendResult, error) {
	if shard < 0 || shard >= len(s.shards) {
		return AppendResult{}, fmt.Errorf("%w: shard %d does not exist", services.ErrUnavailable, shard)
	}
	done := make(chan BatchResult, 1)
	if !s.shards[shard].send(message{event: BatchReceived{ID: s.lastID.Add(1), Batch: batch}, done: done}) {
		return AppendResult{}, fmt.Errorf("%w: %w", services.ErrUnavailable, ErrClosed)
	}
	select {
	case d := <-done:
		return d.Appended, d.Err
	case <-ctx.Done():
		return AppendResult{}, ctx.Err()
	}
}

// Close refuses claims that are not granted yet, writes the remaining responses and releases, and ends all goroutines. If ctx
// ends first, the rest is not written and Close returns the context's error.
func (s *Store) Close(ctx context.Context) error {
	defer s.wait.Wait()
	defer s.abort()
	for _, shard := range s.shards {
		shard.send(message{event: Closing{}})
	}
	for _, shard := range s.shards {
		select {
		case <-shard.done:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
	return nil
}

// now returns the store's time, which advances by the monotonic clock.
func (s *Store) now() time.Time { return s.start.Add(time.Since(s.start)) }

func (s *Store) shardOf(key Key) *shard { return s.shards[key.Shard(len(s.shards))] }
