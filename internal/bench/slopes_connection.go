package bench

import (
	"context"
	"net"
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
)

// silent is a handler of connections that carry nothing.
type silent struct{ link.Handler }

func (silent) HandleClose(*link.Conn, error) {}

// idleLinks is a number of idle connections over loopback, both ends in this process.
type idleLinks struct {
	server *link.Server
	conns  []*link.Conn
}

func newIdleLinks(n int, cfg link.Config) *idleLinks {
	hello := func() wire.Hello { return wire.Hello{Instance: "press-00001", Role: "sidecar"} }
	l := &idleLinks{server: link.NewServer(cfg, hello, silent{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = l.server.Serve(ln) }()
	for range n {
		conn, err := link.Dial(context.Background(), ln.Addr().String(), cfg, hello, silent{})
		if err != nil {
			panic(err)
		}
		l.conns = append(l.conns, conn)
	}
	return l
}

func (l *idleLinks) close() {
	for _, c := range l.conns {
		_ = c.Close()
		<-c.Done()
	}
	_ = l.server.Close()
}

// connectionSlopes measures the memory of idle connections, and the processor time of looking at them once in a KeepaliveInterval.
func connectionSlopes(o Options, add func(string, float64, string)) {
	n := 500
	if o.Short {
		n = 100
	}
	var links *idleLinks
	both := heapOf(n, func() any {
		links = newIdleLinks(n, link.DefaultConfig())
		return links
	})
	links.close()
	add("pool connection, heap and stacks of one end", both/2, "B")

	cfg := link.DefaultConfig()
	cfg.KeepaliveInterval = 10 * time.Millisecond
	links = newIdleLinks(n, cfg)
	defer links.close()
	const watched = time.Second
	start := processorTime()
	time.Sleep(watched)
	used := micros(processorTime() - start)
	// The serving side looks less often, by a quarter of the time to the timeout, which is nearly never here.
	add("look at an idle connection", used/(float64(n)*float64(watched/cfg.KeepaliveInterval)), "us")
}
