package assembly

import (
	"errors"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/connection/wire"
)

// response returns the frames that a sidecar sends for a response of the given chunks, starting at chunk number from.
func response(id wire.Identity, chunks []string, from uint32) (frames []wire.Message) {
	digest := xxhash.New()
	for i, chunk := range chunks[from:] {
		_, _ = digest.WriteString(chunk)
		frames = append(frames, &wire.Chunk{Identity: id, Sequence: from + uint32(i), Data: []byte(chunk)})
	}
	return append(frames, &wire.End{Identity: id, Chunks: uint32(len(chunks)), Checksum: digest.Sum64()})
}

// deliver passes frames to a as an entry does and returns the data that the caller receives. It stops at the first ErrIncomplete.
func deliver(a *Assembler, frames []wire.Message) (caller string) {
	for _, m := range frames {
		var data []byte
		var err error
		switch m := m.(type) {
		case *wire.Chunk:
			data, err = a.Chunk(m)
		case *wire.End:
			err = a.End(m)
		}
		if errors.Is(err, ErrIncomplete) {
			break
		}
		caller += string(data)
	}
	return caller
}

// drawChunks draws the data of chunks. Senders do not send empty chunks: if one is lost and the count is altered to match, the
// checksum cannot detect it.
func drawChunks(t *rapid.T, label string) []string {
	return rapid.SliceOfN(rapid.StringN(1, 4, 8), 0, 6).Draw(t, label)
}

// injectFaults merges the frames of two sequences, mostly in order, and drops, repeats, swaps, alters and truncates some of them.
func injectFaults(t *rapid.T, a, b []wire.Message) (frames []wire.Message) {
	for len(a)+len(b) > 0 {
		if len(a) == 0 || len(b) > 0 && rapid.Bool().Draw(t, "second") {
			a, b = b, a
		}
		m := a[0]
		a = a[1:]
		switch rapid.SampledFrom([]string{"pass", "pass", "pass", "drop", "repeat", "swap", "alter", "cut"}).Draw(t, "what") {
		case "pass":
			frames = append(frames, m)
		case "repeat":
			frames = append(frames, m, m)
		case "swap":
			frames = append(frames, m)
			if n := len(frames); n > 1 {
				frames[n-1], frames[n-2] = frames[n-2], frames[n-1]
			}
		case "alter":
			frames = append(frames, alter(m))
		case "cut":
			a = nil
		}
	}
	return frames
}

// alter returns a copy of the frame with wrong data or a wrong count.
func alter(m wire.Message) wire.Message {
	if c, ok := m.(*wire.Chunk); ok {
		return &wire.Chunk{Identity: c.Identity, Sequence: c.Sequence, Data: append([]byte("?"), c.Data...)}
	}
	end := *m.(*wire.End)
	end.Chunks--
	return &end
}

// A caller must never receive data of another attempt, or a mixed or truncated response that is reported as complete.
func TestNoWrongResponseCompletes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := wire.Identity{Request: wire.RequestID{1}, Attempt: 2}
		other := rapid.SampledFrom([]wire.Identity{
			{Request: wire.RequestID{1}, Attempt: 1}, {Request: wire.RequestID{2}, Attempt: 2},
		}).Draw(t, "other")
		chunks := drawChunks(t, "chunks")
		from := uint32(rapid.IntRange(0, len(chunks)).Draw(t, "from"))
		frames := injectFaults(t, response(id, chunks, from), response(other, drawChunks(t, "other chunks"), 0))
		a := New(id, from)
		caller := deliver(a, frames)
		if !a.Complete() {
			return
		}
		must.Eq(t, strings.Join(chunks[from:], ""), caller)
		must.EqOp(t, uint32(len(chunks)), a.Received())
	})
}

// A response whose own frames arrive in order must complete, regardless of duplicates and frames of other attempts in between;
// otherwise late frames of a first attempt would break every retry.
func TestForeignAndDuplicateFramesAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := wire.Identity{Attempt: 2}
		chunks := drawChunks(t, "chunks")
		noise := response(wire.Identity{Attempt: 1}, drawChunks(t, "other chunks"), 0)
		var frames []wire.Message
		var foreign, repeated uint32
		for _, m := range response(id, chunks, 0) {
			for rapid.Bool().Draw(t, "noise") {
				frames = append(frames, rapid.SampledFrom(noise).Draw(t, "foreign"))
				foreign++
			}
			frames = append(frames, m)
			if rapid.Bool().Draw(t, "repeat") {
				frames = append(frames, m)
				repeated++
			}
		}
		a := New(id, 0)
		caller := deliver(a, frames)
		must.True(t, a.Complete())
		must.Eq(t, strings.Join(chunks, ""), caller)
		must.EqOp(t, foreign, a.Dropped().Foreign)
		must.EqOp(t, repeated, a.Dropped().Duplicate+a.Dropped().Late)
	})
}

// Each fault must return the right error: an owner that confuses a frame to ignore with an incomplete response would truncate good
// responses or deliver bad ones.
func TestErrors(t *testing.T) {
	id := wire.Identity{Attempt: 1}
	chunk := func(n uint32) *wire.Chunk { return &wire.Chunk{Identity: id, Sequence: n, Data: []byte{byte(n)}} }
	step := func(a *Assembler, m wire.Message) error {
		if c, ok := m.(*wire.Chunk); ok {
			_, err := a.Chunk(c)
			return err
		}
		return a.End(m.(*wire.End))
	}
	good := response(id, []string{3: "\x03"}, 3)[1].(*wire.End)
	for name, c := range map[string]struct {
		m    wire.Message
		want error
	}{
		"next":            {chunk(4), nil},
		"duplicate":       {chunk(3), ErrDropped},
		"earlier attempt": {chunk(2), ErrDropped},
		"gap":             {chunk(5), ErrIncomplete},
		"foreign chunk":   {&wire.Chunk{Sequence: 4}, ErrDropped},
		"foreign end":     {&wire.End{Chunks: 4}, ErrDropped},
		"count too low":   {&wire.End{Identity: id, Chunks: 3, Checksum: good.Checksum}, ErrIncomplete},
		"count too high":  {&wire.End{Identity: id, Chunks: 5, Checksum: good.Checksum}, ErrIncomplete},
		"wrong checksum":  {&wire.End{Identity: id, Chunks: 4, Checksum: good.Checksum + 1}, ErrIncomplete},
		"good end":        {good, nil},
	} {
		a := New(id, 3)
		must.NoError(t, step(a, chunk(3)), must.Sprint(name))
		err := step(a, c.m)
		must.ErrorIs(t, err, c.want, must.Sprint(name))
		if errors.Is(err, ErrIncomplete) {
			must.ErrorIs(t, step(a, chunk(4)), ErrIncomplete, must.Sprint(name))
			must.ErrorIs(t, step(a, good), ErrIncomplete, must.Sprint(name))
		}
	}
}

// Chunk must not allocate, since every chunk of every response passes through it.
func TestChunkDoesNotAllocate(t *testing.T) {
	id := wire.Identity{Attempt: 1}
	a := New(id, 0)
	c := &wire.Chunk{Identity: id, Data: make([]byte, 100)}
	foreign := &wire.Chunk{}
	must.EqOp(t, 0, testing.AllocsPerRun(100, func() {
		_, _ = a.Chunk(c)
		_, _ = a.Chunk(foreign)
		c.Sequence++
	}))
	must.EqOp(t, 101, a.Received())
}
