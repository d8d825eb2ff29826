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
	// reserve is called before more than unreservedHeadBytes of a head are kept, nil if nothing is reserved.
	reserve func(bytes int) error
}

// unreservedHeadBytes is the size up to which a head takes no reserved memory.
const unreservedHeadBytes = 4 << 10

func newLimitedReader(source io.Reader) *limitedReader {
	return &limitedReader{source: source, left: math.MaxInt64}
}

// allow sets the number of bytes that may be read from now on. They take no reserved memory.
func (r *limitedReader) allow(bytes int64) { r.left, r.reserve = bytes, nil }

// allowHead allows the bytes of one head, which are reserved with reserve unless it is nil.
func (r *limitedReader) allowHead(reserve func(bytes int) error) {
	r.left, r.reserve = maxHeadBytes, reserve
}

// allowAll removes the limit.
func (r *limitedReader) allowAll() { r.allow(math.MaxInt64) }

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if r.reserve != nil && r.left < maxHeadBytes-unreservedHeadBytes {
		if reserveErr := r.reserve(n); reserveErr != nil {
			return 0, reserveErr
		}
	}
	return n, err
}
