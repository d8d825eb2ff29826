package link

import (
	"errors"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
)

// writePieceBytes is the most that one WriteTimeout applies to.
const writePieceBytes = 64 << 10

// writeLoop writes queued frames, everything that is queued at once, and probes a silent peer. It returns nil after the
// frames of an orderly close.
func (c *Conn) writeLoop() error {
	alive := c.newKeepalive()
	timer := time.NewTimer(alive.interval)
	defer timer.Stop()
	for {
		b, more := c.out.take()
		if err := c.writeBatch(b); err != nil {
			return err
		}
		if !more {
			return nil
		}
		select {
		case <-c.out.ready:
		case <-timer.C:
			wait, err := c.probe(&alive)
			if err != nil {
				return err
			}
			timer.Reset(wait)
		}
	}
}

// newKeepalive has longer intervals on the serving side, by a quarter of the time to the timeout: both ends of a silent connection
// would otherwise probe at the same moment, which doubles the control traffic.
func (c *Conn) newKeepalive() keepalive {
	alive := keepalive{interval: c.cfg.KeepaliveInterval, idle: c.cfg.IdleInterval, timeout: c.cfg.KeepaliveTimeout}
	if c.server != nil {
		later := (c.cfg.KeepaliveTimeout - c.cfg.KeepaliveInterval) / 4
		alive.interval += later
		// An idle connection is looked at once in an interval, so the dialing side may be late by as much.
		alive.idle += later + c.cfg.KeepaliveInterval
	}
	return alive
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
func (c *Conn) Probe() { c.probeAsked.Store(int64(time.Since(c.start))) }

// probe does what the keepalive decides and returns the time until it is to be asked again.
func (c *Conn) probe(alive *keepalive) (time.Duration, error) {
	what, wait := alive.next(time.Since(c.start), time.Duration(c.lastReceived.Load()), c.expected())
	switch what {
	case probePing:
		pingsSent.Add(1)
		// A full control queue is about to be written, so the peer hears from this end anyway.
		_ = c.out.pushControl(&wire.Ping{ConfigVersion: c.local().ConfigVersion})
	case probeLost:
		return 0, errors.New("no frame received within the keepalive timeout")
	}
	return wait, nil
}

func (c *Conn) writeBatch(b batch) error {
	if _, err := c.writeLane(b.control, true); err != nil {
		unsend(b.opens, 0)
		return err
	}
	written, err := c.writeLane(b.traffic, false)
	if err != nil {
		unsend(b.opens, written)
	}
	return err
}

// unsend notes which streams' Open frames did not leave this process, after written bytes of their lane did.
func unsend(opens []openMark, written int) {
	for _, mark := range opens {
		if mark.start >= written {
			mark.stream.sent.Store(false)
		}
	}
}

// writeLane writes the frames of one lane and returns the number of bytes that were handed to the network.
func (c *Conn) writeLane(l lane, control bool) (written int, err error) {
	for written < len(l.buf) {
		piece := l.buf[written:min(written+writePieceBytes, len(l.buf))]
		if err := c.nc.SetWriteDeadline(time.Now().Add(c.cfg.WriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.nc.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	c.stats.sent(control, l.frames, len(l.buf))
	putBuffer(l.buf)
	return written, nil
}
