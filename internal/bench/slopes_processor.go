package bench

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/admission"
	"github.com/jayridge/jayridge/process/load"
	"github.com/jayridge/jayridge/process/membership"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/candidate"
	"github.com/jayridge/jayridge/version/config"
	"github.com/jayridge/jayridge/version/rollout"
	"github.com/jayridge/jayridge/version/rules"
)

// configurationSlopes measures the memory of the rules file in a process, and the processor time of a change of one line.
func configurationSlopes(s fleetSize, add func(string, float64, string)) {
	text := s.rulesText()
	lines := strings.Count(text, "\n")
	add("rules per line, parsed", heapPerItem(lines, func() any {
		set, faults := rules.Parse("rules", []byte(text))
		if len(faults) > 0 {
			panic(faults)
		}
		return set
	}), "B")
	var state *config.State
	pushes := changePushes(s, text, 1)
	add("configuration per line, text and rules", heapPerItem(lines, func() any {
		state = config.New(config.DefaultConfig())
		head := config.Head{Version: 1, Text: strings.Clone(text), Loaded: true, TextHash: config.Hash(text)}
		if _, err := state.AdoptHead(head); err != nil {
			panic(err)
		}
		// After a change, unchanged lines still refer to the previous text.
		if _, err := state.ApplyPush(pushes[0]); err != nil {
			panic(err)
		}
		return state
	}), "B")
	pushes = pushes[1:]
	start := processorTime()
	for _, push := range pushes {
		if adopted, err := state.ApplyPush(push); !adopted || err != nil {
			panic(fmt.Sprint("the change was not adopted: ", err))
		}
	}
	used := micros(processorTime()-start) / float64(len(pushes))
	add("change of one line", used, "us")
	add("change of one line, per line of the file", used/float64(lines), "us")
}

// changePushes returns changes of one team line each. They are prepared in advance, so that the measurement covers only the adoption of a
// change and not the work of the process that proposes it.
func changePushes(s fleetSize, text string, version uint64) []wire.ConfigPush {
	pushes := make([]wire.ConfigPush, 100)
	split := config.SplitLines(text)
	for i := range pushes {
		team := i * 331 % s.teams
		line := 2*s.models + team
		split[line] = teamLine(team) + fmt.Sprint(" again ", i)
		pushes[i] = wire.ConfigPush{Changes: []wire.ConfigChange{{
			Version: version + uint64(i) + 1, ChangeID: fmt.Sprint(i), TextHash: config.Hash(config.JoinLines(split)),
			Edits: []wire.LineEdit{{Line: uint32(line), Removed: 1, Added: []string{split[line]}}},
		}}}
	}
	return pushes
}

// requestSlopes measures the processor time of the decisions on one request.
func requestSlopes(s fleetSize, view *candidate.View, add func(string, float64, string)) {
	now := time.Unix(1_800_000_000, 0)
	var buffer [8]candidate.Candidate
	add("candidates of a request", timePerCall(func(i int) {
		view.Candidates("press-model-0", "v1", nil, uint64(i)*0x9e3779b97f4a7c15, buffer[:0])
	}), "us")
	table := load.NewTable(s.dataCentre(0), load.DefaultConfig())
	ups := make([]load.Upstream, s.sidecars)
	for i := range ups {
		row := s.sidecar(i)
		ups[i] = load.Upstream{ID: row.ID, DataCentre: row.DataCentre, Group: s.model(i)}
	}
	add("mean hint and load report of a request", timePerCall(func(i int) {
		at := now.Add(time.Duration(i) * 5 * time.Millisecond)
		table.Hint(at, ups[i%len(ups)])
		table.Report(at, ups[i%len(ups)], wire.LoadReport{WorkUnits: uint32(i)})
	}), "us")
	c := admission.New(admission.DefaultConfig())
	add("admission of a request", timePerCall(func(i int) {
		at := now.Add(time.Duration(i) * time.Millisecond)
		ticket, refusal := c.Admit(at, admission.Request{Team: "drivers", WorkUnits: 100})
		if !refusal.Refused() {
			c.Done(at, ticket, admission.Completion{WorkUnits: 100, OK: true})
		}
	}), "us")
}

// messageSlopes measures the processor time of control messages, including encoding and decoding.
func messageSlopes(s fleetSize, add func(string, float64, string)) {
	t := newTrafficModel(s, Options{Seed: 1, Short: true})
	now := time.Unix(1_800_000_000, 0)
	table := t.newLoadTable(now)
	frame, err := wire.Encode(wire.ControlStream, t.gossipMessage())
	if err != nil {
		panic(err)
	}
	add("gossip message, sent and received", timePerCall(func(int) {
		g := wire.Gossip{ConfigVersion: 1, Loads: table.Digest(now, summariesPerGossip)}
		_, _ = wire.Encode(wire.ControlStream, &g)
		received, err := wire.Read(bytes.NewReader(frame))
		if err != nil {
			panic(err)
		}
		table.MergeSummaries(now, received.Message.(*wire.Gossip).Loads)
	}), "us")
	add("version exchange (Ping or Gossip), sent and received", timePerCall(func(int) {
		f, _ := wire.Encode(wire.ControlStream, &wire.Ping{ConfigVersion: 9_490_000})
		_, _ = wire.Read(bytes.NewReader(f))
	}), "us")
	cfg := rollout.DefaultConfig()
	recorder := rollout.NewRecorder(cfg)
	window := now.Truncate(cfg.Window)
	for range 2000 {
		recorder.Record(window, t.drawObservation())
	}
	data, err := recorder.ReportEnded(window.Add(cfg.Window)).EncodeColumns()
	if err != nil {
		panic(err)
	}
	aggregator := rollout.NewAggregator(cfg, window)
	add("report of evidence of 92 strata, received and summed", timePerCall(func(i int) {
		evidence, err := rollout.DecodeColumns(data)
		if err != nil {
			panic(err)
		}
		_ = aggregator.Add(window.Add(cfg.Window), fmt.Sprint("entry-", i%34), evidence)
	}), "us")
}

// membershipSlopes measures the processor time of an entry for one changed row of the instance list.
func membershipSlopes(s fleetSize, view *candidate.View, add func(string, float64, string)) {
	now := time.Unix(1_800_000_000, 0)
	table := membership.New(membership.DefaultConfig())
	table.ApplyList(s.instances())
	table.Changed(now)
	reachedCentres := make(map[string]bool)
	for _, number := range s.reachedDataCentres() {
		reachedCentres[s.dataCentre(number)] = true
	}
	add("look for expired instances, on each control event", timePerCall(func(int) { table.Changed(now) }), "us")
	reached := s.reachedSidecars()
	add("membership change at "+s.name+", tables included", timePerCall(func(i int) {
		row := s.sidecar(reached[i/2%len(reached)])
		if i%2 == 0 {
			row.State = services.InstanceLeaving
		}
		table.ApplyChanges([]services.Instance{row}, nil)
		eligible := table.Eligible(now, settings.RoleSidecar)
		table.Eligible(now, settings.RoleEntry)
		ups := make([]candidate.Upstream, 0, len(eligible))
		for _, e := range eligible {
			if reachedCentres[e.DataCentre] {
				ups = append(ups, candidate.Upstream{ID: e.ID, DataCentre: e.DataCentre, Service: e.Service, Version: e.Version})
			}
		}
		view = candidate.Build(view, ups, candidate.DefaultConfig())
	}), "us")
}
