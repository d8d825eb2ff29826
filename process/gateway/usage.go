package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/duty"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/lease"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/process/usage"
	"github.com/jayridge/jayridge/version/routing"
)

const (
	// usageTick is the interval of the checks whether counts are to be sent or a window is to be reported.
	usageTick = 50 * time.Millisecond
	// usageChangesPeriod is the interval at which the changes of the counts of the present window are sent in fleets of up to maxLoadMesh gateways. A
	// gateway that is killed loses the counts since the latest message, a tenth of a second on average. In a larger fleet the share of one gateway is
	// below the permitted error, and only the counts of whole windows are sent.
	usageChangesPeriod = 200 * time.Millisecond
	// usageRepeatAfter is the time after which the counts of a window are sent again while they are not recorded.
	usageRepeatAfter = 2 * time.Second
	// usageRelayAfter is the time from the end of a window after which the counts of other gateways that were sent here are passed on to the holder if
	// the window is not recorded: their gateway or the former holder may have been killed.
	usageRelayAfter = 2500 * time.Millisecond
	// usageStopTime is the time that a stopping gateway has to send its last counts.
	usageStopTime = 100 * time.Millisecond
	// maxQueuedUsage is the maximum number of messages that wait for a connection.
	maxQueuedUsage = 256
)

// noWindow is lower than all windows.
const noWindow = -1 << 62

// usageDuty counts usage, sends the counts to the holder of the duty, and reports them if this gateway is the holder.
type usageDuty struct {
	g      *Gateway
	config usage.Config
	holder *dutyLeaseHolder
	// wall reads the time of day.
	wall func() time.Time

	mu       sync.Mutex
	clock    usage.Clock
	counter  *usage.Counter
	ledger   *usage.Ledger
	reporter *usage.Reporter
	// recorded is the highest window that is recorded as reported, seen the highest that any gateway has seen recorded.
	recorded, seen int64

	// stopping asks the sender for the last counts. The channel it is sent is closed when they are sent.
	stopping chan chan struct{}
	sender   usageSender
	reports  usageReports
	counters usageMetrics
}

// usageMetrics are the counters of the duty.
type usageMetrics struct {
	token, reported, missed, refused, failed, lost atomic.Int64
}

// usageSender is the state of the goroutine that sends counts.
type usageSender struct {
	// leaseSeen is the content of the lease key when counts were last sent, deputy the name of the deputy.
	leaseSeen lease.Value
	deputy    string
	// resend is set if a message was lost.
	resend    atomic.Bool
	changesAt time.Time
	// seen is the highest window that any gateway has seen recorded.
	seen int64
	// sent is what was sent of each ended window.
	sent map[int64]sentWindow
	// relayed holds the sequence of each report of another gateway that was passed on to the present holder.
	relayed map[relayedReport]uint64
	targets map[string]*usageTarget
}

type sentWindow struct {
	at    time.Time
	final bool
}

type relayedReport struct {
	origin string
	window int64
}

// newUsageDuty returns the duty, nil if the settings do not name it.
func newUsageDuty(g *Gateway, api duty.API) *usageDuty {
	if api == nil || !g.settings.Duties.Has(settings.DutyUsage) {
		return nil
	}
	d := g.settings.Duties
	u := &usageDuty{
		g: g, holder: newDutyLeaseHolder(g, duty.Usage), wall: time.Now, stopping: make(chan chan struct{}),
		config: usage.DefaultConfig(time.Duration(d.UsageWindowS*float64(time.Second)), time.Duration(d.UsageDueS*float64(time.Second))),
		sender: usageSender{
			sent: make(map[int64]sentWindow), relayed: make(map[relayedReport]uint64), targets: make(map[string]*usageTarget),
		},
	}
	u.recorded = noWindow
	u.ledger, u.reporter = usage.NewLedger(u.config), usage.NewReporter(u.config)
	u.reports = usageReports{u: u, api: api, tenure: duty.NewTenure(g.dutyConfig())}
	return u
}

// init begins to count. Before, wall may be replaced.
func (u *usageDuty) init() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter = usage.NewCounter(u.config, u.g.settings.Instance, u.g.peers.startID, u.now())
}

