package gateway

import (
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/mirror"
)

const (
	// pullAge is the age of the copy of the store from which neighbours are asked for theirs. The store answers more often than that.
	pullAge = 1600 * time.Millisecond
	// pullPeriod is the time between such questions.
	pullPeriod = 300 * time.Millisecond
	// pullTimeout is how long an answer is awaited.
	pullTimeout = 2 * time.Second
	// maxPushBytes bounds the items of one answer, so that it fits a frame.
	maxPushBytes = 900 << 10
)

// pull is a question for a neighbour's copy of the store.
type pull struct {
	sent time.Time
	peer string
}

// pull asks the neighbours for what their copies of the store have beyond this one.
func (p *peers) pull() {
	for _, c := range p.conns() {
		p.mu.Lock()
		p.nextPull++
		id := p.nextPull
		p.pulls[id] = pull{sent: bootclock.Now(), peer: c.Remote().Instance}
		p.mu.Unlock()
		_ = c.Send(&wire.StorePull{ID: id, Revision: p.g.revision.Load()}) // the next question follows soon
	}
}

// answer sends a neighbour what it lacks, unless this gateway knows no better.
func (p *peers) answer(c *link.Conn, m *wire.StorePull) {
	reply := func(batch mirror.Batch) { p.push(c, m, batch) }
	select {
	case p.g.questions <- question{revision: m.Revision, reply: reply}:
	default:
		// The control goroutine is busy; the neighbour asks again.
	}
}

func (p *peers) push(c *link.Conn, m *wire.StorePull, batch mirror.Batch) {
	if batch.Revision == 0 {
		return
	}
	push := &wire.StorePush{ID: m.ID, After: m.Revision, Revision: batch.Revision, Whole: batch.Whole}
	push.AgeMS = uint32(max(0, bootclock.Now().Sub(batch.AsOf).Milliseconds()) + 1) // rounded up
	size := 0
	for _, i := range batch.Items {
		push.Items = append(push.Items, wire.StoreItem{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
		size += len(i.Key) + len(i.Value)
	}
	if size > maxPushBytes {
		event.Sampled(event.PushTooLarge, "peer", c.Remote().Instance, "bytes", size, "revision", batch.Revision)
		return
	}
	_ = c.Send(push) // the neighbour asks again
}

// takePush hands a neighbour's answer to the control goroutine. The copy was current at the question's sending less its age then.
func (p *peers) takePush(name string, m *wire.StorePush) {
	p.mu.Lock()
	q, known := p.pulls[m.ID]
	delete(p.pulls, m.ID)
	p.mu.Unlock()
	if !known || q.peer != name {
		return
	}
	batch := mirror.Batch{Revision: m.Revision, Whole: m.Whole, AsOf: q.sent.Add(-time.Duration(m.AgeMS) * time.Millisecond)}
	for _, i := range m.Items {
		batch.Items = append(batch.Items, mirror.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	select {
	case p.g.batches <- received{batch: batch, after: m.After, source: name}:
	default:
		// The control goroutine is busy; the next question brings it again.
	}
}
