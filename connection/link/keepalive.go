package link

import "time"

// keepalive decides when to probe a silent peer and when to give it up. Times are durations since the connection's start.
type keepalive struct {
	interval, idle, timeout time.Duration
	// pinged is when the last Ping was sent, and probing whether no frame was received since.
	pinged  time.Duration
	probing bool
}

// expectation says whether frames of the peer are expected, and since when.
type expectation struct {
	busy  bool
	since time.Duration
}

type probe uint8

const (
	probeWait probe = iota
	probePing
	probeLost
)

// next returns what to do at time now, given when the last frame was received, and how long to wait before the next call. A connection that
// gets busy before that is due within an interval.
// The peer is given up only a while after a Ping, so that a process that was itself paused first reads what has arrived.
func (k *keepalive) next(now, received time.Duration, e expectation) (probe, time.Duration) {
	if k.probing && received >= k.pinged {
		k.probing = false
	}
	if !k.probing {
		if wait := k.due(received, e) - now; wait > 0 {
			return probeWait, wait
		}
		k.probing = true
		k.pinged = now
		// The answer may arrive at once, and the next silence then starts now.
		return probePing, min(k.interval, k.timeout-k.interval)
	}
	if wait := k.pinged + k.timeout - k.interval - now; wait > 0 {
		return probeWait, wait
	}
	return probeLost, 0
}

// due returns when the peer's silence is long enough for a Ping.
func (k *keepalive) due(received time.Duration, e expectation) time.Duration {
	if !e.busy {
		return received + k.idle
	}
	return max(received, e.since) + k.interval
}
