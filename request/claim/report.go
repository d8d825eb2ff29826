package claim

import (
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
)

// reportInterval bounds each kind of log line of a shard: in an outage every claim fails.
const reportInterval = time.Second

// reporter logs what an operator should know of one shard. Its shard's goroutine owns it.
type reporter struct {
	shard       string
	writer      string
	conflict    *rate.Limiter
	unavailable *rate.Limiter
	lost        bool
}

func newReporter(shard, writer string) *reporter {
	every := rate.Every(reportInterval)
	return &reporter{shard: shard, writer: writer, conflict: rate.NewLimiter(every, 1), unavailable: rate.NewLimiter(every, 1)}
}

// result takes the result of a call and whether no write is in doubt after it.
func (r *reporter) result(err error, settled bool) {
	switch {
	case errors.Is(err, services.ErrOutcomeUnknown):
		r.lost = true
	case errors.Is(err, services.ErrConflict) && r.conflict.Allow():
		event.Log(event.ClaimConflict, "shard", r.shard, "writer", r.writer)
	}
	if r.lost && settled {
		r.lost = false
		event.Log(event.ClaimWriteLost, "shard", r.shard, "writer", r.writer)
	}
}

// answered takes an answer. Claims that ended by themselves are no fault of the service.
func (r *reporter) answered(a Answer) {
	if a.Err == nil || errors.Is(a.Err, ErrCanceled) || errors.Is(a.Err, ErrClosed) {
		return
	}
	if r.unavailable.Allow() {
		event.Log(event.ClaimUnavailable, "shard", r.shard, "writer", r.writer, "err", a.Err)
	}
}
