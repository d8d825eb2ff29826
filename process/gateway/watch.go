package gateway

import (
	"errors"
	"time"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/settings"
)

const (
	// watchWait is how long the store may hold a watch without changes. Each answer confirms that the copy is current, which keys need
	// several times within the time in which a revoked one may still be served. It lies below denyAge and pullAge, so that a copy whose
	// watch is waiting does not count as old.
	watchWait = 1400 * time.Millisecond
	// maxContactGap bounds the time between two answers of a store that is well, below the one from which upstreams count as missing rather
	// than gone (directory.Config.OutageAfter); the difference is left for a store that is slow.
	maxContactGap = 1900 * time.Millisecond
	// watchPause is the least time between two answers of the store in a small fleet. Upstreams renew their entries all the time; a pause
	// gathers the changes of many into one call.
	watchPause = 300 * time.Millisecond
	// pausePerGateways is the number of gateways for which watchPause is meant. More wait longer, since the store's rates do not grow with
	// the fleet.
	pausePerGateways = 10
	// maxPauseShare bounds the pause to a part of the time in which a configuration must be in force.
	maxPauseShare = 0.3
	// maxWatchPause bounds the pause below the ages from which the copy counts as old. 790 gateways then read the store 790 times a second.
	maxWatchPause = time.Second
	// watchRetry is the time before the next call after a failed one.
	watchRetry = 250 * time.Millisecond
	// storeDownAfter is the time without an answer of the store after which it is logged as lost.
	storeDownAfter = 2 * time.Second
)

// allKeys is the prefix of everything in the store.
const allKeys = ""

// watch keeps the copy of the store current.
func (g *Gateway) watch() {
	w := &watcher{g: g}
	for g.ctx.Err() == nil {
		started := time.Now()
		err := w.step()
		w.report(err)
		pause := watchPauseOf(int(g.entries.Load()), g.fleet.Load().ConfigMS) - time.Since(started)
		if err != nil {
			pause = watchRetry
		}
		sleep.For(g.ctx, pause)
	}
}

// watchPauseOf is the least time between two answers of the store to one of a number of gateways. configMS is the time in which a
// configuration must be in force, in milliseconds.
func watchPauseOf(gateways int, configMS float64) time.Duration {
	pause := watchPause * time.Duration(max(gateways, pausePerGateways)) / pausePerGateways
	return min(pause, maxWatchPause, max(watchPause, settings.Duration(maxPauseShare*configMS)))
}

// watchWaitOf is how long the store may hold a watch that follows a pause.
func watchWaitOf(pause time.Duration) time.Duration { return min(watchWait, maxContactGap-pause) }

type watcher struct {
	g        *Gateway
	revision uint64
	// lastAnswer is the time of the store's latest answer; lost says that its loss was logged.
	lastAnswer time.Time
	lost       bool
}

// step makes one call and hands its result to the control goroutine.
func (w *watcher) step() error {
	sent := bootclock.Now()
	wait := watchWaitOf(watchPauseOf(int(w.g.entries.Load()), w.g.fleet.Load().ConfigMS))
	var batch mirror.Batch
	var err error
	if w.revision == 0 {
		batch, err = w.g.store.Snapshot(w.g.ctx, allKeys)
	} else {
		batch, err = w.g.store.Changes(w.g.ctx, allKeys, w.revision, wait)
	}
	if errors.Is(err, mirror.ErrHistoryLost) {
		event.Log(event.HistoryLost, "revision", w.revision)
		w.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	batch.AsOf = currentAt(sent, bootclock.Now(), wait, batch)
	return w.hand(batch)
}

// currentAt is the latest time at which an answer of the store was certainly current. It was made after the call was sent. A watch without
// changes was answered only after the store had waited for them.
func currentAt(sent, received time.Time, wait time.Duration, b mirror.Batch) time.Time {
	if waited := sent.Add(wait); !b.Whole && len(b.Items) == 0 && !received.Before(waited) {
		return waited
	}
	return sent
}

// hand passes a batch on and waits until it is applied, so that the next call continues from there.
func (w *watcher) hand(batch mirror.Batch) error {
	applied := make(chan struct{})
	select {
	case w.g.batches <- received{batch: batch, after: w.revision, source: sourceStore, applied: applied}:
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

func (w *watcher) report(err error) {
	now := time.Now()
	if err == nil {
		if w.lost {
			event.Log(event.PlatformRecovered, "lost_ms", now.Sub(w.lastAnswer).Milliseconds())
		}
		w.lastAnswer, w.lost = now, false
		return
	}
	w.g.metrics.storeFailures.Add(1)
	if !w.lost && now.Sub(w.lastAnswer) > storeDownAfter && w.g.ctx.Err() == nil {
		w.lost = true
		event.Log(event.PlatformFailed, "since_ms", now.Sub(w.lastAnswer).Milliseconds(), "revision", w.revision, "error", err)
	}
}
