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
	// probeTick is the time between looks for upstreams to probe.
	probeTick = 100 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// probeIdle is how old a connection may be that a probe uses: none, since the way to the upstream is in question.
	probeIdle = 0
)

// probe asks upstreams that are down whether they are back.
func (g *Gateway) probe() {
	for g.ctx.Err() == nil {
		for _, u := range g.balancer.ProbesDue(bootclock.Now()) {
			g.work(func() { g.probeOne(u) })
		}
		sleep.For(g.ctx, probeTick)
	}
}

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
	well, coldFor, err := g.health(ctx, u, service.HealthPath)
	if !well {
		coldFor = 0
	} else if coldFor == 0 && service.ColdFor > 0 {
		// It may have restarted meanwhile and says nothing about it.
		coldFor = service.ColdFor
	}
	if g.balancer.Probed(bootclock.Now(), u, well, coldFor) {
		event.Log(event.UpstreamUp, "upstream", u.ID, "address", u.Address, "cold_ms", coldFor.Milliseconds())
		return
	}
	if err != nil && g.ctx.Err() == nil {
		event.Sampled(event.ProbeFailed, "upstream", u.ID, "address", u.Address, "error", err)
	}
}

// health asks an upstream for its health.
func (g *Gateway) health(ctx context.Context, u directory.Upstream, path string) (well bool, coldFor time.Duration, err error) {
	answer, err := g.ask(ctx, u, path, maxDrainBytes)
	if err != nil {
		return false, 0, err
	}
	coldFor, _ = forward.Milliseconds(answer.header, g.headers.ColdFor)
	return answer.status == http.StatusOK && answer.header.Get(g.headers.UpstreamID) == u.ID, coldFor, nil
}

// ask sends a request of the gateway's own to an upstream. maxBytes bounds the answer's body; what lies beyond is cut off.
func (g *Gateway) ask(ctx context.Context, u directory.Upstream, path string, maxBytes int64) (*reply, error) {
	g.metrics.probes.Add(1)
	conn, err := g.pools.get(u.Address).Get(ctx, probeIdle)
	if err != nil {
		return nil, err
	}
	answer, err := upstream.Exchange(ctx, conn, &upstream.Request{
		Method: http.MethodGet, Target: path, Host: u.Address, Header: http.Header{"User-Agent": {""}}, IDHeader: g.headers.RequestID,
	})
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBytes))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if int64(len(body)) < maxBytes {
		answer.Done()
	}
	return &reply{status: answer.Status, header: answer.Header, body: body}, nil
}

// check finds out whether an upstream whose answer broke off is still there. If it crashed, requests go elsewhere at once instead of
// finding out one by one.
func (g *Gateway) check(u directory.Upstream) {
	g.work(func() {
		ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
		defer cancel()
		err := g.pools.get(u.Address).Check(ctx)
		if err == nil || errors.Is(err, upstream.ErrTooManyConnections) || g.ctx.Err() != nil {
			return
		}
		if now := bootclock.Now(); g.balancer.Unreachable(now, &u) {
			g.wentDown(now, &u, "outcome", health.Unreachable.String(), "error", err)
		}
	})
}

// wentDown does what follows when an upstream is found down. why are further fields for the log.
func (g *Gateway) wentDown(now time.Time, u *directory.Upstream, why ...any) {
	g.crashes.gone(now, u)
	g.pools.get(u.Address).DropIdle()
	event.Log(event.UpstreamDown, append([]any{"upstream", u.ID, "address", u.Address}, why...)...)
}
