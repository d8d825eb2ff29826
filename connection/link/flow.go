package link

import "math"

// chunkCost returns the credit that a chunk uses.
func chunkCost(data int) int64 { return int64(data) + ChunkOverheadBytes }

// sendCredit is the sender's state of a stream's flow control.
type sendCredit struct {
	available int64
}

// grant adds the credit of a Window frame. It returns false if the total exceeds what a correct peer can grant.
func (c *sendCredit) grant(bytes uint32) bool {
	c.available += int64(bytes)
	return c.available <= math.MaxUint32
}

// take deducts the cost of a chunk if the credit covers it.
func (c *sendCredit) take(data int) bool {
	cost := chunkCost(data)
	if cost > c.available {
		return false
	}
	c.available -= cost
	return true
}

// receiveWindow is the receiver's state of a stream's flow control.
type receiveWindow struct {
	size int64
	// senderCredit is the credit that the sender still has, consumed the credit of chunks that the caller has taken and that
	// was not yet granted again.
	senderCredit, consumed int64
}

func newReceiveWindow(size uint32) receiveWindow {
	return receiveWindow{size: int64(size), senderCredit: int64(size)}
}

// receive deducts the cost of a received chunk. It returns false if the sender had no credit for it.
func (w *receiveWindow) receive(data int) bool {
	w.senderCredit -= chunkCost(data)
	return w.senderCredit >= 0
}

// consume records that the caller has taken a chunk and returns the credit to grant now, or zero. Credit is granted in steps
// of half a window to limit the number of Window frames.
func (w *receiveWindow) consume(data int) uint32 {
	w.consumed += chunkCost(data)
	if w.consumed < w.size/2 {
		return 0
	}
	grant := w.consumed
	w.senderCredit += grant
	w.consumed = 0
	return uint32(grant)
}
