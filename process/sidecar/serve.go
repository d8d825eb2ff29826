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

// configWait is the maximum time that a request waits for the configuration version of its entry.
const configWait = 500 * time.Millisecond

// HandleOpen implements node.Role. It admits or refuses a request and, if admitted, runs it.
func (s *Sidecar) HandleOpen(ctx context.Context, conn *link.Conn, open *wire.Open, r *link.Responder) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(open.DeadlineMS)*time.Millisecond)
	defer cancel()
	x := &exchange{s: s, open: open, r: r}
	end := x.serve(ctx, conn)
	metrics.Add("result_"+result.Code(end.Result).String(), 1)
	end.Load = s.nextLoadReport()
	refused := result.Code(end.Result).Outcome() == result.NotRun
	end.ConfigVersion = node.VersionForEnd(s.node.Snapshot().Version(), open.ConfigVersion, refused)
	_ = r.End(end)
}

// exchange holds the state of one request in the sidecar.
type exchange struct {
	s      *Sidecar
	open   *wire.Open
	r      *link.Responder
	ticket admission.Ticket
	// accepted is set immediately before the request is sent to the upstream. firstByteSeen is set once a part of the response has
	// arrived.
	accepted, firstByteSeen bool
	// workUnits is the amount of work completed.
	workUnits uint32
}

// serve processes the request and returns its result.
func (x *exchange) serve(ctx context.Context, conn *link.Conn) wire.End {
	snapshot, refusal := x.awaitConfiguration(ctx)
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
	end := x.runTracked(ctx, conn, route)
	x.recordCompletion(result.Code(end.Result))
	return end
}

// runTracked runs an admitted request unless the crash tracker rejects it.
func (x *exchange) runTracked(ctx context.Context, conn *link.Conn, route rules.Route) wire.End {
	f, code := x.s.trackStart(x.open)
	if code == result.Quarantined {
		x.s.reportQuarantine(conn, f.fingerprint)
	}
	if code != result.OK {
		return wire.End{Result: uint8(code)}
	}
	end := x.claimAndRun(ctx, route)
	if result.Code(end.Result) == result.UpstreamBroken {
		x.s.checkForCrash(f.epoch)
	}
	x.s.trackEnd(f, result.Code(end.Result))
	return end
}

// route returns the rule that matches the path without its query. The sidecar does not rely on the entry's match, because an entry
// with different rules must not decide whether a call may be retried.
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

