package link

import "math"

// chunkCost is what a chunk takes from the credit of its stream.
func chunkCost(data int) int64 { return int64(data) + ChunkOverheadBytes }

// sendCredit is the sending side of a stream's flow control.
type sendCredit struct {
	left int64
}

// grant adds the credit of a Window frame. It reports false if no honest peer can have granted so much.
func (c *sendCredit) grant(bytes uint32) bool {
	c.left += int64(bytes)
	return c.left <= math.MaxUint32
}

// take takes the cost of a chunk if the credit covers it.
func (c *sendCredit) take(data int) bool {
	cost := chunkCost(data)
	if cost > c.left {
		return false
	}
	c.left -= cost
	return true
}

// receiveWindow is the receiving side of a stream's flow control.
type receiveWindow struct {
	size int64
	// left is the credit that the sender still has; taken is what the caller took and the sender has not got back.
	left, taken int64
}

func newReceiveWindow(size uint32) receiveWindow {
	return receiveWindow{size: int64(size), left: int64(size)}
}

// receive notes a received chunk. It reports false if the sender had no credit for it.
func (w *receiveWindow) receive(data int) bool {
	w.left -= chunkCost(data)
	return w.left >= 0
}

// consume notes that the caller took a chunk and returns the credit to grant now, zero for none. Credit is granted in steps of
// half a window, which keeps Window frames rare.
func (w *receiveWindow) consume(data int) uint32 {
	w.taken += chunkCost(data)
	if w.taken < w.size/2 {
		return 0
	}
	grant := w.taken
	w.left += grant
	w.taken = 0
	return uint32(grant)
}
