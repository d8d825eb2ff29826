package gateway

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/bufferbudget"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/queueing"
	"github.com/jayridge/jayridge/request/result"
)

const (
	// maxLatency is the largest latency that the histograms record. Callers wait for seconds at most.
	maxLatency = 60 * time.Second
	// latencyDigits is the number of significant decimal digits of the histograms. With two a histogram takes less than 10 KB.
	latencyDigits = 2
)

// metrics holds the gateway's counters, which never decrease, and its latency histograms.
type metrics struct {
	results       [256]atomic.Int64
	attempts      atomic.Int64
	dials         atomic.Int64
	probes        atomic.Int64
	storeFailures atomic.Int64
	// storeBytes counts the bytes of items in complete responses of the store, peerCopyBytes those received from peers.
	storeBytes, peerCopyBytes atomic.Int64
	// outcomesDropped counts outcomes that were not reported to a rollout because its queue was full.
	outcomesDropped atomic.Int64
	// usage is nil if usage is not reported.
	usage *usageDuty
	// scale is nil if the number of upstreams is not ordered.
	scale *scaleDuty
	// loadsMalformed counts load headers of which a part or all was ignored.
	loadsMalformed atomic.Int64
	buffers        *bufferbudget.Budget
	balancer       *balancer.Balancer
	places         *placeQueues

	mu sync.Mutex
	// guards are those of the listeners.
	guards []*callerGuard
	// latency is the time to the complete response of requests without streams, firstEvent the time to the first event of streams, both in
	// microseconds.
	latency, firstEvent *hdrhistogram.Histogram
	// waited is the time for which requests waited for a place, in microseconds.
	waited *hdrhistogram.Histogram
}

func newMetrics(buffers *bufferbudget.Budget, b *balancer.Balancer, places *placeQueues) *metrics {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits) }
	return &metrics{buffers: buffers, balancer: b, places: places, latency: histogram(), firstEvent: histogram(), waited: histogram()}
}

func (m *metrics) addGuard(g *callerGuard) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.guards = append(m.guards, g)
}

func (m *metrics) countResult(code result.Code) { m.results[code].Add(1) }

func (m *metrics) record(h *hdrhistogram.Histogram, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds())) // cannot fail, the value is clamped to the range
}

// write writes one "name value" line per metric.
func (m *metrics) write(w io.Writer) {
	line := func(name string, value int64) { _, _ = fmt.Fprintf(w, "%s %d\n", name, value) } // fails only if the client has disconnected
	for _, info := range result.All() {
		if n := m.results[info.Code].Load(); n > 0 {
			line("jayridge_requests_total{result=\""+info.Name+"\"}", n)
		}
	}
	line("jayridge_attempts_total", m.attempts.Load())
	line("jayridge_upstream_connections_total", m.dials.Load())
	line("jayridge_probes_total", m.probes.Load())
	line("jayridge_store_failures_total", m.storeFailures.Load())
	line("jayridge_store_bytes_total", m.storeBytes.Load())
	line("jayridge_peer_copy_bytes_total", m.peerCopyBytes.Load())
	line("jayridge_rollout_outcomes_dropped_total", m.outcomesDropped.Load())
	line("jayridge_load_headers_malformed_total", m.loadsMalformed.Load())
	line("jayridge_log_lines_dropped_total", event.Dropped())
	m.usage.writeMetrics(line)
	m.scale.writeMetrics(line)
	buffers := m.buffers.Stats()
	line("jayridge_buffer_limit_bytes", buffers.Limit)
	line("jayridge_buffer_bytes", buffers.Reserved)
	line("jayridge_buffer_refusals_total", buffers.Refusals)
	line("jayridge_buffer_evictions_total", buffers.Evictions)
	m.writeCapacities(line)
	for _, q := range m.places.all() {
		line("jayridge_waiting_requests{service=\""+q.service+"\"}", q.waiting.Load())
	}
	line("jayridge_places_after_wait_total", m.places.waited.Load())
	for _, r := range queueing.Reasons() {
		line("jayridge_place_refusals_total{reason=\""+r.String()+"\"}", m.places.refusals[r].Load())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, g := range m.guards {
		line("jayridge_caller_connections{listener=\""+g.name+"\"}", int64(g.connections()))
		for reason := range closedReasons {
			if n := g.closed[reason].Load(); n > 0 {
				line(fmt.Sprintf("jayridge_caller_connections_closed_total{listener=%q,reason=%q}", g.name, reason), n)
			}
		}
	}
	for name, h := range map[string]*hdrhistogram.Histogram{"answer": m.latency, "first_event": m.firstEvent, "wait": m.waited} {
		for _, q := range []float64{50, 95, 99, 100} {
			line(fmt.Sprintf("jayridge_%s_microseconds{quantile=\"%g\"}", name, q/100), h.ValueAtQuantile(q))
		}
		line("jayridge_"+name+"_count", h.TotalCount())
	}
}

// maxCapacityMetrics is the maximum number of upstreams whose estimates are written: those that differ most from the typical one.
const maxCapacityMetrics = 50

func (m *metrics) writeCapacities(line func(name string, value int64)) {
	estimates, ignored := m.balancer.CapacityStatus(bootclock.Now(), maxCapacityMetrics)
	for _, c := range estimates {
		line(fmt.Sprintf("jayridge_upstream_speed_percent{upstream=%q}", c.ID), int64(math.Round(100*c.Speed)))
		line(fmt.Sprintf("jayridge_upstream_useful_load{upstream=%q}", c.ID), int64(c.UsefulLoad))
	}
	line("jayridge_peer_capacities_ignored_total", int64(ignored))
}

// ServeHTTP implements http.Handler.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.write(w)
}
