package shift

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/rollout"
)

// sender is a Host that keeps the build function of the last message.
type sender struct {
	Host
	build func(minor uint16) (wire.Message, error)
}

func (s *sender) Send(_ services.Instance, build func(minor uint16) (wire.Message, error)) {
	s.build = build
}

// During a rolling upgrade, evidence must be encoded so that an aggregator with another minor protocol version can decode it.
func TestSendEvidence_FitsTheReceiver(t *testing.T) {
	var counts rollout.Evidence
	counts.Add(rollout.Key{DataCentre: "suva", Route: "/chat", Window: 7}, rollout.New, rollout.Slow, 3)
	for minor, columns := range map[uint16]bool{0: false, wire.MinorEvidenceColumns: true, wire.MinorVersion + 1: true} {
		host := &sender{}
		d := New(Options{Config: rollout.DefaultConfig(), Host: host})
		r := &activeRollout{shift: rollout.Shift{ID: "shift"}, dataCentre: rollout.NewAggregator(d.opts.Config, time.UnixMilli(0))}
		d.sendEvidence(services.Instance{ID: "aggregator"}, r, "entry", false, counts)
		m, err := host.build(minor)
		must.NoError(t, err)
		sent := m.(*wire.Evidence)
		must.EqOp(t, columns, len(sent.Columns) > 0)
		must.EqOp(t, columns, len(sent.Data) == 0)
		got, err := decodeEvidence(sent)
		must.NoError(t, err)
		must.Eq(t, counts.Cells(), got.Cells())
	}
}
