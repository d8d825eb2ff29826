package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A large configuration that was read at the full speed of a slow link delayed the events of callers' streams.
func TestStorePace(t *testing.T) {
	const configMS = 3000
	slow := newStorePace(10, configMS)
	for name, c := range map[string]struct {
		pace               storePace
		received           int
		reading, configAge time.Duration
		want               time.Duration
	}{
		"small response":             {slow, unpacedBytes, 0, 0, 0},
		"two thirds of the link":     {slow, unpacedBytes + 125_000, 50 * time.Millisecond, 0, 100 * time.Millisecond},
		"link is slower than that":   {slow, unpacedBytes + 125_000, time.Second, 0, 0},
		"never past half the time":   {slow, 8 << 20, 1400 * time.Millisecond, 0, 100 * time.Millisecond},
		"rest at full speed":         {slow, 8 << 20, 1500 * time.Millisecond, 0, 0},
		"no or an old configuration": {slow, unpacedBytes + 125_000, 0, 3100 * time.Millisecond, 0},
		"unknown bandwidth":          {newStorePace(0, configMS), 8 << 20, 0, 0, 0},
	} {
		must.EqOp(t, c.want, c.pace.pause(c.received, c.reading, c.configAge), must.Sprint(name))
	}
}
