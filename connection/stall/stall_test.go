package stall

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestPatience(t *testing.T) {
	cases := map[string]struct {
		wait   time.Duration
		bytes  int
		stalls bool
	}{
		"nothing arrives":         {time.Second, 0, true},
		"a byte now and then":     {50 * time.Millisecond, 1, true},
		"slow and sound":          {time.Second, 1 << 10, false},
		"bursts with long gaps":   {4 * time.Second, 8 << 10, false},
		"fast":                    {0, 1 << 10, false},
		"a little below the rate": {time.Second, 900, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := New(Config{Limit: 5 * time.Second, BytesPerSecond: 1 << 10})
			waited := time.Duration(0)
			for range 10_000 {
				if p.Left() <= 0 {
					break
				}
				p.Record(c.wait, c.bytes)
				waited += c.wait
			}
			must.EqOp(t, c.stalls, p.Left() <= 0)
			if c.stalls {
				must.LessEq(t, time.Minute, waited)
			}
		})
	}
}

func TestPatience_Restrict(t *testing.T) {
	p := New(Config{Limit: 5 * time.Second, BytesPerSecond: 1 << 10})
	p.Restrict(time.Second)
	must.EqOp(t, time.Second, p.Left())
	p.Restrict(2 * time.Second)
	p.Record(0, 1<<20)
	must.EqOp(t, time.Second, p.Left())
}
