// Package wire defines the messages exchanged between jayridge processes and their encoding.
//
// A frame consists of a 4-byte big-endian length of the remaining bytes, a 1-byte type, a 4-byte big-endian stream number and a
// msgpack map. Decoders skip unknown map fields, so that processes of different minor versions can communicate.
package wire

// Protocol version of this build. Peers with a different major version are rejected.
const (
	MajorVersion = 1
	MinorVersion = 2
)

// MinorEvidenceColumns is the first minor version that supports Evidence.Columns.
const MinorEvidenceColumns = 1

// MinorRevisionEpochs is the first minor version in which the revisions of StorePull and StorePush contain the store's epoch.
const MinorRevisionEpochs = 2

// MaxFrameBytes is the largest value of a frame's length field.
const MaxFrameBytes = 1 << 20

// ControlStream is the stream number of control frames, which belong to no request.
const ControlStream = 0

// Type identifies a frame type.
type Type uint8

// Frame types. The numbers are part of the protocol.
const (
	TypeHello       Type = 1
	TypeOpen        Type = 2
	TypeAccepted    Type = 3
	TypeChunk       Type = 4
	TypeEnd         Type = 5
	TypeCancel      Type = 6
	TypeWindow      Type = 7
	TypePing        Type = 8
	TypePong        Type = 9
	TypeGossip      Type = 10
	TypeConfigPull  Type = 11
	TypeConfigPush  Type = 12
	TypeLeaving     Type = 13
	TypeEvidence    Type = 14
	TypeOrder       Type = 15
	TypeOrderDone   Type = 16
	TypeClaims      Type = 17
	TypeClaimsDone  Type = 18
	TypeFleetState  Type = 19
	TypeStorePull   Type = 20
	TypeStorePush   Type = 21
	TypeStoreFetch  Type = 22
	TypeStoreChunk  Type = 23
	TypeUsageCounts Type = 24
)

// Message is the content of one frame.
type Message interface {
	// Type returns the frame type that carries the message.
	Type() Type
}

// RequestID identifies a caller's request across all its attempts.
type RequestID [16]byte

// Identity identifies one attempt of a request. Every frame of a request carries it.
type Identity struct {
	Request RequestID `msgpack:"r"`
	Attempt uint8     `msgpack:"a"`
}

// Hello is the first frame in each direction.
type Hello struct {
	Major         uint16 `msgpack:"maj"`
	Minor         uint16 `msgpack:"min"`
	Instance      string `msgpack:"i"`
	Role          string `msgpack:"ro"`
	DataCentre    string `msgpack:"dc"`
	Service       string `msgpack:"s,omitempty"`
	Version       string `msgpack:"v,omitempty"`
	Address       string `msgpack:"ad,omitempty"`
	ConfigVersion uint64 `msgpack:"cv"`
}

// Open starts one attempt of a request.
type Open struct {
	Identity
	Service string `msgpack:"s"`
	Route   string `msgpack:"ro"`
	Team    string `msgpack:"t"`
	// Chat is the hash of team and chat id, or zero if the request belongs to no chat.
	Chat     uint64 `msgpack:"c,omitempty"`
	Priority int8   `msgpack:"p,omitempty"`
	// DeadlineMS is the time in milliseconds that was left until the deadline when the entry sent the frame.
	DeadlineMS uint32 `msgpack:"d"`
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string `msgpack:"k,omitempty"`
	// WorkUnits is the estimated load of the request in tokens.
	WorkUnits uint32 `msgpack:"w"`
	// Method and Path are those of the caller's HTTP request.
	Method string `msgpack:"m"`
	Path   string `msgpack:"pa"`
	// ContentType is the content type of Body; empty means application/json.
	ContentType string `msgpack:"ct,omitempty"`
	Body        []byte `msgpack:"b"`
	// ResumeOffset is the number of chunks that the entry has already forwarded; the upstream continues after them.
	ResumeOffset uint32 `msgpack:"of,omitempty"`
	// Suspect is set if an upstream broke during an earlier attempt of the request. A suspect request must run alone.
	Suspect bool `msgpack:"su,omitempty"`
	// MeanLoad is the sender's estimate of the mean load of the service's upstreams in work units, or zero if it has none.
	MeanLoad uint32 `msgpack:"l,omitempty"`
	// ConfigVersion is the sender's configuration version; zero means unspecified.
	ConfigVersion uint64 `msgpack:"cv,omitempty"`
}

