package event

import (
	"sync"

	"golang.org/x/time/rate"
)

const (
	// completedLinesPerSecond limits the log lines for successful requests. Writing a line takes about 5 µs.
	completedLinesPerSecond = 20
	// otherLinesPerSecond limits the log lines of every other request event, so that a burst of failures does not flood the log.
	otherLinesPerSecond = 200
)

// sampler rate-limits the lines of one event and counts the suppressed ones.
type sampler struct {
	limiter    *rate.Limiter
	suppressed int
}

var (
	samplersMu sync.Mutex
	samplers   = make(map[ID]*sampler)
)

// LogSampled logs a per-request event at a limited rate for each ID. The left_out field of the next line written holds the number of
// lines suppressed before it.
func LogSampled(id ID, keysAndValues ...any) {
	leftOut, allowed := allowLine(id)
	if !allowed {
		return
	}
	if leftOut > 0 {
		keysAndValues = append(keysAndValues, "left_out", leftOut)
	}
	Log(id, keysAndValues...)
}

// allowLine reports whether a line may be written now and, if so, how many lines were suppressed before it.
func allowLine(id ID) (leftOut int, allowed bool) {
	samplersMu.Lock()
	defer samplersMu.Unlock()
	s := samplers[id]
	if s == nil {
		limit := otherLinesPerSecond
		if id == RequestCompleted {
			limit = completedLinesPerSecond
		}
		s = &sampler{limiter: rate.NewLimiter(rate.Limit(limit), limit)}
		samplers[id] = s
	}
	if !s.limiter.Allow() {
		s.suppressed++
		return 0, false
	}
	leftOut, s.suppressed = s.suppressed, 0
	return leftOut, true
}
