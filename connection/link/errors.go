package link

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrConnectionLost is wrapped by every error caused by the end of the connection, whatever its cause.
	ErrConnectionLost = errors.New("connection lost")
	// ErrClosed is wrapped, in addition to ErrConnectionLost, if this end closed the connection.
	ErrClosed = errors.New("closed by this end")
	// ErrProtocolVersion means that the peer uses a different major version.
	ErrProtocolVersion = errors.New("other major protocol version")
	// ErrTooManyStreams means that Config.MaxStreams requests are in progress; nothing was sent.
	ErrTooManyStreams = errors.New("too many streams")
	// ErrPeerLeaving means that the peer accepts no new requests; nothing was sent.
	ErrPeerLeaving = errors.New("peer is leaving")
	// ErrQueueFull means that a control frame was not sent because the peer reads too slowly.
	ErrQueueFull = errors.New("control queue full")
	// ErrCanceled means that the stream was canceled.
	ErrCanceled = errors.New("stream canceled")
	// ErrEnded means that the Responder has already sent its End.
	ErrEnded = errors.New("response already ended")
	// ErrNotRunAfterAccepted means that End was called with a "not run" result although Accepted or data was sent.
	ErrNotRunAfterAccepted = errors.New("result says not run after Accepted")
	// ErrTruncated means that End was called with a "run" result although a Write failed.
	ErrTruncated = errors.New("result says run after a failed Write")
)

// errProtocol is wrapped by the errors that close a connection because the peer violated the protocol with well-formed frames.
var errProtocol = errors.New("protocol violation")

// lostError returns the error for a connection that ended because of cause.
func lostError(cause error) error {
	return trace.Wrap(fmt.Errorf("%w: %w", ErrConnectionLost, cause))
}
