package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An upstream that sends bytes without end must not make the process read more than the limits, wherever in the response it does so.
func TestExchange_BytesWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	cases := map[string]struct {
		begin, repeat string
		// inBody means that the head is complete, and the body never ends.
		inBody bool
	}{
		"status line":       {"HTTP/1.1 200 ", "x", false},
		"header line":       {head + "Long: ", "x", false},
		"header lines":      {head, "A: b\r\n", false},
		"folded lines":      {head + "A: b\r\n", " c\r\n", false},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		"other responses":   {"", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n", false},
		"other body":        {"HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false},
		"chunk size":        {head + "Transfer-Encoding: chunked\r\n\r\n", "0", true},
		"chunk extension":   {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x", true},
		"chunk extensions":  {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\ny\r\n", true},
		"trailer":           {head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\n", "A: b\r\n", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, sent := endlessUpstream(t, c.begin, c.repeat)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			response, err := Exchange(ctx, conn, &Request{Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{}, IDHeader: "Id", ID: "1"})
			if c.inBody {
				must.NoError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				response.Close()
			}
			must.Error(t, err)
			must.NoError(t, ctx.Err())
			must.LessEq(t, (maxMismatchedResponses+1)*(maxHeadBytes+maxMismatchedBodyBytes), sent())
		})
	}
}

// endlessUpstream returns a connection to an upstream that writes begin and then repeat until the connection is closed, and a function that
// returns the number of bytes that were read from it.
func endlessUpstream(t *testing.T, begin, repeat string) (*Conn, func() int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		server, err := listener.Accept()
		if err != nil {
			return
		}
		defer server.Close() //nolint:errcheck // the client sees the end either way
		_, err = io.WriteString(server, begin)
		for block := strings.Repeat(repeat, 1+4096/len(repeat)); err == nil; {
			_, err = io.WriteString(server, block)
		}
	}()
	conn, err := NewPool(listener.Addr().String(), DefaultConfig()).Dial(context.Background())
	must.NoError(t, err)
	counter := &countingReader{source: conn.limited.source}
	conn.limited.source = counter
	return conn, func() int64 { return counter.n }
}

// countingReader counts the bytes that are read through it.
type countingReader struct {
	source io.Reader
	n      int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.n += int64(n)
	return n, err
}

// A response after one that used up most of the limit must have the whole limit again.
func TestLimitedReader(t *testing.T) {
	r := newLimitedReader(strings.NewReader("abcdef"))
	r.allow(2)
	got, err := io.ReadAll(r)
	must.Eq(t, "ab", string(got))
	must.True(t, errors.Is(err, ErrHeadTooLong))
	r.allowAll()
	got, err = io.ReadAll(r)
	must.NoError(t, err)
	must.Eq(t, "cdef", string(got))
}
