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

// answer sends what the upstream produces to the caller. One goroutine uses it.
type answer interface {
	// streams says whether parts go to the caller as they arrive.
	streams() bool
	// write takes the next part. It returns io.ErrShortBuffer when the answer exceeds the limit, other errors when the caller is
	// gone.
	write(data []byte) error
	// reset drops what was written; it is used only if streams is false.
	reset()
	// finish ends the answer.
	finish(o outcome)
}

func newAnswer(w http.ResponseWriter, r *http.Request, model bool, limit int) answer {
	if model && strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		return &eventStream{w: w, control: http.NewResponseController(w)}
	}
	return &buffered{w: w, limit: limit, model: model}
}

// terminal is the data of the terminal event of a stream, and the body of a failure.
type terminal struct {
	Result  int    `json:"result"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Text    string `json:"text"`
	Reason  string `json:"reason,omitempty"`
	Chunks  uint32 `json:"chunks,omitempty"`
}

func (o outcome) terminal() terminal {
	info := o.code.Info()
	return terminal{int(o.code), info.Name, info.Outcome.String(), info.Text, o.reason, o.chunks}
}

func setResult(h http.Header, o outcome) {
	h.Set(HeaderResult, strconv.Itoa(int(o.code)))
	h.Set(HeaderOutcome, o.code.Outcome().String())
	if o.upstream != "" {
		h.Set(HeaderUpstream, o.upstream)
	}
}

// writeFailure answers a request without any part of an answer.
func writeFailure(w http.ResponseWriter, o outcome) {
	info := o.code.Info()
	h := w.Header()
	setResult(h, o)
	h.Set("Content-Type", "application/json")
	if info.HTTPStatus == http.StatusServiceUnavailable || info.HTTPStatus == http.StatusTooManyRequests {
		h.Set("Retry-After", retryAfter(o.retryAfter))
	}
	w.WriteHeader(info.HTTPStatus)
	_ = json.NewEncoder(w).Encode(o.terminal())
}

// retryAfter is a wait in whole seconds, rounded up.
func retryAfter(d time.Duration) string {
	if d <= 0 {
		d = defaultRetryAfter
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// buffered sends the answer in one piece when it is whole.
type buffered struct {
	w     http.ResponseWriter
	body  []byte
	limit int
	model bool
}

func (b *buffered) streams() bool { return false }

func (b *buffered) write(data []byte) error {
	if len(b.body)+len(data) > b.limit {
		return io.ErrShortBuffer
	}
	b.body = append(b.body, data...)
	return nil
}

func (b *buffered) reset() { b.body = nil }

func (b *buffered) finish(o outcome) {
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
	b.w.WriteHeader(max(o.status, http.StatusOK))
	_, _ = b.w.Write(b.body)
}

func (b *buffered) contentType(o outcome) string {
	if b.model {
		return "text/plain; charset=utf-8"
	}
	return cmp.Or(o.contentType, "application/json")
}

// eventStream sends parts as server-sent events and ends with a terminal event.
type eventStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
}

func (s *eventStream) streams() bool { return true }

func (s *eventStream) reset() {}

func (s *eventStream) write(data []byte) error {
	s.start()
	return s.event("", map[string]string{"text": string(data)})
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

func (s *eventStream) event(name string, data any) error {
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
	return s.control.Flush()
}

// finish sends the terminal event. After a failure the connection is aborted too, so that a stream that did not end whole never looks
// complete to a caller that ignores events.
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
		_ = s.event("end", o.terminal())
		return
	}
	_ = s.event("error", o.terminal())
	panic(http.ErrAbortHandler)
}
