package lease

import (
	"context"
	"errors"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jayridge/jayridge/process/services"
)

// errHeldByOther means that another process holds the lease or acquired it concurrently.
var errHeldByOther = errors.New("lease is held by another process")

// Key returns the key that exists while the lease is held.
func Key(name string) string { return "lease/" + name }

// fenceKey returns the key that holds the last fencing token.
func fenceKey(name string) string { return "fence/" + name }

// Value is the content of both keys.
type Value struct {
	// Holder is the id of the instance.
	Holder string `msgpack:"h"`
	// Fence is the fencing token. In the lease key it is a lower bound; the token is that of the fence key once that has the same Nonce.
	Fence uint64 `msgpack:"f"`
	// Nonce distinguishes the attempts of one instance.
	Nonce uint64 `msgpack:"n"`
}

// DecodeValue decodes the content of a key.
func DecodeValue(data []byte) (Value, error) {
	var v Value
	err := msgpack.Unmarshal(data, &v)
	return v, trace.Wrap(err)
}

// attempt is one attempt to acquire the lease.
type attempt struct {
	kv     services.KV
	name   string
	holder string
	nonce  uint64
	lease  services.LeaseID
}

// acquire creates the lease key and then writes the next token to the fence key. A failure at any point leaves at most an unused token and a lease
// that expires.
//
// The token is the revision of the lease key, or one more than the last token if that is higher. Revisions contain the store's epoch in their high
// bits, so the token increases also if the store was restored from a copy with an older fence key, and if the fence key was lost. The last token
// covers stores whose revisions restart with each new key.
func (a *attempt) acquire(ctx context.Context) (uint64, error) {
	last, revision, err := a.read(ctx, fenceKey(a.name))
	if err != nil {
		return 0, err
	}
	own := Value{Holder: a.holder, Fence: last.Fence + 1, Nonce: a.nonce}
	created, err := a.write(ctx, Key(a.name), 0, own, a.lease)
	if err != nil {
		return 0, err
	}
	own.Fence = max(own.Fence, uint64(created))
	if _, err := a.write(ctx, fenceKey(a.name), revision, own, 0); err != nil {
		return 0, err
	}
	return own.Fence, nil
}

// read returns the value and revision of a key, both zero if it does not exist.
func (a *attempt) read(ctx context.Context, key string) (Value, services.Revision, error) {
	kv, err := a.kv.Get(ctx, key)
	if errors.Is(err, services.ErrNotFound) {
		return Value{}, 0, nil
	}
	if err != nil {
		return Value{}, 0, trace.Wrap(err)
	}
	v, err := DecodeValue(kv.Value)
	return v, kv.Revision, err
}

// write replaces a revision of a key and returns the new one. If the response is lost, it reads the key to determine whether the write took effect.
func (a *attempt) write(ctx context.Context, key string, previous services.Revision, v Value, lease services.LeaseID) (services.Revision, error) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	written, err := a.kv.CompareAndSwap(ctx, key, previous, data, lease)
	if err == nil {
		return written, nil
	}
	if errors.Is(err, services.ErrConflict) {
		return 0, trace.Wrap(errHeldByOther)
	}
	if !errors.Is(err, services.ErrOutcomeUnknown) {
		return 0, trace.Wrap(err)
	}
	current, revision, err := a.read(ctx, key)
	if err != nil {
		return 0, err
	}
	if current != v {
		return 0, trace.Wrap(errHeldByOther)
	}
	return revision, nil
}
