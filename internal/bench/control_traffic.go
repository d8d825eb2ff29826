package bench

import (
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/load"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/settings"
)

// controlBytesPerSecond is the control budget of an instance, sent and received bytes together.
const controlBytesPerSecond = 2000

// Constants of the measured processes: the number of peers that an entry and a sidecar notify at once of a version that they adopted
// (process/node), the number of load summaries in a gossip message of an entry (process/entry), and the number of gossip messages of which
// one carries the record of a shift (process/shift).
const (
	entryAdoptFanout   = 8
	sidecarAdoptFanout = 1
	summariesPerGossip = 2
	messagesPerRecord  = 8
)

// trafficModel computes the control traffic of one entry and one sidecar of a fleet.
type trafficModel struct {
	size   fleetSize
	random *rand.Rand
	// seconds is the virtual time over which requests are simulated, including the bursts that the rate limits allow at its start.
	seconds int
	entry   trafficLedger
	sidecar trafficLedger
	// aggregator, leader and watcher are the bytes per second that these duties add to the traffic of an entry: aggregating evidence,
	// leading a shift and watching the configuration.
	aggregator, leader, watcher float64
}

// measureControlTraffic measures the control bytes of one entry and one sidecar. It uses the real codec, the real decisions on which
// control fields a request carries, and the real adapters of the platform's services.
func measureControlTraffic(o Options) []Figure {
	var figures []Figure
	for _, s := range []fleetSize{smallFleet, designFleet, designFleet.inRegion()} {
		t := newTrafficModel(s, o)
		t.countSteadyTraffic()
		figures = append(figures, t.entry.figures("control traffic", "entry at "+s.name, controlBytesPerSecond)...)
		figures = append(figures, t.sidecar.figures("control traffic", "sidecar at "+s.name, controlBytesPerSecond)...)
		figures = append(figures, t.dutyFigures()...)
		figures = append(figures, t.growthFigure())
		if !o.Short {
			t.entry.printTable(os.Stdout, "entry at "+s.name)
			t.sidecar.printTable(os.Stdout, "sidecar at "+s.name)
		}
		t.countDeparture()
		figures = append(figures, t.worstMinuteFigures()...)
	}
	return figures
}

// dutyFigures returns the totals of entries that watch the configuration, aggregate evidence or lead a shift.
func (t *trafficModel) dutyFigures() []Figure {
	t.watcher = t.watchBytes() * t.size.changesPerSecond()
	figure := func(name string, added float64) Figure {
		return Figure{
			Measure: "control traffic", Name: name + " at " + t.size.name + ", total", Value: t.entry.total() + added, Unit: "B/s",
			Bound: controlBytesPerSecond, Bounded: true,
		}
	}
	return []Figure{
		figure("entry that watches the configuration", t.watcher),
		figure("entry that sums a data centre's evidence", t.aggregator),
		figure("entry that leads a shift", t.leader),
	}
}

// growthFigure returns the total of the entry with the most expensive duty in a minute in which the mean load changes continuously, so
// that hints use up their byte budgets.
func (t *trafficModel) growthFigure() Figure {
	const minute = 60
	cfg := load.DefaultConfig()
	hints := cfg.HintBytesPerSecond + cfg.ChangeBytesPerSecond + float64(cfg.HintBurstBytes+cfg.ChangeBurstBytes)/minute
	steadyHints := t.entry["mean hint in Open"].sent
	return Figure{
		Measure: "control traffic", Name: "entry with the most expensive duty at " + t.size.name + ", minute of growing load",
		Value: t.entry.total() + max(t.watcher, t.aggregator, t.leader) + max(hints-steadyHints, 0), Unit: "B/s",
		Bound: controlBytesPerSecond, Bounded: true,
	}
}

func newTrafficModel(s fleetSize, o Options) *trafficModel {
	return &trafficModel{size: s, random: rand.New(rand.NewPCG(o.Seed, 1)), seconds: 60, entry: trafficLedger{}, sidecar: trafficLedger{}}
}

// countSteadyTraffic counts the traffic of an average second during a shift.
func (t *trafficModel) countSteadyTraffic() {
	t.countRequests()
	t.countKeepalive()
	t.countGossip()
	t.countConfiguration()
	t.countRestarts()
	t.countEvidence()
	t.countPlatformCalls()
}

