package control

// Hold keeps requests from answering while it is on. The zero Hold is off. The lock of the stand-in guards it.
type Hold struct {
	// released is closed when the hold ends; nil if it never was on.
	released chan struct{}
	on       bool
}

// Set switches the hold on or off. Each call ends the hold that was on before.
func (h *Hold) Set(on bool) {
	if h.on {
		close(h.released)
	}
	if on {
		h.released = make(chan struct{})
	}
	h.on = on
}

// Released returns what is closed when a request that begins now may answer.
func (h *Hold) Released() <-chan struct{} {
	if h.released == nil {
		h.released = make(chan struct{})
		close(h.released)
	}
	return h.released
}
