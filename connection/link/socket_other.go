//go:build !unix

package link

import (
	"bufio"
	"io"
	"net"
)

// newReader returns a buffered reader for a connection.
func newReader(nc net.Conn) io.Reader { return bufio.NewReaderSize(nc, readBufferBytes) }
