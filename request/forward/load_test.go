package forward

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// A malformed figure must not make the valid ones unusable, and none may be read as a load or as a speed that the upstream does not have.
func TestParseLoad(t *testing.T) {
	names := &HeaderNames{Load: "Load"}
	usable := Load{Running: 3, Waiting: 1, Slots: 64}
	slowed := Load{Running: 3, Waiting: 1, Slots: 64, Slowdown: 250}
	for _, c := range []struct {
		value  string
		load   Load
		status LoadStatus
	}{
		{"3,1,64", usable, LoadValid},
		{" 3, 1 ,64 ", usable, LoadValid},
		{"3,1,64,250", slowed, LoadValid},
		{"3,1,64, 250", slowed, LoadValid},
		{"3,1,64,0", usable, LoadPartial},
		{"3,1,64,-250", usable, LoadPartial},
		{"3,1,64,", usable, LoadPartial},
		{"3,1,64,slow", usable, LoadPartial},
		{"3,1,64,NaN", usable, LoadPartial},
		{"3,1,64,1e2", usable, LoadPartial},
		{"3,1,64,10001", usable, LoadPartial},
		{"3,1,64,99999999999999999999", usable, LoadPartial},
		{"3,1,64,250,7", usable, LoadPartial},
		{"3,1,64,,,,,,", usable, LoadPartial},
		{"3,1", Load{}, LoadMalformed},
		{"", Load{}, LoadMalformed},
		{"-3,1,64", Load{}, LoadMalformed},
		{"3,-1,64,250", Load{}, LoadMalformed},
		{"3,1,-64", Load{}, LoadMalformed},
		{"3,1,1000001", Load{}, LoadMalformed},
		{"99999999999999999999,1,64", Load{}, LoadMalformed},
		{"a,b,c", Load{}, LoadMalformed},
	} {
		load, status := names.ParseLoad(http.Header{"Load": {c.value}})
		must.EqOp(t, c.load, load, must.Sprint(c.value))
		must.EqOp(t, c.status, status, must.Sprint(c.value))
	}
	_, status := names.ParseLoad(http.Header{})
	must.EqOp(t, LoadMissing, status)
}
