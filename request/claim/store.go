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

	"github.com/jayridge/jayridge/platform"
)

// Store decides the claims of one process for one service. It is safe for concurrent use.
type Store struct {
	kv     platform.KV
	cfg    Config
	layout *layout
	shards []*shard
	lastID atomic.Uint64
	// start anchors the store's clock: later steps of the system's clock do not move it, and keys do not expire early by them.
	start time.Time
	// abort ends the shards at once.
	abort context.CancelFunc
	wait  sync.WaitGroup
}

// NewStore returns a store that keeps claims in kv. writer names the process in logs; the store draws its own unique writer id.
// It makes no call before the first claim. The caller closes the store.
func NewStore(kv platform.KV, cfg Config, writer string) (*Store, error) {
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
		store:   s,
		prefix:  prefix,
		log:     log,
		report:  newReporter(prefix, writer),
		inbox:   make(chan message),
		done:    make(chan struct{}),
		replies: map[uint64]chan<- reply{},
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
