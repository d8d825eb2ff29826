// Package services declares the interfaces to the services of the platform and to upstreams.
//
// Each interface has an adapter in a sub-package. Packages with decision logic never import an adapter, so that an adapter can be
// replaced without changing them. Every method may block on the network and honours its context; none is called by a control goroutine
// directly.
package services

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// Errors of the platform's services. Adapters wrap them; test with errors.Is.
var (
	// ErrNotFound means that the key or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a compare-and-swap found a different revision; nothing was written.
	ErrConflict = errors.New("conflicting revision")
	// ErrUnavailable means that the service could not be reached; a write was not sent.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that the response to a write was lost; the write may have taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrStaleFence means that an engine rejected an order because its fencing token is outdated.
	ErrStaleFence = errors.New("stale fencing token")
)

// StatusError is an upstream's response with an error status: the upstream executed the request and reported a failure.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return "upstream answered with status " + strconv.Itoa(e.Status)
}

// MaxValueBytes is the maximum size of a value in the key-value service.
const MaxValueBytes = 1 << 20

// Revision is the version number of one key. It increases with each write; zero means that the key does not exist. A store that is restored from an
// older copy starts a new epoch, in which it may give out numbers a second time: the upper bits of a revision hold the epoch, so that all revisions of
// an epoch are higher than those of earlier ones.
type Revision uint64

// epochShift is the number of bits for the number of a revision within its epoch.
const epochShift = 40

// NewRevision returns the revision with a number in an epoch. It returns an error if one of them is too large.
func NewRevision(epoch, number uint64) (Revision, error) {
	if epoch >= 1<<(64-epochShift) || number >= 1<<epochShift {
		return 0, trace.LimitExceeded("revision %d of epoch %d is out of range", number, epoch)
	}
	return Revision(epoch<<epochShift | number), nil
}

// Epoch returns how often the store has been restored from an older copy.
func (r Revision) Epoch() uint64 { return uint64(r) >> epochShift }

// Number returns the number that the store gave out in the revision's epoch.
func (r Revision) Number() uint64 { return uint64(r) & (1<<epochShift - 1) }

// LeaseID identifies a lease; zero means none.
type LeaseID uint64

// KeyValue is a key with its value and revision.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision Revision
}

