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
	// start anchors the store's clock: later steps of the system's clock do not move it, and keys do not expire early by them.
	start time.Time
	// abort ends the shards at once.
	abort context.CancelFunc
	wait  sync.WaitGroup
}

// Peers reaches the stores of other processes. A store calls it from goroutines of its own.
type Peers interface {
	// HandOver asks the store at address to append a batch to a shard, as with its method Append, and returns what that one
	// returned. It may block until ctx ends. An error wraps services.ErrUnavailable only if the other store has not appended the
	// batch and never will.
	HandOver(ctx context.Context, address string, shard int, batch []byte) (Appended, error)
}

// errNoPeers means that a store without Peers was to hand a batch over.
var errNoPeers = fmt.Errorf("%w: no connection to other stores", services.ErrUnavailable)

// Option changes a Store that NewStore makes.
type Option func(*Store)

// WithPeers lets the store hand batches over. Without it, it appends all its batches itself.
func WithPeers(p Peers) Option { return func(s *Store) { s.peers = p } }

// NewStore returns a store that keeps claims in kv. writer names the process in logs; the store draws its own unique writer id.
// It makes no call before the first claim. The caller closes the store.
func NewStore(kv services.KV, cfg Config, writer string, options ...Option) (*Store, error) {
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	if writer == "" {
		return nil, trace.BadParameter("writer is empty")
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
	// Read of crypto/rand never fails.
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
		received: map[uint64]chan<- BatchDone{},
	})
	return nil
}

// Claim asks for the right to run the call with this key. fingerprint is a hash of the request, by which a key that is used
// for another request is found. Claim blocks until the claim is decided, ctx ends or Config.ClaimTimeout has passed. The error
// is set only if the decision is Unavailable and says why.
func (s *Store) Claim(ctx context.Context, key Key, fingerprint uint64) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ClaimTimeout)
	defer cancel()
	if ctx.Err() != nil {
		return Decision{Kind: Unavailable}, trace.Wrap(ctx.Err())
	}
	shard := s.shardOf(key)
	id := s.lastID.Add(1)
	answer := make(chan reply, 1)
	if !shard.send(message{event: ClaimSubmitted{ID: id, Key: key, Fingerprint: fingerprint}, reply: answer}) {
		return Decision{Kind: Unavailable}, trace.Wrap(ErrClosed)
	}
	select {
	case r := <-answer:
		return r.decision, trace.Wrap(r.err)
	case <-ctx.Done():
	}
	// The shard decides whether the claim was granted first. It answers every claim that it took, at the latest when it ends.
	shard.send(message{event: ClaimCanceled{ID: id}})
	r := <-answer
	return r.decision, trace.Wrap(r.err)
}

// Finish stores the response of a call whose claim this store granted; it is ignored for any other key. Each grant is finished
// exactly once, with whatever result is known. It does not wait for the write: the response is lost if the process ends first, and the key is then in doubt. A result code whose outcome is
// result.NotRun says that the granted call was never handed over; the key is released, so that a retry may run.
func (s *Store) Finish(key Key, response Response) {
	s.shardOf(key).send(message{event: FinishSubmitted{Key: key, Response: response}})
}

// Append appends a batch that another process's store hands over to a shard. It blocks until the batch is in the log, this store has
// refused it, or ctx ends. An error wraps services.ErrUnavailable if the batch is not in the log by this store and never will be.
func (s *Store) Append(ctx context.Context, shard int, batch []byte) (Appended, error) {
	if shard < 0 || shard >= len(s.shards) {
		return Appended{}, fmt.Errorf("%w: there is no shard %d", services.ErrUnavailable, shard)
	}
	done := make(chan BatchDone, 1)
	if !s.shards[shard].send(message{event: BatchReceived{ID: s.lastID.Add(1), Batch: batch}, done: done}) {
		return Appended{}, fmt.Errorf("%w: %w", services.ErrUnavailable, ErrClosed)
	}
	select {
	case d := <-done:
		return d.Appended, d.Err
	case <-ctx.Done():
		return Appended{}, ctx.Err()
	}
}

// Close refuses claims that are not granted yet, writes the responses and releases that are left, and ends all goroutines. If ctx
// ends first the rest is not written, and Close returns the context's error.
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

func (s *Store) now() time.Time { return s.start.Add(time.Since(s.start)) }

func (s *Store) shardOf(key Key) *shard { return s.shards[key.Shard(len(s.shards))] }