// Accepted announces that the sidecar is about to send the request to its upstream. From then on, the result of the request is
// never "not run".
type Accepted struct {
	Identity
}

// Chunk is one part of a response. Sequence counts from zero.
type Chunk struct {
	Identity
	Sequence uint32 `msgpack:"n"`
	Data     []byte `msgpack:"b"`
}

// LoadReport is a sidecar's report on the load of its upstream.
type LoadReport struct {
	// WorkUnits is the admitted load in tokens.
	WorkUnits uint32 `msgpack:"w"`
	InFlight  uint32 `msgpack:"f"`
	Cold      bool   `msgpack:"c,omitempty"`
}

// End closes one attempt of a request.
type End struct {
	Identity
	Result uint8 `msgpack:"rc"`
	// Status is the upstream's HTTP status, or zero if the request was not run.
	Status uint16 `msgpack:"st,omitempty"`
	// ContentType and Location are headers of the upstream's response. They are empty if the response had none or the upstream
	// is a model.
	ContentType string `msgpack:"ct,omitempty"`
	Location    string `msgpack:"lo,omitempty"`
	// Chunks and Checksum (xxhash64 over all data) let the receiver detect an incomplete response.
	Chunks       uint32 `msgpack:"n"`
	Checksum     uint64 `msgpack:"x"`
	RetryAfterMS uint32 `msgpack:"ra,omitempty"`
	// Reason is a short text for operators; callers see only the text of the result code.
	Reason string      `msgpack:"re,omitempty"`
	Load   *LoadReport `msgpack:"l,omitempty"`
	// ConfigVersion is the sender's configuration version if it differs from that of the Open. Zero after Accepted means that the
	// versions are equal or that the Open had none.
	ConfigVersion uint64 `msgpack:"cv,omitempty"`
}

// Cancel tells the peer that the caller no longer waits for the response.
type Cancel struct {
	Identity
}

// Window grants the sender of a stream more flow-control credit.
type Window struct {
	Identity
	Bytes uint32 `msgpack:"b"`
}

// Ping is a keepalive probe, which the peer answers with Pong.
type Ping struct {
	ConfigVersion uint64 `msgpack:"cv"`
}

// Pong answers a Ping.
type Pong struct {
	ConfigVersion uint64 `msgpack:"cv"`
}

// LoadSummary is the total load of a service in a data centre.
type LoadSummary struct {
	DataCentre string `msgpack:"dc"`
	Service    string `msgpack:"s"`
	WorkUnits  uint64 `msgpack:"w"`
	Upstreams  uint32 `msgpack:"n"`
	// AgeMS is the age of the values when they were sent, in milliseconds.
	AgeMS uint32 `msgpack:"ag"`
}

// RolloutStop reports that a rollout was stopped permanently.
type RolloutStop struct {
	Rollout string `msgpack:"r"`
	Reason  string `msgpack:"re"`
}

// RolloutRecord is the persisted state of a rollout as the sender read it from the platform.
type RolloutRecord struct {
	Rollout  string `msgpack:"r"`
	Revision uint64 `msgpack:"v"`
	Data     []byte `msgpack:"d"`
}

// QuarantineEntry is the fingerprint of a request that crashed upstreams.
type QuarantineEntry struct {
	Fingerprint uint64 `msgpack:"f"`
	// RemainingMS is the time in milliseconds until the entry expires.
	RemainingMS uint32 `msgpack:"l"`
}

// Gossip carries state digests that spread from peer to peer.
type Gossip struct {
	ConfigVersion uint64            `msgpack:"cv"`
	Stops         []RolloutStop     `msgpack:"st,omitempty"`
	Rollouts      []RolloutRecord   `msgpack:"ro,omitempty"`
	Quarantine    []QuarantineEntry `msgpack:"q,omitempty"`
	Loads         []LoadSummary     `msgpack:"l,omitempty"`
}

// ConfigPull requests the configuration changes after version Since.
type ConfigPull struct {
	Since uint64 `msgpack:"s"`
	// AcceptsDeltas is set if the sender supports ConfigDelta.
	AcceptsDeltas bool `msgpack:"r,omitempty"`
	// Urgent is set if a request is waiting at the sender for the configuration.
	Urgent bool `msgpack:"u,omitempty"`
}

