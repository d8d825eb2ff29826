// Package claim makes calls with an idempotency key run at most once.
package claim

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/platform"
)

// Store decides the claims of one process for one service. It is safe for concurrent use.
type Store struct {
	kv  platform.KV
	cfg Config
}

// NewStore returns a store that keeps claims in kv. writer names the process in logs.
func NewStore(kv platform.KV, cfg Config, writer string) (*Store, error) {
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	if writer == "" {
		return nil, trace.BadParameter("writer is empty")
	}
	return &Store{kv: kv, cfg: cfg}, nil
}

// Claim asks for the right to run the call with this key. fingerprint is a hash of the request, by which a key that is used
// for another request is found. The error is set only if the decision is Unavailable and says why.
func (s *Store) Claim(ctx context.Context, key Key, fingerprint uint64) (Decision, error) {
	return Decision{Kind: Unavailable}, trace.NotImplemented("claims are not implemented yet")
}

// Finish stores the response of a granted call. It does not wait.
func (s *Store) Finish(key Key, response Response) {}

// Close stops the store.
func (s *Store) Close(ctx context.Context) error { return nil }
