package control

// Hold blocks requests before they answer while it is on. The zero value is off. The caller synchronizes access.
type Hold struct {
	// released is closed when the hold ends; nil if it never was on.
	released chan struct{}
	on       bool
}

// Set switches the hold on or off. Each call releases the requests that the previous hold blocked.
func (h *Hold) Set(on bool) {
	if h.on {
		close(h.released)
	}
	if on {
		h.released = make(chan struct{})
	}
	h.on = on
}

// Released returns a channel that is closed when a request that begins now may answer.
func (h *Hold) Released() <-chan struct{} {
	if h.released == nil {
		h.released = make(chan struct{})
		close(h.released)
	}
	return h.released
}