// ConfigChange is one accepted change as a line diff. Lines are numbered from zero in the text before the change.
type ConfigChange struct {
	Version  uint64 `msgpack:"v"`
	ChangeID string `msgpack:"id"`
	Author   string `msgpack:"au"`
	UnixMS   int64  `msgpack:"ts"`
	// Edits are in ascending order of line and do not overlap.
	Edits []LineEdit `msgpack:"e"`
	// TextHash is the xxhash64 of the text after the change.
	TextHash uint64 `msgpack:"h"`
}

// LineEdit replaces the Removed lines that start at Line with Added.
type LineEdit struct {
	Line    uint32   `msgpack:"l"`
	Removed uint32   `msgpack:"r"`
	Added   []string `msgpack:"a,omitempty"`
}

// ConfigPush answers a ConfigPull with the changes since the requested version, individually or as a delta, or with one part of a
// full snapshot.
type ConfigPush struct {
	Changes []ConfigChange `msgpack:"c,omitempty"`
	// Snapshot is set if the changes do not reach back to the requested version.
	Snapshot *ConfigSnapshotPart `msgpack:"s,omitempty"`
	Delta    *ConfigDelta        `msgpack:"r,omitempty"`
}

// ConfigDelta is the combined difference between the texts of two versions that may be many changes apart, for a peer that is far
// behind. ChangeID, Author, UnixMS and TextHash are those of the change that produced Version.
type ConfigDelta struct {
	From     uint64 `msgpack:"f"`
	Version  uint64 `msgpack:"v"`
	ChangeID string `msgpack:"id"`
	Author   string `msgpack:"au"`
	UnixMS   int64  `msgpack:"ts"`
	TextHash uint64 `msgpack:"h"`
	// Data is a gzip member. Package version/config defines its content.
	Data []byte `msgpack:"b"`
}

// ConfigSnapshotPart is one part of the full configuration text. Data is a gzip member. The receiver concatenates the
// decompressed content of all Parts parts in order of Part.
type ConfigSnapshotPart struct {
	Version  uint64 `msgpack:"v"`
	ChangeID string `msgpack:"id"`
	Author   string `msgpack:"au"`
	UnixMS   int64  `msgpack:"ts"`
	Part     uint32 `msgpack:"p"`
	Parts    uint32 `msgpack:"n"`
	Data     []byte `msgpack:"b"`
	TextHash uint64 `msgpack:"h"`
}

// Evidence carries outcome counts of a rollout, from an entry to the aggregator of its data centre or from there to the leader.
type Evidence struct {
	Rollout string `msgpack:"r"`
	// Source is the entry, or the data centre if ToLeader is set.
	Source   string `msgpack:"s"`
	ToLeader bool   `msgpack:"l,omitempty"`
	// Data holds the counts as rows, for receivers that do not support Columns. One of the two is empty.
	Data    []byte `msgpack:"d,omitempty"`
	Columns []byte `msgpack:"c,omitempty"`
}

// Order instructs the sidecar of a runner to forward an order to its engine.
type Order struct {
	// ID matches the OrderDone to the Order.
	ID     uint64 `msgpack:"i"`
	Kind   string `msgpack:"k"`
	Target string `msgpack:"t"`
	Fence  uint64 `msgpack:"f"`
}

// OrderDone answers an Order.
type OrderDone struct {
	ID     uint64 `msgpack:"i"`
	Result uint8  `msgpack:"rc"`
	Reason string `msgpack:"re,omitempty"`
}

// Claims asks the sidecar that writes most of a claim shard to append another sidecar's batch together with its own.
type Claims struct {
	// ID matches the ClaimsDone to the Claims.
	ID      uint64 `msgpack:"i"`
	Service string `msgpack:"s"`
	Shard   uint32 `msgpack:"h"`
	// Batch is in the format of the claim log.
	Batch []byte `msgpack:"b"`
}