// awaitConfiguration returns a snapshot whose configuration is at least as new as the entry's. Otherwise a request that a newer rule
// forbids could run before this sidecar has received the rule.
func (x *exchange) awaitConfiguration(ctx context.Context) (*node.Snapshot, admission.Refusal) {
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

// admit refuses the request if the shift to this upstream's version was stopped. Otherwise it applies the entry's load hint and asks
// the admission controller.
func (x *exchange) admit(sender string) (admission.Ticket, admission.Refusal) {
	now := time.Now()
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shiftStopped != nil {
		return admission.Ticket{}, admission.Refusal{Code: result.VersionStopped}
	}
	s.mean.AddHint(now, sender, x.open.MeanLoad)
	if mean, ok := s.mean.Mean(now); ok {
		s.admission.SetMean(now, mean)
	}
	return s.admission.Admit(now, admission.Request{Team: x.open.Team, WorkUnits: x.open.WorkUnits, Priority: x.open.Priority})
}

func (x *exchange) recordFirstByte() {
	if x.firstByteSeen {
		return
	}
	x.firstByteSeen = true
	x.s.mu.Lock()
	x.s.admission.FirstByte(time.Now(), x.ticket)
	x.s.mu.Unlock()
}

func (x *exchange) recordCompletion(code result.Code) {
	completion := admission.Completion{WorkUnits: x.workUnits, OK: code == result.OK}
	completion.Canceled = code == result.Canceled || code == result.DeadlineInRun || code.Outcome() == result.NotRun
	x.s.mu.Lock()
	x.s.admission.Done(time.Now(), x.ticket, completion)
	x.s.mu.Unlock()
}

// run sends the request to the upstream. It returns the body only for calls to plain services.
func (x *exchange) run(ctx context.Context) (wire.End, []byte) {
	if ctx.Err() != nil {
		return wire.End{Result: uint8(result.DeadlineBeforeRun)}, nil
	}
	if x.s.opts.Plain != nil {
		return x.callService(ctx)
	}
	return x.generate(ctx), nil
}

// markAccepted notifies the entry that the request is being sent to the upstream.
func (x *exchange) markAccepted() {
	x.accepted = true
	_ = x.r.Accepted()
}

// callService sends a call to a plain service.
func (x *exchange) callService(ctx context.Context) (wire.End, []byte) {
	response, err := x.s.opts.Plain.Call(ctx, services.CallRequest{
		Method: x.open.Method, Path: x.open.Path, ContentType: x.open.ContentType, Body: x.open.Body, IdempotencyKey: x.open.IdempotencyKey,
		OnSend: x.markAccepted,
	})
	if err != nil {
		return x.upstreamFailure(ctx, err), nil
	}
	x.recordFirstByte()
	x.workUnits = x.open.WorkUnits
	// The call has run. If its caller has disconnected, the result is kept for a retry with the same key.
	_ = x.r.Write(ctx, response.Body)
	end := wire.End{
		Result: uint8(result.OK), Status: uint16(response.Status), ContentType: response.ContentType, Location: response.Location,
	}
	if response.Status >= http.StatusInternalServerError {
		end.Result = uint8(result.UpstreamError)
	}
	return end, response.Body
}

// generate runs a generation on the model engine and forwards its chunks.
func (x *exchange) generate(ctx context.Context) wire.End {
	stream, err := x.s.opts.Engine.Generate(ctx, services.GenerateRequest{
		ID: x.generationID(), Path: x.open.Path, Body: x.open.Body, Chat: x.open.Chat, Priority: int(x.open.Priority),
		Offset: x.open.ResumeOffset, OnSend: x.markAccepted,
	})
	if err != nil {
		return x.upstreamFailure(ctx, err)
	}
	defer stream.Close()
	for {
		part, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return wire.End{Result: uint8(result.OK), Status: http.StatusOK}
		}
		if err != nil {
			return x.upstreamFailure(ctx, err)
		}
		x.recordFirstByte()
		x.workUnits++
		if err := x.r.Write(ctx, part); err != nil {
			return wire.End{Result: uint8(interruptedCode(ctx, err))}
		}
	}
}

// generationID returns the ID by which the engine can resume the generation.
func (x *exchange) generationID() string {
	const digits = "0123456789abcdef"
	id := make([]byte, 0, 2*len(x.open.Request))
	for _, b := range x.open.Request {
		id = append(id, digits[b>>4], digits[b&15])
	}
	return string(id)
}

// upstreamFailure converts an error from the upstream into a result. If the request was not accepted yet, nothing was sent.
func (x *exchange) upstreamFailure(ctx context.Context, err error) wire.End {
	var status *services.StatusError
	switch {
	case errors.As(err, &status):
		return wire.End{Result: uint8(result.UpstreamError), Status: uint16(status.Status), Reason: err.Error()}
	case !x.accepted && ctx.Err() != nil:
		return wire.End{Result: uint8(result.DeadlineBeforeRun)}
	case !x.accepted:
		return wire.End{Result: uint8(result.Unreachable), Reason: err.Error()}
	case ctx.Err() != nil:
		return wire.End{Result: uint8(interruptedCode(ctx, err))}
	}
	event.Log(event.RequestFailed, "instance", x.s.opts.Settings.Instance, "request", x.generationID(), "error", err)
	return wire.End{Result: uint8(result.UpstreamBroken), Reason: err.Error()}
}

// interruptedCode returns the result code of an accepted request that was aborted on the sidecar's side.
func interruptedCode(ctx context.Context, err error) result.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.DeadlineInRun
	}
	if errors.Is(err, link.ErrConnectionLost) {
		return result.ConnectionLost
	}
	return result.Canceled
}
