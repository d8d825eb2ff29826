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
	// maxPushBytes is the maximum size of the items in one push, so that it fits into a frame.
	maxPushBytes = 900 << 10
	// largeCopyBytes is the size of the items in a push from which it is logged.
	largeCopyBytes = 64 << 10
	// storeStalledAfter is the time without a byte of the store's response from which large values are fetched from neighbours, unless the store
	// turns this gateway away. Before, they would share the link with the store's response, which has the same changes.
	storeStalledAfter = 500 * time.Millisecond
)

// pullConfig bounds what catching up with the neighbours costs. At 10 Mbit/s a part of a value takes 50 ms.
func pullConfig() mirror.PullConfig {
	return mirror.PullConfig{Period: 300 * time.Millisecond, Timeout: 2 * time.Second, MaxValueBytes: 16 << 10, ChunkBytes: 64 << 10}
}

// sendPulls asks the neighbours for the changes in their copies of the store since this gateway's revision, if the store turns this gateway away or
// has not confirmed the own copy for a while.
func (p *peers) sendPulls() {
	if p.g.copyAge() <= pullAge && !p.g.storeFailing.Load() {
		return
	}
	conns := make(map[string]*link.Conn)
	var names []string
	for _, c := range p.neighbourConns() {
		if !knowsEpochs(c) {
			continue
		}
		conns[c.Remote().Instance] = c
		names = append(names, c.Remote().Instance)
	}
	p.mu.Lock()
	questions := p.puller.Ask(bootclock.Now(), p.g.revision.Load(), names)
	p.mu.Unlock()
	for _, q := range questions {
		// A lost question expires.
		_ = conns[q.Peer].Send(&wire.StorePull{ID: q.ID, Revision: q.Revision, MaxValueBytes: uint32(pullConfig().MaxValueBytes)})
	}
}

// copyAge returns the time since the local copy of the store was last known to be current.
func (g *Gateway) copyAge() time.Duration {
	return bootclock.Now().Sub(time.Unix(0, g.copyConfirmedAt.Load()))
}

// queryMirror runs a function on the control goroutine with the copy of the store. It does nothing if the queue is full; neighbours ask again.
func (p *peers) queryMirror(query func(m *mirror.Mirror)) {
	select {
	case p.g.mirrorQueries <- query:
	default:
	}
}

// knowsEpochs reports whether the revisions of a neighbour contain the store's epoch, without which they cannot be compared.
func knowsEpochs(c *link.Conn) bool { return c.Remote().Minor >= wire.MinorRevisionEpochs }

// answerPull sends a neighbour the changes that it lacks.
func (p *peers) answerPull(c *link.Conn, m *wire.StorePull) {
	if !knowsEpochs(c) {
		return
	}
	p.queryMirror(func(copied *mirror.Mirror) { p.sendPush(c, m, copied.Since(m.Revision)) })
}

