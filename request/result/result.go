// Package result defines the numbered result codes of jayridge.
//
// Each code belongs to exactly one outcome. The boundary between NotRun and the other outcomes is the hand-over point: the moment
// before a sidecar sends the first byte of a request to its upstream. The table in docs/result-codes.md lists every code, and a
// test compares it with this package. Commands use the code as their exit status, so every code is below 126.
package result

import "strconv"

// Outcome describes whether a request ran.
type Outcome uint8

// The outcomes that are reported to callers.
const (
	// Run means that the upstream ran the request and its result is known.
	Run Outcome = iota
	// NotRun means that the request was never handed to an upstream; it is safe to send it again.
	NotRun
	// Unknown means that the request was, or may have been, handed to an upstream, and its result is not known.
	Unknown
)

// String returns the outcome in the form of the Jayridge-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Run:
		return "run"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Code is a numeric result code.
type Code uint8

// Result codes. The numbers are part of the public interface and never change their meaning.
const (
	OK Code = 0

	Draining          Code = 10
	Leaving           Code = 11
	OverBound         Code = 12
	ColdStart         Code = 13
	TeamLimit         Code = 14
	NoConfiguration   Code = 15
	NoRoute           Code = 16
	NoUpstream        Code = 17
	DeadlineBeforeRun Code = 18
	BadRequest        Code = 19
	ClaimUnavailable  Code = 20
	VersionStopped    Code = 21
	Quarantined       Code = 22
	Full              Code = 23
	ProtocolVersion   Code = 24
	StaleOrder        Code = 25
	Unreachable       Code = 26
	FenceUnknown      Code = 27
	CanceledBeforeRun Code = 28
	UnknownKey        Code = 29
	StaleConfig       Code = 30
	BodyTooLarge      Code = 31
	NoMemory          Code = 32
	CallerStalled     Code = 33

	UpstreamError Code = 60
	AlreadyRun    Code = 61

	UpstreamBroken   Code = 80
	DeadlineInRun    Code = 81
	ConnectionLost   Code = 82
	AlreadyClaimed   Code = 83
	Canceled         Code = 84
	BadAnswer        Code = 85
	CallerNotReading Code = 86

	UsageError       Code = 100
	InvalidSettings  Code = 101
	InvalidRules     Code = 102
	ConfigConflict   Code = 103
	NotConfirmed     Code = 104
	PlatformDown     Code = 105
	WriteUnknown     Code = 106
	DemoFailed       Code = 107
	InternalError    Code = 108
	NotFound         Code = 109
	DifferencesFound Code = 110
)

// Info describes a code.
type Info struct {
	Code Code
	// Name is the code's short name, as in docs/result-codes.md.
	Name    string
	Outcome Outcome
	// HTTPStatus is the status of a response to a caller with this code.
	HTTPStatus int
	// RetryElsewhere reports whether another upstream may accept the same request immediately.
	RetryElsewhere bool
	// Text is a one-line description.
	Text string
}

