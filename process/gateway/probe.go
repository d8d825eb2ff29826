package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/upstream"
	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/request/forward"
)

const (
	// probeTick is the interval at which due probes are started.
	probeTick = 100 * time.Millisecond
	// probeTimeout is the timeout of one probe.
	probeTimeout = 500 * time.Millisecond
	// probeMaxIdle is the maximum idle time of a pooled connection that a probe may use. Zero makes it dial, since a probe must test whether
	// the upstream can be reached.
	probeMaxIdle = 0
)

// probe probes upstreams that are down until the gateway stops.
func (g *Gateway) probe() {
	for g.ctx.Err() == nil {
		for _, u := range g.balancer.ProbesDue(bootclock.Now()) {
			g.startWorker(func() { g.probeOne(u) })
		}
		sleep.For(g.ctx, probeTick)
	}
}

// probeOne probes an upstream and reports the result to the balancer.
func (g *Gateway) probeOne(u directory.Upstream) {
	v := g.view.Load()
	if v == nil {
		return
	}
	service := v.table.Service(u.Service)
	if service == nil {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	healthy, coldFor, err := g.checkHealth(ctx, u, service.HealthPath)
	if !healthy {
		coldFor = 0
	} else if coldFor == 0 && service.ColdDuration > 0 {
		// The upstream may have restarted without reporting that it is cold.
		coldFor = service.ColdDuration
	}
	if g.balancer.RecordProbe(bootclock.Now(), u, healthy, coldFor) {
		event.Log(event.UpstreamUp, "upstream", u.ID, "address", u.Address, "cold_ms", coldFor.Milliseconds())
		return
	}
	if err != nil && g.ctx.Err() == nil {
		event.LogSampled(event.ProbeFailed, "upstream", u.ID, "address", u.Address, "error", err)
	}
}

// checkHealth requests an upstream's health path. coldFor is the remaining time of the cold start that the upstream reports.
func (g *Gateway) checkHealth(ctx context.Context, u directory.Upstream, path string) (healthy bool, coldFor time.Duration, err error) {
	response, err := g.getFromUpstream(ctx, u, path, maxDrainBytes)
	if err != nil {
		return false, 0, err
	}
	coldFor, _ = forward.ParseMilliseconds(response.header, g.headers.ColdFor)
	return response.status == http.StatusOK && response.header.Get(g.headers.UpstreamID) == u.ID, coldFor, nil
}

// ownResponse is the response to a request of the gateway's own.
type ownResponse struct {
	status int
	header http.Header
	body   []byte
}

// getFromUpstream sends the gateway's own GET request to an upstream. The body of the response is truncated to maxBytes.
func (g *Gateway) getFromUpstream(ctx context.Context, u directory.Upstream, path string, maxBytes int64) (*ownResponse, error) {
	g.metrics.probes.Add(1)
	conn, err := g.pools.get(u.Address).Get(ctx, probeMaxIdle)
	if err != nil {
		return nil, err
	}
	response, err := upstream.Exchange(ctx, conn, &upstream.Request{
		Method: http.MethodGet, Target: path, Host: u.Address, Header: http.Header{"User-Agent": {""}}, IDHeader: g.headers.RequestID,
	})
	if err != nil {
		return nil, err
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if int64(len(body)) < maxBytes {
		response.MarkBodyRead()
	}
	return &ownResponse{response.Status, response.Header, body}, nil
}

// checkConnection tests whether an upstream still accepts connections after an attempt whose outcome is health.Broken. If it crashed, it is
// marked down immediately, instead of after further failed requests.
func (g *Gateway) checkConnection(u directory.Upstream) {
	g.startWorker(func() {
		ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
		defer cancel()
		err := g.pools.get(u.Address).Check(ctx)
		if err == nil || errors.Is(err, upstream.ErrTooManyConnections) || g.ctx.Err() != nil {
			return
		}
		if now := bootclock.Now(); g.balancer.Unreachable(now, &u) {
			g.handleDown(now, &u, "outcome", health.Unreachable.String(), "error", err)
		}
	})
}

// handleDown reports an upstream that went down to the crash tracker, closes its idle connections and logs it with further fields.
func (g *Gateway) handleDown(now time.Time, u *directory.Upstream, fields ...any) {
	g.crashes.recordDown(now, u)
	g.pools.get(u.Address).CloseIdle()
	event.Log(event.UpstreamDown, append([]any{"upstream", u.ID, "address", u.Address}, fields...)...)
}
