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

// A connection that leaves a goroutine behind exhausts a process that churns through thousands a day.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answers handles requests with a function, and records what else it gets.
type answers struct {
	open func(ctx context.Context, open *wire.Open, r *Responder)

	mu       sync.Mutex
	controls []wire.Message
	closed   []error
}

func (a *answers) HandleOpen(ctx context.Context, _ *Conn, open *wire.Open, r *Responder) {
	a.open(ctx, open, r)
}

func (a *answers) HandleControl(_ *Conn, m wire.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controls = append(a.controls, m)
}

func (a *answers) HandleClose(_ *Conn, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = append(a.closed, err)
}

// echo answers with the body of the request, in chunks of one write each.
func echo(ctx context.Context, open *wire.Open, r *Responder) {
	if r.Accepted() != nil || r.Write(ctx, open.Body) != nil || r.Write(ctx, []byte("end")) != nil {
		return
	}
	_ = r.End(wire.End{Result: uint8(result.OK)})
}

func helloOf(name string) func() wire.Hello {
	return func() wire.Hello { return wire.Hello{Instance: name, ConfigVersion: 7} }
}

// serve returns a server and a function that returns the dialing ends of new connections to it.
func serve(t *testing.T, cfg Config, h Handler) (*Server, func() net.Conn) {
	s := NewServer(cfg, helloOf("server"), h)
	t.Cleanup(func() { _ = s.Close() })
	return s, func() net.Conn {
		near, far := net.Pipe()
		s.accept(far)
		return near
	}
}

func client(t *testing.T, nc net.Conn, cfg Config) *Conn {
	c, err := Client(t.Context(), nc, cfg, helloOf("client"), &answers{})
	must.NoError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		<-c.Done()
	})
	return c
}

func openOf(n byte, body string) *wire.Open {
	return &wire.Open{Identity: wire.Identity{Request: wire.RequestID{n}, Attempt: 1}, Body: []byte(body)}
}

// collect receives a response. The result is meaningless unless the error is nil.
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

// rawPeer is the dialing end of a connection, after the handshake, that sends what a test wants.
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

// counting returns a function that returns how much c has grown.
func counting(c *expvar.Int) func() int64 {
	before := c.Value()
	return func() int64 { return c.Value() - before }
}
