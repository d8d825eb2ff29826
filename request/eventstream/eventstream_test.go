package eventstream

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

// readAll reads until the first error and returns the events before it.
func readAll(r *Reader) (string, error) {
	var all strings.Builder
	for {
		events, err := r.Next()
		if err != nil {
			return all.String(), err
		}
		all.Write(events)
	}
}

// A stream that is truncated within an event must yield only the complete events before the cut and end with io.ErrUnexpectedEOF.
func TestNext_CutAtEveryByte(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	for cut := range len(text) + 1 {
		got, err := readAll(NewReader(iotest.OneByteReader(strings.NewReader(text[:cut])), nil))
		must.StrHasPrefix(t, got, text)
		must.True(t, got == "" || strings.HasSuffix(got, "\n\n"))
		if len(got) == cut {
			must.ErrorIs(t, err, io.EOF)
		} else {
			must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
	}
}

// A resumed stream must continue after the id of the last event that was passed on.
func TestLastID(t *testing.T) {
	id, found := LastID([]byte("id: 1\ndata: a\n\nid:27\r\ndata: id: 9\r\n\r\n"))
	must.True(t, found)
	must.EqOp(t, "27", id)
	_, found = LastID([]byte("data: x\n\n"))
	must.False(t, found)
}

// An event without an end must not use unbounded memory.
func TestNext_TooLong(t *testing.T) {
	_, err := readAll(NewReader(strings.NewReader(strings.Repeat("x", MaxEventBytes+readBytes)), nil))
	must.ErrorIs(t, err, ErrTooLong)
}

// Next must return a prefix of the stream for any input.
func FuzzNext(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := readAll(NewReader(strings.NewReader(string(text)), nil))
		must.Error(t, err)
		must.StrHasPrefix(t, got, string(text))
	})
}
