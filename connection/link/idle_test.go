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

// resting says whether a connection has no writer goroutine.
func resting(c *Conn) bool {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	return !c.out.writing
}

// Guards against idle connections that keep a writer goroutine, of which an entry would hold thousands, against ones that are looked at
// although nothing happens, and against a request that is not written because the writer has ended.
func TestIdleConnectionHoldsNoWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := DefaultConfig()
		server, dial := serve(t, cfg, &answers{open: func(ctx context.Context, open *wire.Open, r *Responder) {
			time.Sleep(time.Second)
			echo(ctx, open, r)
		}})
		c := client(t, dial(), cfg)
		for i := range byte(3) {
			s, err := c.Open(t.Context(), openOf(i, "body"))
			must.NoError(t, err)
			synctest.Wait()
			must.False(t, resting(c), must.Sprint("a writer waits while a request is in progress"))
			data, code, err := collect(s)
			must.NoError(t, err)
			must.EqOp(t, result.OK, code)
			must.EqOp(t, "bodyend", data)
			time.Sleep(2 * cfg.KeepaliveInterval)
			synctest.Wait()
			must.True(t, resting(c))
			must.True(t, resting(server.Conns()[0]))
			must.Greater(t, time.Since(c.start)+cfg.KeepaliveInterval, c.watch.due, must.Sprint("an idle connection is not looked at"))
		}
	})
}

// The time is printed for the record: a request on an idle connection plans a look, which follows within the keepalive interval.
func BenchmarkLookAfterRequest(b *testing.B) {
	near, far := net.Pipe()
	s := NewServer(DefaultConfig(), helloOf("server"), &answers{})
	s.accept(far)
	c, err := Client(b.Context(), near, DefaultConfig(), helloOf("client"), &answers{})
	must.NoError(b, err)
	for b.Loop() {
		c.watch.due = time.Hour
		c.lookSoon()
		must.NoError(b, c.lookOnce())
	}
	_ = c.Close()
	<-c.Done()
	_ = s.Close()
}
