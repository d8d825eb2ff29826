package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/duty"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/lease"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/usage"
)

const (
	// usageCallTimeout limits a call of the platform's API. A call whose response was lost is repeated in time, and a holder that cannot reach the API
	// gives up after two calls, so that the next one can still report the window.
	usageCallTimeout = 1400 * time.Millisecond
	// slowUsageCallTimeout limits the calls after one that failed or took longer than slowUsageCall: the API may be slow, which more calls do not cure.
	slowUsageCallTimeout = 2500 * time.Millisecond
	slowUsageCall        = 700 * time.Millisecond
	// usageStoreTimeout limits a call of the store for the record.
	usageStoreTimeout = time.Second
	// usageStoreRetry is the pause after a failed call of the store for the record.
	usageStoreRetry = 250 * time.Millisecond
)

// usageReports closes and reports windows while this gateway holds the duty. It belongs to one goroutine.
type usageReports struct {
	u      *usageDuty
	api    duty.API
	tenure *duty.Tenure
	// token is the token with which the duty was taken over, zero if it was not.
	token uint64
	// revision is the latest known revision of the record.
	revision services.Revision
	// slow means that the latest call failed or was slow.
	slow bool
	// completeUntil is the time until which nobody else can have reported since this gateway was the holder: the end of its latest lease at the store.
	completeUntil time.Time
}

// run reports windows until the gateway stops.
func (r *usageReports) run() {
	for r.u.g.ctx.Err() == nil {
		sleep.For(r.u.g.ctx, max(usageTick, r.step()))
	}
}

// step does what is due and returns the time until the next step.
func (r *usageReports) step() time.Duration {
	now := bootclock.Now()
	grant, held := r.u.holder.keeper.Grant()
	r.tenure.SetLease(duty.Lease{Token: grant.Fence, Since: grant.Since, Until: grant.Until}, held)
	if held {
		r.u.counters.token.Store(int64(grant.Fence))
	}
	if !r.tenure.Active(now) || r.u.g.leaving.Load() {
		r.lose()
		return 0
	}
	if r.token != grant.Fence {
		r.lose()
		if err := r.takeOver(grant); err != nil {
			return r.storeFailed(err)
		}
		return 0
	}
	r.completeUntil = grant.Until.Add(dutyLease(r.tenure.Wait()).Margin)
	if err := r.closeWindows(grant.Fence); err != nil {
		return r.storeFailed(err)
	}
	if r.token != 0 {
		r.report(grant.Fence)
	}
	return 0
}

// storeFailed logs a failed call of the store and returns the pause before the next one.
func (r *usageReports) storeFailed(err error) time.Duration {
	if r.u.g.ctx.Err() == nil {
		event.LogSampled(event.UsageNotRecorded, "error", err)
	}
	return usageStoreRetry
}

// lose records that the duty is not held any more.
func (r *usageReports) lose() {
	r.token = 0
	r.u.mu.Lock()
	defer r.u.mu.Unlock()
	r.u.reporter.Lose()
}

// giveUp gives the duty up and lets others try for a time.
func (r *usageReports) giveUp(token uint64, pause time.Duration, reason string) {
	event.Log(event.UsageDutyGivenUp, "token", token, "reason", reason)
	r.u.holder.keeper.GiveUp(pause)
	r.completeUntil = time.Time{} // the lease may be acquired by another gateway at once
	r.lose()
}

// takeOver reads the record of the former holder and begins to report.
func (r *usageReports) takeOver(grant lease.Grant) error {
	stored, revision, err := r.read()
	if err != nil {
		return err
	}
	epoch := services.Revision(grant.Fence).Epoch()
	if revision.Epoch() > epoch {
		r.giveUp(grant.Fence, 0, "the store was restored since the lease was acquired")
		return nil
	}
	t := usage.TakeOver{Token: grant.Fence, Epoch: epoch, Stored: stored, Continuous: grant.Since.Before(r.completeUntil)}
	if stored != nil {
		t.StoredEpoch = services.Revision(stored.Token).Epoch()
		if stored.Token > grant.Fence {
			r.giveUp(grant.Fence, 0, "the record has a higher token")
			return nil
		}
	}
	u := r.u
	u.mu.Lock()
	t.Now, t.Seen = u.now(), u.seen > 0
	t.Since = t.Now.Add(-bootclock.Now().Sub(grant.Since))
	from, to := u.reporter.TakeOver(t, u.ledger)
	u.mu.Unlock()
	r.token, r.revision = grant.Fence, revision
	event.Log(event.UsageTakenOver, "token", grant.Fence, "epoch", epoch, "continuous", t.Continuous, "record_found", stored != nil)
	if from <= to {
		u.counters.missed.Add(to - from + 1)
		event.Log(event.UsageMissed, "from", from, "to", to, "reason", "the store was restored, what was reported is not known", "token", grant.Fence)
	}
	return nil
}