// start starts the workers.
func (u *usageDuty) start() {
	u.g.startWorker(u.holder.run)
	u.g.startWorker(u.send)
	u.g.startWorker(u.reports.run)
}

// now returns the smoothed time of day. The caller holds u.mu.
func (u *usageDuty) now() time.Time {
	now, jumped := u.clock.Now(bootclock.Now(), u.wall())
	if jumped != 0 {
		event.Log(event.ClockJumped, "by_ms", jumped.Milliseconds())
	}
	return now
}

// applyItem applies a changed item of the copy of the store.
func (u *usageDuty) applyItem(now time.Time, item mirror.Item) {
	if u == nil {
		return
	}
	u.holder.applyItem(now, item)
	if item.Key != usage.Key || item.Deleted {
		return
	}
	record, err := usage.DecodeRecord(item.Value)
	if err != nil {
		event.Log(event.StoreItemInvalid, "key", item.Key, "revision", item.Revision, "error", err)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.setRecorded(record.Window)
}

// setRecorded drops the counts of the recorded windows. The caller holds u.mu.
func (u *usageDuty) setRecorded(window int64) {
	if window <= u.recorded || window > u.config.WindowAt(u.now())+2 {
		return
	}
	u.recorded, u.seen = window, max(u.seen, window)
	u.counter.Recorded(window)
	u.ledger.Recorded(window)
}

// receive records the counts that another gateway has sent.
func (u *usageDuty) receive(m *wire.UsageCounts) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seen = max(u.seen, m.Recorded)
	u.ledger.Add(u.now(), usage.Report{
		Gateway: m.Gateway, Origin: m.Origin, Window: m.Window, Sequence: m.Sequence, Partial: m.Partial, Final: m.Final, Counts: m.Counts,
	})
}

// send sends the counts of this gateway to the holder and to the deputy until the gateway stops, and once more then.
func (u *usageDuty) send() {
	ticker := time.NewTicker(usageTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			u.sendStep(false)
		case done := <-u.stopping:
			u.sendStep(true)
			u.awaitSent()
			close(done)
			return
		case <-u.g.ctx.Done():
			return
		}
	}
}

// sendLast sends all counts as final ones. It is called when the gateway stops, after its last request has ended.
func (u *usageDuty) sendLast() {
	if u == nil {
		return
	}
	done := make(chan struct{})
	select {
	case u.stopping <- done:
		<-done
	case <-u.g.ctx.Done():
	case <-time.After(usageStopTime):
	}
}

// awaitSent waits a short time for the queued messages to be sent.
func (u *usageDuty) awaitSent() {
	for end := time.Now().Add(usageStopTime); time.Now().Before(end); time.Sleep(usageStopTime / 20) {
		waiting := false
		for _, t := range u.sender.targets {
			t.mu.Lock()
			waiting = waiting || t.active
			t.mu.Unlock()
		}
		if !waiting {
			return
		}
	}
}

// sendStep sends what is due. last means that the gateway stops and that all counts are final.
func (u *usageDuty) sendStep(last bool) {
	s := &u.sender
	holder := u.holder.holderNow()
	targets := u.targets(holder)
	everything := holder != s.leaseSeen && holder.Holder != "" || s.resend.Swap(false) || last
	changed := holder.Holder != "" && holder != s.leaseSeen
	if changed {
		s.leaseSeen = holder
		clear(s.relayed)
	}
	small := u.g.peers.fleetSize() <= maxLoadMesh
	if small {
		deputy, known := u.g.peers.deputy()
		if known && deputy.ID != holder.Holder {
			targets = append(targets, deputy)
		}
		everything = everything || known && deputy.ID != s.deputy
		s.deputy = deputy.ID
	}
	u.mu.Lock()
	now := u.now()
	s.seen = u.seen
	reports := u.ownReports(now, everything, small, last)
	for _, r := range reports {
		u.ledger.Add(now, r)
	}
	if lost := u.counter.Expire(now); lost > 0 {
		u.counters.lost.Add(int64(lost))
		event.Log(event.UsageCountsLost, "requests", lost, "recorded_window", u.recorded)
	}
	u.ledger.Expire(now)
	var relayed []usage.Report
	if holder.Holder != "" && holder.Holder != u.g.settings.Instance {
		endedBefore := now.Add(-usageRelayAfter)
		if changed {
			// The former holder may have been killed, and its counts of the present window are known to its deputy only.
			endedBefore = now.Add(2 * u.config.Window)
		}
		relayed = u.foreignReports(endedBefore)
	}
	u.mu.Unlock()
	for _, to := range targets {
		u.sendTo(to, reports)
		if to.ID == holder.Holder {
			u.sendTo(to, relayed)
		}
	}
}

