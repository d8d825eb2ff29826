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

// teamLine returns a typical line of the rules file.
func teamLine(i int) string {
	return fmt.Sprintf("team team-%05d-%x weight=%d limit=%d  # person%d: asked in ticket %x", i, i*7919, 1+i%9, 1+i%500, i%300, uint32(i)*2654435761)
}

// rulesText returns the rules file of a fleet.
func (s fleetSize) rulesText() string {
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

// headChanges is the number of changes made before a watch is measured. It exceeds the number of changes that the head keeps.
const headChanges = 8

// countPlatformCalls counts the polls of the instance list by one entry. Watches of the configuration head are counted as a duty, because
// only few entries watch it.
func (t *trafficModel) countPlatformCalls() {
	// Each restart changes the list twice. Polls between two changes get the same revision.
	t.entry.receive("instance list", t.listBytesPerSecond(2*t.size.restarts/secondsPerDay))
}

// listBytesPerSecond returns the bytes per second of polling the instance list at a given rate of changed rows.
func (t *trafficModel) listBytesPerSecond(rowsPerSecond float64) float64 {
	interval := float64(settings.Defaults().Instances.PollIntervalMS) / 1000
	rows := max(1, int(math.Round(rowsPerSecond*interval)))
	unchanged, changed := t.pollBytes(rows)
	changes := min(1, rowsPerSecond*interval/float64(rows))
	return (unchanged*(1-changes) + changed*changes) / interval
}

// pollBytes returns the bytes of a poll without a change, and of one with a number of changed rows.
func (t *trafficModel) pollBytes(rows int) (unchanged, changed float64) {
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
	server.measureBytes(read)
	unchanged = server.measureBytes(read)
	for i := range rows {
		row := t.size.sidecar(i * t.size.dataCentres % t.size.sidecars)
		row.State = services.InstanceLeaving
		list.Put(row)
	}
	return unchanged, server.measureBytes(read)
}

// watchBytes returns the bytes of a watch that returns one change.
func (t *trafficModel) watchBytes() float64 {
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
	return server.measureBytes(func() error {
		_, err := client.Watch(ctx, config.HeadKey, head.Revision-1)
		return err
	})
}

// countEvidence counts the evidence that an entry reports once a window during a shift of one model: the outcome counts of the requests
// that it routed, in all data centres.
func (t *trafficModel) countEvidence() {
	window := t.size.window.Seconds()
	counts := t.drawEvidence()
	report := evidenceBytes(t.size.entry(0).ID, counts)
	t.entry.send("Evidence of a shift", report/window)
	// An aggregator receives the reports of the other entries of its data centre and sends one sum. The leader receives the sums.
	sum := counts
	for range t.size.entries/t.size.dataCentres - 1 {
		sum.Merge(t.drawEvidence())
	}
	total := evidenceBytes(t.size.dataCentre(0), sum)
	t.aggregator = (float64(t.size.entries/t.size.dataCentres-1)*report + total) / window
	t.leader = float64(t.size.dataCentres-1) * total / window
}

// windowsBeforeEvidence is the number of windows that an entry has observed before the measured one, so that it has limits of the latency.
const windowsBeforeEvidence = 40

// drawEvidence returns random evidence of one entry and window.
func (t *trafficModel) drawEvidence() rollout.Evidence {
	cfg := rollout.DefaultConfig()
	cfg.Window = t.size.window
	recorder := rollout.NewRecorder(cfg)
	window := time.UnixMilli(1_800_000_000_000).Truncate(cfg.Window)
	perModel := t.size.requestsPerEntry() / float64(t.size.models)
	for range windowsBeforeEvidence {
		for range int(perModel * cfg.Window.Seconds()) {
			recorder.Record(window.Add(-time.Hour), t.drawObservation())
		}
	}
	for range int(perModel * cfg.Window.Seconds()) {
		recorder.Record(window, t.drawObservation())
	}
	return recorder.ReportEnded(window.Add(cfg.Window))
}

func evidenceBytes(source string, counts rollout.Evidence) float64 {
	data, err := counts.EncodeColumns()
	if err != nil {
		panic(err)
	}
	return frameBytes(&wire.Evidence{Rollout: "press-model v1 v2 1", Source: source, Columns: data})
}

func (t *trafficModel) drawObservation() rollout.Observation {
	reached := t.size.reachedDataCentres()
	side := rollout.Old
	if t.random.IntN(5) == 0 {
		side = rollout.New
	}
	return rollout.Observation{
		Side: side, Route: fmt.Sprintf("/chat/route-%d", t.random.IntN(t.size.shiftRoutes)), DataCentre: t.size.dataCentre(reached[t.random.IntN(len(reached))]),
		Failed: t.random.IntN(200) == 0, Latency: time.Duration(100+t.random.IntN(900)) * time.Millisecond, Step: 1,
	}
}

// countDeparture adds the messages and list changes of a data centre whose instances all leave within a minute.
func (t *trafficModel) countDeparture() {
	const minute = 60
	s := t.size
	leaving := frameBytes(&wire.Leaving{})
	t.entry.receive("Leaving of a data centre", float64(s.leavingSidecars+s.leavingEntries)*leaving/minute)
	t.sidecar.receive("Leaving of a data centre", float64(s.leavingEntries)*leaving/minute)
	// Each row changes twice: to leaving, then by its removal.
	rows := 2 * float64(s.leavingSidecars+s.leavingEntries) / minute
	t.entry.receive("instance list", t.listBytesPerSecond(rows)-t.listBytesPerSecond(0))
}

// worstMinuteFigures returns the totals including the departure, and those of a leaving process in its last minute.
func (t *trafficModel) worstMinuteFigures() []Figure {
	const minute = 60
	s := t.size
	leavingRate := frameBytes(&wire.Leaving{}) / minute
	figure := func(name string, value float64) Figure {
		return Figure{Measure: "control traffic", Name: name + " at " + s.name + ", worst minute", Value: value, Unit: "B/s", Bound: controlBytesPerSecond, Bounded: true}
	}
	return []Figure{
		figure("entry", t.entry.total()),
		figure("sidecar", t.sidecar.total()),
		figure("leaving sidecar", t.sidecar.total()+s.reachedShare()*float64(s.entries)*leavingRate),
		figure("leaving entry", t.entry.total()+float64(s.entries)*leavingRate),
	}
}