var table = []Info{
	{OK, "ok", Run, 200, false, "the request ran and its answer is whole"},

	{Draining, "draining", NotRun, 503, true, "the data centre or upstream is drained by a rule"},
	{Leaving, "leaving", NotRun, 503, true, "the instance is shutting down"},
	{OverBound, "over-bound", NotRun, 503, true, "the upstream is at its load bound"},
	{ColdStart, "cold-start", NotRun, 503, true, "the upstream is cold and at its cold-start limit"},
	{TeamLimit, "team-limit", NotRun, 429, false, "the team is over its share or limit"},
	{NoConfiguration, "no-configuration", NotRun, 503, true, "the instance has no accepted configuration yet"},
	{NoRoute, "no-route", NotRun, 404, false, "no rule routes this path"},
	{NoUpstream, "no-upstream", NotRun, 503, false, "no upstream can take the request now"},
	{DeadlineBeforeRun, "deadline-before-run", NotRun, 504, false, "the deadline passed before the request was handed over"},
	{BadRequest, "bad-request", NotRun, 400, false, "the request is malformed"},
	{ClaimUnavailable, "claim-unavailable", NotRun, 503, false, "the idempotency key cannot be claimed while the platform is down"},
	{VersionStopped, "version-stopped", NotRun, 503, true, "the upstream's version was taken back"},
	{Quarantined, "quarantined", NotRun, 422, false, "requests like this one crashed upstreams"},
	{Full, "full", NotRun, 503, true, "the upstream is at its capacity"},
	{ProtocolVersion, "protocol-version", NotRun, 503, true, "the peer speaks another major protocol version"},
	{StaleOrder, "stale-order", NotRun, 409, false, "the order carries an old fencing token"},
	{Unreachable, "unreachable", NotRun, 503, true, "the sidecar could not be reached"},
	{FenceUnknown, "fence-unknown", NotRun, 503, false, "the sidecar has not yet learned the highest fencing token"},
	{CanceledBeforeRun, "canceled-before-run", NotRun, 499, false, "the caller canceled before the request was handed over"},
	{UnknownKey, "unknown-key", NotRun, 401, false, "no team holds the caller's key"},
	{StaleConfig, "stale-configuration", NotRun, 503, true, "the instance cannot tell whether its configuration is current"},
	{BodyTooLarge, "body-too-large", NotRun, 413, false, "the request's body exceeds the limit of the configuration"},
	{NoMemory, "no-memory", NotRun, 503, true, "the instance has no memory left for requests of this team"},
	{CallerStalled, "caller-stalled", NotRun, 408, false, "the caller stopped sending its request"},

	{UpstreamError, "upstream-error", Run, 502, false, "the upstream ran the request and answered with an error"},
	{AlreadyRun, "already-run", Run, 409, false, "the idempotency key has run; its answer is no longer kept"},

	{UpstreamBroken, "upstream-broken", Unknown, 502, false, "the upstream failed while it ran the request"},
	{DeadlineInRun, "deadline-in-run", Unknown, 504, false, "the deadline passed after the request was handed over"},
	{ConnectionLost, "connection-lost", Unknown, 502, false, "the connection broke after the request was sent"},
	{AlreadyClaimed, "already-claimed", Unknown, 409, false, "the idempotency key was claimed earlier and its result is not known"},
	{Canceled, "canceled", Unknown, 499, false, "the caller canceled after the request was handed over"},
	{BadAnswer, "bad-answer", Unknown, 502, false, "the answer's count or checksum does not match"},
	{CallerNotReading, "caller-not-reading", Unknown, 499, false, "the caller stopped reading the answer"},

	{UsageError, "usage-error", NotRun, 400, false, "the command line is wrong"},
	{InvalidSettings, "invalid-settings", NotRun, 400, false, "the settings file has faults"},
	{InvalidRules, "invalid-rules", NotRun, 400, false, "the rules file has faults"},
	{ConfigConflict, "config-conflict", NotRun, 409, false, "another operator changed the configuration first"},
	{NotConfirmed, "not-confirmed", Run, 504, false, "the configuration is accepted, but some instances have not confirmed it"},
	{PlatformDown, "platform-down", NotRun, 503, false, "the platform's service cannot be reached"},
	{WriteUnknown, "write-unknown", Unknown, 504, false, "the platform's answer to a write was lost and could not be settled"},
	{DemoFailed, "demo-failed", Run, 500, false, "the demo found a fault"},
	{InternalError, "internal-error", Unknown, 500, false, "an unexpected error"},
	{NotFound, "not-found", NotRun, 404, false, "the named thing does not exist"},
	{DifferencesFound, "differences-found", Run, 200, false, "the file differs from the accepted configuration"},
}

// byCode indexes table by code.
var byCode = func() (index [256]*Info) {
	for i := range table {
		index[table[i].Code] = &table[i]
	}
	return index
}()

// All returns the description of every code, in the order of docs/result-codes.md.
func All() []Info { return append([]Info(nil), table...) }

// Info returns the description of c. An unregistered code, which a newer peer may send, has the outcome Unknown.
func (c Code) Info() Info {
	if info := byCode[c]; info != nil {
		return *info
	}
	return Info{Code: c, Name: "code-" + strconv.Itoa(int(c)), Outcome: Unknown, HTTPStatus: 502, Text: "a code that this version does not know"}
}

// Outcome returns the outcome of c.
func (c Code) Outcome() Outcome { return c.Info().Outcome }

// String returns the code's short name.
func (c Code) String() string { return c.Info().Name }
