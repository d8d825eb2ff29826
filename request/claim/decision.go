package claim

import (
	"strconv"

	"github.com/jayridge/jayridge/request/result"
)

// Kind is the outcome of a claim.
type Kind uint8

// Outcomes of a claim. Only Granted allows the call to run.
const (
	// Unavailable means that this claim is not granted and never will be; the caller may be told "not run".
	Unavailable Kind = iota
	// Granted means that the key was free and now belongs to the caller for good. The caller runs the call and then calls
	// Finish.
	Granted
	// Finished means that the key was claimed earlier and its response is stored.
	Finished
	// InDoubt means that the key was claimed earlier and its result is unknown.
	InDoubt
	// KeyReused means that the key was claimed earlier by a request with a different fingerprint.
	KeyReused
)

var kindNames = [...]string{"unavailable", "granted", "finished", "in-doubt", "key-reused"}

// String returns the name of the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "kind-" + strconv.Itoa(int(k))
}

// Response is the stored result of a call.
type Response struct {
	// Code is the result of the call. A code whose outcome is result.NotRun releases the key: see Store.Finish.
	Code result.Code
	// Status is the upstream's HTTP status; zero if there was none.
	Status uint16
	// Body is the upstream's body. It is shared and must not be changed.
	Body []byte
	// Truncated reports that the call had a body that is not returned, because it exceeds Config.BodyLimitBytes or could not
	// be read back. Body is then empty: a partial body is of no use to a caller.
	Truncated bool
}

// Decision is the result of a claim.
type Decision struct {
	Kind Kind
	// Response is set if Kind is Finished.
	Response Response
}
