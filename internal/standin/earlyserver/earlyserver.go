// Package earlyserver is an HTTP/1.1 server that responds as soon as it has the head of a request and ends the connection without reading the body.
package earlyserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jayridge/jayridge/internal/socket"
)

// headBytes is how much of a request is read at a time, so that little of its body is read with the head.
const headBytes = 512

// writingTime is the time from the arrival of the response until the connection ends. The client is writing the body then.
const writingTime = 20 * time.Millisecond

// Server is a running server.
type Server struct{ listener net.Listener }

// Start starts a server on a loopback address. respond returns a response with its head, as it is sent. end ends the connection, which is closed
// after it. The error is that of the listener.
func Start(respond func(r *http.Request) string, end func(*net.TCPConn)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), respond, end)
		}
	}()
	return &Server{listener}, nil
}

// Listener returns the listener, whose Close ends the server.
func (s *Server) Listener() net.Listener { return s.listener }

func serve(conn *net.TCPConn, respond func(r *http.Request) string, end func(*net.TCPConn)) {
	defer conn.Close() //nolint:errcheck // the peer sees the end either way
	r, err := http.ReadRequest(bufio.NewReaderSize(conn, headBytes))
	if err != nil {
		return
	}
	if _, err := io.WriteString(conn, respond(r)); err != nil {
		return
	}
	// A reset destroys what the client has not acknowledged.
	for unsent, ok := socket.Unsent(conn); ok && unsent > 0; unsent, ok = socket.Unsent(conn) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(writingTime)
	end(conn)
}

// Reset resets a connection.
func Reset(conn *net.TCPConn) { _ = errors.Join(conn.SetLinger(0), conn.Close()) }

// CloseUnread closes a connection although bytes have arrived that were not read, which resets it as well.
func CloseUnread(conn *net.TCPConn) { _ = conn.Close() }

// EndThenReset ends the data of a connection in an orderly way, and resets it a while later.
func EndThenReset(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	time.Sleep(5 * writingTime)
	Reset(conn)
}
