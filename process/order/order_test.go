package order

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/internal/standin/httpkv"
	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// uncheckedEngine accepts any fencing token, as some engines do.
type uncheckedEngine struct{ fences []uint64 }

func (e *uncheckedEngine) Order(_ context.Context, order services.Order) error {
	e.fences = append(e.fences, order.Fence)
	return nil
}

func newStore(t *testing.T) (*kv.Server, services.KV) {
	standin := kv.New()
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	store, err := httpkv.New(httpkv.DefaultConfig(server.URL))
	must.NoError(t, err)
	return standin, store
}

// An outdated order must not reach an engine that does not check tokens, under any combination of sidecar restarts, lost answers and stale
// reads.
func TestForward_TokensNeverDecrease(t *testing.T) {
	standin, store := newStore(t)
	rapid.Check(t, func(rt *rapid.T) {
		upstream := rapid.StringMatching(`[a-z]{16}`).Draw(rt, "upstream")
		engine := &uncheckedEngine{}
		gate := NewGate(DefaultConfig(), store, engine, upstream)
		for range rapid.IntRange(1, 12).Draw(rt, "orders") {
			standin.SetFaults(kv.Faults{
				LoseWrites: rapid.IntRange(0, 1).Draw(rt, "lost"), StaleReads: rapid.IntRange(0, 2).Draw(rt, "stale"),
			})
			if rapid.Bool().Draw(rt, "restart") {
				gate = NewGate(DefaultConfig(), store, engine, upstream)
			}
			fence := rapid.Uint64Range(1, 6).Draw(rt, "fence")
			before := len(engine.fences)
			code, _ := gate.Forward(context.Background(), services.Order{Kind: services.OrderSetRole, Fence: fence})
			if (code == result.OK) != (len(engine.fences) > before) {
				rt.Fatalf("%v, but the engine got %d orders", code, len(engine.fences)-before)
			}
		}
		for i := 1; i < len(engine.fences); i++ {
			if engine.fences[i] < engine.fences[i-1] {
				rt.Fatalf("token %d after %d", engine.fences[i], engine.fences[i-1])
			}
		}
	})
}

// A sidecar that was paused after its check must not forward its order if another sidecar forwarded a newer one in the meantime.
func TestForward_PausedAfterCheck(t *testing.T) {
	_, store := newStore(t)
	engine := &uncheckedEngine{}
	other := NewGate(DefaultConfig(), store, engine, "press-1")
	paused := NewGate(DefaultConfig(), store, engine, "press-1")
	calls := 0
	paused.now = func() time.Time {
		if calls++; calls == 2 {
			code, err := other.Forward(context.Background(), services.Order{Fence: 2})
			must.NoError(t, err)
			must.Eq(t, result.OK, code)
			return time.Now().Add(time.Minute)
		}
		return time.Now()
	}
	code, err := paused.Forward(context.Background(), services.Order{Fence: 1})
	must.NoError(t, err)
	must.Eq(t, result.StaleOrder, code)
	must.Eq(t, []uint64{2}, engine.fences)
}

// No order may be forwarded while the highest token cannot be determined.
func TestForward_PlatformDown(t *testing.T) {
	standin, store := newStore(t)
	standin.SetFaults(kv.Faults{Down: kv.DownUnavailable})
	engine := &uncheckedEngine{}
	code, err := NewGate(DefaultConfig(), store, engine, "press-1").Forward(context.Background(), services.Order{Fence: 9})
	must.Error(t, err)
	must.Eq(t, result.FenceUnknown, code)
	must.SliceEmpty(t, engine.fences)
}
