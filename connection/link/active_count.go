package link

import (
	"context"
	"sync"
)

// activeCount counts operations in progress and allows waiting until there are none. Unlike a sync.WaitGroup, it supports
// waiting with a context and may be increased during a wait.
type activeCount struct {
	mu sync.Mutex
	n  int
	// zero is closed when n becomes zero. It is nil while nobody waits.
	zero chan struct{}
}

func (c *activeCount) add(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += delta
	if c.n == 0 && c.zero != nil {
		close(c.zero)
		c.zero = nil
	}
}

func (c *activeCount) wait(ctx context.Context) error {
	c.mu.Lock()
	if c.n == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.zero == nil {
		c.zero = make(chan struct{})
	}
	zero := c.zero
	c.mu.Unlock()
	select {
	case <-zero:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
