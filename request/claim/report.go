package claim

import (
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
)

// reportInterval limits each kind of log line of a shard, because every claim fails during an outage.
const reportInterval = time.Second

// reporter logs the events of one shard that matter to an operator. It is owned by the shard's goroutine.
type reporter struct {
	shard          string
	writer         string
	conflict       *rate.Limiter
	unavailable    *rate.Limiter
	writeUncertain bool
}

func newReporter(shard, writer string) *reporter {
	every := rate.Every(reportInterval)
	return &reporter{shard: shard, writer: writer, conflict: rate.NewLimiter(every, 1), unavailable: rate.NewLimiter(every, 1)}
}

// callDone records the result of a call; settled reports that no write has an unknown outcome after it.
func (r *reporter) callDone(err error, settled bool) {
	switch {
	case errors.Is(err, services.ErrOutcomeUnknown):
		r.writeUncertain = true
	case errors.Is(err, services.ErrConflict) && r.conflict.Allow():
		event.Log(event.ClaimConflict, "shard", r.shard, "writer", r.writer)
	}
	if r.writeUncertain && settled {
		r.writeUncertain = false
		event.Log(event.ClaimWriteLost, "shard", r.shard, "writer", r.writer)
	}
}

// claimAnswered records an Answer. Claims that ended because they were canceled or the store was closed are not a failure of
// the service.
func (r *reporter) claimAnswered(a Answer) {
	if a.Err == nil || errors.Is(a.Err, ErrCanceled) || errors.Is(a.Err, ErrClosed) {
		return
	}
	if r.unavailable.Allow() {
		event.Log(event.ClaimUnavailable, "shard", r.shard, "writer", r.writer, "err", a.Err)
	}
}
