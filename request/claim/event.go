package claim

import (
	"time"

	"github.com/jayridge/jayridge/process/services"
)

// Event is an input to a Log.
type Event interface{ event() }

// ClaimSubmitted claims a key. ID is unique among the log's claims.
type ClaimSubmitted struct {
	ID          uint64
	Key         Key
	Fingerprint uint64
}

// ClaimCanceled ends a claim. A claim that is not decided yet gets a decision immediately, which is not a grant.
type ClaimCanceled struct{ ID uint64 }

// FinishSubmitted stores the response of a granted claim.
type FinishSubmitted struct {
	Key      Key
	Response Response
}

// ReadResult is the result of a Read. Err is nil, or wraps services.ErrNotFound or the reason why the read failed.
type ReadResult struct {
	Op       uint64
	Value    []byte
	Revision services.Revision
	Err      error
}

// WriteResult is the result of a Write. Err is nil, or wraps one of the errors of services.KV's CompareAndSwap. Any other
// error counts as an unknown outcome.
type WriteResult struct {
	Op       uint64
	Revision services.Revision
	Err      error
}

// BodyResult is the result of a ReadBodies.
type BodyResult struct {
	Segment uint64
	Value   []byte
	Err     error
}

// ForwardResult is the result of a Forward. Err is nil if the other store has appended the batch. It wraps
// services.ErrUnavailable if that store has not appended it and never will. Any other error counts as an unknown outcome.
type ForwardResult struct {
	Op       uint64
	Appended AppendResult
	Err      error
}

// BatchReceived asks to append a batch that another store forwarded. ID is unique among the log's received batches.
type BatchReceived struct {
	ID    uint64
	Batch []byte
}

// AppendResult reports the outcome of a batch that is in the log.
type AppendResult struct {
	// TimeMS is the timestamp of the batch in the log, in ms since 1970.
	TimeMS int64
	// Owned reports for each claim in the batch whether it owns its key.
	Owned []bool
}

// Tick tells the log that time has passed.
type Tick struct{}

// Closing refuses all claims that are not granted yet and writes the remaining records. The log is done when Idle returns
// true.
type Closing struct{}

func (ClaimSubmitted) event()  {}
func (ClaimCanceled) event()   {}
func (FinishSubmitted) event() {}
func (ReadResult) event()      {}
func (WriteResult) event()     {}
func (BodyResult) event()      {}
func (ForwardResult) event()   {}
func (BatchReceived) event()   {}
func (Tick) event()            {}
func (Closing) event()         {}

// Effect is an output of a Log.
type Effect interface{ effect() }

// Read asks for a segment. Its ReadResult has the same Op.
type Read struct {
	Op      uint64
	Segment uint64
}

// Write asks for a compare-and-swap of a segment. Its WriteResult has the same Op.
type Write struct {
	Op      uint64
	Segment uint64
	Prev    services.Revision
	Value   []byte
}

// ReadBodies asks for a segment that holds response bodies. The segment may be sealed, and the state read may be an older one.
type ReadBodies struct{ Segment uint64 }

// Grant gives a claim its key. A granted claim gets no Answer.
type Grant struct{ ID uint64 }

// Answer ends a claim that is not granted. Err is set if the decision is Unavailable.
type Answer struct {
	ID       uint64
	Decision Decision
	Err      error
}

// Forward asks the store at an address to append a batch of this store. Its ForwardResult has the same Op and always
// arrives.
type Forward struct {
	Op    uint64
	To    string
	Batch []byte
}

// BatchResult is the result of a BatchReceived; Err has the meaning it has in ForwardResult.
type BatchResult struct {
	ID       uint64
	Appended AppendResult
	Err      error
}

// Wake asks for a Tick at a time. A later Wake replaces an earlier one.
type Wake struct{ At time.Time }

func (Read) effect()        {}
func (Write) effect()       {}
func (ReadBodies) effect()  {}
func (Forward) effect()     {}
func (BatchResult) effect() {}
func (Grant) effect()       {}
func (Answer) effect()      {}
func (Wake) effect()        {}
