package claim

import (
	"strconv"

	"github.com/jayridge/jayridge/request/result"
)

// Kind is what was decided about a claim.
type Kind uint8

// Decisions. Only Granted allows the call to run.
const (
	// Unavailable means that this claim is not granted and never will be; the caller may be told "not run".
	Unavailable Kind = iota
	// Granted means that the key was free and is now the caller's, once and for all. The caller runs the call and then calls
	// Finish.
	Granted
	// Finished means that the key was claimed earlier and its response is stored.
	Finished
	// InDoubt means that the key was claimed earlier and its result is not known.
	InDoubt
	// KeyReused means that the key was claimed earlier by a request with another fingerprint.
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
	// Truncated says that the call had a body that is not kept, because it exceeds Config.BodyLimitBytes or could not be read
	// back. Body is empty then: part of a body is of no use to a caller.
	Truncated bool
}

// Decision is the answer to a claim.
type Decision struct {
	Kind Kind
	// Response is set if Kind is Finished.
	Response Response
}
