// Package services declares what jayridge needs from the platform and from upstreams.
//
// Each interface has an adapter in a sub-package. Decisions never import an adapter, so that one can be replaced without
// touching them. Every method may block on the network and honours its context; none is called by a control goroutine directly.
package services

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"
)

// Errors of the platform's services. Adapters wrap them; test with errors.Is.
var (
	// ErrNotFound means that the key or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a compare-and-swap found another revision; nothing was written.
	ErrConflict = errors.New("conflicting revision")
	// ErrUnavailable means that the service could not be reached; a write was not sent.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that the answer to a write was lost; it may have taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrStaleFence means that an engine refused an order with an old fencing token.
	ErrStaleFence = errors.New("stale fencing token")
)

// StatusError is an upstream's answer with an error status: the upstream ran the request and says that it failed.
type StatusError struct {
	Status int
	Body   []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return "upstream answered with status " + strconv.Itoa(e.Status)
}

// MaxValueBytes is the largest value that the key-value service holds.
const MaxValueBytes = 1 << 20

// Revision numbers the writes of one key. It grows with each write; zero means that the key does not exist.
type Revision uint64

// LeaseID names a lease; zero means none.
type LeaseID uint64

// KeyValue is one key with its value.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision Revision
}

// KV is the platform's key-value service. It is called by workers that a control goroutine starts, and each call counts
// against the process's call budget, a waiting Watch as one.
type KV interface {
	// Get returns a key, or ErrNotFound.
	Get(ctx context.Context, key string) (KeyValue, error)
	// CompareAndSwap writes value if the key's revision is prev; prev zero creates the key. The key is deleted when lease
	// ends; zero keeps it. It returns ErrConflict, ErrUnavailable, ErrTooLarge, or ErrOutcomeUnknown when the write may
	// have taken effect.
	CompareAndSwap(ctx context.Context, key string, prev Revision, value []byte, lease LeaseID) (Revision, error)
	// List returns the keys with a prefix in ascending order, at most limit of them (zero: no limit), without values.
	List(ctx context.Context, prefix string, limit int) ([]string, error)
	// Watch waits until the key's revision exceeds after and returns it. It returns the context's error when that ends first.
	Watch(ctx context.Context, key string, after Revision) (KeyValue, error)
	// Grant starts a lease that lasts ttl unless renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its ttl, or returns ErrNotFound when it has ended.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// InstanceState is what the instance list says of an instance.
type InstanceState string

// States of an instance in the list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the instance list.
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

// InstanceUpdate is what the instance list says to a reader that has seen an earlier revision.
type InstanceUpdate struct {
	Revision uint64
	// Whole says that Instances is the whole list. Otherwise it has the rows that changed, and Removed the ids that are gone.
	Whole     bool
	Instances []Instance
	Removed   []string
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// List returns what changed since revision after, or the whole list if the service does not know what did. After zero is
	// always answered with the whole list. If nothing changed, the update has the same revision and no rows.
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
	// Offset is the number of parts to skip; nonzero asks the engine to resume ID. An engine that cannot continue exactly, for
	// instance after a restart, refuses with a StatusError.
	Offset uint32
	// OnSend, if set, is called when a connection is there, before the first byte of the request is sent.
	OnSend func()
}

// TokenStream is a generation in progress. One goroutine uses it.
type TokenStream interface {
	// Next returns the next part of the answer, or io.EOF after the engine said that the answer is whole. Any other error
	// means that the answer is incomplete.
	Next() ([]byte, error)
	// Close cancels the generation if it has not ended.
	Close() error
}

// EngineLoad is an engine's own report; it lags.
type EngineLoad struct {
	// StartID changes when the engine restarts.
	StartID string `json:"start_id"`
	// WorkUnits is the engine's load in tokens; Capacity is the most it can run at once, in tokens.
	WorkUnits uint64 `json:"work_units"`
	Capacity  uint64 `json:"capacity"`
	// CachedPrefixes is the number of prompt prefixes in the cache.
	CachedPrefixes int  `json:"cached_prefixes"`
	Cold           bool `json:"cold"`
}

// CacheEvent says that an engine cached or evicted a chat's prompt prefix. Events come late and with gaps in Sequence.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Chat     uint64 `json:"chat"`
	Evicted  bool   `json:"evicted"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadVersion OrderKind = "load-version"
	OrderLoadAdapter OrderKind = "load-adapter"
	OrderSetRole     OrderKind = "set-role"
)

// Order tells an engine to change what it serves. Some engines ignore Fence; the sidecar checks it for them.
type Order struct {
	Kind   OrderKind `json:"kind"`
	Target string    `json:"target"`
	Fence  uint64    `json:"fence"`
}

// Engine is a model engine, used only by the sidecar beside it.
type Engine interface {
	// Generate hands over a request. An error that wraps ErrUnavailable means that nothing was sent.
	Generate(ctx context.Context, req GenerateRequest) (TokenStream, error)
	// Load returns the engine's load report.
	Load(ctx context.Context) (EngineLoad, error)
	// CacheEvents returns events after a sequence number.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Order passes an order on. It returns ErrStaleFence if the engine checks and refuses the fencing token.
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
	// ContentType is that of the body; empty means application/json.
	ContentType    string
	Body           []byte
	IdempotencyKey string
	// OnSend, if set, is called when a connection is there, before the first byte of the call is sent.
	OnSend func()
}

// CallResponse is a plain service's answer. Redirects are answers like any other.
type CallResponse struct {
	Status int
	// ContentType and Location are the answer's headers; empty if it had none.
	ContentType string
	Location    string
	Body        []byte
}

// PlainService is a service beside the engines, used only by the sidecar beside its upstream.
type PlainService interface {
	// Call hands over a call. An error that wraps ErrUnavailable means that nothing was sent; after any other error the
	// outcome is unknown.
	Call(ctx context.Context, req CallRequest) (CallResponse, error)
	// Load returns the upstream's load report.
	Load(ctx context.Context) (EngineLoad, error)
}