// ClaimsDone answers a Claims.
type ClaimsDone struct {
	ID uint64 `msgpack:"i"`
	// Appended means that the batch is in the log, Refused that the sender has not appended it and never will. If neither is set,
	// the outcome is unknown.
	Appended bool `msgpack:"a,omitempty"`
	Refused  bool `msgpack:"r,omitempty"`
	// TimeMS is the time of the batch in the log, in milliseconds since the Unix epoch.
	TimeMS int64 `msgpack:"t,omitempty"`
	// Owned states for each claim in the batch whether it owns its key.
	Owned []bool `msgpack:"o,omitempty"`
}

// Leaving announces that an instance accepts no new work.
type Leaving struct {
	// Instance is the instance that leaves; empty means the sender.
	Instance string `msgpack:"i,omitempty"`
}

// Type implements Message.
func (*Hello) Type() Type { return TypeHello }

// Type implements Message.
func (*Open) Type() Type { return TypeOpen }

// Type implements Message.
func (*Accepted) Type() Type { return TypeAccepted }

// Type implements Message.
func (*Chunk) Type() Type { return TypeChunk }

// Type implements Message.
func (*End) Type() Type { return TypeEnd }

// Type implements Message.
func (*Cancel) Type() Type { return TypeCancel }

// Type implements Message.
func (*Window) Type() Type { return TypeWindow }

// Type implements Message.
func (*Ping) Type() Type { return TypePing }

// Type implements Message.
func (*Pong) Type() Type { return TypePong }

// Type implements Message.
func (*Gossip) Type() Type { return TypeGossip }

// Type implements Message.
func (*ConfigPull) Type() Type { return TypeConfigPull }

// Type implements Message.
func (*ConfigPush) Type() Type { return TypeConfigPush }

// Type implements Message.
func (*Leaving) Type() Type { return TypeLeaving }

// Type implements Message.
func (*Evidence) Type() Type { return TypeEvidence }

// Type implements Message.
func (*Order) Type() Type { return TypeOrder }

// Type implements Message.
func (*OrderDone) Type() Type { return TypeOrderDone }

// Type implements Message.
func (*Claims) Type() Type { return TypeClaims }

// Type implements Message.
func (*ClaimsDone) Type() Type { return TypeClaimsDone }

// FleetState is a gateway's report to its neighbours about its own requests. All lists may be empty.
type FleetState struct {
	// Loads has an element for each upstream that has requests of the sender in flight or has answered one since the last message.
	Loads []UpstreamLoad `msgpack:"l,omitempty"`
	// Holders are the upstreams that started to read prompts since the last message, for requests of the sender or as reported to
	// it by others.
	Holders []PromptHolder `msgpack:"h,omitempty"`
	// Partial is set if Loads is omitted.
	Partial bool `msgpack:"p,omitempty"`
	// Crashes are the requests that were in flight at upstreams that crashed, as observed by the sender or reported to it since
	// the last message.
	Crashes []RequestCrash `msgpack:"c,omitempty"`
	// Parts is what the sender found out or was told about prompt parts that may crash upstreams since the last message, nil if nothing.
	Parts *PartReport `msgpack:"q,omitempty"`
	// Limits are the rate limits of upstreams that changed since the last message.
	Limits []UpstreamLimit `msgpack:"m,omitempty"`
	// Capacities are the sender's own estimates of what upstreams take, of those that changed since the last message; at most 16.
	Capacities []UpstreamCapacity `msgpack:"s,omitempty"`
	// Waiting has an element for each service of which requests waited for a place or a team surged at the sender since the last message that was
	// not partial.
	Waiting []ServiceWaiting `msgpack:"w,omitempty"`
	// Restored is sent to a new neighbour while the sender's configuration has not been confirmed since the store was restored, else nil.
	Restored *RestoredStore `msgpack:"r,omitempty"`
}

// RestoredStore reports that the store came back from an older copy, which may lack a configuration.
type RestoredStore struct {
	// Revision is that of the restored copy as the sender read it first.
	Revision uint64 `msgpack:"v"`
	// LeftMS is the time in milliseconds that the operators have left to write the configuration again.
	LeftMS uint32 `msgpack:"l"`
}