// KV is the platform's key-value service. It is called by worker goroutines that a control goroutine starts. Each call counts against the
// process's call budget; a Watch counts as one call, however long it waits.
type KV interface {
	// Get returns a key, or ErrNotFound.
	Get(ctx context.Context, key string) (KeyValue, error)
	// CompareAndSwap writes value if the key's revision is prev; a zero prev creates the key. The key is deleted when lease ends; with a
	// zero lease it is permanent. It returns ErrConflict, ErrUnavailable, ErrTooLarge, or ErrOutcomeUnknown if the write may have taken
	// effect.
	CompareAndSwap(ctx context.Context, key string, prev Revision, value []byte, lease LeaseID) (Revision, error)
	// List returns the keys with a prefix in ascending order, at most limit of them (zero: no limit), without values.
	List(ctx context.Context, prefix string, limit int) ([]string, error)
	// Watch waits until the key's revision exceeds after and returns the key. If ctx ends first, it returns the context's error.
	Watch(ctx context.Context, key string, after Revision) (KeyValue, error)
	// Grant creates a lease that expires after ttl unless renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew restarts the TTL of a lease, or returns ErrNotFound if the lease has ended.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// Values of Instance.State.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one record of the instance list.
type Instance struct {
	ID         string        `json:"id"`
	Role       string        `json:"role"`
	DataCentre string        `json:"data_centre"`
	Region     string        `json:"region,omitempty"`
	Address    string        `json:"address"`
	Admin      string        `json:"admin,omitempty"`
	Service    string        `json:"service,omitempty"`
	Version    string        `json:"version,omitempty"`
	State      InstanceState `json:"state"`
}

// InstanceUpdate is the difference between the instance list and a revision that the reader has seen, or the complete list.
type InstanceUpdate struct {
	Revision uint64
	// Full is set if Instances is the complete list. Otherwise Instances has the changed records and Removed the ids of the removed ones.
	Full      bool
	Instances []Instance
	Removed   []string
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// List returns the changes since revision after, or the complete list if the service no longer has them or after is zero. If nothing
	// changed, the update has the same revision and no records.
	List(ctx context.Context, after uint64) (InstanceUpdate, error)
}

// WeightStore is the rate-limited store of model weights.
type WeightStore interface {
	// Fetch returns the named object. The caller closes it. It returns ErrNotFound or ErrUnavailable.
	Fetch(ctx context.Context, name string) (io.ReadCloser, error)
}

// GenerateRequest is one call to a model engine.
type GenerateRequest struct {
	// ID identifies the generation for Resume and Cancel.
	ID       string
	Path     string
	Body     []byte
	Chat     uint64
	Priority int
	// Offset is the number of response parts to skip; a nonzero value asks the engine to resume the generation ID. An engine that cannot
	// continue it exactly, for example after a restart, refuses with a StatusError.
	Offset uint32
	// OnSend, if set, is called when a connection is available, before the first byte of the request is sent.
	OnSend func()
}

// TokenStream is a generation in progress. It is not safe for concurrent use.
type TokenStream interface {
	// Next returns the next part of the response, or io.EOF after the engine reported that the response is complete. Any other error means
	// that the response is incomplete.
	Next() ([]byte, error)
	// Close cancels the generation if it has not ended.
	Close() error
}

// EngineLoad is an engine's load report. It lags behind the engine's state.
type EngineLoad struct {
	// StartID changes when the engine restarts.
	StartID string `json:"start_id"`
	// WorkUnits is the engine's load in tokens; Capacity is the maximum that it can run concurrently, in tokens.
	WorkUnits uint64 `json:"work_units"`
	Capacity  uint64 `json:"capacity"`
	// CachedPrefixes is the number of prompt prefixes in the cache.
	CachedPrefixes int  `json:"cached_prefixes"`
	Cold           bool `json:"cold"`
}

// CacheEvent reports that an engine cached or evicted a chat's prompt prefix. Events may be delayed, and Sequence may have gaps.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Chat     uint64 `json:"chat"`
	Evicted  bool   `json:"evicted"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Values of Order.Kind.
const (
	OrderLoadVersion OrderKind = "load-version"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderSetRole     OrderKind = "set-role"
)

// Order instructs an engine to change what it serves. Some engines ignore Fence; the sidecar checks it for them.
type Order struct {
	Kind   OrderKind `json:"kind"`
	Target string    `json:"target"`
	Fence  uint64    `json:"fence"`
}

// Engine is a model engine, used only by its sidecar.
type Engine interface {
	// Generate sends a request to the engine. An error that wraps ErrUnavailable means that nothing was sent.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	// Load returns the engine's load report.
	Load(ctx context.Context) (EngineLoad, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order sends an order to the engine. It returns ErrStaleFence if the engine checks the fencing token and rejects it.
	Order(ctx context.Context, order Order) error
	// ExportCache returns the KV cache of a chat, which the caller closes, or ErrNotFound.
	ExportCache(ctx context.Context, chat uint64) (io.ReadCloser, error)
	// ImportCache loads a KV cache that another engine exported.
	ImportCache(ctx context.Context, chat uint64, cache io.Reader) error
}

// CallRequest is one call to a plain service.
type CallRequest struct {
	Method string
	Path   string
	// ContentType is the content type of the body; empty means application/json.
	ContentType    string
	Body           []byte
	IdempotencyKey string
	// OnSend, if set, is called when a connection is available, before the first byte of the call is sent.
	OnSend func()
}

// CallResponse is a plain service's response. Redirects are returned, not followed.
type CallResponse struct {
	Status int
	// ContentType and Location are response headers; empty if missing.
	ContentType string
	Location    string
	Body        []byte
}

// PlainService is a service that is not a model engine, used only by its sidecar.
type PlainService interface {
	// Call sends a call to the service. An error that wraps ErrUnavailable means that nothing was sent; after any other error the outcome
	// is unknown.
	Call(ctx context.Context, req CallRequest) (CallResponse, error)
	// Load returns the upstream's load report.
	Load(ctx context.Context) (EngineLoad, error)
}
