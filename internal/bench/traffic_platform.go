package bench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/internal/standin/instances"
	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/platform"
	"github.com/jayridge/jayridge/platform/httpkv"
	"github.com/jayridge/jayridge/platform/httplist"
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
const headChanges = 100

// platform counts the calls of one entry: polls of the instance list, and the watch of the configuration head, which few entries hold.
func (t *traffic) platform() {
	poll, list := t.listCost()
	interval := float64(settings.Defaults().Instances.PollIntervalMS) / 1000
	// Each restart changes the list twice; polls between two changes see the same revision.
	changed := min(1/interval, 2*t.size.restarts/secondsPerDay)
	t.entry.receive("instance list", poll/interval+changed*list)
	t.entry.receive("watch of the configuration head", t.watchCost()*t.size.changesPerSecond())
}

// listCost returns the bytes of a poll that finds no change, and the bytes that one changed row adds.
func (t *traffic) listCost() (poll, changed float64) {
	list := instances.New(t.size.instances())
	server := newCountedServer(list)
	defer server.Close()
	client := httplist.New(server.URL, callTimeout)
	var revision uint64
	read := func() (err error) {
		_, revision, err = client.List(context.Background(), revision)
		return err
	}
	server.during(read)
	poll = server.during(read)
	row := t.size.sidecar(0)
	row.State = platform.InstanceLeaving
	list.Put(row)
	return poll, server.during(read) - poll
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
			File: "rules", Text: strings.Join(lines, "\n"), Base: uint64(n), ChangeID: fmt.Sprintf("6f1f7f0e-9a54-4c43-8a39-%012d", n),
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

// evidence counts what an entry reports of a shift: the counts of the requests that it routed in all data centres.
func (t *traffic) evidence() {
	cfg := rollout.DefaultConfig()
	recorder := rollout.NewRecorder(cfg)
	start := time.UnixMilli(1_800_000_000_000)
	seconds := (cfg.Window + cfg.Lag).Seconds()
	perModel := t.size.requestsPerEntry() / float64(t.size.models)
	bytes := 0.0
	reports := 0
	for second := range int(2 * seconds) {
		now := start.Add(time.Duration(second) * time.Second)
		for range int(perModel) {
			recorder.Record(now, t.observation())
		}
		if float64(second) < seconds {
			continue
		}
		data, err := recorder.Report(now).Encode()
		if err != nil {
			panic(err)
		}
		reports++
		bytes += frameBytes(&wire.Evidence{Rollout: "press-model v1 v2 1", Source: t.size.entry(0).ID, Data: data})
	}
	t.entry.send("Evidence of a shift", bytes/float64(reports))
}

func (t *traffic) observation() rollout.Observation {
	side := rollout.Old
	if t.random.IntN(5) == 0 {
		side = rollout.New
	}
	return rollout.Observation{
		Side: side, Route: fmt.Sprintf("/chat/route-%d", t.random.IntN(t.size.shiftRoute)), DataCentre: t.size.dataCentre(t.random.IntN(t.size.dataCentres)),
		Failed: t.random.IntN(200) == 0, Latency: time.Duration(100+t.random.IntN(900)) * time.Millisecond, Step: 1,
	}
}

// leave adds the farewells of a data centre that leaves within a minute.
func (t *traffic) leave() {
	const minute = 60
	s := t.size
	leaving := frameBytes(&wire.Leaving{Instance: s.sidecar(0).ID})
	t.entry.receive("Leaving of a data centre", float64(s.leavingSidecars+s.leavingEntries)*leaving/minute)
	t.sidecar.receive("Leaving of a data centre", float64(s.leavingEntries)*leaving/minute)
	_, list := t.listCost()
	interval := float64(settings.Defaults().Instances.PollIntervalMS) / 1000
	// Each row changes twice: leaving, then gone.
	changes := 2 * float64(s.leavingSidecars+s.leavingEntries) / minute
	t.entry.receive("instance list", min(1/interval, changes)*list)
}

// worstMinute returns the totals with the departure, and what a departing process sends in its last minute.
func (t *traffic) worstMinute() []Figure {
	const minute = 60
	s := t.size
	farewell := frameBytes(&wire.Leaving{Instance: s.sidecar(0).ID}) / minute
	figure := func(name string, value float64) Figure {
		return Figure{Measure: "control traffic", Name: name + " at " + s.name + ", worst minute", Value: value, Unit: "B/s", Bound: controlBytesPerSecond, Bounded: true}
	}
	return []Figure{
		figure("entry", t.entry.total()),
		figure("sidecar", t.sidecar.total()),
		figure("leaving sidecar", t.sidecar.total()+float64(s.entries)*farewell),
		figure("leaving entry", t.entry.total()+float64(s.sidecars+s.entries)*farewell),
	}
}
