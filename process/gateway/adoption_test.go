package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/version/routing"
)

// heldDecoder holds up the decoding of a configuration, which takes long if it is large and the machine small.
type heldDecoder struct {
	fakeDecoder
	hold atomic.Bool
	// begun gets a value when a decoding is held up, which goes on when release is closed.
	begun, release chan struct{}
}

func (d *heldDecoder) Decode(i mirror.Item) (DecodedItem, error) {
	if i.Key == "config" && d.hold.CompareAndSwap(true, false) {
		d.begun <- struct{}{}
		<-d.release
	}
	return d.fakeDecoder.Decode(i)
}

// Guards against judging requests by the former configuration as if it were current from the confirmation of the next one until that is in force:
// revoked keys were accepted, and new keys and routes denied.
func TestServe_ConfigurationBeingAdopted(t *testing.T) {
	for name, deliver := range map[string]func(g *Gateway, store *restoredStore, config routing.Config){
		"change": func(_ *Gateway, store *restoredStore, config routing.Config) {
			store.put("config", config)
			store.setDown(false)
		},
		"restored store": func(_ *Gateway, store *restoredStore, config routing.Config) {
			store.put("config", config)
			store.restore(store.content())
			store.setDown(false)
		},
		"neighbour's copy": func(g *Gateway, _ *restoredStore, config routing.Config) {
			text, err := json.Marshal(config)
			must.NoError(t, err)
			after, now := g.revision.Load(), bootclock.Now()
			item := mirror.Item{Key: "config", Value: text, Revision: after + 1}
			g.batches <- sourcedBatch{
				batch: mirror.Batch{Items: []mirror.Item{item}, Revision: after + 1, AsOf: now, ContactAt: now}, after: after, source: "three",
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, "a", succeed)
			f := newFixture(t, u)
			store := f.separateStore(u)
			decoder := &heldDecoder{begun: make(chan struct{}), release: make(chan struct{})}
			g, err := New(Options{Settings: f.settings("two"), Store: store, Decoder: decoder, Headers: testHeaders, Prompts: fakePrompts{}})
			must.NoError(t, err)
			must.NoError(t, g.Start())
			defer g.Stop(context.Background())
			f.waitReady(g)
			status := func(path, key string) int {
				return f.send(g, http.MethodPost, path, func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+key) }).status
			}
			must.EqOp(t, http.StatusOK, status("/book/1", "key"))

			store.setDown(true)
			f.eventually("keys are refused", func() bool { return status("/book/2", "key") == http.StatusServiceUnavailable })
			next := f.config
			next.Version = 2
			next.Teams = []routing.Team{{Name: "drivers", Keys: []string{"new"}}}
			next.Routes = append([]routing.Route{{
				Name: "added", Host: "a.test", PathPrefix: "/added/", MaxAttempts: 1, TrafficSplit: []routing.Share{{Service: "plain", Weight: 1}},
			}}, f.config.Routes...)
			decoder.hold.Store(true)
			deliver(g, store, next)
			<-decoder.begun
			ran := len(u.received())
			revoked, added, route := status("/book/3", "key"), status("/book/4", "new"), status("/added/5", "key")
			ready := g.notReady()
			close(decoder.release)
			const refused = http.StatusServiceUnavailable
			must.Eq(t, []int{refused, refused, refused}, []int{revoked, added, route}, must.Sprint("revoked key, new key, new route"))
			must.EqOp(t, "configuration out of date", ready)
			must.Len(t, ran, u.received())

			f.eventually("the configuration is in force", func() bool { return status("/book/6", "key") == http.StatusUnauthorized })
			must.EqOp(t, http.StatusOK, status("/added/7", "new"))
		})
	}
}
