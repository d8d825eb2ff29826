package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/mirror"
)

// largeResponseAfter is the time from the beginning of a response after which urgent keys are asked for separately until its end.
const largeResponseAfter = 100 * time.Millisecond

// finish waits for the end of a call whose response has everything. If that takes long, the response holds a large value, and urgent changes are
// asked for separately until then. An empty copy needs everything first.
func (w *watcher) finish(c storeCall) storeResponse {
	timer := time.NewTimer(largeResponseAfter)
	defer timer.Stop()
	select {
	case r := <-c.done:
		return r
	case <-timer.C:
	}
	if w.g.revision.Load() == 0 {
		return <-c.done
	}
	ctx, cancel := context.WithCancel(w.g.ctx)
	var urgent sync.WaitGroup
	defer urgent.Wait()
	defer cancel()
	for _, prefix := range w.g.decoder.UrgentPrefixes() {
		urgent.Go(func() { w.watchUrgent(ctx, prefix) })
	}
	return <-c.done
}

// watchUrgent applies the changes of the keys with a prefix until ctx is done. The copy's revision stays as it is, since changes of other keys are
// missing. Each response also shows that the store is available.
func (w *watcher) watchUrgent(ctx context.Context, prefix string) {
	for after := w.revision; ctx.Err() == nil; {
		batch, err := w.urgentChanges(ctx, prefix, after)
		switch {
		case ctx.Err() != nil:
			return
		case mustReadAll(err):
			event.LogSampled(event.StoreHistoryLost, "prefix", prefix, "revision", after, "error", err)
			after = 0
			continue
		case err != nil:
			event.LogSampled(event.WatchFailed, "prefix", prefix, "revision", after, "error", err)
			sleep.For(ctx, watchRetry)
			continue
		}
		after = batch.Revision
		w.g.metrics.storeBytes.Add(int64(batch.Bytes()))
		batch.ContactAt = bootclock.Now()
		select {
		case w.g.batches <- sourcedBatch{batch: batch, after: w.revision, source: sourceStore}:
		case <-ctx.Done():
		}
		sleep.For(ctx, w.pause())
	}
}

// urgentChanges returns the changes of the keys with a prefix after a revision; all keys with the prefix if that is zero.
func (w *watcher) urgentChanges(ctx context.Context, prefix string, after uint64) (batch mirror.Batch, err error) {
	if after > 0 {
		batch, err = w.g.store.Changes(ctx, mirror.Watch{Prefix: prefix, After: after, Wait: w.wait()})
	} else {
		batch, err = w.g.store.Snapshot(ctx, prefix, nil)
	}
	batch.Prefix = prefix
	return batch, err
}
