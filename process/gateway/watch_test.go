package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The store's calls must grow more slowly than the fleet, and a configuration must still be in force in time.
func TestWatchPause(t *testing.T) {
	must.EqOp(t, 300*time.Millisecond, watchPauseOf(0, 2000))
	must.EqOp(t, 300*time.Millisecond, watchPauseOf(5, 2000))
	must.EqOp(t, 600*time.Millisecond, watchPauseOf(20, 3000))
	must.EqOp(t, 900*time.Millisecond, watchPauseOf(31, 3000))
	must.EqOp(t, time.Second, watchPauseOf(790, 13_000))
	must.EqOp(t, 300*time.Millisecond, watchPauseOf(790, 500))
}
