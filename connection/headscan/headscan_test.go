package headscan

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// The count must not depend on how the bytes are divided, and bytes of the body must not be counted.
func TestScanner(t *testing.T) {
	cases := map[string]struct {
		text         string
		lines, bytes int
		complete     bool
	}{
		"empty":                  {"", 0, 0, false},
		"complete":               {"GET / HTTP/1.1\r\nA: b\r\n\r\n", 2, 24, true},
		"with a body":            {"GET / HTTP/1.1\r\nA: b\r\n\r\n\n\n\n\nx\n", 2, 24, true},
		"bare line feeds":        {"GET / HTTP/1.1\nA: b\n\nbody\n", 2, 21, true},
		"unfinished":             {"GET / HTTP/1.1\r\nA: b\r\nC", 2, 23, false},
		"empty lines before it":  {"\r\n\r\nGET / HTTP/1.1\r\n\r\nbody", 1, 22, true},
		"carriage returns alone": {"GET /\r\n\r\r\n", 1, 10, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, piece := range []int{1, 2, 3, 7, max(1, len(c.text))} {
				var s Scanner
				for rest := c.text; rest != "" && !s.Complete(); {
					n := min(piece, len(rest))
					taken := s.Add([]byte(rest[:n]))
					must.True(t, taken == n || s.Complete())
					rest = rest[n:]
				}
				must.EqOp(t, c.lines, s.Lines)
				must.EqOp(t, c.bytes, s.Bytes)
				must.EqOp(t, c.complete, s.Complete())
			}
		})
	}
	var s Scanner
	s.Add([]byte(strings.Repeat("a:\r\n", 9000)))
	must.EqOp(t, 9000, s.Lines)
}
