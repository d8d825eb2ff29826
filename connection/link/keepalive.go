package link

import "time"

// keepalive decides when to probe a silent peer and when to give up on it. Times are durations since the connection's start.
type keepalive struct {
	interval, idle, timeout time.Duration
	// lastPing is when the last Ping was sent; probing is set until a frame is received after it.
	lastPing time.Duration
	probing  bool
}

// activity is whether frames from the peer are expected, and since when.
type activity struct {
	busy  bool
	since time.Duration
}

// keepaliveAction is a decision of keepalive.
type keepaliveAction uint8

const (
	actionWait keepaliveAction = iota
	actionPing
	actionClose
)

// next returns the action to take at time now, given the time of the last received frame, and the delay until the next call. A
// connection that becomes busy earlier needs a call within an interval. The peer is considered lost only some time after a Ping, so
// that a process that was itself paused first reads the data that arrived in the meantime.
func (k *keepalive) next(now, received time.Duration, a activity) (keepaliveAction, time.Duration) {
	if k.probing && received >= k.lastPing {
		k.probing = false
	}
	if !k.probing {
		if wait := k.due(received, a) - now; wait > 0 {
			return actionWait, wait
		}
		k.probing = true
		k.lastPing = now
		// The answer may arrive immediately, so that the next period of silence starts now.
		return actionPing, min(k.interval, k.timeout-k.interval)
	}
	if wait := k.lastPing + k.timeout - k.interval - now; wait > 0 {
		return actionWait, wait
	}
	return actionClose, 0
}

// due returns the time at which the peer has been silent long enough to send a Ping.
func (k *keepalive) due(received time.Duration, a activity) time.Duration {
	if !a.busy {
		return received + k.idle
	}
	return max(received, a.since) + k.interval
}
