package config

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/connection/wire"
)

const (
	// unpacedAnswerBytes is the size up to which answers are not limited. It covers answers to peers that are a few changes
	// behind.
	unpacedAnswerBytes = 1000
	// answerBytesPerSecond and answerBurstBytes limit larger answers to 17 KB in a minute. Of an entry's budget of 2,000 B/s, the
	// other control traffic leaves 24 KB in a minute. The difference is left for an answer of more than answerBurstBytes, which
	// is counted as that size.
	answerBytesPerSecond = 150
	answerBurstBytes     = 8_000
)

// Pacer limits the rate of answers to peers that are far behind, so that they are spread over time and over the processes that can
// answer. It does no I/O and is not safe for concurrent use.
type Pacer struct{ limiter *rate.Limiter }

// NewPacer returns a Pacer whose burst is fully available.
func NewPacer() *Pacer {
	return &Pacer{limiter: rate.NewLimiter(answerBytesPerSecond, answerBurstBytes)}
}

// Allow reports whether to answer a pull now. A peer that is not answered asks another peer, or asks again later. Three kinds of
// pulls are always answered: urgent ones, because a request is waiting for the version; those of a peer without a configuration,
// which refuses all work; and those of a peer with an older program, which does not send whether they are urgent.
func (p *Pacer) Allow(now time.Time, pull wire.ConfigPull, pushes []wire.ConfigPush) bool {
	bytes := answerBytes(pushes)
	if bytes <= unpacedAnswerBytes {
		return true
	}
	bytes = min(bytes, answerBurstBytes)
	if pull.Urgent || pull.Since == 0 || !pull.AcceptsDeltas {
		// These answers use up the budget of the others and may overdraw it. The overdraft is bounded, so that many restarts do not
		// block other answers for long.
		if p.limiter.TokensAt(now) > -answerBurstBytes {
			p.limiter.ReserveN(now, bytes)
		}
		return true
	}
	return p.limiter.AllowN(now, bytes)
}

// Exhausted reports whether the budget for answers is used up. Peers that are far behind should then learn of the version from another
// process.
func (p *Pacer) Exhausted(now time.Time) bool { return p.limiter.TokensAt(now) <= 0 }

// FarBehind reports whether a peer with version peer is so many changes behind version mine that the answer to it may be large.
func FarBehind(peer, mine uint64) bool { return peer+minDeltaChanges <= mine }

// answerBytes returns an estimate of the size of an answer.
func answerBytes(pushes []wire.ConfigPush) int {
	bytes := 0
	for _, push := range pushes {
		for _, c := range push.Changes {
			bytes += changeBytes(c)
		}
		if push.Snapshot != nil {
			bytes += len(push.Snapshot.Data)
		}
		if push.Delta != nil {
			bytes += len(push.Delta.Data)
		}
	}
	return bytes
}
