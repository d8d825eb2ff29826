// Package headscan counts the fields of a request's head as its bytes arrive, before they are parsed.
package headscan

import "bytes"

// Scanner follows one head. The zero value is at its start.
type Scanner struct {
	// Lines is the number of complete lines so far, including the request line. Bytes is the number of bytes so far.
	Lines, Bytes int
	// lineBytes is the number of bytes of the unfinished line, without carriage returns.
	lineBytes int
	complete  bool
}

// Complete reports whether the empty line at the end of the head has arrived.
func (s *Scanner) Complete() bool { return s.complete }

// Add takes the next bytes of the connection. It returns how many of them belong to the head. Empty lines before the request line do not end the
// head: some clients send one after a body.
func (s *Scanner) Add(p []byte) int {
	taken := 0
	for !s.complete && taken < len(p) {
		rest := p[taken:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			s.lineBytes += len(rest) - bytes.Count(rest, []byte{'\r'})
			taken = len(p)
			break
		}
		s.lineBytes += end - bytes.Count(rest[:end], []byte{'\r'})
		taken += end + 1
		s.complete = s.lineBytes == 0 && s.Lines > 0
		if s.lineBytes > 0 {
			s.Lines++
		}
		s.lineBytes = 0
	}
	s.Bytes += taken
	return taken
}
