package buffer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

func TestFill(t *testing.T) {
	for _, length := range []int{0, 1, firstSegment, firstSegment + 1, 5 * maxSegment} {
		for _, known := range []int{-1, length} {
			text := bytes.Repeat([]byte("xyz"), length/3+1)[:length]
			for name, source := range map[string]io.Reader{
				"at once": bytes.NewReader(text), "byte by byte": iotest.OneByteReader(bytes.NewReader(text)), "end with data": iotest.DataErrReader(bytes.NewReader(text)),
			} {
				var b Buffer
				reserved := 0
				must.NoError(t, b.Fill(source, known, length, func(n int) error { reserved += n; return nil }))
				got, err := io.ReadAll(b.Reader())
				must.NoError(t, err)
				must.True(t, bytes.Equal(text, got), must.Sprintf("%d bytes, known %d, %s", length, known, name))
				must.EqOp(t, length, b.Len())
				must.GreaterEq(t, length, reserved)
				must.LessEq(t, 2*length+firstSegment, reserved)
				if known >= 0 {
					must.LessEq(t, known, reserved) // a true length never takes more than it says
				}
			}
		}
	}
}

// An announced message of which nothing arrives must not take memory.
func TestFill_AnnouncedOnly(t *testing.T) {
	var b Buffer
	refuse := func(int) error { return errors.New("reserved") }
	must.ErrorIs(t, b.Fill(iotest.ErrReader(io.ErrClosedPipe), 1<<30, 1<<30, refuse), io.ErrClosedPipe)
}

func TestFill_Errors(t *testing.T) {
	noRoom := errors.New("no room")
	accept := func(int) error { return nil }
	var b Buffer
	must.ErrorIs(t, b.Fill(strings.NewReader("abc"), 4, 10, accept), io.ErrUnexpectedEOF)
	b.Drop()
	must.ErrorIs(t, b.Fill(strings.NewReader("abc"), 11, 10, accept), ErrTooLong)
	must.ErrorIs(t, b.Fill(strings.NewReader("abcd"), -1, 3, accept), ErrTooLong)
	b.Drop()
	must.ErrorIs(t, b.Fill(strings.NewReader("abc"), -1, 10, func(int) error { return noRoom }), noRoom)
	must.EqOp(t, 3, b.Len()) // what has been read is not lost
}
