package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is a client's request.
type request struct {
	method, path, key string
	deadline          time.Duration
	body              string
}

// answer is what the client saw. Status is zero if the connection ended without an answer.
type answer struct {
	id     string
	sentAt time.Time
	took   time.Duration
	status int
	body   string
}

var lastID atomic.Int64

// send sends a request to a gateway and waits for answerSlack longer than the deadline for the answer.
func send(c *http.Client, r *record, address string, q request) answer {
	a := answer{id: "q" + strconv.FormatInt(lastID.Add(1), 10)}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+answerSlack)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, strings.NewReader(q.body))
	if err != nil {
		return a
	}
	hr.Host = host
	hr.Header.Set(headerRequestID, a.id)
	hr.Header.Set(headerDeadline, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	hr.Header.Set("Authorization", "Bearer "+q.key)
	a.sentAt = time.Now()
	r.line("sent %s %s key %s to %s", a.id, q.path, q.key, address)
	response, err := c.Do(hr)
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			a.status, a.body = response.StatusCode, string(text)
		}
	}
	a.took = time.Since(a.sentAt)
	r.line("answered %s status %d after %d ms", a.id, a.status, a.took.Milliseconds())
	return a
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}
}
