package event

import (
	"sync"

	"golang.org/x/time/rate"
)

const (
	// answeredPerSecond bounds the lines about requests that went well. A line costs some 5 µs.
	answeredPerSecond = 20
	// otherPerSecond bounds the lines of any other event about requests, so that a flood of failures does not become a flood of lines.
	otherPerSecond = 200
)

// sampler bounds the lines of one event and counts what it leaves out.
type sampler struct {
	limiter *rate.Limiter
	left    int
}

var (
	samplersMu sync.Mutex
	samplers   = make(map[ID]*sampler)
)

// Sampled writes an event that can occur for each request, within a bounded rate for each id. The field left_out of the next line tells
// how many lines were left out before it.
func Sampled(id ID, keysAndValues ...any) {
	leftOut, allowed := sample(id)
	if !allowed {
		return
	}
	if leftOut > 0 {
		keysAndValues = append(keysAndValues, "left_out", leftOut)
	}
	Log(id, keysAndValues...)
}

func sample(id ID) (leftOut int, allowed bool) {
	samplersMu.Lock()
	defer samplersMu.Unlock()
	s := samplers[id]
	if s == nil {
		limit := otherPerSecond
		if id == RequestAnswered {
			limit = answeredPerSecond
		}
		s = &sampler{limiter: rate.NewLimiter(rate.Limit(limit), limit)}
		samplers[id] = s
	}
	if !s.limiter.Allow() {
		s.left++
		return 0, false
	}
	leftOut, s.left = s.left, 0
	return leftOut, true
}
