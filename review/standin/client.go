package main

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, path, key string
	deadline              time.Duration
	header                map[string]string
	body                  []byte
	// quiet leaves the lines of this request to the caller.
	quiet bool
}

// answer is what the client got.
type answer struct {
	sentAt, endedAt time.Time
	status          int
	signed          bool
	body            string
	// err is set if the connection ended without a complete answer.
	err error
}

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true, WriteBufferSize: 32 << 10}}
}

// send sends a request to a gateway and records what was sent and answered. It does not repeat it.
func (g *gateway) send(c *http.Client, q request) answer {
	r, err := http.NewRequest(q.method, "http://"+g.callers+q.path, nil)
	if err != nil {
		panic(err)
	}
	if q.body != nil {
		// Without GetBody, net/http does not repeat the request by itself.
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(q.body)), int64(len(q.body))
	}
	r.Host = host
	r.Header.Set(headerRequestID, q.id)
	r.Header.Set(headerDeadline, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	if !q.quiet {
		g.fleet.record.log("sends     %s %s %s to %s, key %q, deadline %v", q.id, q.method, q.path, g.name, q.key, q.deadline)
	}
	a := answer{sentAt: time.Now()}
	response, err := c.Do(r)
	if err != nil {
		a.err = err
	} else {
		a.status, a.signed = response.StatusCode, response.Header.Get(headerSignature) != ""
		var body []byte
		body, a.err = io.ReadAll(response.Body)
		a.body = string(body)
		_ = response.Body.Close()
	}
	a.endedAt = time.Now()
	took := a.endedAt.Sub(a.sentAt).Round(time.Millisecond)
	switch {
	case q.quiet:
	case a.err != nil:
		g.fleet.record.log("no answer %s after %v, status %d, %d bytes: %v", q.id, took, a.status, len(a.body), a.err)
	default:
		g.fleet.record.log("answered  %s after %v, status %d, signed %v, %d bytes", q.id, took, a.status, a.signed, len(a.body))
	}
	return a
}

// isWholeStream reports whether a stream has all of its events, each once and in order.
func isWholeStream(body, id string, events int) bool {
	var want strings.Builder
	for n := 1; n <= events; n++ {
		want.WriteString("id: " + strconv.Itoa(n) + "\ndata: " + id + "\n\n")
	}
	return body == want.String()
}

// together runs f n times at once, with a pause between the starts, and waits for all.
func together(n int, pause time.Duration, f func(i int)) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { f(i) })
		time.Sleep(pause)
	}
	all.Wait()
}
