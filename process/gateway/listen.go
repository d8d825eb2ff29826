package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/event"
)

const (
	// defaultHeaderTimeout and defaultHeaderBytes bound a caller's headers. Those of the configuration are not applied: a running
	// net/http server cannot change them.
	defaultHeaderTimeout = 10 * time.Second
	defaultHeaderBytes   = 64 << 10
	// defaultIdleTimeout is how long a caller's connection without requests is kept until a configuration states it.
	defaultIdleTimeout = 60 * time.Second
	// idleSweep is the time between looks for idle connections.
	idleSweep = 500 * time.Millisecond
	// drainPoll is the time between looks whether all requests have ended.
	drainPoll = 20 * time.Millisecond
)

// listen opens the listeners and serves them.
func (g *Gateway) listen() error {
	ready := mux.NewRouter()
	ready.HandleFunc("/readyz", g.serveReady)
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", g.metrics)
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{g.settings.ReadyAddress, ready},
		{g.settings.MetricsAddress, metrics},
		{g.settings.CallersAddress, http.HandlerFunc(g.serveCaller)},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			event.Log(event.ListenerFailed, "address", l.address, "error", err)
			return trace.Wrap(err)
		}
		server := &http.Server{
			Handler:           l.handler,
			ReadHeaderTimeout: defaultHeaderTimeout,
			MaxHeaderBytes:    defaultHeaderBytes,
			ConnState:         g.calls.track,
			// Faults of single connections are the callers' own and would fill the log.
			ErrorLog: log.New(io.Discard, "", 0),
		}
		g.servers = append(g.servers, server)
		g.work(func() { _ = server.Serve(listener) }) // ends when the server is closed
	}
	g.work(g.sweepIdle)
	return nil
}

// serveReady tells the balancer whether the gateway takes callers.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := g.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// notReady says why the gateway takes no new callers, or "".
func (g *Gateway) notReady() string {
	switch {
	case g.leaving.Load():
		return "leaving"
	case g.view.Load() == nil:
		return "no configuration"
	case !g.keysCurrent():
		return "configuration out of date"
	default:
		return ""
	}
}

// callers are the connections and requests of callers.
type callers struct {
	requests atomic.Int64

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

func newCallers() *callers { return &callers{idle: make(map[net.Conn]time.Time)} }

// track implements http.Server.ConnState. The server's own idle timeout cannot change while it runs.
func (c *callers) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[conn] = time.Now()
		return
	}
	delete(c.idle, conn)
}

// sweepIdle closes connections that have been idle for longer than the configuration says.
func (g *Gateway) sweepIdle() {
	for g.ctx.Err() == nil {
		sleep.For(g.ctx, idleSweep)
		limit := defaultIdleTimeout
		if v := g.view.Load(); v != nil && v.table.Limits().IdleTimeout > 0 {
			limit = v.table.Limits().IdleTimeout
		}
		g.calls.closeIdle(limit)
	}
}

func (c *callers) closeIdle(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idle {
		if time.Since(since) > limit {
			delete(c.idle, conn)
			_ = conn.Close() // the server notices and forgets the connection
		}
	}
}

// drain closes the listeners and idle connections and waits for the requests in progress.
func (c *callers) drain(ctx context.Context, servers []*http.Server) error {
	for _, s := range servers {
		closing, cancel := context.WithCancel(ctx)
		cancel()
		// With an ended context, Shutdown closes what is idle and does not wait.
		_ = s.Shutdown(closing)
	}
	for c.requests.Load() > 0 {
		if err := ctx.Err(); err != nil {
			return trace.Wrap(err, "%d requests in progress", c.requests.Load())
		}
		sleep.For(ctx, drainPoll)
	}
	return nil
}
