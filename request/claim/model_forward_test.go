package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

// modelForward is a forwarded batch that an actor has received and not replied to yet.
type modelForward struct {
	call *modelCall
	to   int
	due  time.Time
}

func modelAddress(actor, run int) string { return fmt.Sprint(actor, "/", run) }

// forwardBatch carries a batch to another actor, with any fault: the batch or its reply is lost, or the batch arrives late.
func (m *model) forwardBatch(call *modelCall, e Forward, fault int) {
	unknown := ForwardResult{Op: e.Op, Err: services.ErrOutcomeUnknown}
	switch fault {
	case 0:
		call.result = ForwardResult{Op: e.Op, Err: services.ErrUnavailable}
	case 1:
		call.result = unknown
		m.receive(nil, e)
	case 2:
		call.result = unknown
		late := &modelCall{actor: call.actor, effect: e}
		m.network = append(m.network, late)
	case 3:
		call.result = unknown
	default:
		m.receive(call, e)
	}
}

// receive delivers a batch to the run of the actor that the address names. call is nil if the sender no longer waits for a
// reply.
func (m *model) receive(call *modelCall, e Forward) {
	var actor, run int
	_, _ = fmt.Sscanf(e.To, "%d/%d", &actor, &run)
	if run != m.runs[actor] {
		if call != nil {
			call.result = ForwardResult{Op: e.Op, Err: services.ErrUnavailable}
		}
		return
	}
	m.counts["forwarded"]++
	m.lastID++
	if call != nil {
		m.forwards[m.lastID] = &modelForward{call: call, to: actor, due: m.now.Add(m.cfg.ForwardTimeout)}
	}
	m.step(actor, BatchReceived{ID: m.lastID, Batch: e.Batch})
}

// batchResult handles an actor's reply to a batch.
func (m *model) batchResult(e BatchResult) {
	h := m.forwards[e.ID]
	if h == nil {
		return
	}
	delete(m.forwards, e.ID)
	op := h.call.effect.(Forward).Op
	h.call.result = ForwardResult{Op: op, Appended: e.Appended, Err: e.Err}
	if e.Err == nil {
		m.counts["appended for another store"]++
	}
}

// loseForwards ends the unanswered forwarded batches that match cond with an unknown outcome.
func (m *model) loseForwards(cond func(*modelForward) bool) {
	for id, h := range m.forwards {
		if cond(h) {
			h.call.result = ForwardResult{Op: h.call.effect.(Forward).Op, Err: services.ErrOutcomeUnknown}
			delete(m.forwards, id)
			m.counts["forward outcome lost"]++
		}
	}
}

// awaitingForward reports whether a call was received by another actor and has no reply yet.
func (m *model) awaitingForward(call *modelCall) bool {
	for _, h := range m.forwards {
		if h.call == call {
			return true
		}
	}
	return false
}

// canProgress reports whether a call can be processed or a result be delivered.
func (m *model) canProgress() bool {
	return slices.ContainsFunc(m.network, func(c *modelCall) bool { return !m.awaitingForward(c) })
}
