package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/platform"
	"github.com/jayridge/jayridge/process/admission"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/request/claim"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/rules"
)

// configWait bounds how long a request waits for the configuration version that its entry already has.
const configWait = 500 * time.Millisecond

// HandleOpen implements node.Role: it decides on one request and runs it.
func (s *Sidecar) HandleOpen(ctx context.Context, conn *link.Conn, open *wire.Open, r *link.Responder) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(open.DeadlineMS)*time.Millisecond)
	defer cancel()
	x := &exchange{s: s, open: open, r: r}
	end := x.serve(ctx, conn)
	metrics.Add("result_"+result.Code(end.Result).String(), 1)
	s.mu.Lock()
	report := s.admission.Load()
	s.mu.Unlock()
	end.Load = &report
	end.ConfigVersion = s.node.Snapshot().Version()
	_ = r.End(end)
}

// exchange is one request on its way through the sidecar.
type exchange struct {
	s    *Sidecar
	open *wire.Open
	r    *link.Responder
	// ticket is the admission's; admitted says whether there is one.
	ticket   admission.Ticket
	first    bool
	work     uint32
	accepted bool
}

// serve returns how the request ended.
func (x *exchange) serve(ctx context.Context, conn *link.Conn) wire.End {
	snapshot, refusal := x.configuration(ctx)
	if refusal.Refused() {
		return refuse(refusal, "")
	}
	route, ok := snapshot.Config.Rules.Route(x.open.Path)
	if !ok || route.Service != x.s.opts.Settings.Service {
		return refuse(admission.Refusal{Code: result.NoRoute}, "no rule routes the path to this service")
	}
	ticket, refusal := x.admit(conn.Remote().Instance)
	if refusal.Refused() {
		return refuse(refusal, "")
	}
	x.ticket = ticket
	end := x.runInFlight(ctx, route)
	x.done(result.Code(end.Result))
	return end
}

// runInFlight runs an admitted request unless requests like it crashed upstreams.
func (x *exchange) runInFlight(ctx context.Context, route rules.Route) wire.End {
	f, code := x.s.begin(x.open)
	if code != result.OK {
		return wire.End{Result: uint8(code)}
	}
	end := x.claimAndRun(ctx, route)
	if result.Code(end.Result) == result.UpstreamBroken {
		x.s.upstreamBroke(f.epoch)
	}
	x.s.end(f, result.Code(end.Result))
	return end
}

func refuse(refusal admission.Refusal, reason string) wire.End {
	return wire.End{Result: uint8(refusal.Code), RetryAfterMS: uint32(refusal.RetryAfter.Milliseconds()), Reason: reason}
}

// configuration returns the control state, at least as new as the entry's: a request that a newer rule forbids must not run because
// this sidecar has not heard of the rule.
func (x *exchange) configuration(ctx context.Context) (*node.Snapshot, admission.Refusal) {
	wait, cancel := context.WithTimeout(ctx, configWait)
	defer cancel()
	snapshot := x.s.node.AwaitVersion(wait, x.open.ConfigVersion)
	if snapshot.Config == nil || snapshot.Version() < x.open.ConfigVersion {
		return snapshot, admission.Refusal{Code: result.NoConfiguration}
	}
	if ctx.Err() != nil {
		return snapshot, admission.Refusal{Code: result.DeadlineBeforeRun}
	}
	return snapshot, admission.Refusal{}
}

func (x *exchange) admit(sender string) (admission.Ticket, admission.Refusal) {
	now := time.Now()
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shiftStopped != nil {
		return admission.Ticket{}, admission.Refusal{Code: result.VersionStopped}
	}
	s.mean.Hint(now, sender, x.open.MeanLoad)
	if mean, ok := s.mean.Mean(now); ok {
		s.admission.SetMean(now, mean)
	}
	return s.admission.Admit(now, admission.Request{Team: x.open.Team, WorkUnits: x.open.WorkUnits, Priority: x.open.Priority})
}

func (x *exchange) firstByte() {
	if x.first {
		return
	}
	x.first = true
	x.s.mu.Lock()
	x.s.admission.FirstByte(time.Now(), x.ticket)
	x.s.mu.Unlock()
}

func (x *exchange) done(code result.Code) {
	completion := admission.Completion{WorkUnits: x.work, OK: code == result.OK}
	completion.Canceled = code == result.Canceled || code == result.DeadlineInRun || code.Outcome() == result.NotRun
	x.s.mu.Lock()
	x.s.admission.Done(time.Now(), x.ticket, completion)
	x.s.mu.Unlock()
}

// claimAndRun runs the request, after a claim if the rules do not call its route idempotent and it has a key.
func (x *exchange) claimAndRun(ctx context.Context, route rules.Route) wire.End {
	if route.Idempotent || x.open.IdempotencyKey == "" {
		end, _ := x.run(ctx)
		return end
	}
	if x.s.claims == nil {
		return wire.End{Result: uint8(result.ClaimUnavailable)}
	}
	key := claim.KeyOf(x.open.Team, x.open.IdempotencyKey)
	decision, err := x.s.claims.Claim(ctx, key, x.fingerprint())
	switch decision.Kind {
	case claim.Granted:
		return x.runClaimed(ctx, key)
	case claim.Finished:
		return x.replay(ctx, decision.Response)
	case claim.InDoubt:
		return wire.End{Result: uint8(result.AlreadyClaimed)}
	case claim.KeyReused:
		return wire.End{Result: uint8(result.BadRequest), Reason: "the idempotency key belongs to another request"}
	default:
		reason := ""
		if err != nil {
			reason = err.Error()
		}
		return wire.End{Result: uint8(result.ClaimUnavailable), Reason: reason}
	}
}

