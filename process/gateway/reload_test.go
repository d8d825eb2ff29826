package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A process that was told to stop after its grace time had been raised cut its requests at the end of the former one.
func TestReload_ShutdownTime(t *testing.T) {
	f := newFixture(t)
	must.EqOp(t, 8*time.Second, f.gateway.ShutdownTime())
	for _, seconds := range []float64{16, 2.5} {
		s := *f.gateway.settings
		s.Fleet.ShutdownS = seconds
		f.gateway.Reload(&s)
		must.EqOp(t, time.Duration(seconds*float64(time.Second)), f.gateway.ShutdownTime())
	}
}
