// Package assembly verifies the integrity of a streamed response: order, attempt, chunk count and checksum.
//
// An Assembler belongs to one attempt of one request. Its owner passes every Chunk and the End of the attempt to it and forwards
// to the caller only the data that the Assembler returns. It is a pure state machine without clock, I/O or locks, for use by a
// single goroutine.
//
// Chunks are numbered across the whole response. A resumed attempt starts at the number of chunks that earlier attempts have
// delivered. The count in the End frame covers the whole response, its checksum only the data of its own attempt.
package assembly

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/wire"
)

var (
	// ErrDropped is wrapped by the error for a frame that the owner ignores. The response can still complete.
	ErrDropped = errors.New("frame dropped")
	// ErrIncomplete is wrapped by the error for a response that is or will be incomplete. It is final: every later frame of the
	// attempt returns the same error, and the owner ends the response as broken.
	ErrIncomplete = errors.New("response incomplete")
)

// The errors are allocated once, so that dropping a frame does not allocate.
var (
	errForeign   = fmt.Errorf("%w: of another request or attempt", ErrDropped)
	errDuplicate = fmt.Errorf("%w: its sequence number has already been delivered", ErrDropped)
	errLate      = fmt.Errorf("%w: after the end of the response", ErrDropped)
	errGap       = fmt.Errorf("%w: a chunk is missing", ErrIncomplete)
	errCount     = fmt.Errorf("%w: the chunk count does not match", ErrIncomplete)
	errChecksum  = fmt.Errorf("%w: the checksum does not match", ErrIncomplete)
)

// Dropped counts dropped frames by reason.
type Dropped struct {
	// Foreign counts frames with another request id or attempt.
	Foreign uint32
	// Duplicate counts chunks whose sequence number has already been delivered.
	Duplicate uint32
	// Late counts frames that arrive after the response has ended or was found incomplete.
	Late uint32
}

// Assembler tracks the response of one attempt.
type Assembler struct {
	id      wire.Identity
	next    uint32
	digest  xxhash.Digest
	state   state
	failure error
	dropped Dropped
}

type state uint8

const (
	open state = iota
	complete
	broken
)

// New returns the Assembler for the attempt id. received is the number of chunks that earlier attempts have delivered, which is
// also the first sequence number of this attempt.
func New(id wire.Identity, received uint32) *Assembler {
	a := &Assembler{id: id, next: received}
	a.digest.Reset()
	return a
}

// Chunk returns the data of c, without a copy, if c is the next chunk of this attempt. Otherwise the data is nil, and the error
// wraps ErrDropped if the frame is to be ignored, or ErrIncomplete if a chunk before c is missing.
func (a *Assembler) Chunk(c *wire.Chunk) (data []byte, err error) {
	if err := a.checkFrame(c.Identity); err != nil {
		return nil, err
	}
	if c.Sequence < a.next {
		a.dropped.Duplicate++
		return nil, errDuplicate
	}
	if c.Sequence > a.next {
		return nil, a.fail(errGap)
	}
	a.next++
	// Digest.Write returns no error.
	_, _ = a.digest.Write(c.Data)
	return c.Data, nil
}

// End verifies the response against its End frame. It returns nil if the response is complete. Otherwise the error wraps
// ErrDropped if the frame is to be ignored, or ErrIncomplete if the count or checksum does not match.
func (a *Assembler) End(end *wire.End) error {
	if err := a.checkFrame(end.Identity); err != nil {
		return err
	}
	if end.Chunks != a.next {
		return a.fail(errCount)
	}
	if end.Checksum != a.digest.Sum64() {
		return a.fail(errChecksum)
	}
	a.state = complete
	return nil
}

// Received returns the number of chunks delivered, including those of earlier attempts. A resumed attempt starts there.
func (a *Assembler) Received() uint32 { return a.next }

// Complete reports whether End accepted the response.
func (a *Assembler) Complete() bool { return a.state == complete }

// Dropped returns the number of dropped frames by reason.
func (a *Assembler) Dropped() Dropped { return a.dropped }

// checkFrame returns an error unless a frame with the identity id may change the state. It counts the frames that it rejects.
func (a *Assembler) checkFrame(id wire.Identity) error {
	if id != a.id {
		a.dropped.Foreign++
		return errForeign
	}
	switch a.state {
	case open:
		return nil
	case broken:
		a.dropped.Late++
		return a.failure
	default:
		a.dropped.Late++
		return errLate
	}
}

// fail marks the response as incomplete and returns the error for this and all later frames.
func (a *Assembler) fail(cause error) error {
	a.state = broken
	a.failure = trace.Wrap(cause)
	return a.failure
}
