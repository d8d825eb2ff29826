package eventstream

import "bytes"

// Count returns the number of events in complete events as returned by Reader.Next.
func Count(events []byte) int {
	return bytes.Count(events, []byte("\n\n")) + bytes.Count(events, []byte("\r\n\r\n"))
}
