// Package eventstream splits a text/event-stream into whole events without changing their bytes, so that a stream that breaks in
// the middle of an event can be continued after the last whole one.
package eventstream

import (
	"bytes"
	"errors"
	"io"
)

// MaxEventBytes bounds one event. Longer ones end the stream with ErrTooLong.
const MaxEventBytes = 1 << 20

// ErrTooLong means that an event exceeds MaxEventBytes.
var ErrTooLong = errors.New("event too long")

// readBytes is the size of one read; a few events fit.
const readBytes = 1 << 10

// Reader reads whole events. It is not safe for concurrent use.
type Reader struct {
	source io.Reader
	buffer []byte
	// taken is the length of the part of buffer that Next returned last.
	taken int
	err   error
}

// NewReader returns a reader of the events of source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Next returns the next whole events: all that have arrived, their bytes unchanged. The slice is valid until the next call. At the end
// of a stream it returns io.EOF, or io.ErrUnexpectedEOF if an incomplete event is left over. Bytes and an error never come together.
func (r *Reader) Next() ([]byte, error) {
	r.buffer = append(r.buffer[:0], r.buffer[r.taken:]...)
	r.taken = 0
	for {
		if end := lastEventEnd(r.buffer); end > 0 {
			r.taken = end
			return r.buffer[:end], nil
		}
		if r.err != nil {
			return nil, r.failure()
		}
		if len(r.buffer) >= MaxEventBytes {
			return nil, ErrTooLong
		}
		r.fill()
	}
}

func (r *Reader) fill() {
	have := len(r.buffer)
	if cap(r.buffer)-have < readBytes {
		grown := make([]byte, have, 2*cap(r.buffer)+readBytes)
		copy(grown, r.buffer)
		r.buffer = grown
	}
	n, err := r.source.Read(r.buffer[have : have+readBytes])
	r.buffer = r.buffer[:have+n]
	r.err = err
}

func (r *Reader) failure() error {
	if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.buffer)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// lastEventEnd returns the length of the whole events at the beginning of b.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// LastID returns the id of the last event of whole events that has one, and whether there is any.
func LastID(events []byte) (string, bool) {
	id, found := "", false
	for line := range bytes.Lines(events) {
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if ok {
			id, found = string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	return id, found
}
