package gateway

import (
	"testing"

	"github.com/shoenig/test/must"
)

// All gateways together must not open more connections than an upstream accepts, since it resets those beyond its limit.
func TestConnectionLimit(t *testing.T) {
	for _, c := range []struct{ accepted, gateways int }{{370, 5}, {510, 31}, {100, 4}, {250, 31}} {
		limit := connectionLimit(c.accepted, c.gateways)
		must.LessEq(t, c.accepted, limit*c.gateways)
		must.GreaterEq(t, minConnections, limit)
	}
	must.EqOp(t, 0, connectionLimit(0, 5))
}