// UpstreamCapacity is a gateway's estimate of what an upstream takes, from the answers that it got itself.
type UpstreamCapacity struct {
	// Upstream is a hash of the upstream's name and start.
	Upstream uint64 `msgpack:"u"`
	// SpeedPercent is the speed compared with the typical upstream of the service, in percent.
	SpeedPercent uint32 `msgpack:"s"`
	// UsefulLoad is the number of requests beyond which the upstream slows down, zero if there is no such number.
	UsefulLoad uint32 `msgpack:"l,omitempty"`
	// Observations is the number of observations that the estimate is based on, zero if that is unknown.
	Observations uint32 `msgpack:"n,omitempty"`
	// AgeMS is the time since the estimate was made, in milliseconds.
	AgeMS uint32 `msgpack:"a"`
}

// ServiceWaiting reports how many requests of a service waited at once for a place, and whose.
type ServiceWaiting struct {
	// Service is a hash of the service's name.
	Service uint64 `msgpack:"s"`
	// Counts holds the numbers of requests by priority, from 0 on. Priorities beyond its end have none.
	Counts []uint16 `msgpack:"c,omitempty"`
	// Surging are hashes of the teams that send many times their usual to the sender.
	Surging []uint64 `msgpack:"g,omitempty"`
}

// UpstreamLimit reports the rate of requests that an upstream takes from all gateways together.
type UpstreamLimit struct {
	// Upstream is a hash of the upstream's name.
	Upstream uint64 `msgpack:"u"`
	// PerSecond is the rate in requests per second, negative if there is no limit.
	PerSecond float64 `msgpack:"r"`
	// AgeMS is the time since the upstream named it, in milliseconds.
	AgeMS uint32 `msgpack:"a"`
}

// PartReport reports on prompt parts that may crash upstreams. Services and parts are hashes, ages are in milliseconds. All lists may be
// empty.
type PartReport struct {
	Crashes     []PartCrash       `msgpack:"c,omitempty"`
	Answers     []PartAnswer      `msgpack:"a,omitempty"`
	Quarantined []QuarantinedPart `msgpack:"q,omitempty"`
}

// PartCrash reports which prompt parts the requests had that were in flight at an upstream that crashed.
type PartCrash struct {
	Service uint64 `msgpack:"v"`
	// Upstream is a hash of the upstream's name and start.
	Upstream uint64 `msgpack:"u"`
	// StartedAgeMS is the time since the latest of the requests was sent, AgeMS the time since the crash was detected.
	StartedAgeMS uint32   `msgpack:"s"`
	AgeMS        uint32   `msgpack:"a"`
	Parts        []uint64 `msgpack:"p"`
}

// PartAnswer reports that a request with a part was answered completely.
type PartAnswer struct {
	// Service is zero if Part is the fingerprint of a whole request.
	Service uint64 `msgpack:"v"`
	Part    uint64 `msgpack:"p"`
	AgeMS   uint32 `msgpack:"a"`
}

// QuarantinedPart reports a part that requests are rejected for.
type QuarantinedPart struct {
	Service uint64 `msgpack:"v"`
	Part    uint64 `msgpack:"p"`
	// Crashes is the number of crashes that the part was quarantined for, Trials the number of requests that ran as a trial since.
	Crashes uint32 `msgpack:"c"`
	Trials  uint32 `msgpack:"t"`
	// AgeMS is the time since the latest crash or trial.
	AgeMS uint32 `msgpack:"a"`
}

// RequestCrash reports that a request was in flight at an upstream that crashed.
type RequestCrash struct {
	Fingerprint uint64 `msgpack:"f"`
	// Upstream is a hash of the upstream's name and start.
	Upstream uint64 `msgpack:"u"`
	// AgeMS is the time since the request was sent to the upstream, in milliseconds.
	AgeMS uint32 `msgpack:"s"`
}

// UpstreamLoad is one gateway's view of the load on an upstream. It is encoded as an array, since it is sent most often.
type UpstreamLoad struct {
	// Upstream is a hash of the upstream's name.
	Upstream uint32
	// Requests is the number of the sender's requests in flight, PendingTokens the number of tokens of their prompts that the
	// upstream has not read yet.
	Requests, PendingTokens uint32
	// TotalRequests is the number of requests of all gateways as estimated from the upstream's latest answer, AgeMS the time since that
	// answer in milliseconds. Both are zero if unknown.
	TotalRequests, AgeMS uint32
}

// PromptHolder reports that an upstream holds prompt prefixes.
type PromptHolder struct {
	Upstream string       `msgpack:"u"`
	Parts    []PromptPart `msgpack:"p"`
}

