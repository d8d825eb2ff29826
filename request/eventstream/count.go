package eventstream

import "bytes"

// HasData reports whether complete events contain any data. Events without data, such as comments, are ignored by readers of the stream.
func HasData(events []byte) bool {
	return bytes.HasPrefix(events, []byte("data")) || bytes.Contains(events, []byte("\ndata"))
}

// Count returns the number of events in complete events as returned by Reader.Next.
func Count(events []byte) int {
	return bytes.Count(events, []byte("\n\n")) + bytes.Count(events, []byte("\r\n\r\n"))
}
