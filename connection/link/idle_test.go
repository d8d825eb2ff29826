package link

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/request/result"
)

// writerStopped reports whether a connection has no writer goroutine.
func writerStopped(c *Conn) bool {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	return !c.out.writerRunning
}

// An idle connection must not keep a writer goroutine, of which an entry would hold thousands, and must not be checked at the
// busy interval. A request on it must be written although the writer has ended.
func TestIdleConnectionHoldsNoWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := DefaultConfig()
		server, dial := startServer(t, cfg, &testHandler{open: func(ctx context.Context, open *wire.Open, r *Responder) {
			time.Sleep(time.Second)
			echo(ctx, open, r)
		}})
		c := newClient(t, dial(), cfg)
		for i := range byte(3) {
			s, err := c.Open(t.Context(), testOpen(i, "body"))
			must.NoError(t, err)
			synctest.Wait()
			must.False(t, writerStopped(c), must.Sprint("a writer waits while a request is in progress"))
			data, code, err := collect(s)
			must.NoError(t, err)
			must.EqOp(t, result.OK, code)
			must.EqOp(t, "bodyend", data)
			time.Sleep(2 * cfg.KeepaliveInterval)
			synctest.Wait()
			must.True(t, writerStopped(c))
			must.True(t, writerStopped(server.Conns()[0]))
			must.Greater(t, time.Since(c.start)+cfg.KeepaliveInterval, c.monitor.due, must.Sprint("an idle connection is not checked before its idle interval"))
		}
	})
}

// Measures the keepalive check that a request on an idle connection schedules within the keepalive interval.
func BenchmarkKeepaliveCheckAfterRequest(b *testing.B) {
	near, far := net.Pipe()
	s := NewServer(DefaultConfig(), testHello("server"), &testHandler{})
	s.accept(far)
	c, err := Client(b.Context(), near, DefaultConfig(), testHello("client"), &testHandler{})
	must.NoError(b, err)
	for b.Loop() {
		c.monitor.due = time.Hour
		c.scheduleCheck()
		must.NoError(b, c.checkKeepalive())
	}
	_ = c.Close()
	<-c.Done()
	_ = s.Close()
}
