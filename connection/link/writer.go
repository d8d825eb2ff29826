package link

import (
	"time"
)

// writePieceBytes is the most that one WriteTimeout applies to.
const writePieceBytes = 64 << 10

// write writes queued frames, everything that is queued at once, until there are none and no request is in progress. The
// outbox starts it when a frame is queued, so that an idle connection needs no goroutine for it.
func (c *Conn) write() {
	for {
		b, more := c.out.take()
		if err := c.writeBatch(b); err != nil {
			c.abort(err)
			return
		}
		if !more {
			c.closeWrite()
			return
		}
		if !c.out.await(c.expected().busy) {
			return
		}
	}
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