// fingerprint tells two requests with the same idempotency key apart.
func (x *exchange) fingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(x.open.Method)
	_, _ = d.WriteString(" " + x.open.Path + "\n")
	_, _ = d.Write(x.open.Body)
	return d.Sum64()
}

// runClaimed runs a call whose key was granted to it and stores its result.
func (x *exchange) runClaimed(ctx context.Context, key claim.Key) wire.End {
	end, body := x.run(ctx)
	code := result.Code(end.Result)
	if code.Outcome() != result.Unknown {
		x.s.claims.Finish(key, claim.Response{Code: code, Status: end.Status, Body: body})
	}
	return end
}

// replay answers with the stored result of an earlier call with the same key. A caller that sent the key before learns that its
// call did not run a second time from the code alone when the answer is not kept.
func (x *exchange) replay(ctx context.Context, response claim.Response) wire.End {
	metrics.Add("claims_replayed", 1)
	if response.Truncated {
		return wire.End{Result: uint8(result.AlreadyRun), Status: response.Status}
	}
	if err := x.r.Write(ctx, response.Body); err != nil {
		return wire.End{Result: uint8(interrupted(ctx, err))}
	}
	return wire.End{Result: uint8(response.Code), Status: response.Status}
}

// run hands the request to the upstream. The body is returned for calls to plain services only.
func (x *exchange) run(ctx context.Context) (wire.End, []byte) {
	if ctx.Err() != nil {
		return wire.End{Result: uint8(result.DeadlineBeforeRun)}, nil
	}
	if x.s.opts.Plain != nil {
		return x.call(ctx)
	}
	return x.generate(ctx), nil
}

func (x *exchange) handOver() {
	x.accepted = true
	_ = x.r.Accepted()
}

func (x *exchange) call(ctx context.Context) (wire.End, []byte) {
	response, err := x.s.opts.Plain.Call(ctx, platform.CallRequest{
		Method: x.open.Method, Path: x.open.Path, Body: x.open.Body, IdempotencyKey: x.open.IdempotencyKey, OnSend: x.handOver,
	})
	if err != nil {
		return x.failed(ctx, err), nil
	}
	x.firstByte()
	x.work = x.open.WorkUnits
	// The call ran; if its caller is gone, the result is kept for a retry with the same key.
	_ = x.r.Write(ctx, response.Body)
	end := wire.End{Result: uint8(result.OK), Status: uint16(response.Status)}
	if response.Status >= http.StatusInternalServerError {
		end.Result = uint8(result.UpstreamError)
	}
	return end, response.Body
}

func (x *exchange) generate(ctx context.Context) wire.End {
	stream, err := x.s.opts.Engine.Generate(ctx, platform.GenerateRequest{
		ID: x.generationID(), Path: x.open.Path, Body: x.open.Body, Chat: x.open.Chat, Priority: int(x.open.Priority),
		Offset: x.open.ResumeOffset, OnSend: x.handOver,
	})
	if err != nil {
		return x.failed(ctx, err)
	}
	defer stream.Close()
	for {
		part, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return wire.End{Result: uint8(result.OK), Status: http.StatusOK}
		}
		if err != nil {
			return x.failed(ctx, err)
		}
		x.firstByte()
		x.work++
		if err := x.r.Write(ctx, part); err != nil {
			return wire.End{Result: uint8(interrupted(ctx, err))}
		}
	}
}

// generationID names the generation to the engine, so that it can be resumed.
func (x *exchange) generationID() string {
	const digits = "0123456789abcdef"
	id := make([]byte, 0, 2*len(x.open.Request))
	for _, b := range x.open.Request {
		id = append(id, digits[b>>4], digits[b&15])
	}
	return string(id)
}

// failed turns an error of the upstream into a result. Before the hand-over nothing was sent.
func (x *exchange) failed(ctx context.Context, err error) wire.End {
	var status *platform.StatusError
	switch {
	case errors.As(err, &status):
		return wire.End{Result: uint8(result.UpstreamError), Status: uint16(status.Status), Reason: err.Error()}
	case !x.accepted && ctx.Err() != nil:
		return wire.End{Result: uint8(result.DeadlineBeforeRun)}
	case !x.accepted:
		return wire.End{Result: uint8(result.Unreachable), Reason: err.Error()}
	case ctx.Err() != nil:
		return wire.End{Result: uint8(interrupted(ctx, err))}
	}
	event.Log(event.RequestFailed, "instance", x.s.opts.Settings.Instance, "request", x.generationID(), "error", err)
	return wire.End{Result: uint8(result.UpstreamBroken), Reason: err.Error()}
}

// interrupted is the result of a request that ended on this side after the hand-over.
func interrupted(ctx context.Context, err error) result.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.DeadlineInRun
	}
	if errors.Is(err, link.ErrConnectionLost) {
		return result.ConnectionLost
	}
	return result.Canceled
}
