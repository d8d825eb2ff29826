package admission

import "time"

// Ticket stands for one admitted request. The zero Ticket stands for none.
type Ticket struct {
	place  uint32
	serial uint64
}

// admitted is what the controller keeps of an admitted request.
type admitted struct {
	// serial is zero while the place is free.
	serial uint64
	team   *team
	units  uint32
	at     time.Time
	// work is the work admitted at that time, this request's included.
	work  uint64
	epoch uint32
	first bool
}

// tickets holds the admitted requests. Places are reused, and serials tell an outdated ticket from the present one.
type tickets struct {
	places []admitted
	free   []uint32
	serial uint64
}

func (t *tickets) add(a admitted) Ticket {
	t.serial++
	a.serial = t.serial
	if last := len(t.free) - 1; last >= 0 {
		place := t.free[last]
		t.free = t.free[:last]
		t.places[place] = a
		return Ticket{place: place, serial: a.serial}
	}
	t.places = append(t.places, a)
	return Ticket{place: uint32(len(t.places) - 1), serial: a.serial}
}

// get returns the request of a ticket, or nil if it is done.
func (t *tickets) get(ticket Ticket) *admitted {
	if ticket.serial == 0 || int(ticket.place) >= len(t.places) {
		return nil
	}
	a := &t.places[ticket.place]
	if a.serial != ticket.serial {
		return nil
	}
	return a
}

// remove frees the place of a ticket and returns its request, or false if it is done.
func (t *tickets) remove(ticket Ticket) (admitted, bool) {
	a := t.get(ticket)
	if a == nil {
		return admitted{}, false
	}
	removed := *a
	*a = admitted{}
	t.free = append(t.free, ticket.place)
	return removed, true
}
