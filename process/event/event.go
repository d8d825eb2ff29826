// Package event defines the numbered log events of jayridge and writes them as JSON lines.
//
// Operators search logs by event number. docs/events.md lists all events; a test compares it with this package. Lines are written to
// standard error until Start redirects them; see writer.go.
package event

import (
	"strings"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
)

// ID is the number of a log event. The meaning of a number never changes.
type ID uint16

// Log events, numbered by area: 1xx process, 2xx configuration, 3xx membership and connections, 4xx requests and admission,
// 5xx claims, 6xx rollouts, 7xx platform.
const (
	ProcessStarted   ID = 100
	ProcessLeaving   ID = 101
	ProcessStopped   ID = 102
	ListenerFailed   ID = 103
	ShutdownTimedOut ID = 104
	SettingsReloaded ID = 105
	SettingsRejected ID = 106
	HTTPServerError  ID = 107
	StopRepeated     ID = 108

	ConfigAdopted     ID = 200
	ConfigInvalid     ID = 202
	ConfigWatchFailed ID = 204
	StoreItemInvalid  ID = 205
	StoreHistoryLost  ID = 206
	StoreRestored     ID = 207
	PriorityClamped   ID = 208
	ConfigUnconfirmed ID = 209

	PeerConnected           ID = 300
	PeerLost                ID = 301
	PeerRefused             ID = 302
	BadFrame                ID = 303
	PeerMismatch            ID = 304
	InstanceListUnavailable ID = 306
	UpstreamChanged         ID = 307
	UpstreamDown            ID = 308
	UpstreamUp              ID = 309
	ProbeFailed             ID = 310
	PeerUnreachable         ID = 311
	StoreCopyTooLarge       ID = 312
	PromptCacheReported     ID = 313
	UpstreamLimitChanged    ID = 314
	UpstreamLimitInvalid    ID = 315
	ForeignResponse         ID = 316
	UpstreamCapacityChanged ID = 317

	RequestFailed      ID = 400
	UpstreamCold       ID = 401
	UpstreamWarm       ID = 402
	DrainStarted       ID = 403
	DrainEnded         ID = 404
	UpstreamCrashed    ID = 405
	RequestQuarantined ID = 406
	LoadReportFailed   ID = 407
	OrderHandled       ID = 408
	RequestCompleted   ID = 409
	RequestRefused     ID = 410
	CallerDisconnected ID = 411
	AttemptFailed      ID = 412
	CrashSuspectFound  ID = 413
	SuspectCleared     ID = 414
	PartQuarantined    ID = 415
	PartReleased       ID = 416
	PartTrial          ID = 417
	QuarantineNotSaved ID = 418

	CallerConnectionClosed ID = 430

	ClaimWriteLost   ID = 500
	ClaimConflict    ID = 501
	ClaimUnavailable ID = 502

	RolloutStarted       ID = 600
	RolloutAdvanced      ID = 601
	RolloutStopped       ID = 602
	RolloutDone          ID = 603
	RolloutOrderReceived ID = 606
	RolloutStatusFailed  ID = 607
	LeaseAcquired        ID = 604
	LeaseLost            ID = 605

	PlatformThrottled     ID = 700
	PlatformFailed        ID = 701
	PlatformRecovered     ID = 702
	RegistrationFailed    ID = 703
	ListOutageEnded       ID = 704
	WatchOverdue          ID = 705
	WatchFailed           ID = 706
	StoreCopyReceived     ID = 707
	StorePullExpired      ID = 708
	UsageTakenOver        ID = 720
	UsageReported         ID = 721
	UsageReportFailed     ID = 722
	UsageRefused          ID = 723
	UsageMissed           ID = 724
	UsageNotRecorded      ID = 725
	UsageCountsLost       ID = 726
	UsageDutyGivenUp      ID = 727
	UsageWindowIncomplete ID = 729
	ClockJumped           ID = 728
	ScaleTakenOver        ID = 740
	ScaleOrdered          ID = 741
	ScaleOrderFailed      ID = 742
	ScaleRefused          ID = 743
	ScaleDutyGivenUp      ID = 744
	ScaleAtMaximum        ID = 745
)

// Level is the severity of a log event.
type Level uint8

const (
	Info Level = iota
	Warning
	Error
)

// Description describes a log event in the catalogue.
type Description struct {
	ID    ID
	Name  string
	Level Level
	// Action is the recommended response of an operator. If empty, no action is needed.
	Action string
}

