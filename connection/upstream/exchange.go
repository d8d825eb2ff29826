package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// syncBodyBytes is the largest body that is written before the response is read. An upstream may respond before it has read a
// longer body and then stop reading, which would block the writer.
const syncBodyBytes = 4 << 10

// maxMismatchedResponses is the maximum number of responses to other requests that are skipped before the expected one.
const maxMismatchedResponses = 3

// maxMismatchedBodyBytes limits how much of the body of a skipped response is read.
const maxMismatchedBodyBytes = 1 << 20

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request left the process.
	ErrNotSent = errors.New("request not sent")
	// ErrMismatchedResponse means that the connection carries responses to other requests.
	ErrMismatchedResponse = errors.New("response belongs to another request")
	// ErrInvalidStatus means that a response has a status that no response to the request can have, so that nothing of it can be relied on.
	ErrInvalidStatus = errors.New("invalid status of a response")
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the request target as received from the caller.
	Target string
	Host   string
	Header http.Header
	// Body is the content of the request, of BodyLength bytes. It may be nil if that is zero.
	Body       io.Reader
	BodyLength int
	// Reserve, if not nil, is called before a long head of the response takes more memory. An error ends the exchange.
	Reserve func(bytes int) error
	// IDHeader is the name of the header that carries the request id in both directions.
	IDHeader string
	ID       string
}

// Response is the response of an upstream. The caller reads Body to its end or gives up, and calls Close in either case.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// HasRequestID is set if the response carries the request id.
	HasRequestID bool

	conn           *Conn
	response       *http.Response
	requestWritten *atomic.Bool
	stopAbort      func() bool
	bodyRead       bool
}

// Exchange sends a request over a connection and returns the head of the response. The exchange ends when ctx ends, also while
// the body is read. Exchange takes ownership of the connection: it is closed on an error, and by Response.Close otherwise. An
// error that wraps ErrNotSent means that the upstream cannot have seen the request.
func Exchange(ctx context.Context, c *Conn, r *Request) (*Response, error) {
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
		return nil, trace.ConnectionProblem(err, "no response from %s: %v", c.pool.address, err)
	}
	answer.requestWritten = written
	answer.stopAbort = stop
	return answer, nil
}

// countingWriter counts the bytes that were written to the socket.
type countingWriter struct {
	conn *Conn
	n    int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.nc.Write(p)
	w.n += n
	return n, err
}

// send writes a request. A body longer than syncBodyBytes is written by a goroutine, which sets written when it is complete.
func send(c *Conn, r *Request, written *atomic.Bool) error {
	request := &http.Request{
		Method:        r.Method,
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: int64(r.BodyLength),
		Proto:         "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	target, err := parseTarget(r.Target)
	if err != nil {
		return trace.BadParameter("%v: %v", ErrNotSent, err)
	}
	request.URL = target
	if r.BodyLength > 0 {
		request.Body = io.NopCloser(r.Body)
	}
	if r.BodyLength > syncBodyBytes {
		go func() {
			w := bufio.NewWriterSize(c.nc, syncBodyBytes)
			// A failed write becomes visible as a missing response.
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

// receive reads the head of the response to r and skips responses to other requests. The first response on a connection may lack the request ID; a
// later one without it may be a copy of an earlier one.
func receive(c *Conn, r *Request) (*Response, error) {
	defer c.limited.allowAll()
	for range maxMismatchedResponses + 1 {
		c.limited.allowHead(r.Reserve)
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if isInterimStatus(response.StatusCode) {
			continue // an interim response has no body
		}
		if err := CheckStatus(response.StatusCode); err != nil {
			return nil, err
		}
		id := response.Header.Get(r.IDHeader)
		if id == r.ID || id == "" && !c.reused {
			return &Response{
				Status: response.StatusCode, Header: response.Header, Body: response.Body,
				HasRequestID: id == r.ID, conn: c, response: response,
			}, nil
		}
		c.skipped++
		if response.Close || closeDelimited(response) {
			return nil, ErrMismatchedResponse
		}
		c.limited.allow(maxMismatchedBodyBytes)
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBodyBytes)); err != nil {
			return nil, err
		}
	}
	return nil, ErrMismatchedResponse
}

// CheckStatus returns an error that wraps ErrInvalidStatus unless a response with this status can end an exchange: from 200 to 599 (RFC 9110, section 15).
func CheckStatus(status int) error {
	if status < http.StatusOK || status > 599 {
		return fmt.Errorf("%w: %03d", ErrInvalidStatus, status)
	}
	return nil
}

// isInterimStatus reports whether another response follows one with this status. None follows a switch of protocols, which no request asks for.
func isInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// Length returns the length of the body, negative if it is not known.
func (a *Response) Length() int { return int(a.response.ContentLength) }

// MarkBodyRead records that the body was read to its end, so that the connection can be reused.
func (a *Response) MarkBodyRead() { a.bodyRead = true }

// IsCloseDelimited reports whether the body ends with the connection, so that a truncated body cannot be told from a complete one.
func (a *Response) IsCloseDelimited() bool { return closeDelimited(a.response) }

// Close ends the exchange and returns the connection to the pool or closes it.
func (a *Response) Close() {
	notAborted := a.stopAbort()
	c := a.conn
	if !a.bodyRead || !notAborted || !a.requestWritten.Load() || a.response.Close || c.reader.Buffered() > 0 || c.skipped > 0 ||
		closeDelimited(a.response) {
		c.Close()
		return
	}
	c.keepAlive = keepAliveTimeout(a.Header.Get("Keep-Alive"), c.pool.config.MaxIdle)
	c.returnToPool()
}

// closeDelimited reports whether the body is delimited only by the end of the connection.
func closeDelimited(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// keepAliveTimeout returns how long to keep a connection whose upstream sent the given Keep-Alive header, or fallback if the
// header states no timeout. A quarter of the stated time is reserved for a request that is in transit when the upstream closes
// the connection.
func keepAliveTimeout(header string, fallback time.Duration) time.Duration {
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
	return fallback
}
