package link

import "time"

// keepalive decides when to probe a silent peer and when to give it up. Times are durations since the connection's start.
type keepalive struct {
	interval, timeout time.Duration
	// pinged is when the last Ping was sent, and probing whether no frame was received since.
	pinged  time.Duration
	probing bool
}

type probe uint8

const (
	probeWait probe = iota
	probePing
	probeLost
)

// next returns what to do at time now, given when the last frame was received, and how long to wait before the next call.
// The peer is given up only a while after a Ping, so that a process that was itself paused first reads what has arrived.
func (k *keepalive) next(now, received time.Duration) (probe, time.Duration) {
	if k.probing && received >= k.pinged {
		k.probing = false
	}
	if !k.probing {
		if wait := received + k.interval - now; wait > 0 {
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