var catalogue = []Description{
	{ProcessStarted, "process started", Info, ""},
	{ProcessLeaving, "process leaving", Info, ""},
	{ProcessStopped, "process stopped", Info, ""},
	{ListenerFailed, "listener failed", Error, "check the addresses in the settings"},
	{ShutdownTimedOut, "shutdown deadline passed with requests in progress", Warning, "raise shutdown_timeout_ms"},
	{SettingsReloaded, "changed settings in force", Info, ""},
	{HTTPServerError, "the HTTP server reports a fault", Warning, "a panic names the line to report; anything else is about one connection"},
	{SettingsRejected, "changed settings refused, the old ones stay", Error, "correct the settings file"},
	{StopRepeated, "told to stop once more", Info, "nothing; an interrupt (SIGINT) ends the process at once"},

	{ConfigAdopted, "configuration version adopted", Info, ""},
	{ConfigInvalid, "configuration from a peer or the platform is invalid", Error, "run jayridge check on the rules file; replace instances of another version"},
	{ConfigWatchFailed, "configuration watch failed", Warning, "check the platform's key-value service"},
	{StoreItemInvalid, "an item of the platform's store cannot be used", Warning, "look at who wrote the key"},
	{StoreRestored, "the store was restored from an older copy, its content is read again", Warning, "check that all changes since last_revision are written again"},
	{StoreHistoryLost, "the store's history is gone or larger than its content, everything is read again", Info, ""},
	{PriorityClamped, "priorities of the configuration are out of range and taken as the nearest in 0 to 9", Warning, "correct the routes and teams"},
	{ConfigUnconfirmed, "started after a restoration of the store, keys are refused until the configuration is confirmed", Info, "nothing; see line 207 of the peer"},

	{PeerConnected, "peer connected", Info, ""},
	{PeerLost, "peer connection lost", Info, ""},
	{PeerRefused, "peer refused in the handshake", Warning, "replace the instance whose protocol major version differs"},
	{BadFrame, "bad frame, connection closed", Warning, "look for a faulty or foreign sender on the peer address"},
	{PeerMismatch, "another instance answered at a peer's address", Warning, "nothing if it ends with the instance list's lag; else correct peer_address"},
	{InstanceListUnavailable, "instance list unavailable", Warning, "check the platform's instance list"},
	{UpstreamChanged, "listing of an upstream changed", Info, ""},
	{UpstreamDown, "upstream gets no requests until a probe succeeds", Warning, "look at the upstream's own log"},
	{UpstreamUp, "upstream answers probes again", Info, ""},
	{ProbeFailed, "probe of an upstream failed", Info, ""},
	{PeerUnreachable, "peer could not be reached", Info, ""},
	{UpstreamLimitChanged, "upstream changed the rate of requests that it takes", Info, ""},
	{UpstreamLimitInvalid, "upstream named a rate of requests that cannot be read", Warning, "look at the upstream's version; the previous rate stays in force"},
	{ForeignResponse, "upstream sent responses that belong to other requests", Warning, "look at the upstream's version; the responses are skipped"},
	{UpstreamCapacityChanged, "upstream became slower or faster than the others of its service, or slows down at another load", Info, ""},
	{PromptCacheReported, "upstream told which prompts it holds", Info, ""},
	{StoreCopyTooLarge, "copy of the store is too large for a peer's question", Warning, "the peer reads the store itself; look for what fills it"},

	{RequestFailed, "request failed after it was handed over", Warning, "look at the upstream's own log"},
	{UpstreamCold, "upstream in cold start", Info, ""},
	{UpstreamWarm, "upstream warm", Info, ""},
	{DrainStarted, "drain in force", Info, ""},
	{DrainEnded, "drain ended", Info, ""},
	{UpstreamCrashed, "upstream crashed with requests in flight", Error, "look at the upstream's own log"},
	{RequestQuarantined, "request fingerprint quarantined", Error, "send the request's fingerprint to the owner of the model engine"},
	{LoadReportFailed, "load report of the upstream unavailable", Warning, "check that the upstream runs"},
	{OrderHandled, "order to the engine handled", Info, ""},
	{RequestCompleted, "request answered", Info, ""},
	{RequestRefused, "request refused, not run", Info, "see the result and docs/OPERATIONS.md"},
	{CallerDisconnected, "caller left before the answer", Info, ""},
	{AttemptFailed, "attempt at an upstream failed", Info, ""},
	{CrashSuspectFound, "request was in flight at an upstream that crashed", Info, ""},
	{SuspectCleared, "request that was in flight at a crash was answered", Info, ""},
	{PartQuarantined, "requests with a prompt part are rejected, it crashed upstreams", Error, "send the part to the owner of the model engine; lines 410 with quarantined_part name the requests"},
	{PartReleased, "requests with a prompt part are accepted again, one was answered", Info, ""},
	{PartTrial, "request with a quarantined prompt part runs as a trial", Info, ""},
	{QuarantineNotSaved, "quarantined prompt part could not be stored", Warning, "check the platform's store; gateways that restart learn of the part from their neighbours"},
	{CallerConnectionClosed, "caller's connection closed or refused, its request was not run", Warning, "see the reason and docs/OPERATIONS.md, Crowds of callers"},

	{ClaimWriteLost, "answer to a claim write lost, settled by reading", Info, ""},
	{ClaimConflict, "claim write conflicted, shard read again", Info, ""},
	{ClaimUnavailable, "claims unavailable, calls with idempotency keys are refused", Error, "check the platform's key-value service"},

	{RolloutStarted, "rollout started", Info, ""},
	{RolloutAdvanced, "rollout advanced", Info, ""},
	{RolloutStopped, "rollout stopped and taken back", Error, "run jayridge moves for the reason"},
	{RolloutDone, "rollout done", Info, ""},
	{RolloutOrderReceived, "order for a rollout taken", Info, ""},
	{RolloutStatusFailed, "status of a rollout could not be written", Warning, "check the platform's store; the leader tries again"},
	{LeaseAcquired, "lease acquired", Info, ""},
	{LeaseLost, "lease lost", Info, ""},

	{PlatformThrottled, "platform calls delayed by the call budget", Warning, "raise kv_calls_per_second or find the caller"},
	{PlatformFailed, "platform unavailable", Error, "check the platform's key-value service"},
	{PlatformRecovered, "platform available again", Info, ""},
	{RegistrationFailed, "registration in the platform's store failed", Info, ""},
	{ListOutageEnded, "list of upstreams confirmed again after a gap in which entries may have expired", Info, ""},
	{WatchOverdue, "watch of the store is overdue, the store is asked over another connection", Info, ""},
	{WatchFailed, "call for the changes of the store failed", Info, ""},
	{StoreCopyReceived, "large copy of the store's changes received from a peer", Info, ""},
	{StorePullExpired, "peer sent no changes of the store in time", Info, ""},
	{UsageTakenOver, "duty of usage reports taken over", Info, ""},
	{UsageReported, "usage of a window reported", Info, ""},
	{UsageReportFailed, "usage report failed, it is repeated", Warning, "check the platform's API"},
	{UsageRefused, "usage report refused, a higher fencing token was seen", Error, "see docs/OPERATIONS.md; nothing if another gateway has just taken over"},
	{UsageMissed, "usage windows will not be reported", Error, "see docs/OPERATIONS.md; the line names the windows and the reason"},
	{UsageNotRecorded, "usage of a window could not be recorded, it is tried again", Warning, "check the platform's store"},
	{UsageCountsLost, "usage counts of this gateway dropped, nobody recorded them in time", Warning, "check the connections to the holder and the platform's store"},
	{UsageDutyGivenUp, "duty of usage reports given up", Info, ""},
	{UsageWindowIncomplete, "usage window closed without the final counts of some gateways", Info, ""},
	{ScaleTakenOver, "duty of ordering upstreams taken over", Info, ""},
	{ScaleOrdered, "number of upstreams of a service ordered for a data centre", Info, ""},
	{ScaleOrderFailed, "order of upstreams failed, it is repeated", Warning, "check the platform's API"},
	{ScaleRefused, "order of upstreams refused, a higher fencing token was seen", Error, "see docs/OPERATIONS.md; nothing if another gateway has just taken over"},
	{ScaleDutyGivenUp, "duty of ordering upstreams given up", Info, ""},
	{ScaleAtMaximum, "demand needs more upstreams than the maximum of all data centres permits", Warning, "raise the maximum in the configuration"},
	{ClockJumped, "time of day jumped, usage windows follow it slowly", Warning, "check the machine's clock synchronization"},
}

