package claim

import (
	"maps"
	"slices"

	"github.com/jayridge/jayridge/request/result"
)

// waiter is a claim that has no answer yet, or had none when it was put into a batch.
type waiter struct {
	id          uint64
	key         Key
	fingerprint uint64
	// after is the last read or write that had started when the claim arrived; a later one tells the key's state then.
	after uint64
	// taken says that another store found the key claimed; a read that started after after tells by which claim.
	taken bool
	done  bool
}

func (l *Log) submit(ev ClaimSubmitted) {
	w := &waiter{id: ev.ID, key: ev.Key, fingerprint: ev.Fingerprint, after: l.lastOp}
	l.waiters[w.id] = w
	switch {
	case l.closing:
		l.end(w, ErrClosed)
	case l.fault != nil:
		l.end(w, l.fault)
	default:
		l.started = true
		l.place(w)
	}
}

// place answers a claim if the index allows, else queues it for a write or a read.
func (l *Log) place(w *waiter) {
	e := l.index.live(w.key, l.nextMS())
	switch {
	case w.done:
	case (e == nil || e.abandoned) && w.taken && l.fresh <= w.after && !l.refusing():
		l.stale = append(l.stale, w)
	case e == nil || e.abandoned:
		if l.refusing() {
			l.end(w, l.lastErr)
			return
		}
		l.pending = append(l.pending, w)
	case e.finished || e.owner == self || l.fresh > w.after || l.refusing():
		l.answerFrom(w, e)
	default:
		// Another store may have added the response, or a release, since.
		l.stale = append(l.stale, w)
	}
}

// placeAll looks at every queued claim again after the index or the state of the service has changed.
func (l *Log) placeAll() {
	queued := append(l.pending, l.stale...)
	l.pending, l.stale = nil, nil
	for _, w := range queued {
		l.place(w)
	}
}

// refusing says whether claims that need the service are refused at once.
func (l *Log) refusing() bool { return l.failures >= patience && l.now.Before(l.retryAt) }

// answerFrom answers a claim whose key another claim owns.
func (l *Log) answerFrom(w *waiter, e *entry) {
	switch {
	case e.fingerprint != fold(w.fingerprint):
		l.answer(w, Decision{Kind: KeyReused}, nil)
	case !e.finished:
		l.answer(w, Decision{Kind: InDoubt}, nil)
	case e.hasBody:
		l.answerBody(w, e)
	default:
		l.answer(w, finished(e, nil), nil)
	}
}

// finished returns the stored response; a body that cannot be had counts as truncated.
func finished(e *entry, body []byte) Decision {
	return Decision{Kind: Finished, Response: Response{
		Code:      e.code,
		Status:    e.status,
		Body:      body,
		Truncated: e.truncated || e.hasBody && len(body) == 0,
	}}
}

func (l *Log) cancel(id uint64) {
	if w := l.waiters[id]; w != nil {
		l.end(w, ErrCanceled)
	}
}

// end answers a claim that can wait no longer. It is told what is known of its key; a claim that may own its key is never
// granted from here on.
func (l *Log) end(w *waiter, reason error) {
	e := l.index.live(w.key, l.nextMS())
	switch {
	case e == nil || e.abandoned:
		l.answer(w, Decision{Kind: Unavailable}, reason)
	case e.fingerprint != fold(w.fingerprint):
		l.answer(w, Decision{Kind: KeyReused}, nil)
	case e.finished:
		body, _ := l.bodies.Get(w.key)
		l.answer(w, finished(e, body), nil)
	default:
		l.answer(w, Decision{Kind: InDoubt}, nil)
	}
}

// endAll ends every claim, in the order in which they came.
func (l *Log) endAll(reason error) {
	l.pending, l.stale = nil, nil
	for _, id := range slices.Sorted(maps.Keys(l.waiters)) {
		l.end(l.waiters[id], reason)
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

// finish takes the response of a granted claim. It is known to this store from now on, and to others once it is written.
func (l *Log) finish(ev FinishSubmitted) {
	if l.held[ev.Key]--; l.held[ev.Key] <= 0 {
		delete(l.held, ev.Key)
	}
	e := l.index.live(ev.Key, l.nextMS())
	if e == nil || e.owner != self || e.abandoned || e.finished || e.ambiguous {
		return
	}
	if ev.Response.Code.Outcome() == result.NotRun {
		l.abandon(ev.Key, e)
		return
	}
	r := record{
		Kind:      recordFinish,
		Key:       ev.Key,
		Claim:     l.claimOf(e),
		Code:      uint8(ev.Response.Code),
		Status:    ev.Response.Status,
		Body:      ev.Response.Body,
		Truncated: ev.Response.Truncated,
	}
	if len(r.Body) > l.cfg.BodyLimitBytes {
		r.Body, r.Truncated = nil, true
	}
	e.respond(&r)
	l.keepBody(&r)
	if len(l.finishes) == 0 {
		l.finishDue = l.now.Add(l.cfg.FlushInterval)
	}
	l.finishes = append(l.finishes, r)
}

// abandon queues the release of a key that this store owns and that did not and will not run.
func (l *Log) abandon(key Key, e *entry) {
	e.abandoned = true
	l.releases = append(l.releases, record{Kind: recordRelease, Key: key, Claim: l.claimOf(e)})
}

// claimOf returns the whole number of the own batch that claimed a key.
func (l *Log) claimOf(e *entry) uint64 {
	return l.sequence - uint64(uint32(l.sequence)-e.sequence)
}
