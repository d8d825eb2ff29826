package eventstream

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/shoenig/test/must"
)

// onlyData returns a stream of one event that never ends.
func onlyData() io.Reader {
	return io.MultiReader(bytes.NewReader([]byte("data: ")), &repeatedByte{'x'})
}

type repeatedByte struct{ b byte }

func (r *repeatedByte) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.b
	}
	return len(p), nil
}

// BenchmarkNext_EventWithoutEnd reads up to MaxEventBytes.
func BenchmarkNext_EventWithoutEnd(b *testing.B) {
	for range b.N {
		_, err := NewReader(onlyData(), nil).Next()
		must.True(b, errors.Is(err, ErrTooLong))
	}
}

// The end of an event must be found wherever reads cut it, after any number of reads without one.
func TestNext_EndAcrossReads(t *testing.T) {
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		for length := 3*readBytes - 8; length < 3*readBytes+8; length++ {
			event := append(bytes.Repeat([]byte("x"), length), end...)
			r := NewReader(io.MultiReader(bytes.NewReader(event), bytes.NewReader([]byte("y"))), nil)
			got, err := r.Next()
			must.NoError(t, err)
			must.Eq(t, event, got)
			_, err = r.Next()
			must.True(t, errors.Is(err, io.ErrUnexpectedEOF))
		}
	}
}
