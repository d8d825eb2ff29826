package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"

	"golang.org/x/sync/singleflight"

	"github.com/jayridge/jayridge/process/services"
)

// ErrLayout means that the service's claims are stored in a different number of shards. With two numbers in use, one key could
// be claimed in two shards.
var ErrLayout = errors.New("claims of this service are kept in another number of shards")

// layout verifies that all stores of a service use the same number of shards. The number is recorded once, create-only, under
// claims/<service>/layout.
type layout struct {
	kv         services.KV
	key        string
	shards     int
	checked    atomic.Bool
	checkGroup singleflight.Group
}

type layoutRecord struct {
	Shards int `json:"shards"`
}

// ensure returns nil once the recorded number is known to match the configured one. It may block on the network.
func (l *layout) ensure(ctx context.Context) error {
	if l.checked.Load() {
		return nil
	}
	_, err, _ := l.checkGroup.Do("", func() (any, error) { return nil, l.check(ctx) })
	if err != nil {
		return err
	}
	l.checked.Store(true)
	return nil
}

// check reads the record, or creates it. After a conflict or a lost response, the next check reads what was written.
func (l *layout) check(ctx context.Context) error {
	kv, err := l.kv.Get(ctx, l.key)
	if errors.Is(err, services.ErrNotFound) {
		return l.create(ctx)
	}
	if err != nil {
		return err
	}
	var recorded layoutRecord
	if err := json.Unmarshal(kv.Value, &recorded); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrLayout, l.key, err)
	}
	if recorded.Shards != l.shards {
		return fmt.Errorf("%w: %s has %d, the configuration %d", ErrLayout, l.key, recorded.Shards, l.shards)
	}
	return nil
}

func (l *layout) create(ctx context.Context) error {
	value, err := json.Marshal(layoutRecord{Shards: l.shards})
	if err != nil {
		return err
	}
	_, err = l.kv.CompareAndSwap(ctx, l.key, 0, value, 0)
	return err
}
