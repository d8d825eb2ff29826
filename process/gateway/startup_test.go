package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/services"
)

// delayedCopyStore is a store whose first copy takes until arrived is closed.
type delayedCopyStore struct {
	*fakeStore
	arrived chan struct{}
}

func (s *delayedCopyStore) Snapshot(ctx context.Context, prefix string, progress func(int)) (mirror.Batch, error) {
	select {
	case <-s.arrived:
		return s.fakeStore.Snapshot(ctx, prefix, progress)
	case <-ctx.Done():
		return mirror.Batch{}, services.ErrUnavailable
	}
}

// After a restart of all gateways, requests that came before the configuration were refused, and their retries too.
func TestServe_RequestBeforeFirstConfiguration(t *testing.T) {
	f := newFixture(t, newUpstream(t, "u", succeed))
	store := &delayedCopyStore{f.store, make(chan struct{})}
	g := f.startWith("two", store)
	served := make(chan int)
	go func() {
		served <- f.send(g, http.MethodGet, "/look/held", func(r *http.Request) { r.Header.Set("Test-Deadline", "16000") }).status
	}()
	f.eventually("request arrives", func() bool { return g.callers.requests.Load() == 1 })
	close(store.arrived)
	must.EqOp(t, http.StatusOK, <-served)
}

// A request is not held if the gateway knows that its configuration will not come soon.
func TestServe_RequestWithoutStoreIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, newUpstream(t, "u", succeed))
	f.store.setDown(true)
	g := f.startWith("two", f.store)
	f.eventually("the store is known to fail", g.storeFailing.Load)
	started := time.Now()
	response := f.send(g, http.MethodGet, "/look/refused", func(r *http.Request) { r.Header.Set("Test-Deadline", "60000") })
	must.EqOp(t, http.StatusServiceUnavailable, response.status)
	must.Less(t, startupTime, time.Since(started))
	must.NotEq(t, "", response.header.Get("Retry-After"))
}
