package gateway

import (
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/event"
)

const (
	// defaultHeaderTimeout and defaultHeaderBytes bound a caller's headers. Those of the configuration are not applied: a running
	// net/http server cannot change them.
	defaultHeaderTimeout = 10 * time.Second
	defaultHeaderBytes   = 64 << 10
	// defaultIdleTimeout is how long a caller's connection without requests is kept until a configuration states it.
	defaultIdleTimeout = 60 * time.Second
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
		inner, err := net.Listen("tcp", l.address)
		if err != nil {
			event.Log(event.ListenerFailed, "address", l.address, "error", err)
			return trace.Wrap(err)
		}
		server := &http.Server{
			Handler:           l.handler,
			ReadHeaderTimeout: defaultHeaderTimeout,
			MaxHeaderBytes:    defaultHeaderBytes,
			ConnState:         g.calls.track,
			ErrorLog:          log.New(serverLog{}, "", 0),
		}
		listener := callerListener{inner}
		g.servers = append(g.servers, server)
		g.listeners = append(g.listeners, listener)
		g.work(func() { _ = server.Serve(listener) }) // ends when the listener or the server is closed
	}
	g.work(g.sweepIdle)
	return nil
}

// serverLog writes what net/http reports, such as a handler that panicked, as events.
type serverLog struct{}

// Write implements io.Writer.
func (serverLog) Write(text []byte) (int, error) {
	event.Sampled(event.ServerFault, "fault", strings.TrimSpace(string(text)))
	return len(text), nil
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