// PromptPart is a part of a prompt. ID is the hash of its model and id, Tokens its length.
type PromptPart struct {
	ID     uint64 `msgpack:"h"`
	Tokens uint32 `msgpack:"t"`
}

// StorePull asks a peer for the changes that its copy of the platform's store has beyond the sender's copy.
type StorePull struct {
	// ID matches the StorePush to the StorePull.
	ID uint64 `msgpack:"i"`
	// Revision is that of the sender's copy.
	Revision uint64 `msgpack:"r"`
	// MaxValueBytes is the maximum size of a value in the answer; larger ones are only listed. Zero means no maximum.
	MaxValueBytes uint32 `msgpack:"m,omitempty"`
}

// StorePush answers a StorePull.
type StorePush struct {
	ID uint64 `msgpack:"i"`
	// Items are the changes after revision After up to Revision.
	After    uint64 `msgpack:"a"`
	Revision uint64 `msgpack:"r"`
	// Full is set if Items contains all existing items.
	Full bool `msgpack:"w,omitempty"`
	// AgeMS is the time since the copy was last known to be current, in milliseconds.
	AgeMS uint32      `msgpack:"g"`
	Items []StoreItem `msgpack:"t,omitempty"`
	// ContactAgeMS is the time since the store last responded to the sender or to a peer that told it, in milliseconds. Zero means unknown.
	ContactAgeMS uint32 `msgpack:"c,omitempty"`
	// Large are the changes whose values are larger than MaxValueBytes of the StorePull. They are not in Items.
	Large []LargeValue `msgpack:"l,omitempty"`
}

// LargeValue is a change of which only the size of the value is sent.
type LargeValue struct {
	Key      string `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
	// Bytes is the size of the value.
	Bytes uint32 `msgpack:"s"`
}

// StoreFetch asks a peer for a part of a value that it listed in a StorePush.
type StoreFetch struct {
	// ID matches the StoreChunk to the StoreFetch.
	ID       uint64 `msgpack:"i"`
	Key      string `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
	// Offset is the first byte of the part, MaxBytes its maximum size.
	Offset   uint32 `msgpack:"o"`
	MaxBytes uint32 `msgpack:"m"`
}

// StoreChunk answers a StoreFetch.
type StoreChunk struct {
	ID uint64 `msgpack:"i"`
	// Data is empty if the peer no longer has the value.
	Data []byte `msgpack:"d,omitempty"`
}

// StoreItem is the latest change of a key in the platform's store.
type StoreItem struct {
	Key      string `msgpack:"k"`
	Value    []byte `msgpack:"v,omitempty"`
	Revision uint64 `msgpack:"r"`
	Deleted  bool   `msgpack:"d,omitempty"`
}

// UsageCounts holds the requests that began to run through one gateway process in a usage window, by team. It is sent to the gateway that reports
// usage for the fleet, by the gateway itself or by one that passes it on. Older minor versions skip it.
type UsageCounts struct {
	Gateway string `msgpack:"g"`
	// Origin identifies the process of the gateway. It is new at each start.
	Origin string `msgpack:"o"`
	// Window is the number of the window from the start of 1970.
	Window int64 `msgpack:"w"`
	// Sequence is higher in each message of an origin for a window. A message replaces those with a lower one.
	Sequence uint64 `msgpack:"s"`
	// Partial is set if Counts has only some teams, and the counts of the others are unchanged.
	Partial bool `msgpack:"p,omitempty"`
	// Final is set if the counts will not change.
	Final bool `msgpack:"f,omitempty"`
	// Counts are the numbers of requests since the beginning of the window.
	Counts map[string]uint64 `msgpack:"c,omitempty"`
	// Recorded is the highest window that the sender has seen recorded as reported, zero if none.
	Recorded int64 `msgpack:"d,omitempty"`
}

// Type implements Message.
func (*UsageCounts) Type() Type { return TypeUsageCounts }

// Type implements Message.
func (*FleetState) Type() Type { return TypeFleetState }

// Type implements Message.
func (*StorePull) Type() Type { return TypeStorePull }

// Type implements Message.
func (*StorePush) Type() Type { return TypeStorePush }

// Type implements Message.
func (*StoreFetch) Type() Type { return TypeStoreFetch }

// Type implements Message.
func (*StoreChunk) Type() Type { return TypeStoreChunk }
