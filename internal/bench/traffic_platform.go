package bench

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/internal/standin/httpkv"
	"github.com/jayridge/jayridge/internal/standin/httplist"
	"github.com/jayridge/jayridge/internal/standin/instances"
	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/version/config"
	"github.com/jayridge/jayridge/version/rollout"
)

// callTimeout bounds one call to a stand-in.
const callTimeout = 10 * time.Second

// teamLine is a usual line of the rules file.
func teamLine(i int) string {
	return fmt.Sprintf("team team-%05d-%x weight=%d limit=%d  # person%d: asked in ticket %x", i, i*7919, 1+i%9, 1+i%500, i%300, uint32(i)*2654435761)
}

// rulesText is the rules file of a fleet.
func (s size) rulesText() string {
	var b strings.Builder
	for m := range s.models {
		fmt.Fprintf(&b, "service press-model-%d kind=model versions=v1,v2 # losana: a model\n", m)
		fmt.Fprintf(&b, "route /chat/model-%d service=press-model-%d deadline=60s # losana: chats\n", m, m)
	}
	for i := range s.teams {
		b.WriteString(teamLine(i))
		b.WriteByte('\n')
	}
	return b.String()
}

// headChanges is the number of changes that are made before a watch is measured, more than the head keeps.
const headChanges = 8

// platform counts the calls of one entry, the polls of the instance list. Few entries watch the configuration head.
func (t *traffic) platform() {
	// Each restart changes the list twice; polls between two changes see the same revision.
	t.entry.receive("instance list", t.listCost(2*t.size.restarts/secondsPerDay))
}

// listCost returns the bytes per second of polling the instance list while some rows per second change.
func (t *traffic) listCost(rowsPerSecond float64) float64 {
	interval := float64(settings.Defaults().Instances.PollIntervalMS) / 1000
	rows := max(1, int(math.Round(rowsPerSecond*interval)))
	unchanged, changed := t.pollCost(rows)
	changes := min(1, rowsPerSecond*interval/float64(rows))
	return (unchanged*(1-changes) + changed*changes) / interval
}

// pollCost returns the bytes of a poll that finds no change, and of one that finds some changed rows.
func (t *traffic) pollCost(rows int) (unchanged, changed float64) {
	list := instances.New(t.size.instances())
	server := newCountedServer(list)
	defer server.Close()
	client := httplist.New(server.URL, callTimeout)
	var revision uint64
	read := func() error {
		update, err := client.List(context.Background(), revision)
		revision = update.Revision
		return err
	}
	server.during(read)
	unchanged = server.during(read)
	for i := range rows {
		row := t.size.sidecar(i * t.size.dataCentres % t.size.sidecars)
		row.State = services.InstanceLeaving
		list.Put(row)
	}
	return unchanged, server.during(read)
}

// watchCost returns the bytes of a watch that brings one change.
func (t *traffic) watchCost() float64 {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	server := newCountedServer(kv.New())
	defer server.Close()
	client, err := httpkv.New(httpkv.DefaultConfig(server.URL))
	if err != nil {
		panic(err)
	}
	lines := strings.Split(t.size.rulesText(), "\n")
	propose := func(n int) {
		team := n % t.size.teams
		lines[2*t.size.models+team] = teamLine(team) + fmt.Sprint(" again ", n)
		_, err := config.Propose(ctx, client, config.Proposal{
			File: "rules", Text: strings.Join(lines, "\n"), Base: uint64(n), ChangeID: fmt.Sprintf("OIRH6CPYZDPDTZ2GWJ4S%06d", n),
			Author: "losana", Time: time.Unix(1_800_000_000, 0),
		})
		if err != nil {
			panic(err)
		}
	}
	for n := range headChanges {
		propose(n)
	}
	head, err := client.Get(ctx, config.HeadKey)
	if err != nil {
		panic(err)
	}
	return server.during(func() error {
		_, err := client.Watch(ctx, config.HeadKey, head.Revision-1)
		return err
	})
}

// evidence counts what an entry reports of a shift of one model once a window: the counts of the requests that it routed in all data
// centres.
func (t *traffic) evidence() {
	window := t.size.window.Seconds()
	counts := t.counts()
	report := evidenceBytes(t.size.entry(0).ID, counts)
	t.entry.send("Evidence of a shift", report/window)
	// An aggregator receives the reports of its data centre's entries and sends one sum, the leader receives the sums.
	sum := counts
	for range t.size.entries/t.size.dataCentres - 1 {
		sum.Merge(t.counts())
	}
	total := evidenceBytes(t.size.dataCentre(0), sum)
	t.aggregator = (float64(t.size.entries/t.size.dataCentres-1)*report + total) / window
	t.leader = float64(t.size.dataCentres-1) * total / window
}

// counts is the evidence of one entry and window.
func (t *traffic) counts() rollout.Evidence {
	cfg := rollout.DefaultConfig()
	cfg.Window = t.size.window
	recorder := rollout.NewRecorder(cfg)
	window := time.UnixMilli(1_800_000_000_000).Truncate(cfg.Window)
	perModel := t.size.requestsPerEntry() / float64(t.size.models)
	for range int(perModel * cfg.Window.Seconds()) {
		recorder.Record(window, t.observation())
	}
	return recorder.Ended(window.Add(cfg.Window))
}

func evidenceBytes(source string, counts rollout.Evidence) float64 {
	data, err := counts.EncodeColumns()
	if err != nil {
		panic(err)
	}
	return frameBytes(&wire.Evidence{Rollout: "press-model v1 v2 1", Source: source, Columns: data})
}

func (t *traffic) observation() rollout.Observation {
	reached := t.size.reached()
	side := rollout.Old
	if t.random.IntN(5) == 0 {
		side = rollout.New
	}
	return rollout.Observation{
		Side: side, Route: fmt.Sprintf("/chat/route-%d", t.random.IntN(t.size.shiftRoute)), DataCentre: t.size.dataCentre(reached[t.random.IntN(len(reached))]),
		Failed: t.random.IntN(200) == 0, Latency: time.Duration(100+t.random.IntN(900)) * time.Millisecond, Step: 1,
	}
}

// leave adds the farewells of a data centre that leaves within a minute.
func (t *traffic) leave() {
	const minute = 60
	s := t.size
	leaving := frameBytes(&wire.Leaving{})
	t.entry.receive("Leaving of a data centre", float64(s.leavingSidecars+s.leavingEntries)*leaving/minute)
	t.sidecar.receive("Leaving of a data centre", float64(s.leavingEntries)*leaving/minute)
	// Each row changes twice: leaving, then gone.
	rows := 2 * float64(s.leavingSidecars+s.leavingEntries) / minute
	t.entry.receive("instance list", t.listCost(rows)-t.listCost(0))
}

// worstMinute returns the totals with the departure, and what a departing process sends in its last minute.
func (t *traffic) worstMinute() []Figure {
	const minute = 60
	s := t.size
	farewell := frameBytes(&wire.Leaving{}) / minute
	figure := func(name string, value float64) Figure {
		return Figure{Measure: "control traffic", Name: name + " at " + s.name + ", worst minute", Value: value, Unit: "B/s", Bound: controlBytesPerSecond, Bounded: true}
	}
	return []Figure{
		figure("entry", t.entry.total()),
		figure("sidecar", t.sidecar.total()),
		figure("leaving sidecar", t.sidecar.total()+s.reach()*float64(s.entries)*farewell),
		figure("leaving entry", t.entry.total()+float64(s.entries)*farewell),
	}
}
