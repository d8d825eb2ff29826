package rollout

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jayridge/jayridge/process/services"
)

// State is the state of a shift.
type State uint8

// States in ascending order of precedence. RolledBack is final.
const (
	// Pending: no traffic has been shifted.
	Pending State = iota
	// Canary: the new version has at most the cap and has not been judged.
	Canary
	// Ramping: the new version has been judged at the cap and its share rises in steps.
	Ramping
	// Full: the new version has all traffic, and the old one is kept.
	Full
	// Verifying: at 100% the new version looked worse than the old one did before, so the share was lowered to compare the two.
	Verifying
	// Done: the old version is no longer needed.
	Done
	// RolledBack: the old version has all traffic.
	RolledBack
)

var stateNames = [...]string{"pending", "canary", "ramping", "full", "verifying", "done", "rolled back"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Record is the persisted state of a shift, the value of the key RecordKey.
type Record struct {
	ID    string `msgpack:"id"`
	State State  `msgpack:"st"`
	// Step is the index of Share in Config.Steps.
	Step  uint8   `msgpack:"n"`
	Share float64 `msgpack:"sh"`
	// Fence is the fencing token of the lease holder that wrote the record.
	Fence uint64 `msgpack:"f"`
	// StartedMS and SinceMS are Unix times in milliseconds: when the shift and when the step began.
	StartedMS int64 `msgpack:"t0"`
	SinceMS   int64 `msgpack:"t"`
	// Reason says why the shift was rolled back.
	Reason string `msgpack:"re,omitempty"`
	// Past is the old version's record, for a lease holder that did not see it.
	Past []PastCell `msgpack:"p,omitempty"`
}

// RecordKey returns the key of a shift's record.
func RecordKey(id string) string { return "rollout/" + id }

// Encode returns the record as msgpack.
func (r Record) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(r)
	return data, trace.Wrap(err)
}

// DecodeRecord reverses Encode.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := msgpack.Unmarshal(data, &r)
	return r, trace.Wrap(err)
}

func (r Record) since() time.Time { return time.UnixMilli(r.SinceMS) }

func (r Record) started() time.Time { return time.UnixMilli(r.StartedMS) }

// Write asks the driver to write a record by compare-and-swap. Immediately before it sends the write, the driver checks that
// the lease is still held with the record's fencing token, unless the record is a stop.
type Write struct {
	Record Record
	// Previous is the revision that the write replaces.
	Previous services.Revision
}
