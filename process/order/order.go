// Package order forwards orders to an upstream's engine and enforces their fencing tokens.
//
// Some engines refuse an order with an outdated fencing token, others ignore the token, so the sidecar checks it for all engines. The
// highest forwarded token is stored in the platform's key-value service and raised by compare-and-swap before an order is sent to the
// engine. A restarted sidecar, or two sidecars of one upstream, therefore never forward an order with a lower token than an earlier
// one. While the platform is unavailable no order is forwarded.
package order

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// Config configures a Gate.
type Config struct {
	// Freshness is the maximum time between writing the token and sending the order to the engine. A process that was paused for
	// longer repeats the check. Default 1 s; zero is invalid.
	Freshness time.Duration
	// Attempts is the maximum number of read and compare-and-swap cycles for one order. Default 5; zero is invalid.
	Attempts int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config { return Config{Freshness: time.Second, Attempts: 5} }

// Validate returns an error that names the first invalid field.
func (c Config) Validate() error {
	if c.Freshness <= 0 {
		return trace.BadParameter("Freshness is %v, must be positive", c.Freshness)
	}
	if c.Attempts <= 0 {
		return trace.BadParameter("Attempts is %d, must be positive", c.Attempts)
	}
	return nil
}

// Engine is the part of services.Engine that accepts orders.
type Engine interface {
	// Order sends an order to the engine; see services.Engine.
	Order(ctx context.Context, order services.Order) error
}

// Gate forwards the orders of one upstream, one at a time. It is safe for concurrent use.
type Gate struct {
	cfg       Config
	kv        services.KV
	engine    Engine
	key       string
	semaphore chan struct{}
	now       func() time.Time
}

// Key returns the key under which the highest fencing token that was forwarded to an upstream is stored.
func Key(upstream string) string { return "order/" + upstream }

// NewGate returns the gate of an upstream. With a nil kv it forwards no orders.
func NewGate(cfg Config, kv services.KV, engine Engine, upstream string) *Gate {
	return &Gate{cfg: cfg, kv: kv, engine: engine, key: Key(upstream), semaphore: make(chan struct{}, 1), now: time.Now}
}

// errPaused means that more than Config.Freshness passed between writing the token and sending the order.
var errPaused = errors.New("paused between check and order")

// Forward forwards an order to the engine unless an order with a higher fencing token was forwarded before. It blocks on the platform and
// the engine. The result is OK, StaleOrder, FenceUnknown if the highest token could not be determined, DeadlineBeforeRun if ctx ended
// while another order was in progress, or Unreachable, UpstreamError or UpstreamBroken if the engine failed.
func (g *Gate) Forward(ctx context.Context, order services.Order) (result.Code, error) {
	select {
	case g.semaphore <- struct{}{}:
		defer func() { <-g.semaphore }()
	case <-ctx.Done():
		return result.DeadlineBeforeRun, trace.Wrap(ctx.Err())
	}
	if g.kv == nil {
		return result.FenceUnknown, trace.NotFound("the sidecar has no key-value service")
	}
	var lastErr error
	for range g.cfg.Attempts {
		checked, stale, err := g.raiseFence(ctx, order.Fence)
		if stale {
			return result.StaleOrder, nil
		}
		if err == nil && g.now().Sub(checked) > g.cfg.Freshness {
			err = errPaused
		}
		if err == nil {
			return g.send(ctx, order)
		}
		lastErr = err
	}
	return result.FenceUnknown, trace.Wrap(lastErr)
}

// raiseFence stores the token unless a higher one is stored. It returns the time just before the write, the earliest time
// at which the check can have taken effect. A conflict or a lost answer is an error; another attempt reads the stored token again.
func (g *Gate) raiseFence(ctx context.Context, fence uint64) (checked time.Time, stale bool, err error) {
	kv, err := g.kv.Get(ctx, g.key)
	if err != nil && !errors.Is(err, services.ErrNotFound) {
		return time.Time{}, false, err
	}
	var highest uint64
	if len(kv.Value) == 8 {
		highest = binary.BigEndian.Uint64(kv.Value)
	}
	if fence < highest {
		return time.Time{}, true, nil
	}
	// An equal token is written again too, since only a successful compare-and-swap proves that the read was not stale.
	checked = g.now()
	_, err = g.kv.CompareAndSwap(ctx, g.key, kv.Revision, binary.BigEndian.AppendUint64(nil, fence), 0)
	return checked, false, err
}

func (g *Gate) send(ctx context.Context, order services.Order) (result.Code, error) {
	err := g.engine.Order(ctx, order)
	var status *services.StatusError
	switch {
	case err == nil:
		return result.OK, nil
	case errors.Is(err, services.ErrStaleFence):
		return result.StaleOrder, nil
	case errors.Is(err, services.ErrUnavailable):
		return result.Unreachable, trace.Wrap(err)
	case errors.As(err, &status):
		return result.UpstreamError, trace.Wrap(err)
	default:
		return result.UpstreamBroken, trace.Wrap(err)
	}
}
