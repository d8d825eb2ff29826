package link

import (
	"context"
	"sync"
)

// gauge counts things in progress and lets others wait until there are none. Unlike a sync.WaitGroup it may be waited for with
// a context and counted up during a wait.
type gauge struct {
	mu sync.Mutex
	n  int
	// zero is closed when n becomes zero. It is nil while nobody waits.
	zero chan struct{}
}

func (g *gauge) add(delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n += delta
	if g.n == 0 && g.zero != nil {
		close(g.zero)
		g.zero = nil
	}
}

func (g *gauge) wait(ctx context.Context) error {
	g.mu.Lock()
	if g.n == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.zero == nil {
		g.zero = make(chan struct{})
	}
	zero := g.zero
	g.mu.Unlock()
	select {
	case <-zero:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
