package eventstream

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

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

// A stream cut in the middle of an event must yield only the whole events before the cut, and must not look complete.
func TestNext_CutAtEveryByte(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	for cut := range len(text) + 1 {
		got, err := readAll(NewReader(iotest.OneByteReader(strings.NewReader(text[:cut]))))
		must.StrHasPrefix(t, got, text)
		must.True(t, got == "" || strings.HasSuffix(got, "\n\n"))
		if len(got) == cut {
			must.ErrorIs(t, err, io.EOF)
		} else {
			must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		}
	}
}

// The id that a resumed stream continues after must be that of the last event passed on.
func TestLastID(t *testing.T) {
	id, found := LastID([]byte("id: 1\ndata: a\n\nid:27\r\ndata: id: 9\r\n\r\n"))
	must.True(t, found)
	must.EqOp(t, "27", id)
	_, found = LastID([]byte("data: x\n\n"))
	must.False(t, found)
}

// An event that never ends must not take memory without bound.
func TestNext_TooLong(t *testing.T) {
	_, err := readAll(NewReader(strings.NewReader(strings.Repeat("x", MaxEventBytes+readBytes))))
	must.ErrorIs(t, err, ErrTooLong)
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := readAll(NewReader(strings.NewReader(string(text))))
		must.Error(t, err)
		must.StrHasPrefix(t, got, string(text))
	})
}
