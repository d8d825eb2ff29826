package duty

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A holder must not call before the wait has passed, after its lease has ended, beside another call, or with a token that the API has refused, which
// it must not use again either if the lease seems to be renewed.
func TestTenure_MayCall(t *testing.T) {
	config := DefaultConfig(3*time.Second, 50, 2)
	must.NoError(t, config.Validate())
	tenure := NewTenure(config)
	at := func(seconds float64) time.Time {
		return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	must.False(t, tenure.MayCall(at(0)))
	tenure.SetLease(Lease{Token: 7, Since: at(0), Until: at(10)}, true)
	must.False(t, tenure.MayCall(at(2.9)))
	must.True(t, tenure.MayCall(at(3)))
	must.False(t, tenure.MayCall(at(10)))
	tenure.CallStarted(at(3))
	must.False(t, tenure.MayCall(at(4)))
	must.False(t, tenure.CallEnded(at(3.01), 7, nil))
	must.False(t, tenure.MayCall(at(3.01))) // 12.5 calls a second, a quarter of all for each of two duties
	must.True(t, tenure.MayCall(at(3.081)))
	must.True(t, tenure.CallEnded(at(4), 7, fmt.Errorf("refused: %w", ErrFenced)))
	must.False(t, tenure.MayCall(at(5)))
	tenure.SetLease(Lease{Token: 7, Since: at(0), Until: at(20)}, true)
	must.False(t, tenure.MayCall(at(11)))
	tenure.SetLease(Lease{Token: 8, Since: at(11), Until: at(20)}, true)
	must.False(t, tenure.MayCall(at(13)))
	must.True(t, tenure.MayCall(at(14)))
	tenure.SetLease(Lease{}, false)
	must.False(t, tenure.MayCall(at(14)))
}

// Failed calls must be repeated at growing intervals, and the duty must be given up after 3 s of them, but not because other gateways use the API's
// limit. Guards against a flood of billed calls, and against a holder that keeps the duty although it cannot reach the API.
func TestTenure_Backoff(t *testing.T) {
	run := func(failure error) (pauses []time.Duration, gaveUpAfter time.Duration) {
		now := time.Unix(100, 0)
		start := now
		tenure := NewTenure(DefaultConfig(time.Second, 50, 1))
		tenure.SetLease(Lease{Token: 1, Since: now.Add(-time.Minute), Until: now.Add(time.Hour)}, true)
		for range 8 {
			tenure.CallStarted(now)
			if tenure.CallEnded(now, 1, failure) {
				return pauses, now.Sub(start)
			}
			ended := now
			for ; !tenure.MayCall(now); now = now.Add(10 * time.Millisecond) {
			}
			pauses = append(pauses, now.Sub(ended))
		}
		return pauses, 0
	}
	pauses, gaveUpAfter := run(errors.Join(ErrOutcomeUnknown, errors.New("timeout")))
	must.Eq(t, []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}, pauses)
	must.EqOp(t, 3750*time.Millisecond, gaveUpAfter)
	pauses, gaveUpAfter = run(ErrThrottled)
	must.EqOp(t, 4*time.Second, pauses[7])
	must.EqOp(t, 0, gaveUpAfter)
}
