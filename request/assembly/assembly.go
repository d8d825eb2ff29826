// Package assembly checks the integrity of a streamed response: order, attempt, count and checksum.
//
// An Assembly belongs to one attempt of one request. Its owner passes every Chunk and the End of the attempt to it and hands
// on to the caller only what the Assembly returns. It is a pure state machine for a single goroutine: no clock, I/O or lock.
//
// Chunks are numbered over the whole response. A resumed attempt continues at the number of chunks that earlier attempts
// already passed on; the End's count is that of the whole response, its checksum that of the data of its own attempt.
package assembly

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/wire"
)

var (
	// ErrDropped is wrapped by the error for a frame that the owner ignores; the response may still end well.
	ErrDropped = errors.New("frame dropped")
	// ErrIncomplete is wrapped by the error for a response that is or will be incomplete. It is final: every later frame of
	// the attempt gets the same error, and the owner ends the response as broken.
	ErrIncomplete = errors.New("response incomplete")
)

// The errors are fixed values, so that dropping a frame does not allocate.
var (
	errForeign   = fmt.Errorf("%w: of another request or attempt", ErrDropped)
	errDuplicate = fmt.Errorf("%w: its sequence number was already passed on", ErrDropped)
	errLate      = fmt.Errorf("%w: after the end of the response", ErrDropped)
	errGap       = fmt.Errorf("%w: a chunk is missing", ErrIncomplete)
	errCount     = fmt.Errorf("%w: the chunk count does not match", ErrIncomplete)
	errChecksum  = fmt.Errorf("%w: the checksum does not match", ErrIncomplete)
)

// Dropped counts dropped frames by kind.
type Dropped struct {
	// Foreign frames carry another request id or attempt.
	Foreign uint32
	// Duplicate chunks carry a sequence number that was already passed on.
	Duplicate uint32
	// Late frames arrive after the response ended or was found incomplete.
	Late uint32
}

// Assembly is the state of one attempt's response.
type Assembly struct {
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

// New returns the Assembly for the attempt id. received is the number of chunks that earlier attempts passed on, and the
// first sequence number of this one.
func New(id wire.Identity, received uint32) *Assembly {
	a := &Assembly{id: id, next: received}
	a.digest.Reset()
	return a
}

// Chunk returns the data of c if it is the next chunk of this attempt. Otherwise the data is nil, and the error wraps
// ErrDropped for a frame to ignore or ErrIncomplete if a chunk before c is missing. The data is that of c and is not copied.
func (a *Assembly) Chunk(c *wire.Chunk) (data []byte, err error) {
	if err := a.accept(c.Identity); err != nil {
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

// End checks the response against its end. It returns nil if the response is complete; the error wraps ErrDropped for a
// frame to ignore and ErrIncomplete if the count or checksum does not match.
func (a *Assembly) End(end *wire.End) error {
	if err := a.accept(end.Identity); err != nil {
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

// Received returns the number of chunks passed on, those of earlier attempts included: what a resumed attempt starts from.
func (a *Assembly) Received() uint32 { return a.next }

// Complete reports whether End accepted the response.
func (a *Assembly) Complete() bool { return a.state == complete }

// Dropped returns the number of dropped frames by kind.
func (a *Assembly) Dropped() Dropped { return a.dropped }

// accept returns an error unless a frame of identity id may change the state.
func (a *Assembly) accept(id wire.Identity) error {
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

func (a *Assembly) fail(cause error) error {
	a.state = broken
	a.failure = trace.Wrap(cause)
	return a.failure
}
