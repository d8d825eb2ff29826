package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// fakePeers connects the stores of one test.
type fakePeers struct {
	delay time.Duration

	mu     sync.Mutex
	stores map[string]*Store
	// fault, if set, runs on the way to a store and again on the way back.
	fault func(ctx context.Context, back bool) error
	calls atomic.Int32
}

func (p *fakePeers) open(t *testing.T, kv services.KV, name string) *Store {
	t.Helper()
	cfg := DefaultConfig("cards")
	cfg.Address = name
	s, err := NewStore(kv, cfg, name, WithPeers(p))
	must.NoError(t, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stores[name] = s
	return s
}

func (p *fakePeers) setFault(fault func(ctx context.Context, back bool) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

func (p *fakePeers) transmit(ctx context.Context, onReply bool) error {
	time.Sleep(p.delay)
	p.mu.Lock()
	fault := p.fault
	p.mu.Unlock()
	if fault == nil {
		return nil
	}
	return fault(ctx, onReply)
}

func (p *fakePeers) Forward(ctx context.Context, address string, shard int, batch []byte) (AppendResult, error) {
	p.calls.Add(1)
	p.mu.Lock()
	store := p.stores[address]
	p.mu.Unlock()
	if err := p.transmit(ctx, false); err != nil {
		return AppendResult{}, err
	}
	appended, err := store.Append(ctx, shard, batch)
	if lost := p.transmit(ctx, true); lost != nil {
		return AppendResult{}, lost
	}
	return appended, err
}

// A store must not wait too long, grant a key twice or lose responses when the leader to which it forwards batches is killed,
// paused or cut off, or the leader's replies are lost or late.
func TestStoreForward(t *testing.T) {
	refused := fmt.Errorf("connect: %w", services.ErrUnavailable)
	hang := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	for name, fault := range map[string]func(ctx context.Context, back bool) error{
		"working": nil,
		"killed":  func(context.Context, bool) error { return refused },
		"cut off": func(ctx context.Context, _ bool) error { return hang(ctx) },
		"reply lost": func(ctx context.Context, back bool) error {
			return map[bool]error{true: errors.New("connection lost")}[back]
		},
		"reply late": func(ctx context.Context, back bool) error {
			if back {
				return hang(ctx)
			}
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testForward(t, fault) })
		})
	}
}

func testForward(t *testing.T, fault func(ctx context.Context, onReply bool) error) {
	kv := newFakeKV(5 * time.Millisecond)
	peers := &fakePeers{delay: time.Millisecond, stores: map[string]*Store{}}
	first, second := peers.open(t, kv, "first"), peers.open(t, kv, "second")
	loadCtx, stopLoad := context.WithCancel(t.Context())
	var load sync.WaitGroup
	defer func() {
		stopLoad()
		load.Wait()
		must.NoError(t, second.Close(context.Background()))
		must.NoError(t, first.Close(context.Background()))
	}()
	load.Go(func() {
		for i := 0; loadCtx.Err() == nil; i++ {
			load.Go(func() { _, _ = first.Claim(t.Context(), KeyOf("load", fmt.Sprint(i)), 1) })
			time.Sleep(2 * time.Millisecond)
		}
	})
	time.Sleep(time.Second)
	for i := range 100 {
		if i == 30 {
			peers.setFault(fault)
		}
		if i == 60 {
			peers.setFault(nil)
		}
		key := KeyOf("team", fmt.Sprint(i))
		start := time.Now()
		must.Eq(t, Granted, claimKind(t, second, key))
		// A failed attempt to forward takes its full timeout, then some conflicts with the leader.
		must.Less(t, 600*time.Millisecond, time.Since(start))
		second.Finish(key, Response{Code: result.OK, Status: 200, Body: fmt.Append(nil, i)})
		time.Sleep(50 * time.Millisecond)
	}
	must.Greater(t, 60, peers.calls.Load())
	stopLoad()
	load.Wait()
	must.NoError(t, second.Close(t.Context()))
	for i := range 100 {
		d, err := first.Claim(t.Context(), KeyOf("team", fmt.Sprint(i)), 1)
		must.NoError(t, err)
		must.Eq(t, Finished, d.Kind)
		must.Eq(t, fmt.Sprint(i), string(d.Response.Body))
	}
}

// Writes of a store must not conflict every time because its attempts come at the same intervals as another store's writes. In
// one case 60 consecutive writes conflicted.
func TestStoreConflictsDoNotRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const trip, period = 5 * time.Millisecond, 10 * time.Millisecond
		kv := newFakeKV(trip)
		s := openStore(t, kv, nil)
		must.Eq(t, Granted, claimKind(t, s, KeyOf("team", "first")))
		stop := make(chan struct{})
		var otherWriter sync.WaitGroup
		otherWriter.Go(func() {
			time.Sleep(trip)
			for {
				kv.mu.Lock()
				for key, item := range kv.keys {
					kv.revision++
					item.Revision = kv.revision
					kv.keys[key] = item
				}
				kv.mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(period):
				}
			}
		})
		start := time.Now()
		for i := range 20 {
			must.Eq(t, Granted, claimKind(t, s, KeyOf("team", fmt.Sprint(i))))
		}
		must.Less(t, 20*200*time.Millisecond, time.Since(start))
		close(stop)
		otherWriter.Wait()
		must.NoError(t, s.Close(t.Context()))
	})
}
