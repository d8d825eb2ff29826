package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/upstream"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/load"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/assembly"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
	"github.com/jayridge/jayridge/version/rules"
)

// tryUpstream makes one attempt at the target and records its outcome.
func (x *exchange) tryUpstream(ctx context.Context, target services.Instance) outcome {
	if !x.response.isStreaming() {
		// Discard buffered output of an earlier attempt.
		x.response.reset()
	}
	a := attempt{x: x, target: target, start: time.Now()}
	o := a.run(ctx)
	o.upstream = target.ID
	x.recordOutcome(target, o.code, a.latency())
	if o.code != result.OK {
		x.attempts = append(x.attempts, retry.Attempt{Code: o.code, Accepted: a.accepted, DataCentre: target.DataCentre})
	}
	return o
}

// attempt is a single attempt to run a request on one upstream.
type attempt struct {
	x        *exchange
	target   services.Instance
	accepted bool
	// sentVersion is the configuration version sent in the Open, or zero if none was sent.
	sentVersion uint64
	start       time.Time
	// timeToFirstChunk is the time from start to the first chunk of the response, or zero if none has arrived.
	timeToFirstChunk time.Duration
}

// latency returns the time to the first chunk, or the time since start if there was none.
func (a *attempt) latency() time.Duration {
	if a.timeToFirstChunk == 0 {
		return time.Since(a.start)
	}
	return a.timeToFirstChunk
}

func (a *attempt) run(ctx context.Context) outcome {
	x := a.x
	conn, err := x.e.node.Pool().Get(ctx, a.target)
	if err != nil {
		return outcome{code: a.notSentCode(ctx, err), reason: err.Error()}
	}
	open := a.newOpen(ctx)
	stream, err := conn.Open(ctx, open)
	if err != nil {
		return outcome{code: a.notSentCode(ctx, err), reason: err.Error()}
	}
	defer stream.Cancel()
	body := assembly.New(open.Identity, x.deliveredChunks)
	for {
		m, err := a.receive(ctx, stream)
		if err != nil {
			stream.Cancel()
			a.markUnresponsive(conn, err)
			return outcome{code: a.interruptedCode(ctx, stream.Sent(), err), reason: err.Error()}
		}
		switch m := m.(type) {
		case *wire.Accepted:
			a.accepted = true
		case *wire.Chunk:
			if code := a.handleChunk(body, m); code != result.OK {
				return outcome{code: code}
			}
		case *wire.End:
			return a.handleEnd(conn, body, m)
		}
	}
}

// errUnresponsive is returned if the sidecar does not send its first message within acceptTimeout.
var errUnresponsive = errors.New("the sidecar did not answer")

// receive returns the sidecar's next message. For idempotent requests the first message must arrive within acceptTimeout. Without that
// limit, a paused sidecar would block its chats until the keepalive closes the connection.
func (a *attempt) receive(ctx context.Context, stream *link.Stream) (wire.Message, error) {
	if a.accepted || !a.x.route.Idempotent {
		return stream.Recv(ctx)
	}
	wait, cancel := context.WithDeadline(ctx, a.start.Add(acceptTimeout))
	defer cancel()
	m, err := stream.Recv(wait)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		return nil, errUnresponsive
	}
	return m, err
}

// markUnresponsive, if err is errUnresponsive, lowers the preference of the sidecar for subsequent requests and probes its connection.
func (a *attempt) markUnresponsive(conn *link.Conn, err error) {
	if !errors.Is(err, errUnresponsive) {
		return
	}
	metrics.Add("sidecars_unresponsive", 1)
	a.x.e.unresponsive.markUnresponsive(time.Now(), a.target.ID)
	conn.Probe()
}

// newOpen builds the Open message of the attempt.
func (a *attempt) newOpen(ctx context.Context) *wire.Open {
	x := a.x
	deadline, _ := ctx.Deadline()
	open := &wire.Open{
		Identity: wire.Identity{Request: x.id, Attempt: uint8(len(x.attempts) + 1)},
		Service:  x.service.Name, Route: x.route.Path, Team: x.team, Priority: int8(x.priority - rules.Normal),
		DeadlineMS: uint32(max(0, time.Until(deadline).Milliseconds())), IdempotencyKey: x.idempotencyKey,
		WorkUnits: x.workUnits, ResumeOffset: x.deliveredChunks, Method: x.method, Path: x.path, ContentType: x.contentType, Body: x.body,
	}
	peer := x.e.node.PeerVersion(a.target.ID)
	if !x.route.Idempotent || x.e.node.ShouldSendVersion(peer) {
		open.ConfigVersion = x.e.versionSampler.VersionForOpen(time.Now(), x.snapshot.Version(), peer, !x.route.Idempotent)
	}
	a.sentVersion = open.ConfigVersion
	if x.hasChat {
		open.Chat = x.chat
	}
	open.Suspect = x.hitBrokenUpstream()
	x.e.mu.Lock()
	open.MeanLoad = x.e.loads.Hint(time.Now(), a.loadKey())
	x.e.mu.Unlock()
	return open
}

