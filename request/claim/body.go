package claim

func (l *Log) keepBody(r *record) {
	if len(r.Body) > 0 {
		l.bodies.Add(r.Key, r.Body)
	}
}

// answerBody answers with a stored response from memory, or reads its segment first.
func (l *Log) answerBody(w *waiter, e *entry) {
	body, ok := l.bodies.Get(w.key)
	if ok || e.segment == notWritten || l.refusing() {
		l.answer(w, finished(e, body), nil)
		return
	}
	segment := uint64(e.segment)
	if len(l.fetches[segment]) == 0 {
		l.emit(ReadBodies{Segment: segment})
	}
	l.fetches[segment] = append(l.fetches[segment], w)
}

// bodyResult answers the claims that wait for the bodies of a segment. Without the segment they get the rest of the response.
func (l *Log) bodyResult(ev BodyResult) {
	waiting := l.fetches[ev.Segment]
	delete(l.fetches, ev.Segment)
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
			l.answer(w, finished(e, wanted[w.key]), nil)
		} else {
			// The key expired meanwhile.
			l.end(w, ErrTooLate)
		}
	}
}

// collectBodies takes the wanted bodies of a batch whose writer owns the keys.
func (l *Log) collectBodies(b *batch, wanted map[Key][]byte) {
	owner := l.index.ownerOf(b.Writer)
	for i := range b.Records {
		r := &b.Records[i]
		if _, ok := wanted[r.Key]; !ok || r.Kind != recordFinish || l.index.owned(r, owner) == nil {
			continue
		}
		wanted[r.Key] = r.Body
		l.keepBody(r)
	}
}
