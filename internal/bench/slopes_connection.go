package bench

import (
	"context"
	"net"
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
)

// idleHandler handles connections that carry no messages.
type idleHandler struct{ link.Handler }

func (idleHandler) HandleClose(*link.Conn, error) {}

// idleConnections holds idle connections over loopback with both ends in this process.
type idleConnections struct {
	server *link.Server
	conns  []*link.Conn
}

func newIdleConnections(n int, cfg link.Config) *idleConnections {
	hello := func() wire.Hello { return wire.Hello{Instance: "press-00001", Role: "sidecar"} }
	l := &idleConnections{server: link.NewServer(cfg, hello, idleHandler{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = l.server.Serve(ln) }()
	for range n {
		conn, err := link.Dial(context.Background(), ln.Addr().String(), cfg, hello, idleHandler{})
		if err != nil {
			panic(err)
		}
		l.conns = append(l.conns, conn)
	}
	return l
}

func (l *idleConnections) close() {
	for _, c := range l.conns {
		_ = c.Close()
		<-c.Done()
	}
	_ = l.server.Close()
}

// connectionSlopes measures the memory of idle connections, and the processor time of the check that each gets once in a KeepaliveInterval.
func connectionSlopes(o Options, add func(string, float64, string)) {
	n := 500
	if o.Short {
		n = 100
	}
	var links *idleConnections
	both := heapPerItem(n, func() any {
		links = newIdleConnections(n, link.DefaultConfig())
		return links
	})
	links.close()
	add("pool connection, heap and stacks of one end", both/2, "B")

	cfg := link.DefaultConfig()
	cfg.KeepaliveInterval = 10 * time.Millisecond
	links = newIdleConnections(n, cfg)
	defer links.close()
	const observed = time.Second
	start := processorTime()
	time.Sleep(observed)
	used := micros(processorTime() - start)
	// The serving side checks only after a quarter of the time to the timeout, which hardly ever happens here.
	add("look at an idle connection", used/(float64(n)*float64(observed/cfg.KeepaliveInterval)), "us")
}
