package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/load"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/assembly"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
	"github.com/jayridge/jayridge/version/rules"
)

// try makes one attempt and records it.
func (x *exchange) try(ctx context.Context, target services.Instance) outcome {
	if !x.answer.streams() {
		// What an earlier attempt left must not precede the answer of this one.
		x.answer.reset()
	}
	a := attempt{x: x, target: target, start: time.Now()}
	o := a.run(ctx)
	o.upstream = target.ID
	x.observe(target, o.code, a.latency())
	if o.code != result.OK {
		x.attempts = append(x.attempts, retry.Attempt{Code: o.code, Accepted: a.accepted, DataCentre: target.DataCentre})
	}
	return o
}

// attempt is one attempt of a request at one upstream.
type attempt struct {
	x        *exchange
	target   services.Instance
	accepted bool
	// shown is the configuration version in the Open, zero if it had none.
	shown uint64
	start time.Time
	// first is the time to the first part of the answer; zero until then.
	first time.Duration
}

// latency is the time to the first part of the answer, or to the end if there was none.
func (a *attempt) latency() time.Duration {
	if a.first == 0 {
		return time.Since(a.start)
	}
	return a.first
}

func (a *attempt) run(ctx context.Context) outcome {
	x := a.x
	conn, err := x.e.node.Pool().Get(ctx, a.target)
	if err != nil {
		return outcome{code: a.unsent(ctx, err), reason: err.Error()}
	}
	open := a.open(ctx)
	stream, err := conn.Open(ctx, open)
	if err != nil {
		return outcome{code: a.unsent(ctx, err), reason: err.Error()}
	}
	defer stream.Cancel()
	body := assembly.New(open.Identity, x.delivered)
	for {
		m, err := a.receive(ctx, stream)
		if err != nil {
			stream.Cancel()
			a.noteUnresponsive(conn, err)
			return outcome{code: a.interrupted(ctx, stream.Sent(), err), reason: err.Error()}
		}
		switch m := m.(type) {
		case *wire.Accepted:
			a.accepted = true
		case *wire.Chunk:
			if code := a.chunk(body, m); code != result.OK {
				return outcome{code: code}
			}
		case *wire.End:
			return a.end(conn, body, m)
		}
	}
}

// errUnresponsive says that a sidecar did not answer in time.
var errUnresponsive = errors.New("the sidecar did not answer")

// receive returns the sidecar's next message. If the request may be repeated, the first message must come within acceptTimeout: a paused
// sidecar would otherwise hold its chats until the keepalive ends the connection.
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

// noteUnresponsive makes the next requests prefer other upstreams, and has the connection probed.
func (a *attempt) noteUnresponsive(conn *link.Conn, err error) {
	if !errors.Is(err, errUnresponsive) {
		return
	}
	metrics.Add("sidecars_unresponsive", 1)
	a.x.e.unresponsive.note(time.Now(), a.target.ID)
	conn.Probe()
}

func (a *attempt) open(ctx context.Context) *wire.Open {
	x := a.x
	deadline, _ := ctx.Deadline()
	open := &wire.Open{
		Identity: wire.Identity{Request: x.id, Attempt: uint8(len(x.attempts) + 1)},
		Service:  x.service.Name, Route: x.route.Path, Team: x.team, Priority: int8(x.priority - rules.Normal),
		DeadlineMS: uint32(max(0, time.Until(deadline).Milliseconds())), IdempotencyKey: x.key,
		WorkUnits: x.work, ResumeOffset: x.delivered, Method: x.method, Path: x.path, ContentType: x.contentType, Body: x.body,
	}
	peer := x.e.node.PeerVersion(a.target.ID)
	if !x.route.Idempotent || x.e.node.MayShowVersion(peer) {
		open.ConfigVersion = x.e.versionSampler.InOpen(time.Now(), x.snapshot.Version(), peer, !x.route.Idempotent)
	}
	a.shown = open.ConfigVersion
	if x.inChat {
		open.Chat = x.chat
	}
	open.Suspect = x.brokeUpstream()
	x.e.mu.Lock()
	open.MeanLoad = x.e.loads.Hint(time.Now(), a.loadKey())
	x.e.mu.Unlock()
	return open
}

// brokeUpstream reports whether an upstream broke during an earlier attempt.
func (x *exchange) brokeUpstream() bool {
	for _, a := range x.attempts {
		if a.Code == result.UpstreamBroken {
			return true
		}
	}
	return false
}

func (a *attempt) loadKey() load.Upstream {
	// The versions of a service have a mean each, because a shift gives them unequal traffic.
	return load.Upstream{ID: a.target.ID, DataCentre: a.target.DataCentre, Group: a.target.Service + "/" + a.target.Version}
}

// unsent is the result of an attempt of which nothing was sent because of err.
func (a *attempt) unsent(ctx context.Context, err error) result.Code {
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

// interrupted is the result of an attempt that err ended without a result from the sidecar. From the moment the Open may have been sent the
// request may have run.
func (a *attempt) interrupted(ctx context.Context, sent bool, err error) result.Code {
	switch {
	case !sent:
		return a.unsent(ctx, err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.DeadlineInRun
	case ctx.Err() != nil:
		return result.Canceled
	default:
		return result.ConnectionLost
	}
}

// chunk passes one part of the answer on. Parts that are not this attempt's next are dropped by the assembly.
func (a *attempt) chunk(body *assembly.Assembly, m *wire.Chunk) result.Code {
	data, err := body.Chunk(m)
	if errors.Is(err, assembly.ErrDropped) {
		metrics.Add("chunks_dropped", 1)
		return result.OK
	}
	if err != nil {
		return result.BadAnswer
	}
	if a.first == 0 {
		a.first = time.Since(a.start)
	}
	if err := a.x.answer.write(data); err != nil {
		if errors.Is(err, io.ErrShortBuffer) {
			return result.BadAnswer
		}
		return result.Canceled
	}
	if a.x.answer.streams() {
		a.x.delivered++
	}
	return result.OK
}

// hear takes the sidecar's configuration version. A sidecar that ran the request and names none has the one of the Open.
func (a *attempt) hear(conn *link.Conn, m *wire.End) {
	version := m.ConfigVersion
	if version == 0 && a.accepted {
		version = a.shown
	}
	if version > 0 {
		a.x.e.node.ObserveVersion(conn, version)
	}
}

// end checks that the answer is whole.
func (a *attempt) end(conn *link.Conn, body *assembly.Assembly, m *wire.End) outcome {
	x := a.x
	a.hear(conn, m)
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
	return o
}
