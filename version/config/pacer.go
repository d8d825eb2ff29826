package config

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/connection/wire"
)

const (
	// freeAnswerBytes is the size up to which answers are not paced: those of a peer that is a few changes behind.
	freeAnswerBytes = 1000
	// answerBytesPerSecond and answerBurstBytes allow 17 KB of larger answers in a minute. The other control traffic of an entry leaves
	// 24 KB of 2,000 B/s, and the last answer may exceed what is left.
	answerBytesPerSecond = 150
	answerBurstBytes     = 8_000
)

// Pacer spreads the answers to peers that are far behind over time and over the processes that can answer. It is a pure state
// machine; one goroutine uses it.
type Pacer struct{ limiter *rate.Limiter }

// NewPacer returns a Pacer.
func NewPacer() *Pacer {
	return &Pacer{limiter: rate.NewLimiter(answerBytesPerSecond, answerBurstBytes)}
}

// Allow says whether to answer a pull now. A peer that is not answered asks another one, or again later. A pull that a request
// waits for is always answered, as is one of a peer without a configuration, which refuses all work, and one of a peer that cannot
// say whether it is urgent.
func (p *Pacer) Allow(now time.Time, pull wire.ConfigPull, pushes []wire.ConfigPush) bool {
	bytes := answerBytes(pushes)
	if bytes <= freeAnswerBytes {
		return true
	}
	bytes = min(bytes, answerBurstBytes)
	if pull.Urgent || pull.Since == 0 || !pull.Runs {
		// Urgent answers leave less for the others. The debt is bounded, so that many restarts do not silence the process for long.
		if p.limiter.TokensAt(now) > -answerBurstBytes {
			p.limiter.ReserveN(now, bytes)
		}
		return true
	}
	return p.limiter.AllowN(now, bytes)
}

// Spent says that answers have used up what the budget allows, so that it is better if peers that are far behind hear of the version from
// another process.
func (p *Pacer) Spent(now time.Time) bool { return p.limiter.TokensAt(now) <= 0 }

// FarBehind says whether the answer to a peer with a version may be a large one.
func FarBehind(peer, mine uint64) bool { return peer+runSteps <= mine }

// answerBytes estimates the size of an answer.
func answerBytes(pushes []wire.ConfigPush) int {
	bytes := 0
	for _, push := range pushes {
		for _, c := range push.Changes {
			bytes += changeBytes(c)
		}
		if push.Snapshot != nil {
			bytes += len(push.Snapshot.Data)
		}
		if push.Run != nil {
			bytes += len(push.Run.Data)
		}
	}
	return bytes
}
