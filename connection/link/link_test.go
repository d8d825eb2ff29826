package link

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/request/result"
)

// A caller that does not read must neither block other requests on its connection nor make this process buffer its response.
func TestSlowCallerStopsOnlyItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := DefaultConfig()
		cfg.WindowBytes = MinWindowBytes
		var written atomic.Int64
		_, dial := startServer(t, DefaultConfig(), &testHandler{open: func(ctx context.Context, open *wire.Open, r *Responder) {
			if len(open.Body) > 0 {
				echo(ctx, open, r)
				return
			}
			for range 1000 {
				if r.Write(ctx, make([]byte, 1000)) != nil {
					return
				}
				written.Add(1000)
			}
			_ = r.End(wire.End{})
		}})
		c := newClient(t, dial(), cfg)
		slow, err := c.Open(t.Context(), testOpen(1, ""))
		must.NoError(t, err)
		synctest.Wait()
		must.Between(t, MinWindowBytes/2, written.Load(), MinWindowBytes)
		long := strings.Repeat("x", 3*MinWindowBytes+1)
		data, _, err := request(c, testOpen(2, long))
		must.NoError(t, err)
		must.True(t, data == long+"end")
		must.Between(t, MinWindowBytes/2, written.Load(), MinWindowBytes)
		data, _, err = collect(slow)
		must.NoError(t, err)
		must.EqOp(t, 1_000_000, len(data))
	})
}

// A sender that ignores flow control could exhaust the memory of an entry.
func TestChunksBeyondCreditCloseTheConnection(t *testing.T) {
	s := &Stream{window: newReceiveWindow(MinWindowBytes), notify: make(chan struct{}, 1)}
	must.NoError(t, s.handleChunk(&wire.Chunk{Data: make([]byte, MinWindowBytes-ChunkOverheadBytes)}))
	must.ErrorIs(t, s.handleChunk(&wire.Chunk{}), errProtocol)
}

// For any window and chunk sizes, a waiting sender must receive credit once the caller has taken all chunks, and a correct
// sender must never exceed the receiver's window.
func TestFlowControlProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Uint32Range(MinWindowBytes, 1<<20).Draw(t, "window")
		w := newReceiveWindow(size)
		var credit sendCredit
		credit.grant(size)
		var queue []int
		for range 200 {
			chunk := rapid.IntRange(0, MaxChunkBytes).Draw(t, "chunk")
			for !credit.take(chunk) {
				must.SliceNotEmpty(t, queue)
				credit.grant(w.consume(queue[0]))
				queue = queue[1:]
			}
			must.True(t, w.receive(chunk))
			queue = append(queue, chunk)
			must.LessEq(t, int64(size), credit.available+int64(len(queue))*ChunkOverheadBytes)
		}
	})
}

// A canceled request must end its handler, and one that is still queued must never reach the peer.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var started atomic.Int32
		_, dial := startServer(t, DefaultConfig(), &testHandler{open: func(ctx context.Context, open *wire.Open, r *Responder) {
			started.Add(1)
			<-ctx.Done()
			test.ErrorIs(t, r.Write(context.Background(), []byte("x")), ErrCanceled)
			test.ErrorIs(t, r.End(wire.End{}), ErrCanceled)
		}})
		c := newClient(t, dial(), DefaultConfig())
		first, err := c.Open(t.Context(), testOpen(1, ""))
		must.NoError(t, err)
		synctest.Wait()
		first.Cancel()
		synctest.Wait()
		must.EqOp(t, 1, started.Load())
		must.True(t, first.Sent())

		queued := &Conn{cfg: DefaultConfig(), out: newOutbox(DefaultConfig())}
		var streams [3]*Stream
		for i := range streams {
			streams[i], err = queued.Open(t.Context(), testOpen(byte(i), strings.Repeat("b", i)))
			must.NoError(t, err)
		}
		streams[1].Cancel()
		b, _ := queued.out.take()
		must.Eq(t, []bool{true, false, true}, []bool{streams[0].Sent(), streams[1].Sent(), streams[2].Sent()})
		frames := wire.NewReader(bytes.NewReader(b.traffic.buf))
		for _, want := range []uint32{1, 1, 3, 3} {
			f, err := frames.Next()
			must.NoError(t, err)
			must.EqOp(t, want, f.Stream)
		}
		must.EqOp(t, 4, b.traffic.frames)
		must.EqOp(t, len(b.traffic.buf), b.opens[1].end)
	})
}