// targets returns the holder, unless it is this gateway or not known.
func (u *usageDuty) targets(holder lease.Value) []services.Instance {
	if holder.Holder == "" || holder.Holder == u.g.settings.Instance {
		return nil
	}
	to, found := u.g.peers.instanceOf(holder.Holder)
	if !found {
		return nil
	}
	return []services.Instance{to}
}

// ownReports returns the reports of this gateway's counts that are to be sent at time now. The caller holds u.mu.
func (u *usageDuty) ownReports(now time.Time, everything, small, last bool) []usage.Report {
	s := &u.sender
	var reports []usage.Report
	ended := u.counter.Ended(now)
	for window := range s.sent {
		if len(ended) == 0 || window < ended[0] {
			delete(s.sent, window)
		}
	}
	for _, window := range ended {
		sent, found := s.sent[window]
		if !u.counter.ShouldSend(now, window) && !last {
			continue
		}
		if !everything && found && now.Sub(sent.at) < usageRepeatAfter && (sent.final || !u.counter.IsFinal(now, window)) {
			continue
		}
		r := u.counter.Report(now, window)
		r.Final = r.Final || last
		s.sent[window] = sentWindow{now, r.Final}
		reports = append(reports, r)
	}
	if !small && !last {
		return reports
	}
	changes := now.Sub(s.changesAt) >= usageChangesPeriod || now.Before(s.changesAt)
	for _, window := range u.counter.Open() {
		if _, sent := s.sent[window]; sent {
			continue
		}
		if everything {
			r := u.counter.Report(now, window)
			r.Final = last
			reports = append(reports, r)
		} else if changes {
			if r, found := u.counter.Changes(window); found {
				reports = append(reports, r)
			}
		}
	}
	if changes {
		s.changesAt = now
	}
	return reports
}

// foreignReports returns the reports of other gateways that are to be passed on to the holder, for windows that end before a time. The caller holds
// u.mu.
func (u *usageDuty) foreignReports(endedBefore time.Time) []usage.Report {
	return slices.DeleteFunc(u.ledger.Reports(endedBefore), func(r usage.Report) bool {
		key := relayedReport{r.Origin, r.Window}
		if sequence, found := u.sender.relayed[key]; r.Gateway == u.g.settings.Instance || found && sequence >= r.Sequence {
			return true
		}
		u.sender.relayed[key] = r.Sequence
		return false
	})
}

// usageTarget is a gateway to which counts are sent. Its messages are sent one after the other.
type usageTarget struct {
	mu     sync.Mutex
	to     services.Instance
	queue  []*wire.UsageCounts
	active bool
}

