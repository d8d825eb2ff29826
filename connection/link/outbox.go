package link

import (
	"context"
	"fmt"
	"sync"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/wire"
)

// hardLimitFactor times Config.QueueBytes, plus one frame, is the hard limit of queued request frames in bytes. The serving side
// checks it at each Open and closes a connection that exceeds it.
const hardLimitFactor = 4

// outbox is the send queue of a connection. Control frames have a separate queue, so that they neither wait behind request
// data nor are dropped because of it. Traffic means the frames of requests.
type outbox struct {
	trafficLimit, controlLimit int

	// writers tracks the writer goroutine, of which there is at most one.
	writers sync.WaitGroup

	mu sync.Mutex
	// writer is the body of the writer goroutine; nil before the connection is started. writerRunning is set from the start of a
	// writer goroutine until it stops because it is idle. After a graceful close or an error it stays set, because nothing is
	// written any more.
	writer        func()
	writerRunning bool
	// wakeup wakes a waiting writer; it has a capacity of one. stopWhenIdle makes the writer end instead of waiting.
	wakeup       chan struct{}
	stopWhenIdle bool
	control      frameQueue
	traffic      frameQueue
	// opens are the Open frames in the traffic queue, in order.
	opens []queuedOpen
	// err is the reason why no more frames are accepted; frames that are already queued are still written.
	err error
	// space is closed to wake the callers of waitSpace; it is nil while there are none.
	space chan struct{}
}

// frameQueue is a sequence of encoded frames.
type frameQueue struct {
	buf    []byte
	frames int
}

// queuedOpen is the position of a stream's Open frame, and of the Window frame after it, in the traffic queue.
type queuedOpen struct {
	stream     *Stream
	start, end int
	frames     int
}

// batch is the set of frames that the writer writes at once.
type batch struct {
	control, traffic frameQueue
	opens            []queuedOpen
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

// pushTraffic queues a request frame without waiting. Callers that send much data call waitSpace first.
func (o *outbox) pushTraffic(stream uint32, m wire.Message) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return o.err
	}
	return o.push(&o.traffic, stream, m)
}

// push appends a frame to a queue and wakes the writer. The caller holds mu.
func (o *outbox) push(q *frameQueue, stream uint32, m wire.Message) error {
	if q.buf == nil {
		q.buf = getBuffer()
	}
	buf, err := wire.Append(q.buf, stream, m)
	if err != nil {
		return err
	}
	q.buf = buf
	q.frames++
	o.wakeWriter()
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
	open := queuedOpen{stream: s, start: len(o.traffic.buf), frames: len(frames)}
	for _, frame := range frames {
		wire.SetStream(frame, s.number)
		o.traffic.buf = append(o.traffic.buf, frame...)
	}
	open.end = len(o.traffic.buf)
	o.traffic.frames += open.frames
	o.opens = append(o.opens, open)
	o.wakeWriter()
	return nil
}

// withdraw removes the Open of a stream if the writer has not taken it yet. In that case the peer never sees the stream.
func (o *outbox) withdraw(s *Stream) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, open := range o.opens {
		if open.stream != s {
			continue
		}
		size := open.end - open.start
		o.traffic.buf = append(o.traffic.buf[:open.start], o.traffic.buf[open.end:]...)
		o.traffic.frames -= open.frames
		o.opens = append(o.opens[:i], o.opens[i+1:]...)
		for j := i; j < len(o.opens); j++ {
			o.opens[j].start -= size
			o.opens[j].end -= size
		}
		return true
	}
	return false
}

// waitSpace waits until the traffic queue is below its limit. It fails if either context ends or no more frames are accepted.
func (o *outbox) waitSpace(ctx, conn context.Context) error {
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
		case <-conn.Done():
			return trace.Wrap(conn.Err())
		}
	}
}

// checkOverflow returns an error if the queued request frames exceed the hard limit, which means that the peer sends requests but
// does not read the responses.
func (o *outbox) checkOverflow() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if limit := hardLimitFactor * o.trafficLimit; len(o.traffic.buf) > limit+wire.MaxFrameBytes {
		return fmt.Errorf("peer does not read: %d bytes are queued", len(o.traffic.buf))
	}
	return nil
}

// take removes and returns all queued frames, and reports whether more may follow. The Open frames among them count as sent
// from now on.
func (o *outbox) take() (b batch, more bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b = batch{control: o.control, traffic: o.traffic, opens: o.opens}
	o.control, o.traffic, o.opens = frameQueue{}, frameQueue{}, nil
	for _, open := range b.opens {
		open.stream.sent.Store(true)
	}
	o.notifySpace()
	return b, o.err == nil
}

// close makes every later push fail with err. Frames that are already queued remain unless discard is set.
func (o *outbox) close(err error, discard bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.err = err
	}
	if discard {
		o.control, o.traffic, o.opens = frameQueue{}, frameQueue{}, nil
	}
	o.notifySpace()
	o.wakeWriter()
}

// notifySpace wakes the callers of waitSpace. The caller holds mu.
func (o *outbox) notifySpace() {
	if o.space != nil {
		close(o.space)
		o.space = nil
	}
}

// start sets the body of the writer goroutine, and starts the goroutine if frames are queued already. Later frames start it if it
// is not running.
func (o *outbox) start(write func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writer = write
	if o.control.frames+o.traffic.frames > 0 || o.err != nil {
		o.wakeWriter()
	}
}

// wakeWriter starts the writer goroutine if it is not running, and otherwise wakes it. The caller holds mu.
func (o *outbox) wakeWriter() {
	switch {
	case o.writer == nil:
	case o.writerRunning:
		o.signalWriter()
	default:
		o.writerRunning, o.stopWhenIdle = true, false
		if o.wakeup == nil {
			o.wakeup = make(chan struct{}, 1)
		}
		o.writers.Go(o.writer)
	}
}

func (o *outbox) signalWriter() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

// waitForWork waits until frames may be queued. It returns false if the writer must end, which is the case when nothing is
// queued and no request is in progress; the next frame starts the writer again. During a request, a waiting writer is cheaper
// than a new goroutine for each chunk.
func (o *outbox) waitForWork(busy bool) bool {
	o.mu.Lock()
	switch {
	case o.control.frames+o.traffic.frames > 0 || o.err != nil:
		o.mu.Unlock()
		return true
	case !busy || o.stopWhenIdle:
		o.writerRunning, o.wakeup = false, nil
		o.mu.Unlock()
		return false
	}
	wakeup := o.wakeup
	o.mu.Unlock()
	<-wakeup
	return true
}

// stopIdleWriter ends a writer that still waits although no request is in progress any more.
func (o *outbox) stopIdleWriter() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.writerRunning {
		o.stopWhenIdle = true
		o.signalWriter()
	}
}

// buffers are pooled across connections, because a process holds thousands of mostly idle connections.
var buffers = sync.Pool{New: func() any { return new(make([]byte, 0, 4<<10)) }}

func getBuffer() []byte { return (*buffers.Get().(*[]byte))[:0] }

// putBuffer returns a buffer to the pool. Buffers over 1 MiB are rare and are dropped, so that a peak does not retain memory.
func putBuffer(buf []byte) {
	if cap(buf) == 0 || cap(buf) > 1<<20 {
		return
	}
	buffers.Put(&buf)
}
