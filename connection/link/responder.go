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

// maxReasonBytes limits End.Reason, so that an End always fits into a frame.
const maxReasonBytes = 1 << 10

// Responder is the serving side of one attempt of a request. Its methods must be called from one goroutine at a time.
type Responder struct {
	c      *Conn
	id     wire.Identity
	number uint32
	// ctx ends when the peer cancels the request or the connection ends.
	ctx    context.Context
	cancel context.CancelFunc

	// accepted is set when Accepted or data was sent, ended when End was called.
	accepted bool
	ended    bool
	// truncated is set when a Write has failed, so that data is missing.
	truncated    bool
	nextSequence uint32
	digest       xxhash.Digest

	// creditAdded wakes Write. It has a capacity of one.
	creditAdded chan struct{}
	mu          sync.Mutex
	credit      sendCredit
}

func newResponder(c *Conn, number uint32, open *wire.Open) *Responder {
	r := &Responder{c: c, id: open.Identity, number: number, nextSequence: open.ResumeOffset, creditAdded: make(chan struct{}, 1)}
	r.ctx, r.cancel = context.WithCancel(c.ctx)
	r.digest.Reset()
	return r
}

// Accepted informs the peer that the request is about to be sent to the upstream. From now on, End rejects results with the
// outcome "not run". It does not wait for the frame to be written.
func (r *Responder) Accepted() error {
	if err := r.checkSendable(); err != nil {
		return err
	}
	r.accepted = true
	return trace.Wrap(r.c.out.pushTraffic(r.number, &wire.Accepted{Identity: r.id}))
}

// Write sends data as one chunk, or as several chunks if it is longer than MaxChunkBytes. Sequence numbers start at the
// request's ResumeOffset, so an upstream that resumes in its own units must pass each unit, of at most MaxChunkBytes, to one
// Write. Empty data sends nothing. Write waits for flow-control credit and for space in the connection's queue. It fails when
// ctx ends, with ErrCanceled if the peer canceled, and with ErrConnectionLost. After a failure, End rejects results with
// the outcome "run".
func (r *Responder) Write(ctx context.Context, data []byte) error {
	if err := r.checkSendable(); err != nil {
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
	// A continuous flow of credit must not keep a Write running after its ctx has ended.
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := r.acquireCredit(ctx, len(data)); err != nil {
		return err
	}
	if err := r.c.out.waitSpace(ctx, r.ctx); err != nil {
		return errors.Join(r.checkSendable(), err)
	}
	chunk := wire.Chunk{Identity: r.id, Sequence: r.nextSequence, Data: data}
	if err := r.c.out.pushTraffic(r.number, &chunk); err != nil {
		return err
	}
	r.nextSequence++
	r.accepted = true
	// Digest.Write returns no error.
	_, _ = r.digest.Write(data)
	return nil
}

// acquireCredit deducts the cost of a chunk from the credit, and waits for credit if necessary.
func (r *Responder) acquireCredit(ctx context.Context, data int) error {
	for {
		r.mu.Lock()
		ok := r.credit.take(data)
		r.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-r.creditAdded:
		case <-ctx.Done():
			return ctx.Err()
		case <-r.ctx.Done():
			return r.checkSendable()
		}
	}
}

// grant adds credit, on the reader goroutine. It returns false if the total exceeds what a correct peer can grant.
func (r *Responder) grant(bytes uint32) bool {
	r.mu.Lock()
	ok := r.credit.grant(bytes)
	r.mu.Unlock()
	select {
	case r.creditAdded <- struct{}{}:
	default:
	}
	return ok
}

// End ends the response. It sets the identity, chunk count and checksum, and truncates Reason to 1 KiB. It does not wait for
// the frame to be written. It fails with ErrEnded when called again, with ErrCanceled if the peer canceled, and with
// ErrConnectionLost; nothing is sent in these cases. If end.Result contradicts what was sent, End sends result.InternalError
// instead and fails: with ErrNotRunAfterAccepted if the outcome is "not run" although Accepted or data was sent, with
// ErrTruncated if it is "run" although a Write failed.
func (r *Responder) End(end wire.End) error {
	if err := r.checkSendable(); err != nil {
		return err
	}
	r.ended = true
	failure := r.checkResult(result.Code(end.Result))
	if failure != nil {
		falseEnds.Add(1)
		end.Result = uint8(result.InternalError)
	}
	end.Identity = r.id
	end.Chunks = r.nextSequence
	end.Checksum = r.digest.Sum64()
	end.Reason = truncateReason(end.Reason)
	r.c.unregister(r)
	if err := r.c.out.pushTraffic(r.number, &end); err != nil {
		return trace.Wrap(err)
	}
	return failure
}

// checkResult returns an error if a result contradicts what was sent.
func (r *Responder) checkResult(code result.Code) error {
	switch outcome := code.Outcome(); {
	case outcome == result.NotRun && r.accepted:
		return trace.Wrap(ErrNotRunAfterAccepted, "result %s", code)
	case outcome == result.Run && r.truncated:
		return trace.Wrap(ErrTruncated, "result %s", code)
	default:
		return nil
	}
}

// truncateReason limits a text to maxReasonBytes without splitting a character.
func truncateReason(s string) string {
	if len(s) <= maxReasonBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxReasonBytes], "")
}

// checkSendable returns an error if nothing more can be sent.
func (r *Responder) checkSendable() error {
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
