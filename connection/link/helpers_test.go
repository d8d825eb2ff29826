package link

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/request/assembly"
	"github.com/jayridge/jayridge/request/result"
)

// Connections must not leak goroutines: a process opens and closes thousands of connections a day.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testHandler handles requests with a function, and records control messages and closed connections.
type testHandler struct {
	open func(ctx context.Context, open *wire.Open, r *Responder)

	mu       sync.Mutex
	controls []wire.Message
	closed   []error
}

func (h *testHandler) HandleOpen(ctx context.Context, _ *Conn, open *wire.Open, r *Responder) {
	h.open(ctx, open, r)
}

func (h *testHandler) HandleControl(_ *Conn, m wire.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.controls = append(h.controls, m)
}

func (h *testHandler) HandleClose(_ *Conn, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = append(h.closed, err)
}

// echo responds with the body of the request and "end", in one Write each.
func echo(ctx context.Context, open *wire.Open, r *Responder) {
	if r.Accepted() != nil || r.Write(ctx, open.Body) != nil || r.Write(ctx, []byte("end")) != nil {
		return
	}
	_ = r.End(wire.End{Result: uint8(result.OK)})
}

func testHello(name string) func() wire.Hello {
	return func() wire.Hello { return wire.Hello{Instance: name, ConfigVersion: 7} }
}

// startServer returns a server and a function that returns the dialing ends of new connections to it.
func startServer(t *testing.T, cfg Config, h Handler) (*Server, func() net.Conn) {
	s := NewServer(cfg, testHello("server"), h)
	t.Cleanup(func() { _ = s.Close() })
	return s, func() net.Conn {
		near, far := net.Pipe()
		s.accept(far)
		return near
	}
}

func newClient(t *testing.T, nc net.Conn, cfg Config) *Conn {
	c, err := Client(t.Context(), nc, cfg, testHello("client"), &testHandler{})
	must.NoError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		<-c.Done()
	})
	return c
}

func testOpen(n byte, body string) *wire.Open {
	return &wire.Open{Identity: wire.Identity{Request: wire.RequestID{n}, Attempt: 1}, Body: []byte(body)}
}

// collect receives a response. The result code is valid only if the error is nil.
func collect(s *Stream) (data string, code result.Code, err error) {
	a := assembly.New(s.id, 0)
	var end *wire.End
	for {
		m, err := s.Recv(context.Background())
		if errors.Is(err, io.EOF) {
			return data, result.Code(end.Result), nil
		}
		if err != nil {
			return data, 0, err
		}
		switch m := m.(type) {
		case *wire.Chunk:
			part, err := a.Chunk(m)
			if err != nil {
				return data, 0, err
			}
			data += string(part)
		case *wire.End:
			end = m
			if err := a.End(m); err != nil {
				return data, 0, err
			}
		}
	}
}

// request sends a request and receives its response.
func request(c *Conn, open *wire.Open) (string, result.Code, error) {
	s, err := c.Open(context.Background(), open)
	if err != nil {
		return "", 0, err
	}
	defer s.Cancel()
	return collect(s)
}

// rawPeer is the dialing end of a connection after the handshake. It sends arbitrary frames.
type rawPeer struct {
	t *testing.T
	net.Conn
	frames *wire.Reader
}

func dialRaw(t *testing.T, nc net.Conn) *rawPeer {
	t.Cleanup(func() { _ = nc.Close() })
	p := &rawPeer{t: t, Conn: nc, frames: wire.NewReader(nc)}
	p.send(0, &wire.Hello{Major: wire.MajorVersion, Instance: "raw"})
	must.Eq(t, "server", p.receive().(*wire.Hello).Instance)
	return p
}

func (p *rawPeer) send(stream uint32, m wire.Message) {
	frame, err := wire.Encode(stream, m)
	must.NoError(p.t, err)
	_, err = p.Write(frame)
	must.NoError(p.t, err)
}

func (p *rawPeer) receive() wire.Message {
	f, err := p.frames.Next()
	must.NoError(p.t, err)
	return f.Message
}

// counterDelta returns a function that returns by how much c has increased.
func counterDelta(c *expvar.Int) func() int64 {
	before := c.Value()
	return func() int64 { return c.Value() - before }
}
