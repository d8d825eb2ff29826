// Package buffer holds complete messages in memory that grows with what has arrived of them.
package buffer

import (
	"bytes"
	"errors"
	"io"
)

const (
	// firstSegment is the size of the first segment of a buffer. It fits most requests and answers.
	firstSegment = 1 << 10
	// maxSegment is the maximum size of a segment. At most this much of a buffer is unused.
	maxSegment = 64 << 10
)

// ErrTooLong is returned for messages that are longer than the limit.
var ErrTooLong = errors.New("message too long")

// Reserve is called before a buffer takes n more bytes of memory. An error ends the read.
type Reserve func(n int) error

// Buffer is a message, or the part of it that has been read. The zero value is empty.
type Buffer struct {
	segments [][]byte
	length   int
}

// Len returns the number of bytes in the buffer.
func (b *Buffer) Len() int { return b.length }

// Segments returns the content in order. It must not be changed.
func (b *Buffer) Segments() [][]byte { return b.segments }

// Reader returns a reader of the content. Several can be used at once.
func (b *Buffer) Reader() io.Reader {
	readers := make([]io.Reader, len(b.segments))
	for i, s := range b.segments {
		readers[i] = bytes.NewReader(s)
	}
	return io.MultiReader(readers...)
}

// Drop empties the buffer.
func (b *Buffer) Drop() { *b = Buffer{} }

// Fill reads source to its end into the buffer. known is the length of the message if it is known, else negative. It returns ErrTooLong after limit
// bytes, an error of reserve or of source, and io.ErrUnexpectedEOF if source ends before the known length. The buffer then holds what has been read.
func (b *Buffer) Fill(source io.Reader, known, limit int, reserve Reserve) error {
	if known > limit {
		return ErrTooLong
	}
	for {
		if b.length > limit {
			return ErrTooLong
		}
		space, err := b.space(known, reserve)
		if err != nil {
			return err
		}
		if len(space) == 0 {
			return nil // the message has its known length
		}
		n, err := source.Read(space)
		first := n > 0 && b.length == 0
		b.take(n)
		if first {
			// The first segment is reserved once something has arrived: an announced message takes nothing.
			if err := reserve(len(space)); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF) && known >= 0 && b.length < known:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF) && b.length > limit:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// space returns the unused part of the last segment, or of a new one if that is full. It is empty if the message has its known length.
func (b *Buffer) space(known int, reserve Reserve) ([]byte, error) {
	if n := len(b.segments); n > 0 {
		if last := b.segments[n-1]; len(last) < cap(last) {
			return last[len(last):cap(last)], nil
		}
	}
	size := min(max(firstSegment, b.length), maxSegment)
	if known >= 0 {
		size = min(size, known-b.length)
	}
	if size == 0 {
		return nil, nil
	}
	if b.length > 0 {
		if err := reserve(size); err != nil {
			return nil, err
		}
	}
	b.segments = append(b.segments, make([]byte, 0, size))
	return b.segments[len(b.segments)-1][:size], nil
}

// take adds the first n bytes of the latest space to the content.
func (b *Buffer) take(n int) {
	last := len(b.segments) - 1
	b.segments[last] = b.segments[last][:len(b.segments[last])+n]
	b.length += n
}