// A missing, repeated or wrong End would leave a caller waiting, report that a request may be repeated although it has run, or
// report a truncated response as complete.
func TestEnds(t *testing.T) {
	errs := make(chan error, 2)
	_, dial := startServer(t, DefaultConfig(), &testHandler{open: func(ctx context.Context, open *wire.Open, r *Responder) {
		switch string(open.Body) {
		case "panic":
			panic("fault in a handler")
		case "not run":
			errs <- r.End(wire.End{Result: uint8(result.Full), Reason: strings.Repeat("ä", wire.MaxFrameBytes)})
			errs <- r.End(wire.End{})
		case "not run after Accepted":
			errs <- r.Accepted()
			errs <- r.End(wire.End{Result: uint8(result.Full)})
		case "failed write":
			ctx, cancel := context.WithCancel(ctx)
			cancel()
			errs <- r.Write(ctx, make([]byte, 2*DefaultConfig().WindowBytes))
			errs <- r.End(wire.End{Result: uint8(result.OK)})
		}
	}})
	c := newClient(t, dial(), DefaultConfig())
	for _, row := range []struct {
		body   string
		want   result.Code
		errors []error
	}{
		{"nothing", result.InternalError, nil},
		{"panic", result.InternalError, nil},
		{"not run", result.Full, []error{nil, ErrEnded}},
		{"not run after Accepted", result.InternalError, []error{nil, ErrNotRunAfterAccepted}},
		{"failed write", result.InternalError, []error{context.Canceled, ErrTruncated}},
	} {
		_, code, err := request(c, testOpen(1, row.body))
		must.NoError(t, err)
		test.EqOp(t, row.want, code, test.Sprint(row.body))
		for _, want := range row.errors {
			test.True(t, errors.Is(<-errs, want), test.Sprint(row.body))
		}
	}
}

// A drain must lose no request: each is answered, refused as not run, or never sent.
func TestDrainLosesNothing(t *testing.T) {
	for round := range 20 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		server := NewServer(DefaultConfig(), testHello("server"), &testHandler{open: echo})
		served := make(chan error, 1)
		go func() { served <- server.Serve(ln) }()
		var wg sync.WaitGroup
		var answered atomic.Int32
		busy := make(chan struct{})
		for range 4 {
			c, err := Dial(t.Context(), ln.Addr().String(), DefaultConfig(), testHello("client"), &testHandler{})
			must.NoError(t, err)
			for range 4 {
				wg.Go(func() {
					for {
						_, code, err := request(c, testOpen(1, "x"))
						if errors.Is(err, ErrPeerLeaving) {
							break
						}
						if err != nil || code != result.OK && code != result.Leaving {
							t.Errorf("round %d: %v, %v", round, code, err)
							break
						}
						if answered.Add(1) == 50 {
							close(busy)
						}
					}
				})
			}
			wg.Go(func() { <-c.Done() })
		}
		<-busy
		must.NoError(t, server.Drain(t.Context()))
		wg.Wait()
		must.NoError(t, <-served)
		must.NoError(t, server.Close())
	}
}

// A drain must not interrupt a request, however long it takes, and must not start new ones.
func TestDrainWaitsForRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, dial := startServer(t, DefaultConfig(), &testHandler{open: func(ctx context.Context, open *wire.Open, r *Responder) {
			time.Sleep(time.Minute)
			echo(ctx, open, r)
		}})
		p := dialRaw(t, dial())
		c := newClient(t, dial(), DefaultConfig())
		s, err := c.Open(t.Context(), testOpen(1, "x"))
		must.NoError(t, err)
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.ErrorIs(t, server.Drain(ctx), context.DeadlineExceeded)
		must.Eq(t, wire.Message(&wire.Leaving{Instance: "server"}), p.receive())
		drained := make(chan error)
		// A peer that was notified is not notified again: the next frame that it receives is the refusal below.
		go func() { drained <- server.Drain(t.Context()) }()
		synctest.Wait()
		_, err = c.Open(t.Context(), testOpen(2, ""))
		must.ErrorIs(t, err, ErrPeerLeaving)
		must.NoError(t, c.Err())
		p.send(1, testOpen(3, ""))
		must.EqOp(t, result.Leaving, result.Code(p.receive().(*wire.End).Result))
		data, _, err := collect(s)
		must.NoError(t, err)
		must.Eq(t, "xend", data)
		synctest.Wait()
		must.ErrorIs(t, c.Err(), ErrPeerLeaving)
		_, err = p.frames.Next()
		must.Error(t, err)
		must.NoError(t, <-drained)
		must.SliceEmpty(t, server.Conns())
	})
}