// toSidecars counts what one entry sends to all sidecars, and the part of it that one sidecar receives.
func (t *trafficModel) toSidecars(kind string, bytesPerSecond float64) {
	t.entry.send(kind, bytesPerSecond)
	t.sidecar.receive(kind, bytesPerSecond/t.size.sidecarsPerEntry())
}

// fromSidecars counts what one entry receives from all sidecars, and the part of it that one sidecar sends.
func (t *trafficModel) fromSidecars(kind string, bytesPerSecond float64) {
	t.entry.receive(kind, bytesPerSecond)
	t.sidecar.send(kind, bytesPerSecond/t.size.sidecarsPerEntry())
}

// countRequests simulates the requests of one entry and counts the bytes of the control fields in their Open and End frames.
func (t *trafficModel) countRequests() {
	s := t.size
	start := time.Unix(1_800_000_000, 0)
	table := load.NewTable(s.dataCentre(0), load.DefaultConfig())
	sampler, reportShare := node.NewVersionSampler(), t.loadReportShare()
	lastVersions := make(map[int]uint64)
	open := wire.Open{Service: "press-model-0", Route: "/chat/fabric-care", Team: "drivers", Body: []byte("{}"), WorkUnits: 900}
	end := wire.End{Chunks: 256, Checksum: math.MaxUint64}
	openBytes, endBytes := frameBytes(&open), frameBytes(&end)
	reached := s.reachedSidecars()
	openVersions, hintBytes, endVersions, reportBytes := 0.0, 0.0, 0.0, 0.0
	for at := t.nextRequestTime(0); at < float64(t.seconds); at = t.nextRequestTime(at) {
		now := start.Add(time.Duration(at * float64(time.Second)))
		i := reached[t.random.IntN(len(reached))]
		target := s.sidecar(i)
		key := load.Upstream{ID: target.ID, DataCentre: target.DataCentre, Group: s.model(i)}
		o, e := open, end
		entryVersion := s.configVersion() + uint64(at*s.changesPerSecond())
		o.ConfigVersion = sampler.VersionForOpen(now, entryVersion, lastVersions[i], false)
		openVersions += frameBytes(&o) - openBytes
		if o.ConfigVersion > 0 {
			lastVersions[i] = entryVersion
		}
		// A sidecar with another version answers with its own. Most have the entry's version within a second of a change.
		if t.random.Float64() < s.changesPerSecond() && o.ConfigVersion > 0 {
			e.ConfigVersion = entryVersion - 1
		}
		endVersions += frameBytes(&e) - endBytes
		o.ConfigVersion, e.ConfigVersion = 0, 0
		o.MeanLoad = table.Hint(now, key)
		hintBytes += frameBytes(&o) - openBytes
		if t.random.Float64() < reportShare {
			e.Load = t.drawLoadReport()
			reportBytes += frameBytes(&e) - endBytes
			table.Report(now, key, *e.Load)
		}
	}
	seconds := float64(t.seconds)
	t.toSidecars("version in Open", openVersions/seconds)
	t.toSidecars("mean hint in Open", hintBytes/seconds)
	t.fromSidecars("version in End", endVersions/seconds)
	t.fromSidecars("load report in End", reportBytes/seconds)
}

// loadReportShare returns the share of a sidecar's answers that carry a load report.
func (t *trafficModel) loadReportShare() float64 {
	sampler := load.NewSampler()
	perSecond := t.size.requestsPerSecond / float64(t.size.sidecars)
	start := time.Unix(1_800_000_000, 0)
	sampler.SetEntries(start, t.size.entries)
	answers, reports := 0.0, 0.0
	// About 100 requests are in progress and take 8 s each, so that the load deviates by a tenth and stays correlated for seconds.
	keep := math.Exp(-1 / (8 * perSecond))
	deviation := 0.0
	for at := 0.0; at < 10*float64(t.seconds); at += t.random.ExpFloat64() / perSecond {
		answers++
		deviation = keep*deviation + 0.1*math.Sqrt(1-keep*keep)*t.random.NormFloat64()
		if sampler.Allow(start.Add(time.Duration(at*float64(time.Second))), uint32(30_000*(1+deviation))) {
			reports++
		}
	}
	return reports / answers
}

