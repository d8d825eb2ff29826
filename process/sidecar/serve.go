package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/admission"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/services"
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
	end.Load = s.report()
	refused := result.Code(end.Result).Outcome() == result.NotRun
	end.ConfigVersion = node.InEnd(s.node.Snapshot().Version(), open.ConfigVersion, refused)
	_ = r.End(end)
}

// exchange is one request on its way through the sidecar.
type exchange struct {
	s      *Sidecar
	open   *wire.Open
	r      *link.Responder
	ticket admission.Ticket
	// accepted says that the request was or is about to be handed to the upstream, first that a part of its answer has arrived.
	accepted, first bool
	// work is what was done, in work units.
	work uint32
}

// serve returns how the request ended.
func (x *exchange) serve(ctx context.Context, conn *link.Conn) wire.End {
	snapshot, refusal := x.configuration(ctx)
	if refusal.Refused() {
		return refuse(refusal, "")
	}
	route, ok := x.route(snapshot.Config.Rules)
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

// route returns the rule for the path without its query. The sidecar looks it up itself: an entry with other rules must not decide whether
// a call may be repeated.
func (x *exchange) route(set *rules.Set) (rules.Route, bool) {
	target, err := url.ParseRequestURI(x.open.Path)
	if err != nil {
		return rules.Route{}, false
	}
	return set.Route(target.Path)
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
	response, err := x.s.opts.Plain.Call(ctx, services.CallRequest{
		Method: x.open.Method, Path: x.open.Path, ContentType: x.open.ContentType, Body: x.open.Body, IdempotencyKey: x.open.IdempotencyKey,
		OnSend: x.handOver,
	})
	if err != nil {
		return x.failed(ctx, err), nil
	}
	x.firstByte()
	x.work = x.open.WorkUnits
	// The call ran; if its caller is gone, the result is kept for a retry with the same key.
	_ = x.r.Write(ctx, response.Body)
	end := wire.End{
		Result: uint8(result.OK), Status: uint16(response.Status), ContentType: response.ContentType, Location: response.Location,
	}
	if response.Status >= http.StatusInternalServerError {
		end.Result = uint8(result.UpstreamError)
	}
	return end, response.Body
}

func (x *exchange) generate(ctx context.Context) wire.End {
	stream, err := x.s.opts.Engine.Generate(ctx, services.GenerateRequest{
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
	var status *services.StatusError
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
