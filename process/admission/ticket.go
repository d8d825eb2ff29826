package admission

import "time"

// Ticket identifies an admitted request. The zero Ticket identifies none.
type Ticket struct {
	slot   uint32
	serial uint64
}

// admittedRequest is the controller's record of an admitted request.
type admittedRequest struct {
	// serial is zero while the slot is free.
	serial uint64
	team   *team
	units  uint32
	at     time.Time
	// work is the admitted work in progress at that time, including this request.
	work          uint64
	epoch         uint32
	firstByteSeen bool
}

// tickets holds the admitted requests. Slots are reused; the serial distinguishes the current ticket of a slot from earlier ones.
type tickets struct {
	slots  []admittedRequest
	free   []uint32
	serial uint64
}

func (t *tickets) add(a admittedRequest) Ticket {
	t.serial++
	a.serial = t.serial
	if last := len(t.free) - 1; last >= 0 {
		slot := t.free[last]
		t.free = t.free[:last]
		t.slots[slot] = a
		return Ticket{slot: slot, serial: a.serial}
	}
	t.slots = append(t.slots, a)
	return Ticket{slot: uint32(len(t.slots) - 1), serial: a.serial}
}

// get returns the request of a ticket, or nil if it is done.
func (t *tickets) get(ticket Ticket) *admittedRequest {
	if ticket.serial == 0 || int(ticket.slot) >= len(t.slots) {
		return nil
	}
	a := &t.slots[ticket.slot]
	if a.serial != ticket.serial {
		return nil
	}
	return a
}

// remove frees the slot of a ticket and returns its request, or false if it is done.
func (t *tickets) remove(ticket Ticket) (admittedRequest, bool) {
	a := t.get(ticket)
	if a == nil {
		return admittedRequest{}, false
	}
	removed := *a
	*a = admittedRequest{}
	t.free = append(t.free, ticket.slot)
	return removed, true
}
