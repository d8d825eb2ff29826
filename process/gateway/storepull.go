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
	// pullAge is the age of the copy of the store from which changes are pulled from neighbours. An available store responds more often
	// than that.
	pullAge = 1600 * time.Millisecond
	// pullPeriod is the minimum time between pulls.
	pullPeriod = 300 * time.Millisecond
	// pullTimeout is the time after which an unanswered pull is dropped.
	pullTimeout = 2 * time.Second
	// maxPushBytes is the maximum size of the items in one push, so that it fits into a frame.
	maxPushBytes = 900 << 10
	// largeCopyBytes is the size of the items in a push from which it is logged.
	largeCopyBytes = 64 << 10
)

// pendingPull is a StorePull that a neighbour has not answered yet.
type pendingPull struct {
	// sent is a time of package bootclock.
	sent time.Time
	peer string
}

// sendPulls asks all neighbours for the changes in their copies of the store since this gateway's revision.
func (p *peers) sendPulls() {
	for _, c := range p.neighbourConns() {
		p.mu.Lock()
		p.lastPullID++
		id := p.lastPullID
		p.pendingPulls[id] = pendingPull{sent: bootclock.Now(), peer: c.Remote().Instance}
		p.mu.Unlock()
		_ = c.Send(&wire.StorePull{ID: id, Revision: p.g.revision.Load()}) // a lost pull is followed by the next after pullPeriod
	}
}

// answerPull sends a neighbour the changes that it lacks.
func (p *peers) answerPull(c *link.Conn, m *wire.StorePull) {
	reply := func(batch mirror.Batch) { p.sendPush(c, m, batch) }
	select {
	case p.g.sinceQueries <- sinceQuery{revision: m.Revision, reply: reply}:
	default:
		// The control goroutine's queue is full. The neighbour repeats its pull.
	}
}

func (p *peers) sendPush(c *link.Conn, m *wire.StorePull, batch mirror.Batch) {
	if batch.Revision == 0 {
		return
	}
	push := &wire.StorePush{ID: m.ID, After: m.Revision, Revision: batch.Revision, Full: batch.Full}
	now := bootclock.Now()
	push.AgeMS = ageMS(now, batch.AsOf)
	push.ContactAgeMS = ageMS(now, batch.ContactAt)
	for _, i := range batch.Items {
		push.Items = append(push.Items, wire.StoreItem{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	if size := batch.Bytes(); size > maxPushBytes {
		event.LogSampled(event.StoreCopyTooLarge, "peer", c.Remote().Instance, "bytes", size, "revision", batch.Revision)
		return
	}
	_ = c.Send(push) // if it is lost, the neighbour repeats its pull
}

// ageMS returns the time since at in milliseconds, rounded up; it is never zero.
func ageMS(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds()) + 1) }

// applyPush passes a neighbour's push to the control goroutine. Its content was certainly current at the time at which the pull was sent,
// minus the AgeMS of the push.
func (p *peers) applyPush(name string, m *wire.StorePush) {
	p.mu.Lock()
	q, known := p.pendingPulls[m.ID]
	delete(p.pendingPulls, m.ID)
	p.mu.Unlock()
	if !known || q.peer != name {
		return
	}
	batch := mirror.Batch{Revision: m.Revision, Full: m.Full, AsOf: q.sent.Add(-time.Duration(m.AgeMS) * time.Millisecond)}
	if m.ContactAgeMS > 0 {
		batch.ContactAt = q.sent.Add(-time.Duration(m.ContactAgeMS) * time.Millisecond)
	}
	for _, i := range m.Items {
		batch.Items = append(batch.Items, mirror.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	size := batch.Bytes()
	p.g.metrics.peerCopyBytes.Add(int64(size))
	if size >= largeCopyBytes {
		event.LogSampled(event.StoreCopyReceived, "peer", name, "bytes", size, "ms", bootclock.Now().Sub(q.sent).Milliseconds(),
			"after", m.After, "revision", m.Revision, "known_revision", p.g.revision.Load())
	}
	select {
	case p.g.batches <- sourcedBatch{batch: batch, after: m.After, source: name}:
	default:
		// The control goroutine's queue is full. The next pull brings the same changes.
	}
}
