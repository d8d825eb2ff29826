package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// syncBodyBytes is the largest body that is written before the answer is read. An upstream may answer before it has read a longer
// one and read no further, which would block the writer.
const syncBodyBytes = 4 << 10

// maxForeignAnswers bounds the answers to other requests that are skipped before the awaited one.
const maxForeignAnswers = 3

// maxForeignBytes bounds the body of an answer to another request that is skipped.
const maxForeignBytes = 1 << 20

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request left the process.
	ErrNotSent = errors.New("request not sent")
	// ErrForeignAnswer means that the connection carries answers to other requests.
	ErrForeignAnswer = errors.New("answer belongs to another request")
)

// Request is what is sent to an upstream.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header that carries the request's id in both directions.
	IDHeader string
	ID       string
}

// Answer is an upstream's answer. The caller reads Body to its end or gives up, and calls Close in any case.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Identified says that the answer carries the request's id.
	Identified bool

	conn     *Conn
	response *http.Response
	written  *atomic.Bool
	stop     func() bool
	ended    bool
}

// Exchange sends a request over a connection and returns the head of the answer. The end of ctx ends the exchange, also while the
// body is read. The connection is consumed: it is closed on an error, and by Answer.Close otherwise. An error that wraps ErrNotSent
// means that the upstream cannot have seen the request.
func Exchange(ctx context.Context, c *Conn, r *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.Abort)
	written := &atomic.Bool{}
	if err := send(c, r, written); err != nil {
		stop()
		c.Close()
		return nil, err
	}
	answer, err := receive(c, r)
	if err != nil {
		stop()
		c.Close()
		if ctx.Err() != nil {
			return nil, trace.Wrap(context.Cause(ctx))
		}
		return nil, trace.ConnectionProblem(err, "no answer from %s", c.pool.address)
	}
	answer.written = written
	answer.stop = stop
	return answer, nil
}

// countingWriter counts the bytes that reached the socket.
type countingWriter struct {
	conn *Conn
	n    int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.nc.Write(p)
	w.n += n
	return n, err
}

func send(c *Conn, r *Request, written *atomic.Bool) error {
	request := &http.Request{
		Method:        r.Method,
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: int64(len(r.Body)),
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	target, err := parseTarget(r.Target)
	if err != nil {
		return trace.BadParameter("%v: %v", ErrNotSent, err)
	}
	request.URL = target
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if len(r.Body) > syncBodyBytes {
		go func() {
			w := bufio.NewWriterSize(c.nc, syncBodyBytes)
			// A failed write shows in the answer that never comes.
			if request.Write(w) == nil && w.Flush() == nil {
				written.Store(true)
			}
		}()
		return nil
	}
	counter := &countingWriter{conn: c}
	w := bufio.NewWriterSize(counter, 2*syncBodyBytes)
	err = request.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil && counter.n == 0 {
		return trace.ConnectionProblem(errors.Join(ErrNotSent, err), "send to %s", c.pool.address)
	}
	if err != nil {
		return trace.ConnectionProblem(err, "send to %s", c.pool.address)
	}
	written.Store(true)
	return nil
}

func receive(c *Conn, r *Request) (*Answer, error) {
	for range maxForeignAnswers + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue // an interim answer has no body
		}
		id := response.Header.Get(r.IDHeader)
		if id == "" || id == r.ID {
			return &Answer{
				Status: response.StatusCode, Header: response.Header, Body: response.Body,
				Identified: id == r.ID, conn: c, response: response,
			}, nil
		}
		if response.Close || closeDelimited(response) {
			return nil, ErrForeignAnswer
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil {
			return nil, err
		}
	}
	return nil, ErrForeignAnswer
}

// Done tells that the body was read to its end, so that the connection can be kept.
func (a *Answer) Done() { a.ended = true }

// Close ends the exchange and keeps or closes the connection.
func (a *Answer) Close() {
	live := a.stop()
	c := a.conn
	if !a.ended || !live || !a.written.Load() || a.response.Close || c.reader.Buffered() > 0 || closeDelimited(a.response) {
		c.Close()
		return
	}
	c.keepAlive = idleTime(a.Header.Get("Keep-Alive"), c.pool.config.MaxIdle)
	c.keep()
}

// closeDelimited says whether only the end of the connection ends the body.
func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// idleTime returns how long to keep a connection whose upstream sent the given Keep-Alive header. A quarter of the stated time is left
// for a request that is on its way when the upstream closes.
func idleTime(header string, unstated time.Duration) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(seconds) * time.Second * 3 / 4
	}
	return unstated
}
