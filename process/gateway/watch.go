package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/settings"
)

const (
	// watchWait is the maximum time for which the store may hold a watch without changes. Each response confirms that the copy is current,
	// which is needed several times within the revocation time limit of keys. It is below maxDenyAge and pullAge, so that a copy whose
	// watch is waiting is not treated as old.
	watchWait = 1400 * time.Millisecond
	// maxContactGap is the maximum time between two responses of a healthy store. It is below directory.Config.OutageAfter, from which
	// upstreams whose entries are removed are treated as missing rather than gone. The margin is for slow responses.
	maxContactGap = 1900 * time.Millisecond
	// watchPause is the minimum time between two watch calls in a small fleet. Upstreams renew their entries continually, and the pause
	// batches the changes of many into one call.
	watchPause = 300 * time.Millisecond
	// watchPauseGateways is the number of gateways up to which watchPause applies. With more the pause is longer, since the store's request
	// limits do not grow with the fleet.
	watchPauseGateways = 10
	// maxPauseShare is the maximum pause as a fraction of the time within which a configuration must be adopted. The pause is never below
	// watchPause, even if this fraction is.
	maxPauseShare = 0.3
	// maxWatchPause keeps the pause below the ages from which the copy is treated as old. 790 gateways then read the store 790 times a second.
	maxWatchPause = time.Second
	// watchOverdue is how long after the end of its wait a watch may respond before the store is asked over another connection. A waiting watch
	// can be lost without a sign, while the store serves new calls.
	watchOverdue = 250 * time.Millisecond
	// maxChangesOverCopy is the number of bytes by which the changes in a response may be larger than the whole copy. Beyond it, the store's
	// content is read instead: many versions of a large value take longer on a slow link than the newest one.
	maxChangesOverCopy = 512 << 10
	// watchRetry is the delay before the next call after a failed one.
	watchRetry = 250 * time.Millisecond
	// storeDownAfter is the time without a response after which the store is logged as unavailable.
	storeDownAfter = 2 * time.Second
)

// allKeys is the prefix of all keys in the store.
const allKeys = ""

// watch keeps the copy of the store current until the gateway stops.
func (g *Gateway) watch() {
	w := &watcher{g: g}
	for g.ctx.Err() == nil {
		started := time.Now()
		err := w.step()
		w.recordResult(err)
		pause := w.pause() - time.Since(started)
		if err != nil {
			pause = watchRetry
		}
		sleep.For(g.ctx, pause)
	}
}

// watchPauseFor returns the minimum time between two watch calls of a gateway in a fleet of the given size. configMS is the time within
// which a configuration must be adopted, in milliseconds.
func watchPauseFor(gateways int, configMS float64) time.Duration {
	pause := watchPause * time.Duration(max(gateways, watchPauseGateways)) / watchPauseGateways
	return min(pause, maxWatchPause, max(watchPause, settings.FractionalMilliseconds(maxPauseShare*configMS)))
}

// watchWaitFor returns the maximum time for which the store may hold a watch that follows the given pause.
func watchWaitFor(pause time.Duration) time.Duration { return min(watchWait, maxContactGap-pause) }

// watcher follows the store. It makes one call at a time but for urgent keys during a large response.
type watcher struct {
	g        *Gateway
	revision uint64
	// lastResponseAt is the time of the store's latest response.
	lastResponseAt time.Time
	// lossLogged means that the store has been logged as unavailable.
	lossLogged bool
}

// pause returns the minimum time between two watch calls for the same keys.
func (w *watcher) pause() time.Duration {
	return watchPauseFor(int(w.g.gatewayCount.Load()), w.g.fleet.Load().ConfigMS)
}

// wait returns the maximum time for which the store may hold a watch.
func (w *watcher) wait() time.Duration { return watchWaitFor(w.pause()) }

// step makes one call and passes its result to the control goroutine.
func (w *watcher) step() error {
	var r storeResponse
	if w.revision == 0 {
		r = w.snapshot()
	} else {
		w.revision = max(w.revision, w.g.revision.Load()) // neighbours may have brought changes
		r = w.changes(w.wait())
	}
	batch, err := r.batch, r.err
	w.g.metrics.storeBytes.Add(int64(batch.Bytes()))
	if mustReadAll(err) {
		event.LogSampled(event.StoreHistoryLost, "revision", w.revision, "error", err)
		w.revision = 0
		return w.step()
	}
	if err != nil {
		event.LogSampled(event.WatchFailed, "ms", bootclock.Now().Sub(r.sent).Milliseconds(), "revision", w.revision, "error", err)
		return err
	}
	batch.ContactAt = bootclock.Now()
	batch.AsOf = currentAt(r.sent, batch.ContactAt, r.wait, batch)
	return w.deliver(batch)
}

// mustReadAll reports whether the changes that a call asked for cannot be had, so that everything must be read.
func mustReadAll(err error) bool {
	return errors.Is(err, mirror.ErrCompacted) || errors.Is(err, mirror.ErrTooManyChanges)
}

// storeResponse is the result of one call of the store.
type storeResponse struct {
	batch mirror.Batch
	err   error
	// sent is the time at which the call was sent, wait the time for which the store was asked to wait.
	sent time.Time
	wait time.Duration
}

