// Package duty decides when the holder of a fleet-wide duty may act. A duty is work that one gateway at a time does for the whole fleet by calls of
// the platform's API.
//
// The decisions do no I/O and do not read the clock. Times are those of process/bootclock, which counts the time during which the machine was
// suspended.
package duty

import (
	"context"
	"errors"
)

// Names of the duties. The lease of a duty has its name.
const (
	// Usage is the duty of reporting usage.
	Usage = "usage"
	// Scale is the duty of ordering the number of upstreams.
	Scale = "scale"
)

// Holder identifies the holder of a duty in a call.
type Holder struct {
	// Instance is the name of the gateway.
	Instance string
	// Token is the fencing token, which is higher for each new holder.
	Token uint64
}

// API is the platform's API. Its methods are called from worker goroutines and may block until ctx is done. Their errors wrap ErrFenced,
// ErrThrottled, ErrNotSent or ErrOutcomeUnknown; test with errors.Is. All calls are billed, including refused ones.
type API interface {
	// ReportUsage reports the number of requests of each team in a window. Windows are numbered from the start of 1970.
	ReportUsage(ctx context.Context, by Holder, window int64, counts map[string]uint64) error
	// OrderScale orders the number of upstreams of a service in a data centre.
	OrderScale(ctx context.Context, by Holder, service, dataCentre string, desired int) error
}

// Errors of the platform's API.
var (
	// ErrFenced means that the API has seen a higher token for the duty and subject. The call was not executed and never will be.
	ErrFenced = errors.New("a higher fencing token was seen")
	// ErrThrottled means that the API gets more calls than it accepts. The call was not executed and never will be.
	ErrThrottled = errors.New("too many calls")
	// ErrNotSent means that the call was certainly not executed and never will be.
	ErrNotSent = errors.New("call not sent")
	// ErrOutcomeUnknown means that the call may have been executed or may still be executed later.
	ErrOutcomeUnknown = errors.New("outcome of the call unknown")
)
