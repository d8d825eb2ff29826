package wire

import (
	"bytes"
	"math"
	"testing"

	"github.com/shoenig/test/must"
)

// Messages between gateways must arrive unchanged. Their loads must be encoded without field names, which would take most of the
// bytes.
func TestFleetMessages_RoundTrip(t *testing.T) {
	loads := make([]UpstreamLoad, 14)
	for i := range loads {
		loads[i] = UpstreamLoad{Upstream: uint32(i) << 24, Requests: 3, PendingTokens: 500, TotalRequests: 9, AgeMS: 200}
	}
	for _, m := range []Message{
		&FleetState{Loads: loads},
		&FleetState{Partial: true, Holders: []PromptHolder{{Upstream: "i-1", Parts: []PromptPart{{ID: 1 << 60, Tokens: 700}}}}},
		&StorePull{ID: 4, Revision: 9},
		&StorePush{ID: 4, After: 9, Revision: 12, Full: true, AgeMS: 30, ContactAgeMS: 10, Items: []StoreItem{{Key: "k", Value: []byte("v"), Revision: 11}, {Key: "l", Revision: 12, Deleted: true}}},
	} {
		frame, err := Encode(ControlStream, m)
		must.NoError(t, err)
		got, err := Read(bytes.NewReader(frame))
		must.NoError(t, err)
		must.Eq(t, m, got.Message)
	}
	frame, err := Encode(ControlStream, &FleetState{Loads: loads})
	must.NoError(t, err)
	must.LessEq(t, 14*len(loads)+32, len(frame))
	capacities := make([]UpstreamCapacity, 16)
	for i := range capacities {
		capacities[i] = UpstreamCapacity{Upstream: math.MaxUint64, SpeedPercent: 500, UsefulLoad: 1000, Observations: 1000, AgeMS: 1000}
	}
	frame, err = Encode(ControlStream, &FleetState{Capacities: capacities})
	must.NoError(t, err)
	must.LessEq(t, 32*len(capacities)+32, len(frame))
}