// storeCall is a call of the store in progress.
type storeCall struct {
	// begun is closed when the first bytes of the response have arrived.
	begun  chan struct{}
	done   chan storeResponse
	cancel context.CancelFunc
}

// start makes a call on a goroutine of its own.
func (w *watcher) start(calls *sync.WaitGroup, wait time.Duration, request func(ctx context.Context, progress func(int)) (mirror.Batch, error)) storeCall {
	ctx, cancel := context.WithCancel(w.g.ctx)
	c := storeCall{begun: make(chan struct{}), done: make(chan storeResponse, 1), cancel: cancel}
	var first sync.Once
	received, begunAt := 0, time.Time{}
	progress := func(bytes int) {
		now := bootclock.Now()
		first.Do(func() { close(c.begun); begunAt = now })
		w.g.storeProgressAt.Store(now.UnixNano())
		received += bytes
		pace := newStorePace(w.g.settings.LinkMbps, w.g.fleet.Load().ConfigMS)
		sleep.For(ctx, pace.pause(received, now.Sub(begunAt), w.g.configAge()))
	}
	calls.Go(func() {
		r := storeResponse{sent: bootclock.Now(), wait: wait}
		r.batch, r.err = request(ctx, progress)
		c.done <- r
	})
	return c
}

// snapshot reads everything.
func (w *watcher) snapshot() storeResponse {
	var calls sync.WaitGroup
	defer calls.Wait()
	c := w.start(&calls, 0, func(ctx context.Context, progress func(int)) (mirror.Batch, error) {
		return w.g.store.Snapshot(ctx, allKeys, progress)
	})
	defer c.cancel()
	return w.finish(c)
}

// changes waits for changes after the copy's revision. If no response begins in time, the store is asked again without a wait. The call
// whose response begins or fails first counts and the other one is cancelled, so that they do not share the link for the same changes. An
// error counts too: the next call is then made after watchRetry, and not after the timeout of the watch.
func (w *watcher) changes(wait time.Duration) storeResponse {
	var calls sync.WaitGroup
	defer calls.Wait()
	maxBytes := int(w.g.storeCopyBytes.Load()) + maxChangesOverCopy
	ask := func(watch mirror.Watch) storeCall {
		watch.Prefix, watch.After, watch.MaxBytes = allKeys, w.revision, maxBytes
		return w.start(&calls, watch.Wait, func(ctx context.Context, progress func(int)) (mirror.Batch, error) {
			watch.Progress = progress
			return w.g.store.Changes(ctx, watch)
		})
	}
	first := ask(mirror.Watch{Wait: wait})
	defer first.cancel()
	overdue := time.NewTimer(wait + watchOverdue)
	defer overdue.Stop()
	select {
	case r := <-first.done:
		return r
	case <-first.begun:
		return w.finish(first)
	case <-overdue.C:
	}
	event.LogSampled(event.WatchOverdue, "wait_ms", wait.Milliseconds(), "revision", w.revision)
	second := ask(mirror.Watch{NewConnection: true})
	defer second.cancel()
	select {
	case r := <-first.done:
		return r
	case r := <-second.done:
		return r
	case <-first.begun:
		second.cancel()
		return w.finish(first)
	case <-second.begun:
		first.cancel()
		return w.finish(second)
	}
}

// currentAt returns the latest time at which a response of the store was certainly current. A response is made after its call was sent; a
// watch that ended without changes was current until the end of the wait.
func currentAt(sent, received time.Time, wait time.Duration, b mirror.Batch) time.Time {
	if waited := sent.Add(wait); !b.Full && len(b.Items) == 0 && !received.Before(waited) {
		return waited
	}
	return sent
}

// deliver queues a batch and waits until it is applied, so that the next call continues from its revision.
func (w *watcher) deliver(batch mirror.Batch) error {
	applied := make(chan struct{})
	select {
	case w.g.batches <- sourcedBatch{batch: batch, after: w.revision, source: sourceStore, applied: applied}:
	case <-w.g.ctx.Done():
		return w.g.ctx.Err()
	}
	select {
	case <-applied:
		w.revision = batch.Revision
		return nil
	case <-w.g.ctx.Done():
		return w.g.ctx.Err()
	}
}

// recordResult records whether the store is failing and logs when it becomes unavailable and available again.
func (w *watcher) recordResult(err error) {
	w.g.storeFailing.Store(err != nil)
	now := time.Now()
	if err == nil {
		if w.lossLogged {
			event.Log(event.PlatformRecovered, "lost_ms", now.Sub(w.lastResponseAt).Milliseconds())
		}
		w.lastResponseAt, w.lossLogged = now, false
		return
	}
	w.g.metrics.storeFailures.Add(1)
	if !w.lossLogged && now.Sub(w.lastResponseAt) > storeDownAfter && w.g.ctx.Err() == nil {
		w.lossLogged = true
		event.Log(event.PlatformFailed, "since_ms", now.Sub(w.lastResponseAt).Milliseconds(), "revision", w.revision, "error", err)
	}
}
