package link_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/request/assembly"
	"github.com/jayridge/jayridge/request/result"
)

// echo responds to every request with its own body.
type echo struct{}

func (echo) HandleOpen(ctx context.Context, _ *link.Conn, open *wire.Open, r *link.Responder) {
	if err := r.Accepted(); err != nil {
		return
	}
	if err := r.Write(ctx, open.Body); err != nil {
		return
	}
	_ = r.End(wire.End{Result: uint8(result.OK)})
}

func (echo) HandleControl(*link.Conn, wire.Message) {}

func (echo) HandleClose(*link.Conn, error) {}

// A sidecar serves a connection. An entry sends a request over it and checks the response.
func Example() {
	ctx := context.Background()
	hello := func() wire.Hello { return wire.Hello{Instance: "example"} }
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := link.NewServer(link.DefaultConfig(), hello, echo{})
	go func() { _ = server.Serve(ln) }()
	defer func() { _ = server.Close() }()

	conn, err := link.Dial(ctx, ln.Addr().String(), link.DefaultConfig(), hello, echo{})
	if err != nil {
		panic(err)
	}
	id := wire.Identity{Request: wire.RequestID{1}, Attempt: 1}
	stream, err := conn.Open(ctx, &wire.Open{Identity: id, Body: []byte("press the shirts")})
	if err != nil {
		panic(err)
	}
	defer stream.Cancel()
	answer := assembly.New(id, 0)
	for {
		m, err := stream.Recv(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			panic(err)
		}
		switch m := m.(type) {
		case *wire.Accepted:
			fmt.Println("accepted")
		case *wire.Chunk:
			data, err := answer.Chunk(m)
			fmt.Println(string(data), err)
		case *wire.End:
			fmt.Println(result.Code(m.Result), answer.End(m))
		}
	}
	fmt.Println(server.Drain(ctx))
	// Output:
	// accepted
	// press the shirts <nil>
	// ok <nil>
	// <nil>
}
