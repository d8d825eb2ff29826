package link

import (
	"errors"
	"sync"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
)

// keepaliveMonitor checks a connection when its keepalive may be due: at the interval that the keepalive requests while
// requests are in progress, otherwise only when an idle connection is due. It holds a timer instead of a goroutine, because
// most connections of a process are idle.
type keepaliveMonitor struct {
	mu        sync.Mutex
	keepalive keepalive
	// timer is nil before the first check is scheduled and after the connection has ended.
	timer *time.Timer
	// due is the time since the connection's start at which the timer fires.
	due time.Duration
}

// newKeepalive uses longer intervals on the serving side: both by a quarter of the time between KeepaliveInterval and
// KeepaliveTimeout, and the idle interval by a KeepaliveInterval more. Otherwise both ends of a silent connection would probe at
// the same time, which doubles the control traffic.
func (c *Conn) newKeepalive() keepalive {
	k := keepalive{interval: c.cfg.KeepaliveInterval, idle: c.cfg.IdleInterval, timeout: c.cfg.KeepaliveTimeout}
	if c.server != nil {
		delay := (c.cfg.KeepaliveTimeout - c.cfg.KeepaliveInterval) / 4
		k.interval += delay
		// After a request, the idle check of the dialing side may be up to a KeepaliveInterval late.
		k.idle += delay + c.cfg.KeepaliveInterval
	}
	return k
}

// startMonitor schedules the first check.
func (c *Conn) startMonitor() {
	m := &c.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keepalive = c.newKeepalive()
	m.due = time.Since(c.start) + m.keepalive.interval
	m.timer = time.AfterFunc(m.keepalive.interval, c.runCheck)
}

// stopMonitor cancels the scheduled check.
func (c *Conn) stopMonitor() {
	m := &c.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timer != nil {
		m.timer.Stop()
		m.timer = nil
	}
}

// scheduleCheck schedules the next check within the keepalive interval, for a connection that may have been idle and is now in
// use. The caller must not hold c.mu, which a check acquires while it holds the monitor's lock.
func (c *Conn) scheduleCheck() {
	m := &c.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	due := time.Since(c.start) + m.keepalive.interval
	if m.timer != nil && due < m.due {
		m.due = due
		m.timer.Reset(m.keepalive.interval)
	}
}

// runCheck performs a check and ends the connection if the peer is considered lost.
func (c *Conn) runCheck() {
	if err := c.checkKeepalive(); err != nil {
		c.abort(err)
	}
}

// checkKeepalive performs the action that the keepalive decides on and schedules the next check. It returns an error if the
// peer is considered lost.
func (c *Conn) checkKeepalive() error {
	m := &c.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timer == nil {
		return nil
	}
	now, state := time.Since(c.start), c.activity()
	if !state.busy {
		c.out.stopIdleWriter()
	}
	action, wait := m.keepalive.next(now, time.Duration(c.lastReceived.Load()), state)
	switch action {
	case actionPing:
		pingsSent.Add(1)
		// A full control queue is about to be written, so the peer receives frames in any case.
		_ = c.out.pushControl(&wire.Ping{ConfigVersion: c.local().ConfigVersion})
	case actionClose:
		return errors.New("no frame received within the keepalive timeout")
	}
	m.due = now + wait
	m.timer.Reset(wait)
	return nil
}

// activity reports whether frames from the peer are expected, which is the case while requests are in progress and after Probe.
func (c *Conn) activity() activity {
	c.mu.Lock()
	defer c.mu.Unlock()
	requested := time.Duration(c.probeRequested.Load())
	if len(c.streams)+c.activeHandlers > 0 {
		return activity{busy: true, since: max(c.busySince, requested)}
	}
	return activity{busy: requested > time.Duration(c.lastReceived.Load()), since: requested}
}

// Probe ensures that an unresponsive peer is detected within Config.KeepaliveTimeout of the call although no request is in
// progress.
func (c *Conn) Probe() {
	c.probeRequested.Store(int64(time.Since(c.start)))
	c.scheduleCheck()
}
