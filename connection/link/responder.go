package link

import (
	"context"
	"errors"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/request/result"
)

// maxReasonBytes bounds End.Reason, so that an End always fits into a frame.
const maxReasonBytes = 1 << 10

// Responder is the serving side of one attempt of a request. Its methods are for one goroutine at a time.
type Responder struct {
	c      *Conn
	id     wire.Identity
	number uint32
	// ctx ends when the peer cancels the request or the connection ends.
	ctx    context.Context
	cancel context.CancelFunc

	accepted bool
	ended    bool
	// truncated is set when a Write failed, so that data is missing.
	truncated bool
	next      uint32
	digest    xxhash.Digest

	// credited wakes Write. It has a capacity of one.
	credited chan struct{}
	mu       sync.Mutex
	credit   sendCredit
}

func newResponder(c *Conn, number uint32, open *wire.Open) *Responder {
	r := &Responder{c: c, id: open.Identity, number: number, next: open.ResumeOffset, credited: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(c.ctx)
	r.digest.Reset()
	return r
}

// Accepted tells the peer that the request is about to be handed to the upstream. From here on End refuses results that say
// "not run". It does not wait for the frame to be written.
func (r *Responder) Accepted() error {
	if err := r.usable(); err != nil {
		return err
	}
	r.accepted = true
	return trace.Wrap(r.c.out.pushTraffic(r.number, &wire.Accepted{Identity: r.id}))
}

// Write sends data as one chunk, or as several if it is longer than MaxChunkBytes. Sequence numbers start at the request's
// ResumeOffset, so an upstream that resumes in units of its own must pass each unit, of at most MaxChunkBytes, to one Write.
// Empty data sends nothing. Write waits for flow-control credit and for the connection's queue. It fails when ctx ends, with
// ErrCanceled when the peer canceled, and with ErrConnectionLost. After a failure End refuses results that say "run".
func (r *Responder) Write(ctx context.Context, data []byte) error {
	if err := r.usable(); err != nil {
		return err
	}
	for len(data) > 0 {
		piece := data[:min(len(data), MaxChunkBytes)]
		data = data[len(piece):]
		if err := r.writeChunk(ctx, piece); err != nil {
			r.truncated = true
			return trace.Wrap(err)
		}
	}
	return nil
}

func (r *Responder) writeChunk(ctx context.Context, data []byte) error {
	// Credit that arrives all the time must not keep a Write going whose ctx has ended.
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := r.waitCredit(ctx, len(data)); err != nil {
		return err
	}
	if err := r.c.out.waitSpace(ctx, r.ctx); err != nil {
		return errors.Join(r.usable(), err)
	}
	chunk := wire.Chunk{Identity: r.id, Sequence: r.next, Data: data}
	if err := r.c.out.pushTraffic(r.number, &chunk); err != nil {
		return err
	}
	r.next++
	r.accepted = true
	// Digest.Write returns no error.
	_, _ = r.digest.Write(data)
	return nil
}

// waitCredit takes the cost of a chunk from the credit, and waits for it if necessary.
func (r *Responder) waitCredit(ctx context.Context, data int) error {
	for {
		r.mu.Lock()
		ok := r.credit.take(data)
		r.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-r.credited:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.ctx.Done():
			return r.usable()
		}
	}
}

// grant adds credit, on the reader goroutine. It reports false if the peer granted more than can be honest.
func (r *Responder) grant(bytes uint32) bool {
	r.mu.Lock()
	ok := r.credit.grant(bytes)
	r.mu.Unlock()
	select {
	case r.credited <- struct{}{}:
	default:
	}
	return ok
}

// End ends the response. It fills identity, chunk count and checksum, and shortens Reason to 1 KiB. It does not wait for the
// frame to be written. It fails with ErrEnded when called again, with ErrCanceled when the peer canceled, and with
// ErrConnectionLost; nothing is sent then. If end.Result cannot be true, End sends result.InternalError instead and fails: with
// ErrNotRunAfterAccepted if it says "not run" although Accepted or data was sent, with ErrTruncated if it says "run" although a
// Write failed.
func (r *Responder) End(end wire.End) error {
	if err := r.usable(); err != nil {
		return err
	}
	r.ended = true
	failure := r.contradiction(result.Code(end.Result))
	if failure != nil {
		falseEnds.Add(1)
		end.Result = uint8(result.InternalError)
	}
	end.Identity = r.id
	end.Chunks = r.next
	end.Checksum = r.digest.Sum64()
	end.Reason = shorten(end.Reason)
	r.c.forget(r)
	if err := r.c.out.pushTraffic(r.number, &end); err != nil {
		return trace.Wrap(err)
	}
	return failure
}

// contradiction returns an error if a result cannot be true after what was sent.
func (r *Responder) contradiction(code result.Code) error {
	switch outcome := code.Outcome(); {
	case outcome == result.NotRun && r.accepted:
		return trace.Wrap(ErrNotRunAfterAccepted, "result %s", code)
	case outcome == result.Run && r.truncated:
		return trace.Wrap(ErrTruncated, "result %s", code)
	default:
		return nil
	}
}

// shorten bounds a text at a character boundary.
func shorten(s string) string {
	if len(s) <= maxReasonBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxReasonBytes], "")
}

// usable returns an error if nothing can be sent any more.
func (r *Responder) usable() error {
	if r.ended {
		return trace.Wrap(ErrEnded)
	}
	if r.ctx.Err() == nil {
		return nil
	}
	if err := r.c.Err(); err != nil {
		return err
	}
	return trace.Wrap(ErrCanceled)
}