// nextRequestTime returns the time of the entry's next request after at, in seconds.
func (t *trafficModel) nextRequestTime(at float64) float64 {
	return at + t.random.ExpFloat64()/t.size.requestsPerEntry()
}

func (t *trafficModel) drawLoadReport() *wire.LoadReport {
	return &wire.LoadReport{WorkUnits: uint32(20_000 + t.random.IntN(20_000)), InFlight: uint32(10 + t.random.IntN(30))}
}

// countKeepalive counts Ping and Pong, which are sent on connections without other frames for IdleInterval. Entries hold connections to all
// sidecars that they reach, because chats hash over the data centres, and to all entries, because gossip chooses among all of them.
func (t *trafficModel) countKeepalive() {
	s := t.size
	pair := frameBytes(&wire.Ping{ConfigVersion: s.configVersion()}) + frameBytes(&wire.Pong{ConfigVersion: s.configVersion()})
	interval := link.DefaultConfig().IdleInterval
	sidecars := s.reachedShare() * float64(s.sidecars)
	toSidecars := sidecars * pingRate(s.requestsPerEntry()/sidecars, interval) * pair
	t.toSidecars("Ping and Pong with sidecars", toSidecars/2)
	t.fromSidecars("Ping and Pong with sidecars", toSidecars/2)
	others := float64(s.entries - 1)
	toEntries := 2 * others * pingRate(1/others, interval) * pair
	t.entry.send("Ping and Pong with entries", toEntries/2)
	t.entry.receive("Ping and Pong with entries", toEntries/2)
}

// pingRate returns the pings per second on a connection where frames arrive as a Poisson process of the given rate and each interval
// without a frame causes a ping.
func pingRate(rate float64, interval time.Duration) float64 {
	return rate / math.Expm1(rate*interval.Seconds())
}

// versionBytes is the size of an encoded version in a frame.
const versionBytes = 8

// countGossip counts the periodic exchange with one random peer.
func (t *trafficModel) countGossip() {
	s := t.size
	perSecond := 1000 / float64(settings.Defaults().GossipIntervalMS)
	record := wire.RolloutRecord{Rollout: "press-model v1 v2 1", Revision: 17, Data: make([]byte, 96)}
	with, without := t.gossipMessage(), t.gossipMessage()
	with.Rollouts = []wire.RolloutRecord{record}
	digest := (frameBytes(without) + (frameBytes(with)-frameBytes(without))/messagesPerRecord) * perSecond
	t.entry.send("Gossip among entries", digest)
	t.entry.receive("Gossip among entries", digest)
	// A sidecar that received a version in the last interval sends no gossip.
	versionsReceived := t.entry["version in Open"].sent / s.sidecarsPerEntry() / versionBytes
	noVersionShare := math.Exp(-versionsReceived / perSecond)
	t.fromSidecars("Gossip from sidecars", noVersionShare*s.sidecarsPerEntry()*perSecond*frameBytes(&wire.Gossip{ConfigVersion: s.configVersion()}))
}

// gossipMessage returns the gossip message of an entry that has summaries of all data centres, with one quarantined request.
func (t *trafficModel) gossipMessage() *wire.Gossip {
	now := time.Unix(1_800_000_000, 0)
	table := t.newLoadTable(now)
	return &wire.Gossip{
		ConfigVersion: t.size.configVersion(),
		Quarantine:    []wire.QuarantineEntry{{Fingerprint: math.MaxUint64, RemainingMS: 3_000_000}}, Loads: table.Digest(now, summariesPerGossip),
	}
}

// newLoadTable returns the load table of an entry in the first data centre, with recent loads of all data centres.
func (t *trafficModel) newLoadTable(now time.Time) *load.Table {
	s := t.size
	table := load.NewTable(s.dataCentre(0), load.DefaultConfig())
	for i := 0; i < s.sidecars; i += s.dataCentres {
		table.Report(now, load.Upstream{ID: s.sidecar(i).ID, DataCentre: s.dataCentre(0), Group: s.model(i)}, *t.drawLoadReport())
	}
	var others []wire.LoadSummary
	for dc := 1; dc < s.dataCentres; dc++ {
		for m := range s.models {
			others = append(others, wire.LoadSummary{
				DataCentre: s.dataCentre(dc), Service: s.model(m), WorkUnits: 4_350_000, Upstreams: 145, AgeMS: uint32(t.random.IntN(5000)),
			})
		}
	}
	table.MergeSummaries(now, others)
	return table
}

