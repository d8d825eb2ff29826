package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/request/placement"
	"github.com/jayridge/jayridge/version/routing"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newModelBalancer(cacheTokens int, names ...string) *Balancer {
	b := New(DefaultConfig("here"))
	var ups []directory.Upstream
	for _, name := range names {
		ups = append(ups, directory.Upstream{Entry: directory.Entry{ID: name, Service: "model", DataCentre: "here", Slots: 64}})
	}
	service := &routing.Service{Name: "model", Slots: 64, CacheTokens: cacheTokens, MaxColdRate: 10, ColdDuration: 3 * time.Second}
	b.SetUpstreams(ups, nil, func(string) *routing.Service { return service })
	return b
}

// Peers whose cache models are too small for the announced parts must not send each other the same parts forever, which used all CPU time
// of a fleet after a restart.
func TestHolderUpdates_ExchangeEnds(t *testing.T) {
	peers := []*Balancer{newModelBalancer(1000, "a"), newModelBalancer(1000, "a")}
	for i := range 50 {
		peers[0].AddHolder(at(0), Holder{"a", []placement.Part{{ID: uint64(i + 1), Tokens: 100}}})
	}
	messages := 0
	for round := range 20 {
		for i, p := range peers {
			for _, h := range p.TakeHolderUpdates() {
				messages++
				peers[1-i].AddHolder(at(100*round), h)
			}
		}
	}
	must.LessEq(t, 100, messages)
}

// Only new parts must be sent to the peers, and each only once.
func TestHolderUpdates_OnlyNewParts(t *testing.T) {
	b := newModelBalancer(100_000, "a")
	first := placement.Part{ID: 1, Tokens: 10}
	b.AddHolder(at(0), Holder{"a", []placement.Part{first}})
	b.AddHolder(at(1), Holder{"a", []placement.Part{first, {ID: 2, Tokens: 20}}})
	b.AddHolder(at(2), Holder{"b", []placement.Part{first}})
	must.Eq(t, "[{a [{1 10}]} {a [{2 20}]}]", fmt.Sprint(b.TakeHolderUpdates()))
	must.SliceEmpty(t, b.TakeHolderUpdates())
}
