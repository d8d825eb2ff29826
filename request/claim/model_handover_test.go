package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

// modelHand is a hand-over that an actor has received and not answered yet, or, without a call, one whose sender no longer waits.
type modelHand struct {
	call *modelCall
	to   int
	due  time.Time
}

func modelAddress(actor, run int) string { return fmt.Sprint(actor, "/", run) }

// handOver carries a batch to another actor, with any fault: the batch is lost, its answer is lost, or it comes late.
func (m *model) handOver(call *modelCall, e HandOver, fault int) {
	unknown := HandOverResult{Op: e.Op, Err: services.ErrOutcomeUnknown}
	switch fault {
	case 0:
		call.result = HandOverResult{Op: e.Op, Err: services.ErrUnavailable}
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

// receive gives a batch to the run of the actor that the address names.
func (m *model) receive(call *modelCall, e HandOver) {
	var actor, run int
	_, _ = fmt.Sscanf(e.To, "%d/%d", &actor, &run)
	if run != m.runs[actor] {
		if call != nil {
			call.result = HandOverResult{Op: e.Op, Err: services.ErrUnavailable}
		}
		return
	}
	m.counts["handed over"]++
	m.lastID++
	if call != nil {
		m.hands[m.lastID] = &modelHand{call: call, to: actor, due: m.now.Add(m.cfg.HandOverTimeout)}
	}
	m.step(actor, BatchReceived{ID: m.lastID, Batch: e.Batch})
}

// batchDone takes an actor's answer to a batch.
func (m *model) batchDone(e BatchDone) {
	h := m.hands[e.ID]
	if h == nil {
		return
	}
	delete(m.hands, e.ID)
	op := h.call.effect.(HandOver).Op
	h.call.result = HandOverResult{Op: op, Appended: e.Appended, Err: e.Err}
	if e.Err == nil {
		m.counts["appended for another"]++
	}
}

// loseHands ends the hand-overs to which cond applies with an unknown outcome.
func (m *model) loseHands(cond func(*modelHand) bool) {
	for id, h := range m.hands {
		if cond(h) {
			h.call.result = HandOverResult{Op: h.call.effect.(HandOver).Op, Err: services.ErrOutcomeUnknown}
			delete(m.hands, id)
			m.counts["hand-over lost"]++
		}
	}
}

// waiting says whether a call was received by another actor and has no answer yet.
func (m *model) waiting(call *modelCall) bool {
	for _, h := range m.hands {
		if h.call == call {
			return true
		}
	}
	return false
}

// busy says whether a call can arrive or a result be delivered.
func (m *model) busy() bool {
	return slices.ContainsFunc(m.network, func(c *modelCall) bool { return !m.waiting(c) })
}
