package claim

func (l *Log) cacheBody(r *record) {
	if len(r.Body) > 0 {
		l.bodyCache.Add(r.Key, r.Body)
	}
}

// answerWithBody answers with a stored response, reading its segment first if the body is not in memory.
func (l *Log) answerWithBody(w *waiter, e *entry) {
	body, ok := l.bodyCache.Get(w.key)
	if ok || e.segment == segmentUnwritten || l.refusing() {
		l.answer(w, finishedDecision(e, body), nil)
		return
	}
	segment := uint64(e.segment)
	if len(l.bodyWaiters[segment]) == 0 {
		l.emit(ReadBodies{Segment: segment})
	}
	l.bodyWaiters[segment] = append(l.bodyWaiters[segment], w)
}

// handleBodyResult answers the claims that wait for bodies in a segment. If the segment could not be read, they get the
// response without its body.
func (l *Log) handleBodyResult(ev BodyResult) {
	waiting := l.bodyWaiters[ev.Segment]
	delete(l.bodyWaiters, ev.Segment)
	wanted := make(map[Key][]byte, len(waiting))
	for _, w := range waiting {
		wanted[w.key] = nil
	}
	batches, _ := decodeBatches(ev.Value)
	for _, b := range batches {
		l.collectBodies(&b, wanted)
	}
	for _, w := range waiting {
		if e := l.index.entries.get(w.key); e != nil && e.finished {
			l.answer(w, finishedDecision(e, wanted[w.key]), nil)
		} else {
			// The key expired meanwhile.
			l.endClaim(w, ErrTooLate)
		}
	}
}

// collectBodies fills wanted with the bodies in a batch whose writer owns the keys.
func (l *Log) collectBodies(b *batch, wanted map[Key][]byte) {
	owner := l.index.ownerNumber(b.Writer)
	for i := range b.Records {
		r := &b.Records[i]
		if _, ok := wanted[r.Key]; !ok || r.Kind != recordFinish || l.index.ownedEntry(r, owner) == nil {
			continue
		}
		wanted[r.Key] = r.Body
		l.cacheBody(r)
	}
}
