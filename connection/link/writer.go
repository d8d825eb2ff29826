package link

import (
	"time"
)

// maxWriteBytes is the maximum size of a write, to which one WriteTimeout applies.
const maxWriteBytes = 64 << 10

// writeLoop writes all queued frames until none are queued and no request is in progress. The outbox starts it when a frame is
// queued, so that an idle connection needs no writer goroutine.
func (c *Conn) writeLoop() {
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
		if !c.out.waitForWork(c.activity().busy) {
			return
		}
	}
}

func (c *Conn) writeBatch(b batch) error {
	if _, err := c.writeQueue(b.control, true); err != nil {
		markUnsent(b.opens, 0)
		return err
	}
	written, err := c.writeQueue(b.traffic, false)
	if err != nil {
		markUnsent(b.opens, written)
	}
	return err
}

// markUnsent marks the streams whose Open frames did not leave this process, given the number of bytes of their queue that
// were written.
func markUnsent(opens []queuedOpen, written int) {
	for _, open := range opens {
		if open.start >= written {
			open.stream.sent.Store(false)
		}
	}
}

// writeQueue writes the frames of one queue and returns the number of bytes that were handed to the network.
func (c *Conn) writeQueue(q frameQueue, control bool) (written int, err error) {
	for written < len(q.buf) {
		piece := q.buf[written:min(written+maxWriteBytes, len(q.buf))]
		if err := c.nc.SetWriteDeadline(time.Now().Add(c.cfg.WriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.nc.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	c.stats.sent(control, q.frames, len(q.buf))
	putBuffer(q.buf)
	return written, nil
}
