package rollout

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jayridge/jayridge/process/services"
)

// State is the state of a shift.
type State uint8

// States in ascending order of precedence. Done and RolledBack are final. A decision to roll back that is not recorded yet yields to a
// record in state Done.
const (
	// Pending means that no traffic has been shifted.
	Pending State = iota
	// Canary means that the new version has at most Shift.MaxCanaryShare of the traffic and has not yet been tested with enough
	// evidence.
	Canary
	// Ramping means that the new version has passed the test in the canary step and its share rises in steps.
	Ramping
	// Full means that the new version has all traffic and the old one is still kept.
	Full
	// Verifying means that the new version at 100% appeared worse than the past rate of the old one, so the share was lowered to
	// compare the two.
	Verifying
	// Done means that the old version is no longer needed.
	Done
	// RolledBack means that the old version has all traffic again.
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

// Record is the persisted state of a shift, stored under RecordKey.
type Record struct {
	ID    string `msgpack:"id"`
	State State  `msgpack:"st"`
	// Step is the index of Share in Config.Steps.
	Step  uint8   `msgpack:"n"`
	Share float64 `msgpack:"sh"`
	// Fence is the fencing token of the lease holder that wrote the record.
	Fence uint64 `msgpack:"f"`
	// StartedMS and SinceMS are the starts of the shift and of the current step, as Unix times in milliseconds.
	StartedMS int64 `msgpack:"t0"`
	SinceMS   int64 `msgpack:"t"`
	// Reason is why the shift was rolled back.
	Reason string `msgpack:"re,omitempty"`
	// History holds the old version's counts, for a new lease holder that did not collect them itself.
	History []HistoryCell `msgpack:"p,omitempty"`
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

// Write requests a compare-and-swap of the record from the driver. Immediately before sending it, the driver checks that the
// lease is still held with the record's fencing token, unless the record's state is RolledBack.
type Write struct {
	Record Record
	// Previous is the revision that the write replaces.
	Previous services.Revision
}
