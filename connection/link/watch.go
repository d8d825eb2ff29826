package link

import (
	"errors"
	"sync"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
)

// watch looks at a connection when its keepalive may be due: while requests are in progress as often as the keepalive asks, else only
// when the idle connection is due. It holds a timer and no goroutine, because most connections of a process are idle.
type watch struct {
	mu    sync.Mutex
	alive keepalive
	// timer is nil before the first look is planned and after the end of the connection.
	timer *time.Timer
	// due is when the timer fires, since the connection's start.
	due time.Duration
}

// newKeepalive has longer intervals on the serving side, by a quarter of the time to the timeout: both ends of a silent connection
// would otherwise probe at the same moment, which doubles the control traffic.
func (c *Conn) newKeepalive() keepalive {
	alive := keepalive{interval: c.cfg.KeepaliveInterval, idle: c.cfg.IdleInterval, timeout: c.cfg.KeepaliveTimeout}
	if c.server != nil {
		later := (c.cfg.KeepaliveTimeout - c.cfg.KeepaliveInterval) / 4
		alive.interval += later
		// The dialing side may be late by an interval after a request.
		alive.idle += later + c.cfg.KeepaliveInterval
	}
	return alive
}

// startWatch plans the first look.
func (c *Conn) startWatch() {
	w := &c.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alive = c.newKeepalive()
	w.due = time.Since(c.start) + w.alive.interval
	w.timer = time.AfterFunc(w.alive.interval, c.look)
}

func (c *Conn) stopWatch() {
	w := &c.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// lookSoon plans the next look within the keepalive interval, for a connection that may have been idle and no longer is. The caller
// does not hold the lock of the connection, which a look takes while it holds that of the watch.
func (c *Conn) lookSoon() {
	w := &c.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	soon := time.Since(c.start) + w.alive.interval
	if w.timer != nil && soon < w.due {
		w.due = soon
		w.timer.Reset(w.alive.interval)
	}
}

// look does what the keepalive decides and plans the next look.
func (c *Conn) look() {
	if err := c.lookOnce(); err != nil {
		c.abort(err)
	}
}

func (c *Conn) lookOnce() error {
	w := &c.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return nil
	}
	now, expected := time.Since(c.start), c.expected()
	if !expected.busy {
		c.out.rest()
	}
	what, wait := w.alive.next(now, time.Duration(c.lastReceived.Load()), expected)
	switch what {
	case probePing:
		pingsSent.Add(1)
		// A full control queue is about to be written, so the peer hears from this end anyway.
		_ = c.out.pushControl(&wire.Ping{ConfigVersion: c.local().ConfigVersion})
	case probeLost:
		return errors.New("no frame received within the keepalive timeout")
	}
	w.due = now + wait
	w.timer.Reset(wait)
	return nil
}

// expected says whether frames of the peer are expected: while requests are in progress, and after Probe.
func (c *Conn) expected() expectation {
	c.mu.Lock()
	defer c.mu.Unlock()
	asked := time.Duration(c.probeAsked.Load())
	if len(c.streams)+c.handlers > 0 {
		return expectation{busy: true, since: max(c.busySince, asked)}
	}
	return expectation{busy: asked > time.Duration(c.lastReceived.Load()), since: asked}
}

// Probe makes sure that a peer which does not answer is noticed within Config.KeepaliveInterval and KeepaliveTimeout, although no
// request is in progress.
func (c *Conn) Probe() {
	c.probeAsked.Store(int64(time.Since(c.start)))
	c.lookSoon()
}
