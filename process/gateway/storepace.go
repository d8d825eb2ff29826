package gateway

import "time"

const (
	// unpacedBytes is the part of a response of the store that is read at full speed. Most responses are shorter.
	unpacedBytes = 64 << 10
	// pacedLinkShare is the share of the link's bandwidth with which the rest is read. Callers' streams need about a fifth of a link of 10 Mbit/s; at full
	// speed, a configuration of 1 MB delays their events by some tenths of a second.
	pacedLinkShare = 2.0 / 3
	// maxPacedShare is the share of the time in which a configuration must take effect for which a response is read at that speed.
	maxPacedShare = 0.5
)

// storePace decides how fast a large response of the store is read, so that it does not take the whole link from callers' streams.
type storePace struct {
	// bytesPerSecond is the bandwidth of the link, zero if it is unknown.
	bytesPerSecond float64
	// maxTime is the time after which the rest of a response is read at full speed.
	maxTime time.Duration
}

func newStorePace(linkMbps, configMS float64) storePace {
	return storePace{bytesPerSecond: linkMbps * 1e6 / 8, maxTime: time.Duration(maxPacedShare * configMS * float64(time.Millisecond))}
}

// pause returns how long to wait before more of a response is read. received is the number of its bytes so far, reading the time since the first of
// them, configAge the age of the configuration. An old configuration is read as fast as possible, since keys are refused when it is too old.
func (p storePace) pause(received int, reading, configAge time.Duration) time.Duration {
	if p.bytesPerSecond <= 0 || received <= unpacedBytes || reading >= p.maxTime || configAge > p.maxTime+maxDenyAge {
		return 0
	}
	due := time.Duration(float64(received-unpacedBytes) / (pacedLinkShare * p.bytesPerSecond) * float64(time.Second))
	return max(0, min(due, p.maxTime)-reading)
}
