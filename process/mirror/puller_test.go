package mirror

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var testPullConfig = PullConfig{Period: 300 * time.Millisecond, Timeout: 2 * time.Second, MaxValueBytes: 10, ChunkBytes: 64}

// largeAnswer answers a question with a small change and a large one.
func largeAnswer(q Question, value []byte) Answer {
	b, large := Batch{Revision: 9, AsOf: time.Unix(7, 0), ContactAt: time.Unix(8, 0), Items: []Item{
		{Key: "large", Revision: 8, Value: value}, {Key: "small", Revision: 9, Value: []byte("s")},
	}}.SplitLarge(testPullConfig.MaxValueBytes)
	return Answer{ID: q.ID, Peer: q.Peer, After: q.Revision, Batch: b, Large: large}
}

// A slow neighbour must not be asked again while a question to it is open, or its answers fill the link.
func TestPuller_OneQuestionPerPeer(t *testing.T) {
	p := NewPuller(testPullConfig)
	now := time.Unix(100, 0)
	must.Len(t, 2, p.Ask(now, 5, []string{"a", "b"}))
	must.SliceEmpty(t, p.Ask(now.Add(time.Second), 5, []string{"a", "b"}))
	must.SliceEmpty(t, p.Expire(now.Add(testPullConfig.Timeout)))
	must.Eq(t, []string{"a", "b"}, p.Expire(now.Add(testPullConfig.Timeout+1)))
	must.Len(t, 2, p.Ask(now.Add(3*time.Second), 5, []string{"a", "b"}))
}

// Small changes must not wait for a large value, and only one neighbour may send the value.
func TestPuller_LargeValueFromOnePeer(t *testing.T) {
	p := NewPuller(testPullConfig)
	now := time.Unix(100, 0)
	value := bytes.Repeat([]byte("v"), 150)
	questions := p.Ask(now, 5, []string{"a", "b"})
	batch, next := p.HandleAnswer(now, largeAnswer(questions[0], value), 5, true)
	must.Eq(t, Batch{Items: []Item{{Key: "small", Revision: 9, Value: []byte("s")}}, ContactAt: time.Unix(8, 0)}, batch)
	_, second := p.HandleAnswer(now, largeAnswer(questions[1], value), 5, true)
	must.Nil(t, second)
	var complete *Answer
	for complete == nil {
		must.EqOp(t, "a", next.Peer)
		next, complete = p.HandleChunk(now, "a", next.ID, Chunk(value, next.Offset, testPullConfig.ChunkBytes), 5)
	}
	must.Nil(t, next)
	must.EqOp(t, 9, complete.Batch.Revision)
	must.EqOp(t, time.Unix(7, 0), complete.Batch.AsOf)
	must.Eq(t, value, complete.Batch.Items[1].Value)
}

// While the store sends the same changes, or once the copy has them, no neighbour may send them too.
func TestPuller_NoFetchBesideStore(t *testing.T) {
	value := bytes.Repeat([]byte("v"), 150)
	for _, c := range []struct {
		revision uint64
		mayFetch bool
	}{{5, false}, {9, true}} {
		p := NewPuller(testPullConfig)
		_, next := p.HandleAnswer(time.Unix(100, 0), largeAnswer(p.Ask(time.Unix(100, 0), 5, []string{"a"})[0], value), c.revision, c.mayFetch)
		must.Nil(t, next)
	}
	p := NewPuller(testPullConfig)
	_, next := p.HandleAnswer(time.Unix(100, 0), largeAnswer(p.Ask(time.Unix(100, 0), 5, []string{"a"})[0], value), 5, true)
	next, complete := p.HandleChunk(time.Unix(100, 0), "a", next.ID, value[:64], 9)
	must.Nil(t, next)
	must.Nil(t, complete)
}

// A copy that catches up over neighbours that are lost, silent or change meanwhile must end with their content and have no value that none of them had.
func TestPuller_CatchesUp(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		peers := []string{"a", "b", "c"}
		store, copied := New(), New()
		store.Apply(0, Batch{Full: true, Revision: 1})
		copied.Apply(0, Batch{Full: true, Revision: 1})
		written := make(map[string]bool)
		p := NewPuller(testPullConfig)
		now := time.Unix(100, 0)
		write := func() {
			revision := store.Revision() + 1
			value := bytes.Repeat([]byte(fmt.Sprint(revision, ".")), rapid.IntRange(1, 60).Draw(r, "size"))
			written[string(value)] = true
			store.Apply(revision-1, Batch{Revision: revision, Items: []Item{{Key: fmt.Sprint(rapid.IntRange(0, 2).Draw(r, "key")), Revision: revision, Value: value}}})
		}
		answer := func(q Question, mayFail bool) {
			small, large := store.Since(q.Revision).SplitLarge(testPullConfig.MaxValueBytes)
			small.AsOf = now
			b, next := p.HandleAnswer(now, Answer{ID: q.ID, Peer: q.Peer, After: q.Revision, Batch: small, Large: large}, copied.Revision(), true)
			copied.Apply(q.Revision, b)
			for next != nil {
				fault := -1
				if mayFail {
					fault = rapid.IntRange(0, 9).Draw(r, "fault")
				}
				switch fault {
				case 0:
					p.RemovePeer(now, q.Peer)
					return
				case 1:
					return // silent
				case 2:
					write()
				}
				item, _ := store.Item(next.Key)
				var data []byte
				if item.Revision == next.Revision {
					data = Chunk(item.Value, next.Offset, testPullConfig.ChunkBytes)
				}
				var complete *Answer
				next, complete = p.HandleChunk(now, q.Peer, next.ID, data, copied.Revision())
				if complete != nil {
					copied.Apply(complete.After, complete.Batch)
				}
			}
		}
		for range rapid.IntRange(1, 20).Draw(r, "rounds") {
			write()
			for _, q := range p.Ask(now, copied.Revision(), peers) {
				answer(q, true)
			}
			p.Expire(now)
			now = now.Add(time.Second)
		}
		for _, i := range copied.Since(0).Items {
			must.True(r, written[string(i.Value)])
		}
		must.LessEq(r, store.Revision(), copied.Revision())
		// Without faults, a few rounds bring the copy to the store's state.
		for range 10 {
			p.Expire(now)
			for _, q := range p.Ask(now, copied.Revision(), peers) {
				answer(q, false)
			}
			now = now.Add(time.Second)
		}
		must.Eq(r, store.Since(0).Items, copied.Since(0).Items)
		must.EqOp(r, store.Revision(), copied.Revision())
	})
}
