package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newTestPool returns a pool of connections to a listener that accepts and keeps them, with a limit on connections.
func newTestPool(t *testing.T, limit int) *Pool {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	p := NewPool(listener.Addr().String(), DefaultConfig())
	p.SetLimit(limit)
	t.Cleanup(p.Close)
	return p
}

func TestGet_LimitReachedByUsedConnections(t *testing.T) {
	p := newTestPool(t, 2)
	ctx := context.Background()
	for range 2 {
		c, err := p.Dial(ctx)
		must.NoError(t, err)
		defer c.returnToPool()
	}
	_, err := p.Get(ctx, time.Minute)
	must.ErrorIs(t, err, ErrTooManyConnections)
}

// Connections that have been idle for too long for a request must not keep it from getting one.
func TestGet_LimitReachedByOldIdleConnections(t *testing.T) {
	p := newTestPool(t, 2)
	ctx := context.Background()
	first, err := p.Dial(ctx)
	must.NoError(t, err)
	second, err := p.Dial(ctx)
	must.NoError(t, err)
	first.returnToPool()
	second.returnToPool()
	time.Sleep(2 * time.Millisecond)
	for range 2 {
		c, err := p.Get(ctx, time.Millisecond)
		must.NoError(t, err)
		must.False(t, c.Reused())
		defer c.Close()
	}
	_, err = p.Get(ctx, time.Millisecond)
	must.ErrorIs(t, err, ErrTooManyConnections)
}