// sendTo queues reports for a gateway. If a message is lost, everything is sent again.
func (u *usageDuty) sendTo(to services.Instance, reports []usage.Report) {
	if len(reports) == 0 {
		return
	}
	t := u.sender.targets[to.ID]
	if t == nil {
		t = &usageTarget{}
		u.sender.targets[to.ID] = t
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.to = to
	for _, r := range reports {
		if len(t.queue) >= maxQueuedUsage {
			u.sender.resend.Store(true)
			break
		}
		t.queue = append(t.queue, &wire.UsageCounts{
			Gateway: r.Gateway, Origin: r.Origin, Window: r.Window, Sequence: r.Sequence, Partial: r.Partial, Final: r.Final, Counts: r.Counts,
			Recorded: u.sender.seen,
		})
	}
	if !t.active {
		t.active = true
		u.g.startWorker(func() { u.drain(t) })
	}
}

// drain sends the queued messages of a target.
func (u *usageDuty) drain(t *usageTarget) {
	var conn *link.Conn
	var err error
	for {
		t.mu.Lock()
		if len(t.queue) == 0 {
			t.active = false
			t.mu.Unlock()
			return
		}
		to, m := t.to, t.queue[0]
		t.queue = t.queue[1:]
		t.mu.Unlock()
		if conn == nil || conn.Err() != nil {
			conn, err = u.g.peers.connTo(u.g.ctx, to)
		}
		if err == nil {
			err = conn.Send(m)
		}
		if err != nil && u.g.ctx.Err() == nil {
			event.LogSampled(event.PeerUnreachable, "peer", to.ID, "address", to.Address, "for", "usage", "error", err)
			t.mu.Lock()
			t.queue = nil
			t.mu.Unlock()
			conn = nil
			u.g.startWorker(func() { // after a pause, so that an unreachable gateway is not dialled all the time
				if sleep.For(u.g.ctx, redialInterval) {
					u.sender.resend.Store(true)
				}
			})
		}
	}
}

// writeMetrics writes the metrics of the duty.
func (u *usageDuty) writeMetrics(line func(name string, value int64)) {
	if u == nil {
		return
	}
	_, held := u.holder.keeper.Held()
	u.mu.Lock()
	due := max(0, u.config.WindowAt(u.now())-1-u.recorded)
	if u.recorded < 0 {
		due = 0
	}
	u.mu.Unlock()
	holds := int64(0)
	if held {
		holds = 1
	}
	c := &u.counters
	line("jayridge_usage_holder", holds)
	line("jayridge_usage_token", c.token.Load())
	line("jayridge_usage_windows_due", due)
	line("jayridge_usage_windows_reported_total", c.reported.Load())
	line("jayridge_usage_windows_missed_total", c.missed.Load())
	line("jayridge_usage_reports_refused_total", c.refused.Load())
	line("jayridge_usage_reports_failed_total", c.failed.Load())
	line("jayridge_usage_requests_lost_total", c.lost.Load())
}

// usageCount is the state of a request in the count.
type usageCount struct {
	// ticket is the first attempt that was sent and of which it is not known whether it ran.
	ticket usage.Ticket
	// sent means that the present attempt was sent. laterAt is the time at which it was if ticket is that of an earlier one.
	sent    bool
	laterAt time.Time
	// counted means that the request is counted for good.
	counted bool
}

// countsUsage reports whether the call's requests are counted.
func (c *call) countsUsage() bool { return c.g.usage != nil && c.team != "" && !c.usage.counted }

// usageSent counts a request that is sent to an upstream now and does not ask for a stream: the upstream begins to run it when it arrives.
func (c *call) usageSent() {
	if !c.countsUsage() || c.route.Kind == routing.Streaming {
		return
	}
	u := c.g.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	c.usage.sent = true
	if c.usage.ticket == (usage.Ticket{}) {
		c.usage.ticket = u.counter.Begin(u.now(), c.team)
	} else {
		c.usage.laterAt = u.now()
	}
}

// usageRan records that an upstream has begun to run the request, as its answer shows. A request that was not counted when it was sent is counted
// now.
func (c *call) usageRan() {
	if !c.countsUsage() {
		return
	}
	u := c.g.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case c.usage.ticket == (usage.Ticket{}):
		u.counter.Count(u.now(), c.team)
	case !c.usage.laterAt.IsZero():
		u.counter.Settle(c.usage.ticket, false)
		u.counter.Count(c.usage.laterAt, c.team)
	default:
		u.counter.Settle(c.usage.ticket, true)
	}
	c.usage.counted, c.usage.ticket = true, usage.Ticket{}
}

// usageNotRun records that the present attempt did not run.
func (c *call) usageNotRun() {
	if !c.usage.sent {
		return
	}
	if !c.usage.laterAt.IsZero() {
		c.usage.laterAt = time.Time{}
		return
	}
	c.settleUsage(false)
}

// usageEnded decides on a request that was sent and got no answer: it counts, since upstreams begin to run most requests when they arrive.
func (c *call) usageEnded() { c.settleUsage(true) }

func (c *call) settleUsage(ran bool) {
	if !c.countsUsage() || c.usage.ticket == (usage.Ticket{}) {
		return
	}
	u := c.g.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counter.Settle(c.usage.ticket, ran)
	c.usage.ticket, c.usage.counted = usage.Ticket{}, ran
}
