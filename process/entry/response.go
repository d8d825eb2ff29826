package entry

import (
	"cmp"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jayridge/jayridge/request/result"
)

// responseWriter sends the upstream's response to the caller. It must be used by a single goroutine.
type responseWriter interface {
	// isStreaming reports whether chunks are sent to the caller as they arrive.
	isStreaming() bool
	// write appends the next chunk. It returns io.ErrShortBuffer if the response exceeds the size limit, and any other error if the
	// caller has disconnected.
	write(data []byte) error
	// reset discards the buffered response. It has no effect on a streaming writer.
	reset()
	// finish completes the response.
	finish(o outcome)
}

func newResponseWriter(w http.ResponseWriter, r *http.Request, model bool, limit int) responseWriter {
	if model && strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		return &eventStream{w: w, controller: http.NewResponseController(w)}
	}
	return &bufferedResponse{w: w, limit: limit, model: model}
}

// terminalEvent is the payload of a stream's final event and the body of an error response.
type terminalEvent struct {
	Result  int    `json:"result"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Text    string `json:"text"`
	Reason  string `json:"reason,omitempty"`
	Chunks  uint32 `json:"chunks,omitempty"`
}

func (o outcome) terminalEvent() terminalEvent {
	info := o.code.Info()
	return terminalEvent{int(o.code), info.Name, info.Outcome.String(), info.Text, o.reason, o.chunks}
}

func setResult(h http.Header, o outcome) {
	h.Set(HeaderResult, strconv.Itoa(int(o.code)))
	h.Set(HeaderOutcome, o.code.Outcome().String())
	if o.upstream != "" {
		h.Set(HeaderUpstream, o.upstream)
	}
}

// writeFailure sends an error response. No part of the response may have been written before.
func writeFailure(w http.ResponseWriter, o outcome) {
	info := o.code.Info()
	h := w.Header()
	setResult(h, o)
	h.Set("Content-Type", "application/json")
	if info.HTTPStatus == http.StatusServiceUnavailable || info.HTTPStatus == http.StatusTooManyRequests {
		h.Set("Retry-After", retryAfterSeconds(o.retryAfter))
	}
	w.WriteHeader(info.HTTPStatus)
	_ = json.NewEncoder(w).Encode(o.terminalEvent())
}

// retryAfterSeconds formats d as the value of Retry-After: whole seconds, rounded up. A zero or negative d gives defaultRetryAfter.
func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// bufferedResponse collects the response in memory and sends it once it is complete.
type bufferedResponse struct {
	w     http.ResponseWriter
	body  []byte
	limit int
	model bool
}

func (b *bufferedResponse) isStreaming() bool { return false }

func (b *bufferedResponse) write(data []byte) error {
	if len(b.body)+len(data) > b.limit {
		return io.ErrShortBuffer
	}
	b.body = append(b.body, data...)
	return nil
}

func (b *bufferedResponse) reset() { b.body = nil }

func (b *bufferedResponse) finish(o outcome) {
	if o.code != result.OK {
		writeFailure(b.w, o)
		return
	}
	setResult(b.w.Header(), o)
	b.w.Header().Set("Content-Type", b.contentType(o))
	if o.location != "" {
		b.w.Header().Set("Location", o.location)
	}
	b.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	b.w.WriteHeader(o.status)
	_, _ = b.w.Write(b.body)
}

func (b *bufferedResponse) contentType(o outcome) string {
	if b.model {
		return "text/plain; charset=utf-8"
	}
	return cmp.Or(o.contentType, "application/json")
}

// eventStream forwards chunks as server-sent events and ends with a terminal event.
type eventStream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	started    bool
}

func (s *eventStream) isStreaming() bool { return true }

func (s *eventStream) reset() {}

func (s *eventStream) write(data []byte) error {
	s.start()
	return s.writeEvent("", map[string]string{"text": string(data)})
}

func (s *eventStream) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *eventStream) writeEvent(name string, data any) error {
	text, err := json.Marshal(data)
	if err != nil {
		return err
	}
	line := "data: " + string(text) + "\n\n"
	if name != "" {
		line = "event: " + name + "\n" + line
	}
	if _, err := io.WriteString(s.w, line); err != nil {
		return err
	}
	return s.controller.Flush()
}

// finish sends the terminal event. After a failure it also aborts the connection, so that a truncated stream does not look complete to
// a client that ignores events.
func (s *eventStream) finish(o outcome) {
	if o.code != result.OK && !s.started {
		writeFailure(s.w, o)
		return
	}
	if !s.started {
		setResult(s.w.Header(), o)
	}
	s.start()
	if o.code == result.OK {
		_ = s.writeEvent("end", o.terminalEvent())
		return
	}
	_ = s.writeEvent("error", o.terminalEvent())
	panic(http.ErrAbortHandler)
}
