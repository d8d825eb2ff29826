package claim

import (
	"maps"
	"slices"

	"github.com/jayridge/jayridge/request/result"
)

// waiter is a claim that is not decided yet, or was not when it was put into a batch.
type waiter struct {
	id          uint64
	key         Key
	fingerprint uint64
	// afterOp is the last read or write that had started when the claim arrived. A later one shows the state of the key at
	// that time or after.
	afterOp uint64
	// takenElsewhere is set if another store found the key claimed. A read that started after afterOp shows by which claim.
	takenElsewhere bool
	done           bool
}

func (l *Log) submit(ev ClaimSubmitted) {
	w := &waiter{id: ev.ID, key: ev.Key, fingerprint: ev.Fingerprint, afterOp: l.lastOp}
	l.waiters[w.id] = w
	switch {
	case l.closing:
		l.endClaim(w, ErrClosed)
	case l.fatalErr != nil:
		l.endClaim(w, l.fatalErr)
	default:
		l.started = true
		l.answerOrQueue(w)
	}
}

// answerOrQueue answers a claim if the index allows, and otherwise queues it for a write or a read.
func (l *Log) answerOrQueue(w *waiter) {
	e := l.index.claimedEntry(w.key, l.nextBatchTimeMS())
	switch {
	case w.done:
	case (e == nil || e.abandoned) && w.takenElsewhere && l.lastSyncOp <= w.afterOp && !l.refusing():
		l.awaitingRead = append(l.awaitingRead, w)
	case e == nil || e.abandoned:
		if l.refusing() {
			l.endClaim(w, l.lastErr)
			return
		}
		l.pending = append(l.pending, w)
	case e.finished || e.owner == selfOwner || l.lastSyncOp > w.afterOp || l.refusing():
		l.answerFrom(w, e)
	default:
		// Another store may have added the response, or a release, since.
		l.awaitingRead = append(l.awaitingRead, w)
	}
}

// answerOrQueueAll evaluates every queued claim again after the index or the state of the service has changed.
func (l *Log) answerOrQueueAll() {
	queued := append(l.pending, l.awaitingRead...)
	l.pending, l.awaitingRead = nil, nil
	for _, w := range queued {
		l.answerOrQueue(w)
	}
}

// refusing reports whether claims that need the service are refused immediately.
func (l *Log) refusing() bool { return l.failures >= refuseAfterFailures && l.now.Before(l.retryAt) }

// answerFrom answers a claim whose key is owned by another claim.
func (l *Log) answerFrom(w *waiter, e *entry) {
	switch {
	case e.fingerprint != foldFingerprint(w.fingerprint):
		l.answer(w, Decision{Kind: KeyReused}, nil)
	case !e.finished:
		l.answer(w, Decision{Kind: InDoubt}, nil)
	case e.hasBody:
		l.answerWithBody(w, e)
	default:
		l.answer(w, finishedDecision(e, nil), nil)
	}
}

// finishedDecision returns the stored response. A body that could not be obtained counts as truncated.
func finishedDecision(e *entry, body []byte) Decision {
	return Decision{Kind: Finished, Response: Response{
		Code:      e.code,
		Status:    e.status,
		Body:      body,
		Truncated: e.truncated || e.hasBody && len(body) == 0,
	}}
}

func (l *Log) cancel(id uint64) {
	if w := l.waiters[id]; w != nil {
		l.endClaim(w, ErrCanceled)
	}
}

// endClaim answers a claim that can wait no longer with what is known of its key. If the claim's record turns out to own its
// key later, it is not granted any more.
func (l *Log) endClaim(w *waiter, reason error) {
	e := l.index.claimedEntry(w.key, l.nextBatchTimeMS())
	switch {
	case e == nil || e.abandoned:
		l.answer(w, Decision{Kind: Unavailable}, reason)
	case e.fingerprint != foldFingerprint(w.fingerprint):
		l.answer(w, Decision{Kind: KeyReused}, nil)
	case e.finished:
		body, _ := l.bodyCache.Get(w.key)
		l.answer(w, finishedDecision(e, body), nil)
	default:
		l.answer(w, Decision{Kind: InDoubt}, nil)
	}
}

// endAllClaims ends every claim in the order of arrival.
func (l *Log) endAllClaims(reason error) {
	l.pending, l.awaitingRead = nil, nil
	for _, id := range slices.Sorted(maps.Keys(l.waiters)) {
		l.endClaim(l.waiters[id], reason)
	}
}

func (l *Log) answer(w *waiter, decision Decision, err error) {
	if w.done {
		return
	}
	w.done = true
	delete(l.waiters, w.id)
	if decision.Kind == Granted {
		l.emit(Grant{ID: w.id})
		return
	}
	l.emit(Answer{ID: w.id, Decision: decision, Err: err})
}

// finish handles the response of a granted claim. This store knows the response from now on, others once it is written.
func (l *Log) finish(ev FinishSubmitted) {
	if l.openGrants[ev.Key]--; l.openGrants[ev.Key] <= 0 {
		delete(l.openGrants, ev.Key)
	}
	e := l.index.claimedEntry(ev.Key, l.nextBatchTimeMS())
	if e == nil || e.owner != selfOwner || e.abandoned || e.finished || e.ambiguous {
		return
	}
	if ev.Response.Code.Outcome() == result.NotRun {
		l.abandon(ev.Key, e)
		return
	}
	r := record{
		Kind:      recordFinish,
		Key:       ev.Key,
		Claim:     l.claimSequence(e),
		Code:      uint8(ev.Response.Code),
		Status:    ev.Response.Status,
		Body:      ev.Response.Body,
		Truncated: ev.Response.Truncated,
	}
	if len(r.Body) > l.cfg.BodyLimitBytes {
		r.Body, r.Truncated = nil, true
	}
	e.setResponse(&r)
	l.cacheBody(&r)
	if len(l.finishes) == 0 {
		l.finishFlushAt = l.now.Add(l.cfg.FlushInterval)
	}
	l.finishes = append(l.finishes, r)
}

// abandon queues the release of a key that this store owns and whose call did not run and will not.
func (l *Log) abandon(key Key, e *entry) {
	e.abandoned = true
	l.releases = append(l.releases, record{Kind: recordRelease, Key: key, Claim: l.claimSequence(e)})
}

// claimSequence returns the full sequence number of this store's batch that claimed a key.
func (l *Log) claimSequence(e *entry) uint64 {
	return l.sequence - uint64(uint32(l.sequence)-e.sequence)
}