// hitBrokenUpstream reports whether any earlier attempt ended with UpstreamBroken.
func (x *exchange) hitBrokenUpstream() bool {
	for _, a := range x.attempts {
		if a.Code == result.UpstreamBroken {
			return true
		}
	}
	return false
}

// loadKey identifies the target in the load table.
func (a *attempt) loadKey() load.Upstream {
	// The versions of a service have separate load means because a shift splits traffic unevenly between them.
	return load.Upstream{ID: a.target.ID, DataCentre: a.target.DataCentre, Group: a.target.Service + "/" + a.target.Version}
}

// notSentCode returns the result code of an attempt that failed with err before anything was sent.
func (a *attempt) notSentCode(ctx context.Context, err error) result.Code {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.DeadlineBeforeRun
	case ctx.Err() != nil:
		return result.CanceledBeforeRun
	case errors.Is(err, link.ErrProtocolVersion):
		return result.ProtocolVersion
	default:
		return result.Unreachable
	}
}

// interruptedCode returns the result code of an attempt that failed with err before the sidecar sent a result. Once the Open may have
// been sent, the request must be assumed to have run.
func (a *attempt) interruptedCode(ctx context.Context, sent bool, err error) result.Code {
	switch {
	case !sent:
		return a.notSentCode(ctx, err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.DeadlineInRun
	case ctx.Err() != nil:
		return result.Canceled
	default:
		return result.ConnectionLost
	}
}

// handleChunk forwards a chunk to the caller. Chunks that are duplicates or belong to another attempt are dropped.
func (a *attempt) handleChunk(body *assembly.Assembler, m *wire.Chunk) result.Code {
	data, err := body.Chunk(m)
	if errors.Is(err, assembly.ErrDropped) {
		metrics.Add("chunks_dropped", 1)
		return result.OK
	}
	if err != nil {
		return result.BadAnswer
	}
	if a.timeToFirstChunk == 0 {
		a.timeToFirstChunk = time.Since(a.start)
	}
	if err := a.x.response.write(data); err != nil {
		if errors.Is(err, io.ErrShortBuffer) {
			return result.BadAnswer
		}
		return result.Canceled
	}
	if a.x.response.isStreaming() {
		a.x.deliveredChunks++
	}
	return result.OK
}

// observeConfigVersion records the sidecar's configuration version. If a sidecar accepted the request and its End includes no version,
// it has the version sent in the Open.
func (a *attempt) observeConfigVersion(conn *link.Conn, m *wire.End) {
	version := m.ConfigVersion
	if version == 0 && a.accepted {
		version = a.sentVersion
	}
	if version > 0 {
		a.x.e.node.RecordPeerVersion(conn, version)
	}
}

// handleEnd processes the End message and verifies that the response is complete.
func (a *attempt) handleEnd(conn *link.Conn, body *assembly.Assembler, m *wire.End) outcome {
	x := a.x
	a.observeConfigVersion(conn, m)
	if m.Load != nil {
		x.e.mu.Lock()
		x.e.loads.Report(time.Now(), a.loadKey(), *m.Load)
		x.e.mu.Unlock()
	}
	o := outcome{
		code: result.Code(m.Result), status: int(m.Status), reason: m.Reason, chunks: m.Chunks,
		contentType: m.ContentType, location: m.Location, retryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
	}
	if o.code.Outcome() == result.NotRun && !a.accepted {
		return o
	}
	if err := body.End(m); err != nil {
		o.code = result.BadAnswer
		o.reason = err.Error()
	}
	if err := upstream.CheckStatus(o.status); err != nil && o.code == result.OK {
		// Sidecars of earlier builds pass such a status on, and their claims keep it.
		o.code = result.BadAnswer
		o.reason = err.Error()
	}
	return o
}
