package link

import (
	"context"
	"fmt"
	"sync"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/wire"
)

// hardLimitFactor times Config.QueueBytes of queued request frames close the connection.
const hardLimitFactor = 4

// outbox is the queue of a connection's writer. Control frames have a lane of their own, so that they neither wait behind
// the data of requests nor are lost to it.
type outbox struct {
	trafficLimit, controlLimit int

	// writers counts the writer, of which there is at most one.
	writers sync.WaitGroup

	mu sync.Mutex
	// write is the writer; nil before the connection runs. writing says that it has been started and has not come to rest. After
	// an orderly close or an error it stays set, because nothing is written any more.
	write   func()
	writing bool
	// ready wakes a writer that waits; it has a capacity of one. resting tells it to end instead of waiting.
	ready   chan struct{}
	resting bool
	control lane
	traffic lane
	// opens are the Open frames in the traffic lane, in order.
	opens []openMark
	// err is why no more frames are taken; frames that are queued already are still written.
	err error
	// space is closed when the writer takes the traffic lane. It is nil while nobody waits.
	space chan struct{}
}

// lane is a sequence of encoded frames.
type lane struct {
	buf    []byte
	frames int
}

// openMark is the place of a stream's Open frame, and the Window frame behind it, in the traffic lane.
type openMark struct {
	stream     *Stream
	start, end int
	frames     int
}

// batch is what the writer writes at once.
type batch struct {
	control, traffic lane
	opens            []openMark
}

func newOutbox(cfg Config) *outbox {
	return &outbox{trafficLimit: cfg.QueueBytes, controlLimit: cfg.ControlQueueBytes}
}

// pushControl queues a control frame or fails with ErrQueueFull.
func (o *outbox) pushControl(m wire.Message) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return o.err
	}
	if len(o.control.buf) >= o.controlLimit {
		controlQueueFull.Add(1)
		return trace.Wrap(ErrQueueFull)
	}
	return o.push(&o.control, wire.ControlStream, m)
}

// pushTraffic queues a request frame without waiting. Those who send much call waitSpace before.
func (o *outbox) pushTraffic(stream uint32, m wire.Message) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return o.err
	}
	return o.push(&o.traffic, stream, m)
}

func (o *outbox) push(l *lane, stream uint32, m wire.Message) error {
	if l.buf == nil {
		l.buf = getBuffer()
	}
	buf, err := wire.Append(l.buf, stream, m)
	if err != nil {
		return err
	}
	l.buf = buf
	l.frames++
	o.wake()
	return nil
}

// pushOpen queues the encoded Open and Window frames of a stream.
func (o *outbox) pushOpen(s *Stream, frames ...[]byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return o.err
	}
	if o.traffic.buf == nil {
		o.traffic.buf = getBuffer()
	}
	mark := openMark{stream: s, start: len(o.traffic.buf), frames: len(frames)}
	for _, frame := range frames {
		wire.SetStream(frame, s.number)
		o.traffic.buf = append(o.traffic.buf, frame...)
	}
	mark.end = len(o.traffic.buf)
	o.traffic.frames += mark.frames
	o.opens = append(o.opens, mark)
	o.wake()
	return nil
}

// withdraw removes the Open of a stream if the writer has not taken it. The peer then never sees the stream.
func (o *outbox) withdraw(s *Stream) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, mark := range o.opens {
		if mark.stream != s {
			continue
		}
		size := mark.end - mark.start
		o.traffic.buf = append(o.traffic.buf[:mark.start], o.traffic.buf[mark.end:]...)
		o.traffic.frames -= mark.frames
		o.opens = append(o.opens[:i], o.opens[i+1:]...)
		for j := i; j < len(o.opens); j++ {
			o.opens[j].start -= size
			o.opens[j].end -= size
		}
		return true
	}
	return false
}

// waitSpace waits until the traffic lane is below its limit. It fails when a context ends or no more frames are taken.
func (o *outbox) waitSpace(ctx, also context.Context) error {
	for {
		o.mu.Lock()
		if o.err != nil || len(o.traffic.buf) < o.trafficLimit {
			err := o.err
			o.mu.Unlock()
			return err
		}
		if o.space == nil {
			o.space = make(chan struct{})
		}
		space := o.space
		o.mu.Unlock()
		select {
		case <-space:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-also.Done():
			return trace.Wrap(also.Err())
		}
	}
}

// overflow returns an error if the peer makes this end queue far more than it reads.
func (o *outbox) overflow() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if limit := hardLimitFactor * o.trafficLimit; len(o.traffic.buf) > limit+wire.MaxFrameBytes {
		return fmt.Errorf("peer does not read: %d bytes are queued", len(o.traffic.buf))
	}
	return nil
}

// take returns all queued frames, and whether more may follow. The Opens among them count as sent from here on.
func (o *outbox) take() (b batch, more bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b = batch{control: o.control, traffic: o.traffic, opens: o.opens}
	o.control, o.traffic, o.opens = lane{}, lane{}, nil
	for _, mark := range b.opens {
		mark.stream.sent.Store(true)
	}
	o.release()
	return b, o.err == nil
}

// close makes every later push fail with err. The frames already queued remain, unless discard is set.
func (o *outbox) close(err error, discard bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = err
	}
	if discard {
		o.control, o.traffic, o.opens = lane{}, lane{}, nil
	}
	o.release()
	o.wake()
}

func (o *outbox) release() {
	if o.space != nil {
		close(o.space)
		o.space = nil
	}
}

// start lets the writer run whenever there is something to write, which may be already.
func (o *outbox) start(write func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.write = write
	if o.control.frames+o.traffic.frames > 0 || o.err != nil {
		o.wake()
	}
}

// wake starts the writer, or wakes it if it waits. The lock is held.
func (o *outbox) wake() {
	switch {
	case o.write == nil:
	case o.writing:
		o.signal()
	default:
		o.writing, o.resting = true, false
		if o.ready == nil {
			o.ready = make(chan struct{}, 1)
		}
		o.writers.Go(o.write)
	}
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// await waits until there may be something to write. It returns false if the writer is to end, which it does when nothing is queued and
// no request is in progress: it is started again for the next frame. During a request a waiting writer is cheaper than a new one for
// each chunk.
func (o *outbox) await(busy bool) bool {
	o.mu.Lock()
	switch {
	case o.control.frames+o.traffic.frames > 0 || o.err != nil:
		o.mu.Unlock()
		return true
	case !busy || o.resting:
		o.writing, o.ready = false, nil
		o.mu.Unlock()
		return false
	}
	ready := o.ready
	o.mu.Unlock()
	<-ready
	return true
}

// rest ends a writer that waits although no request is in progress any more.
func (o *outbox) rest() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.writing {
		o.resting = true
		o.signal()
	}
}

// Buffers are pooled across connections: a process holds thousands of connections, most of them idle.
var buffers = sync.Pool{New: func() any { return new(make([]byte, 0, 4<<10)) }}

func getBuffer() []byte { return (*buffers.Get().(*[]byte))[:0] }

func putBuffer(buf []byte) {
	// Larger buffers are rare, and would keep memory for a peak.
	if cap(buf) == 0 || cap(buf) > 1<<20 {
		return
	}
	buffers.Put(&buf)
}