func (p *peers) sendPush(c *link.Conn, m *wire.StorePull, batch mirror.Batch) {
	if batch.Revision == 0 {
		return
	}
	push := &wire.StorePush{ID: m.ID, After: m.Revision, Revision: batch.Revision, Full: batch.Full}
	now := bootclock.Now()
	push.AgeMS = ageMS(now, batch.AsOf)
	push.ContactAgeMS = ageMS(now, batch.ContactAt)
	if m.MaxValueBytes > 0 {
		var large []mirror.LargeValue
		batch, large = batch.SplitLarge(int(m.MaxValueBytes))
		for _, l := range large {
			push.Large = append(push.Large, wire.LargeValue{Key: l.Key, Revision: l.Revision, Bytes: uint32(l.Bytes)})
		}
	}
	for _, i := range batch.Items {
		push.Items = append(push.Items, wire.StoreItem{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	if size := batch.Bytes(); size > maxPushBytes {
		event.LogSampled(event.StoreCopyTooLarge, "peer", c.Remote().Instance, "bytes", size, "revision", batch.Revision)
		return
	}
	_ = c.Send(push) // if it is lost, the neighbour repeats its pull
}

// answerFetch sends a neighbour a part of a value.
func (p *peers) answerFetch(c *link.Conn, m *wire.StoreFetch) {
	p.queryMirror(func(copied *mirror.Mirror) {
		chunk := &wire.StoreChunk{ID: m.ID}
		if i, found := p.served.item(copied, c.Remote().Instance, m.Key, m.Revision); found {
			chunk.Data = mirror.Chunk(i.Value, int(m.Offset), int(min(m.MaxBytes, maxPushBytes)))
			if int(m.Offset)+len(chunk.Data) >= len(i.Value) {
				delete(p.served, c.Remote().Instance)
			}
		}
		_ = c.Send(chunk) // if it is lost, the fetch expires
	})
}

// servedValues holds the value that each neighbour is fetching, so that the fetch can be completed although the key has changed since. It
// belongs to the control goroutine.
type servedValues map[string]mirror.Item

func (s servedValues) item(copied *mirror.Mirror, peer, key string, revision uint64) (mirror.Item, bool) {
	if i, found := s[peer]; found && i.Key == key && i.Revision == revision {
		return i, true
	}
	i, found := copied.Item(key)
	if !found || i.Revision != revision {
		return mirror.Item{}, false
	}
	s[peer] = i
	return i, true
}

// ageMS returns the time since at in milliseconds, rounded up; it is never zero.
func ageMS(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds()) + 1) }

// applyPush handles a neighbour's answer. Its content was certainly current at the time at which the pull was sent, minus the AgeMS of the
// push. The result is the request for a large value, or nil.
func (p *peers) applyPush(name string, m *wire.StorePush) *mirror.ValueRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent, open := p.puller.AskedAt(name, m.ID)
	if !open {
		return nil
	}
	now := bootclock.Now()
	storeStalled := p.g.storeFailing.Load() || now.Sub(time.Unix(0, p.g.storeProgressAt.Load())) > storeStalledAfter
	batch, next := p.puller.HandleAnswer(now, answerOf(name, sent, m), p.g.revision.Load(), storeStalled)
	size := batch.Bytes()
	p.g.metrics.peerCopyBytes.Add(int64(size))
	if size >= largeCopyBytes {
		p.logCopy(name, size, now.Sub(sent), m.Revision)
	}
	p.queueBatch(sourcedBatch{batch: batch, after: m.After, source: name})
	return next
}

// answerOf returns the answer that a push holds. sent is the time of the question.
func answerOf(peer string, sent time.Time, m *wire.StorePush) mirror.Answer {
	a := mirror.Answer{ID: m.ID, Peer: peer, After: m.After}
	a.Batch = mirror.Batch{Revision: m.Revision, Full: m.Full, AsOf: sent.Add(-time.Duration(m.AgeMS) * time.Millisecond)}
	if m.ContactAgeMS > 0 {
		a.Batch.ContactAt = sent.Add(-time.Duration(m.ContactAgeMS) * time.Millisecond)
	}
	for _, i := range m.Items {
		a.Batch.Items = append(a.Batch.Items, mirror.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	for _, l := range m.Large {
		a.Large = append(a.Large, mirror.LargeValue{Key: l.Key, Revision: l.Revision, Bytes: int(l.Bytes)})
	}
	return a
}

// sendFetch asks a neighbour for a part of a value. It does nothing for nil.
func (p *peers) sendFetch(c *link.Conn, r *mirror.ValueRequest) {
	if r == nil {
		return
	}
	// A lost request expires.
	_ = c.Send(&wire.StoreFetch{ID: r.ID, Key: r.Key, Revision: r.Revision, Offset: uint32(r.Offset), MaxBytes: uint32(pullConfig().ChunkBytes)})
}

// applyChunk handles a part of a value from a neighbour. The result is the request for the next part, or nil.
func (p *peers) applyChunk(name string, m *wire.StoreChunk) *mirror.ValueRequest {
	p.g.metrics.peerCopyBytes.Add(int64(len(m.Data)))
	now := bootclock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	next, complete := p.puller.HandleChunk(now, name, m.ID, m.Data, p.g.revision.Load())
	if complete != nil {
		p.logCopy(name, complete.Batch.Bytes(), now.Sub(complete.Batch.AsOf), complete.Batch.Revision)
		p.queueBatch(sourcedBatch{batch: complete.Batch, after: complete.After, source: name})
	}
	return next
}

func (p *peers) logCopy(peer string, size int, age time.Duration, revision uint64) {
	event.LogSampled(event.StoreCopyReceived, "peer", peer, "bytes", size, "ms", age.Milliseconds(), "revision", revision,
		"known_revision", p.g.revision.Load())
}

// queueBatch passes a neighbour's changes to the control goroutine.
func (p *peers) queueBatch(b sourcedBatch) {
	select {
	case p.g.batches <- b:
	default:
		// The control goroutine's queue is full. The next pull brings the same changes.
	}
}