var byID = func() map[ID]Description {
	index := make(map[ID]Description, len(catalogue))
	for _, d := range catalogue {
		index[d.ID] = d
	}
	return index
}()

// All returns all event descriptions in the order of docs/events.md.
func All() []Description { return append([]Description(nil), catalogue...) }

// Log writes the event with structured fields, given as alternating keys and values. It is safe for concurrent use and does not block
// after Start has been called.
func Log(id ID, keysAndValues ...any) {
	d := byID[id]
	line := logger.Load().WithLevel(levels[d.Level]).Int("event", int(id))
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		name, _ := keysAndValues[i].(string)
		line = appendField(line, name, keysAndValues[i+1])
	}
	line.Msg(d.Name)
}

var levels = [...]zerolog.Level{Info: zerolog.InfoLevel, Warning: zerolog.WarnLevel, Error: zerolog.ErrorLevel}

func appendField(line *zerolog.Event, name string, value any) *zerolog.Event {
	switch v := value.(type) {
	case string:
		return line.Str(name, v)
	case error:
		// The text of a trace error includes a multi-line stack trace. Unwrap it to log the original error only.
		return line.Str(name, strings.ReplaceAll(trace.Unwrap(v).Error(), "\n", "; "))
	default:
		return line.Interface(name, v)
	}
}
