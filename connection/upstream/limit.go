package upstream

import (
	"errors"
	"io"
	"math"
)

// maxHeadBytes limits the bytes that are read for one response head, and those that are read ahead of its body with it.
const maxHeadBytes = 64 << 10

// ErrHeadTooLong means that an upstream sent more than maxHeadBytes without completing the head of a response, or too long a response to
// another request before it.
var ErrHeadTooLong = errors.New("response head too long")

// limitedReader reads from a connection and fails once a limit that can be changed between reads is used up. Without it, the head of a
// response could fill the memory, since net/http does not limit it.
type limitedReader struct {
	source io.Reader
	left   int64
}

func newLimitedReader(source io.Reader) *limitedReader { return &limitedReader{source, math.MaxInt64} }

// allow sets the number of bytes that may be read from now on.
func (r *limitedReader) allow(bytes int64) { r.left = bytes }

// allowAll removes the limit.
func (r *limitedReader) allowAll() { r.left = math.MaxInt64 }

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}