// countConfiguration counts the messages that spread a configuration change: the versions sent on adoption, the pulls, and the pushes
// that answer them. Each process pulls once.
func (t *trafficModel) countConfiguration() {
	s := t.size
	changes := s.changesPerSecond()
	pull := frameBytes(&wire.ConfigPull{Since: s.configVersion()}) * changes
	push := frameBytes(&wire.ConfigPush{Changes: []wire.ConfigChange{s.sampleChange()}}) * changes
	sidecars := s.reachedShare() * float64(s.sidecars)
	// Only entries connect to sidecars, so a sidecar notifies entries and pulls from an entry.
	notifications := entryAdoptFanout * changes
	toSidecars := notifications * sidecars / (sidecars + float64(s.entries))
	digest := frameBytes(&wire.Gossip{ConfigVersion: s.configVersion()})
	t.toSidecars("Gossip on adoption", toSidecars*digest)
	t.entry.send("Gossip on adoption", (notifications-toSidecars)*digest)
	t.entry.receive("Gossip on adoption", (notifications-toSidecars)*digest)
	t.fromSidecars("Gossip on adoption", sidecarAdoptFanout*changes*s.sidecarsPerEntry()*digest)
	// A process that gossips the version before the change receives at most one reply with the new one.
	t.toSidecars("Gossip replies", changes*s.sidecarsPerEntry()*digest)
	t.entry.send("Gossip replies", changes*digest)
	t.entry.receive("Gossip replies", changes*digest)
	t.fromSidecars("ConfigPull and ConfigPush", pull*s.sidecarsPerEntry())
	t.toSidecars("ConfigPull and ConfigPush", push*s.sidecarsPerEntry())
	t.entry.send("ConfigPull and ConfigPush", pull+push)
	t.entry.receive("ConfigPull and ConfigPush", pull+push)
}

// sampleChange returns a typical change, which is one line of the rules file.
func (s fleetSize) sampleChange() wire.ConfigChange {
	return wire.ConfigChange{
		Version: s.configVersion(), ChangeID: "OIRH6CPYZDPDTZ2GWJ4SU3KV4T", Author: "losana", UnixMS: 1_800_000_000_000, TextHash: math.MaxUint64,
		Edits: []wire.LineEdit{{Line: 31_234, Removed: 1, Added: []string{teamLine(31_234) + " again"}}},
	}
}

// helloBytes returns the size of the handshake between a sidecar and an entry.
func (s fleetSize) helloBytes(i int) float64 {
	sidecar, entry := s.sidecar(i), s.entry(i%s.entries)
	return frameBytes(&wire.Hello{
		Major: 1, Instance: sidecar.ID, Role: sidecar.Role, DataCentre: sidecar.DataCentre, Service: sidecar.Service, Version: "v1",
		Address: sidecar.Address, ConfigVersion: s.configVersion(),
	}) + frameBytes(&wire.Hello{
		Major: 1, Instance: entry.ID, Role: entry.Role, DataCentre: entry.DataCentre, Address: entry.Address, ConfigVersion: s.configVersion(),
	})
}

// countRestarts counts the Leaving and Hello messages of the average rate of restarts.
func (t *trafficModel) countRestarts() {
	s := t.size
	perSecond := s.restarts / secondsPerDay
	share := float64(s.sidecars) / float64(s.sidecars+s.entries)
	leaving := frameBytes(&wire.Leaving{})
	hello := s.helloBytes(0) / 2
	// Each restart of a sidecar reaches every entry that is connected to it, and each restart of an entry its sidecars and every other entry.
	t.fromSidecars("Leaving and Hello", perSecond*share*s.reachedShare()*(leaving+hello))
	t.toSidecars("Leaving and Hello", perSecond*share*s.reachedShare()*hello)
	t.entry.send("Leaving and Hello", perSecond*(1-share)*2*hello)
	t.entry.receive("Leaving and Hello", perSecond*(1-share)*(leaving+2*hello))
	t.sidecar.receive("Leaving and Hello", perSecond*(1-share)*s.reachedShare()*(leaving+hello))
	t.sidecar.send("Leaving and Hello", perSecond*(1-share)*s.reachedShare()*hello)
}