// Frames that were queued before a graceful close, such as the last End, must arrive although the peer is still sending.
func TestCloseWritesWhatIsQueued(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := NewServer(DefaultConfig(), testHello("server"), &closingHandler{})
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(ln) }()
	h := &testHandler{}
	c, err := Dial(t.Context(), ln.Addr().String(), DefaultConfig(), testHello("client"), h)
	must.NoError(t, err)
	for c.Err() == nil {
		_ = c.Send(&wire.Gossip{})
	}
	<-c.Done()
	must.Len(t, 1000, h.controls)
}

// closingHandler sends frames on a new connection and closes it.
type closingHandler struct{ testHandler }

func (*closingHandler) HandleConnect(c *Conn) {
	for range 1000 {
		_ = c.Send(&wire.Gossip{})
	}
	_ = c.Close()
}

// A writer that does not wait for a slow peer would queue without limit, and one that cannot be stopped would block its
// request permanently. The transfer statistics of both ends must agree.
func TestFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := DefaultConfig()
		cfg.QueueBytes = 1
		errs := make(chan error, 1)
		server, dial := startServer(t, cfg, &testHandler{open: func(ctx context.Context, _ *wire.Open, r *Responder) {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			errs <- r.Write(ctx, make([]byte, 10*MaxChunkBytes))
		}})
		for _, want := range []error{context.DeadlineExceeded, ErrCanceled} {
			p := dialRaw(t, dial())
			open := testOpen(1, "")
			p.send(1, open)
			p.send(1, &wire.Window{Identity: open.Identity, Bytes: 1 << 20})
			synctest.Wait()
			if want == ErrCanceled {
				p.send(1, &wire.Cancel{Identity: open.Identity})
			}
			must.ErrorIs(t, <-errs, want)
			_ = p.Close()
		}
		synctest.Wait()
		c := newClient(t, dial(), cfg)
		synctest.Wait()
		must.Eq(t, c.Stats().ControlOut, server.Conns()[0].Stats().ControlIn)
		must.Eq(t, c.Stats().ControlIn, server.Conns()[0].Stats().ControlOut)

		unwritten := &Conn{cfg: cfg, out: newOutbox(cfg)}
		_, err := unwritten.Open(t.Context(), testOpen(1, ""))
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = unwritten.Open(ctx, testOpen(2, ""))
		must.ErrorIs(t, err, context.DeadlineExceeded)
		time.AfterFunc(time.Second, func() { unwritten.out.take() })
		third, err := unwritten.Open(t.Context(), testOpen(3, ""))
		must.NoError(t, err)
		must.EqOp(t, 2, third.number)
	})
}

// A server must not stop accepting connections because the process is temporarily out of file descriptors, since only a restart would
// bring it back.
func TestServeSurvivesTransientErrors(t *testing.T) {
	server := NewServer(DefaultConfig(), testHello("server"), &testHandler{})
	ln := &faultyListener{errs: []error{syscall.EMFILE, syscall.ECONNABORTED, net.ErrClosed}}
	must.ErrorIs(t, server.Serve(ln), net.ErrClosed)
	must.SliceEmpty(t, ln.errs)
	must.NoError(t, server.Close())
	must.NoError(t, server.Serve(ln))
}

type faultyListener struct {
	net.Listener
	errs []error
}

func (l *faultyListener) Accept() (net.Conn, error) {
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func (l *faultyListener) Close() error { return nil }
