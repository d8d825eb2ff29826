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

// inFlightCalls tracks the calls with a claimed idempotency key that are running at this sidecar. It is safe for concurrent use.
type inFlightCalls struct {
	mu    sync.Mutex
	ended map[claim.Key]chan struct{}
}

// start registers a call and returns a function that must be called when the call has ended.
func (c *inFlightCalls) start(key claim.Key) (done func()) {
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

// await blocks until the call with the given key ends if it runs at this sidecar, and for the given time if not. It returns false if ctx is
// done first.
func (c *inFlightCalls) await(ctx context.Context, key claim.Key, wait time.Duration) bool {
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

// claimAndRun runs the request. A non-idempotent request with an idempotency key must claim the key first.
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

// Retry settings for a key whose first call has no result yet. The wait doubles after each retry.
const (
	initialClaimBackoff = 50 * time.Millisecond
	maxClaimRetries     = 5
)

// claim claims the key. If an earlier call holds the key and has no result yet, it retries with increasing waits, because callers
// often repeat a call while the first one is still running.
func (x *exchange) claim(ctx context.Context, key claim.Key) (claim.Decision, error) {
	wait := initialClaimBackoff
	for tries := 1; ; tries++ {
		decision, err := x.s.claims.Claim(ctx, key, x.callFingerprint())
		if decision.Kind != claim.InDoubt || tries > maxClaimRetries {
			return decision, err
		}
		if !x.s.calls.await(ctx, key, wait) {
			return decision, err
		}
		wait *= 2
	}
}

// callFingerprint returns a hash of method, path and body. It detects the reuse of an idempotency key for a different request.
func (x *exchange) callFingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(x.open.Method)
	_, _ = d.WriteString(" " + x.open.Path + "\n")
	_, _ = d.Write(x.open.Body)
	return d.Sum64()
}

// runClaimed runs a call whose key has been claimed and stores the result. The call is not canceled if the caller disconnects, but may run
// until its deadline, because the caller is expected to request the result with the same key.
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

// replay responds with the stored result of an earlier call with the same key. If the response body was not stored, it responds
// with AlreadyRun: the earlier call ran, this one did not, and the response body is not available.
func (x *exchange) replay(ctx context.Context, response claim.Response) wire.End {
	metrics.Add("claims_replayed", 1)
	if response.Truncated {
		return wire.End{Result: uint8(result.AlreadyRun), Status: response.Status}
	}
	if err := x.r.Write(ctx, response.Body); err != nil {
		return wire.End{Result: uint8(interruptedCode(ctx, err))}
	}
	return wire.End{Result: uint8(response.Code), Status: response.Status}
}
