package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/bufferbudget"
	"github.com/jayridge/jayridge/process/event"
)

const (
	// defaultHeaderTimeout and defaultHeaderBytes limit the time and size of a request's headers. The limits in the configuration are not
	// applied, since a running net/http server cannot change them.
	defaultHeaderTimeout = 10 * time.Second
	defaultHeaderBytes   = 64 << 10
	// defaultIdleTimeout is the idle timeout of callers' connections if the configuration sets none.
	defaultIdleTimeout = 60 * time.Second
)

// listen opens the listeners and starts their servers.
func (g *Gateway) listen() error {
	ready := mux.NewRouter()
	ready.HandleFunc("/readyz", g.serveReady)
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", g.metrics)
	files := availableFiles(g.settings)
	readyGuard := newCallerGuard("ready", readyLimits(files), smallServing)
	metricsGuard := newCallerGuard("metrics", smallLimits(metricsConnections), smallServing)
	callersGuard := newCallerGuard("callers", callerLimits(g.settings, files), callerServing)
	for _, l := range []struct {
		address string
		handler http.Handler
		buffers *bufferbudget.Budget
		guard   *callerGuard
	}{
		{g.settings.ReadyAddress, smallHandler(ready), smallBudget(g.settings), readyGuard},
		{g.settings.MetricsAddress, smallHandler(metrics), smallBudget(g.settings), metricsGuard},
		{g.settings.CallersAddress, http.HandlerFunc(g.serveCaller), g.buffers, callersGuard},
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
			ConnState:         g.callers.track,
			BaseContext:       func(net.Listener) context.Context { return g.callsCtx },
			ConnContext:       withCallerConn,
			ErrorLog:          log.New(serverLog{}, "", 0),
		}
		listener := callerListener{inner, l.buffers, g.settings, l.guard}
		g.metrics.addGuard(l.guard)
		g.servers = append(g.servers, server)
		g.listeners = append(g.listeners, listener)
		g.startWorker(func() { _ = server.Serve(listener) }) // ends when the listener or the server is closed
	}
	g.startWorker(g.sweepIdle)
	return nil
}

// serverLog logs the errors that net/http reports, such as a handler's panic, as events.
type serverLog struct{}

// Write implements io.Writer.
func (serverLog) Write(text []byte) (int, error) {
	event.LogSampled(event.HTTPServerError, "fault", strings.TrimSpace(string(text)))
	return len(text), nil
}

// serveReady is the readiness check of the load balancer in front of the gateways.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := g.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// notReady returns the reason why the gateway is not ready for new callers, or "" if it is ready.
func (g *Gateway) notReady() string {
	switch {
	case g.leaving.Load():
		return "leaving"
	case g.view.Load() == nil:
		return "no configuration"
	case !g.acceptsKeys(g.configAge()):
		return "configuration out of date"
	default:
		return ""
	}
}
