package bench

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
)

// countedServer serves a stand-in over loopback and counts the bytes of its connections, including HTTP headers.
type countedServer struct {
	*httptest.Server
	bytes atomic.Int64
}

func newCountedServer(h http.Handler) *countedServer {
	s := &countedServer{}
	s.Server = httptest.NewUnstartedServer(h)
	s.Listener = countedListener{s.Listener, &s.bytes}
	s.Start()
	return s
}

// measureBytes returns the bytes that a call exchanges with the server.
func (s *countedServer) measureBytes(call func() error) float64 {
	before := s.bytes.Load()
	if err := call(); err != nil {
		panic(err)
	}
	return float64(s.bytes.Load() - before)
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	// Count before writing: the client may receive the bytes, and the measurement may read the counter, before Write returns.
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}