// read returns the record in the store, nil if there is none. A record that cannot be decoded counts as one of an unknown epoch.
func (r *usageReports) read() (*usage.Record, services.Revision, error) {
	ctx, cancel := context.WithTimeout(r.u.g.ctx, usageStoreTimeout)
	defer cancel()
	kv, err := r.u.g.store.Get(ctx, usage.Key)
	if errors.Is(err, services.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	record, err := usage.DecodeRecord(kv.Value)
	if err != nil {
		event.Log(event.StoreItemInvalid, "key", usage.Key, "revision", uint64(kv.Revision), "error", err)
		return &usage.Record{Window: noWindow}, kv.Revision, nil
	}
	return &record, kv.Revision, nil
}

// closeWindows records the windows that can be closed.
func (r *usageReports) closeWindows(token uint64) error {
	u := r.u
	members := u.g.peers.memberNames()
	if !slices.Contains(members, u.g.settings.Instance) {
		members = append(members, u.g.settings.Instance)
	}
	u.mu.Lock()
	now := u.now()
	record, found, missed := u.reporter.Close(now, token, u.ledger, members)
	unreported := u.reporter.Unreported(now)
	var missing []string
	if found {
		missing = u.ledger.Missing(now, record.Window, members)
	}
	u.mu.Unlock()
	if missed > 0 {
		u.counters.missed.Add(missed)
		event.Log(event.UsageMissed, "windows", missed, "reason", "not recorded in time", "token", token)
	}
	if len(unreported) > 0 {
		u.counters.missed.Add(int64(len(unreported)))
		event.Log(event.UsageMissed, "windows", unreported, "reason", "the API did not accept them in time", "token", token)
	}
	if !found {
		return nil
	}
	return r.write(record, missing)
}

// write writes a record. Only then its windows may be reported.
func (r *usageReports) write(record usage.Record, missing []string) error {
	value, err := record.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.u.g.ctx, usageStoreTimeout)
	defer cancel()
	revision, err := r.u.g.store.CompareAndSwap(ctx, usage.Key, r.revision, value, 0)
	if errors.Is(err, services.ErrConflict) || errors.Is(err, services.ErrOutcomeUnknown) {
		return r.resolveWrite(record, err)
	}
	if err != nil {
		return err
	}
	r.recorded(record, revision)
	if len(missing) > 0 {
		event.LogSampled(event.UsageWindowIncomplete, "window", record.Window, "missing", missing)
	}
	return nil
}

// resolveWrite finds out whether a write took effect whose response was lost, or that another write preceded.
func (r *usageReports) resolveWrite(record usage.Record, cause error) error {
	stored, revision, err := r.read()
	switch {
	case err != nil:
		return err
	case stored != nil && stored.Equal(record):
		r.recorded(record, revision)
		return nil
	case stored != nil && stored.Token > record.Token:
		r.giveUp(record.Token, 0, "the record has a higher token")
		return nil
	case errors.Is(cause, services.ErrConflict):
		// A late write of this or of the former holder: what it recorded is in force.
		r.token = 0
		return nil
	default:
		return cause // nothing was written yet; the write is repeated
	}
}

func (r *usageReports) recorded(record usage.Record, revision services.Revision) {
	r.revision = revision
	u := r.u
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reporter.Recorded(record)
	u.setRecorded(record.Window)
}

// report reports the first recorded window that is not accepted yet.
func (r *usageReports) report(token uint64) {
	u := r.u
	u.mu.Lock()
	now := u.now()
	closed, found := u.reporter.Next(now)
	u.mu.Unlock()
	if !found || !r.tenure.MayCall(bootclock.Now()) {
		return
	}
	if held, ok := u.holder.keeper.Held(); !ok || held != token {
		return
	}
	started := bootclock.Now()
	r.tenure.CallStarted(started)
	timeout := usageCallTimeout
	if r.slow {
		timeout = slowUsageCallTimeout
	}
	ctx, cancel := context.WithTimeout(u.g.ctx, timeout)
	err := r.api.ReportUsage(ctx, duty.Holder{Instance: u.g.settings.Instance, Token: token}, closed.Window, closed.Counts)
	cancel()
	ended := bootclock.Now()
	r.slow = err != nil || ended.Sub(started) > slowUsageCall
	giveUp := r.tenure.CallEnded(ended, token, err)
	lateness := now.Add(ended.Sub(started)).Sub(u.config.End(closed.Window))
	switch {
	case err == nil:
		u.counters.reported.Add(1)
		u.mu.Lock()
		u.reporter.Accepted(closed.Window)
		u.mu.Unlock()
		event.Log(event.UsageReported, "window", closed.Window, "teams", len(closed.Counts), "after_ms", lateness.Milliseconds(), "token", token)
	case u.g.ctx.Err() != nil:
	case errors.Is(err, duty.ErrFenced):
		u.counters.refused.Add(1)
		event.Log(event.UsageRefused, "window", closed.Window, "token", token, "error", err)
	default:
		u.counters.failed.Add(1)
		event.LogSampled(event.UsageReportFailed, "window", closed.Window, "after_ms", lateness.Milliseconds(), "token", token, "error", err)
	}
	if giveUp {
		reason := "calls of the API fail"
		if errors.Is(err, duty.ErrFenced) {
			reason = "a higher token was seen"
		}
		r.giveUp(token, dutyPause, reason)
	}
}
