// Package eventstream splits a text/event-stream into complete events without changing their bytes, so that a stream that breaks in the
// middle of an event can be resumed after the last complete one.
package eventstream

import (
	"bytes"
	"errors"
	"io"
)

// MaxEventBytes limits the size of an event. A longer event ends the stream with ErrTooLong.
const MaxEventBytes = 1 << 20

// ErrTooLong is returned for an event that exceeds MaxEventBytes.
var ErrTooLong = errors.New("event too long")

// readBytes is the size of a single read. It fits a few events.
const readBytes = 1 << 10

// Reader reads complete events. It is not safe for concurrent use.
type Reader struct {
	source io.Reader
	// reserve is called before the buffer grows beyond unreservedBytes.
	reserve func(bytes int) error
	buffer  []byte
	// consumed is the length of the prefix of buffer that the last call of Next returned.
	consumed int
	// searched is the length of the prefix of buffer that contains no end of an event.
	searched int
	err      error
}

// unreservedBytes is the size of the buffer up to which no memory is reserved.
const unreservedBytes = 4 << 10

// NewReader returns a Reader for the events of source. reserve, if not nil, is called before the buffer takes more memory for a long event; its error
// ends the stream.
func NewReader(source io.Reader, reserve func(bytes int) error) *Reader {
	return &Reader{source: source, reserve: reserve}
}

// Next returns all complete events that have arrived, with their bytes unchanged. The slice is valid until the next call. At the end of
// the stream it returns io.EOF, or io.ErrUnexpectedEOF if an incomplete event remains. It never returns both bytes and an error.
func (r *Reader) Next() ([]byte, error) {
	r.buffer = append(r.buffer[:0], r.buffer[r.consumed:]...)
	r.consumed, r.searched = 0, 0
	for {
		// An end may have begun in the part that was searched before.
		from := max(0, r.searched-maxEndBytes+1)
		if end := lastEventEnd(r.buffer[from:]); end > 0 {
			r.consumed = from + end
			return r.buffer[:r.consumed], nil
		}
		r.searched = len(r.buffer)
		if r.err != nil {
			return nil, r.streamError()
		}
		if len(r.buffer) >= MaxEventBytes {
			return nil, ErrTooLong
		}
		r.fill()
	}
}

// fill reads once from source and grows the buffer if necessary.
func (r *Reader) fill() {
	have := len(r.buffer)
	if cap(r.buffer)-have < readBytes {
		size := 2*cap(r.buffer) + readBytes
		if r.reserve != nil && size > unreservedBytes {
			if r.err = r.reserve(size - cap(r.buffer)); r.err != nil {
				return
			}
		}
		grown := make([]byte, have, size)
		copy(grown, r.buffer)
		r.buffer = grown
	}
	n, err := r.source.Read(r.buffer[have : have+readBytes])
	r.buffer = r.buffer[:have+n]
	r.err = err
}

// streamError returns the error that ended the stream, or io.ErrUnexpectedEOF if the stream ended within an event.
func (r *Reader) streamError() error {
	if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.buffer)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// maxEndBytes is the length of the longest end of an event, which is "\r\n\r\n".
const maxEndBytes = 4

// lastEventEnd returns the total length of the complete events at the start of b.
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

// LastID returns the id of the last event that has one. events must be complete. It returns false if no event has an id.
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
