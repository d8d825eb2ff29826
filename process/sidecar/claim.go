package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/request/claim"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/rules"
)

// claimedCalls are the claimed calls in progress at this sidecar. It may be used by any goroutine.
type claimedCalls struct {
	mu    sync.Mutex
	ended map[claim.Key]chan struct{}
}

// start notes a call and returns what is to be called when it has ended.
func (c *claimedCalls) start(key claim.Key) (done func()) {
	ended := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == nil {
		c.ended = map[claim.Key]chan struct{}{}
	}
	c.ended[key] = ended
	return func() {
		c.mu.Lock()
		delete(c.ended, key)
		c.mu.Unlock()
		close(ended)
	}
}

// await waits until the call with the key has ended here, or for a while if it runs elsewhere. It reports false if ctx ends first.
func (c *claimedCalls) await(ctx context.Context, key claim.Key, wait time.Duration) bool {
	c.mu.Lock()
	ended := c.ended[key]
	c.mu.Unlock()
	var elapsed <-chan time.Time
	if ended == nil {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		elapsed = timer.C
	}
	select {
	case <-ended:
		return true
	case <-elapsed:
		return true
	case <-ctx.Done():
		return false
	}
}

// claimAndRun runs the request, after a claim if the rules do not call its route idempotent and it has a key.
func (x *exchange) claimAndRun(ctx context.Context, route rules.Route) wire.End {
	if route.Idempotent || x.open.IdempotencyKey == "" {
		end, _ := x.run(ctx)
		return end
	}
	if x.s.claims == nil {
		return wire.End{Result: uint8(result.ClaimUnavailable)}
	}
	key := claim.KeyOf(x.open.Team, x.open.IdempotencyKey)
	decision, err := x.claim(ctx, key)
	switch decision.Kind {
	case claim.Granted:
		return x.runClaimed(ctx, key)
	case claim.Finished:
		return x.replay(ctx, decision.Response)
	case claim.InDoubt:
		return wire.End{Result: uint8(result.AlreadyClaimed)}
	case claim.KeyReused:
		return wire.End{Result: uint8(result.BadRequest), Reason: "the idempotency key belongs to another request"}
	default:
		reason := ""
		if err != nil {
			reason = err.Error()
		}
		return wire.End{Result: uint8(result.ClaimUnavailable), Reason: reason}
	}
}

// Waits for the result of an earlier call with the same key.
const (
	firstClaimWait = 50 * time.Millisecond
	maxClaimWaits  = 5
)

// claim claims the key. If an earlier call with the key has no result yet, it waits a while for that result: callers often send a call
// again while the first one still runs.
func (x *exchange) claim(ctx context.Context, key claim.Key) (claim.Decision, error) {
	wait := firstClaimWait
	for tries := 1; ; tries++ {
		decision, err := x.s.claims.Claim(ctx, key, x.fingerprint())
		if decision.Kind != claim.InDoubt || tries > maxClaimWaits {
			return decision, err
		}
		if !x.s.calls.await(ctx, key, wait) {
			return decision, err
		}
		wait *= 2
	}
}

// fingerprint tells two requests with the same idempotency key apart.
func (x *exchange) fingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(x.open.Method)
	_, _ = d.WriteString(" " + x.open.Path + "\n")
	_, _ = d.Write(x.open.Body)
	return d.Sum64()
}

// runClaimed runs a call whose key was granted to it and stores its result. The call goes on until its deadline when the caller leaves or
// its connection breaks: the caller will ask for the result with the same key.
func (x *exchange) runClaimed(ctx context.Context, key claim.Key) wire.End {
	done := x.s.calls.start(key)
	defer done()
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	end, body := x.run(ctx)
	x.s.claims.Finish(key, claim.Response{Code: result.Code(end.Result), Status: end.Status, Body: body})
	return end
}

// replay answers with the stored result of an earlier call with the same key. A caller that sent the key before learns that its
// call did not run a second time from the code alone when the answer is not kept.
func (x *exchange) replay(ctx context.Context, response claim.Response) wire.End {
	metrics.Add("claims_replayed", 1)
	if response.Truncated {
		return wire.End{Result: uint8(result.AlreadyRun), Status: response.Status}
	}
	if err := x.r.Write(ctx, response.Body); err != nil {
		return wire.End{Result: uint8(interrupted(ctx, err))}
	}
	return wire.End{Result: uint8(response.Code), Status: response.Status}
}
