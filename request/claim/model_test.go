package claim

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// modelSegment is one segment in the model of the key-value service, with its previous state for stale reads.
type modelSegment struct {
	value, oldValue       []byte
	revision, oldRevision services.Revision
	// batches are the decoded batches in value.
	batches []batch
}

// modelCall is a call in flight. A write may remain in flight after its writer was told that the outcome is unknown, and may
// still arrive.
type modelCall struct {
	actor  int
	run    int
	effect Effect
	// result is set once the service has processed the call and until it is delivered to the actor.
	result Event
}

// modelClaim is a claim submitted to an actor, with its answer once there is one.
type modelClaim struct {
	id          uint64
	actor       int
	key         Key
	fingerprint uint64
	granted     bool
	answer      Answer
}

// modelRecord identifies a claim in the log.
type modelRecord struct {
	writer   WriterID
	key      Key
	sequence uint64
}

// modelGrant is a grant of a key that was not released.
type modelGrant struct {
	claim *modelClaim
	atMS  int64
}

// model runs several logs of one shard against a model of the key-value service.
type model struct {
	t *rapid.T
	// draw returns a random number below n.
	draw   func(name string, n int) int
	cfg    Config
	now    time.Time
	faults bool
	// leaderClaims is the number of additional claims submitted to the first actor with each claim, which make it the leader
	// to which others forward their batches.
	leaderClaims int

	segments map[uint64]*modelSegment
	revision services.Revision

	actors  []*Log
	runs    []int
	lastRun byte
	network []*modelCall

	lastID    uint64
	claims    map[uint64]*modelClaim
	open      []*modelClaim
	running   []*modelClaim
	grants    map[Key][]*modelGrant
	responses map[Key][]Response
	// everGranted holds the record of each grant, including released ones.
	everGranted map[modelRecord]bool
	counts      map[string]int
	// forwards holds the forwarded batches without a reply, by the receiver's id.
	forwards map[uint64]*modelForward
}

func newModel(t *rapid.T, actors int) *model {
	cfg := DefaultConfig("s")
	cfg.Retention = time.Second
	cfg.CachedBodies = 1
	m := &model{
		t: t, cfg: cfg, now: time.UnixMilli(1e6), faults: true,
		segments: map[uint64]*modelSegment{}, claims: map[uint64]*modelClaim{},
		grants: map[Key][]*modelGrant{}, responses: map[Key][]Response{},
		everGranted: map[modelRecord]bool{}, counts: map[string]int{},
		forwards: map[uint64]*modelForward{},
		actors:   make([]*Log, actors), runs: make([]int, actors),
	}
	// rapid prefers small numbers, which shrinks failures and makes long outages; uniform numbers make long logs.
	m.draw = func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
	if rapid.Bool().Draw(t, "uniform") {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m.draw = func(_ string, n int) int { return random.IntN(n) }
	}
	m.leaderClaims = rapid.IntRange(0, 3).Draw(t, "leader claims")
	for i := range actors {
		m.restart(i)
	}
	return m
}

// restart replaces an actor by a new run. The calls of the old run remain in flight; its claims get no answer.
func (m *model) restart(i int) {
	m.lastRun++
	m.runs[i]++
	m.loseForwards(func(h *modelForward) bool { return h.to == i })
	m.cfg.Address = modelAddress(i, m.runs[i])
	log, err := NewLog(m.cfg, WriterID{m.lastRun}, rand.New(rand.NewPCG(1, uint64(m.lastRun))))
	must.NoError(m.t, err)
	// Segments of a few records, smaller than Validate allows, so that the log has many of them.
	log.cfg.SegmentBytes = 200
	m.actors[i] = log
	ofActor := func(c *modelClaim) bool { return c.actor == i }
	m.open = slices.DeleteFunc(m.open, ofActor)
	m.running = slices.DeleteFunc(m.running, ofActor)
}

func (m *model) step(i int, ev Event) {
	effects := slices.Clone(m.actors[i].Step(m.now, ev))
	for _, e := range effects {
		switch e := e.(type) {
		case BatchResult:
			m.batchResult(e)
		case Read, Write, ReadBodies, Forward:
			m.network = append(m.network, &modelCall{actor: i, run: m.runs[i], effect: e})
		case Grant:
			m.granted(i, m.closeClaim(e.ID))
		case Answer:
			m.answered(e, m.closeClaim(e.ID))
		}
	}
}

func (m *model) closeClaim(id uint64) *modelClaim {
	i := slices.IndexFunc(m.open, func(c *modelClaim) bool { return c.id == id })
	if i < 0 {
		m.t.Fatalf("claim %d was answered twice", id)
	}
	m.open = slices.Delete(m.open, i, i+1)
	return m.claims[id]
}

// granted checks that the claim's record is in the log and that no other grant of the key is valid.
func (m *model) granted(i int, c *modelClaim) {
	sequence, atMS, ok := m.ownedRecord(m.actors[i].writer, c.key)
	if !ok {
		m.t.Fatalf("claim %d of key %v was granted without a record in the log", c.id, c.key[0])
	}
	for _, g := range m.grants[c.key] {
		if g.atMS > atMS-m.cfg.Retention.Milliseconds() {
			m.t.Fatalf("key %v was granted twice: claim %d of log time %d, claim %d of %d", c.key[0], g.claim.id, g.atMS, c.id, atMS)
		}
	}
	c.granted = true
	m.everGranted[modelRecord{m.actors[i].writer, c.key, sequence}] = true
	m.counts["granted"]++
	m.grants[c.key] = append(m.grants[c.key], &modelGrant{claim: c, atMS: atMS})
	m.running = append(m.running, c)
}

// ownedRecord returns the sequence number and timestamp of writer's last claim of key in the log that owned the key at its
// position.
func (m *model) ownedRecord(writer WriterID, key Key) (sequence uint64, atMS int64, found bool) {
	replay := newIndex(m.cfg.Retention, writer)
	for segment := uint64(0); m.segments[segment] != nil; segment++ {
		for _, b := range m.segments[segment].batches {
			replay.replayOwnership(&b)
			if e := replay.entries.get(key); e != nil && e.owner == selfOwner && e.sequence == uint32(b.Sequence) && b.Writer == writer {
				sequence, atMS, found = b.Sequence, b.TimeMS, true
			}
		}
	}
	return sequence, atMS, found
}

func (m *model) answered(a Answer, c *modelClaim) {
	m.counts[a.Decision.Kind.String()]++
	c.answer = a
	switch a.Decision.Kind {
	case Granted:
		m.t.Fatalf("claim %d was granted by an Answer", c.id)
	case Unavailable:
		must.Error(m.t, a.Err)
	case Finished:
		m.checkResponse(a.Decision.Response, c)
	}
}

// checkResponse checks that the response was stored by a holder of the key, possibly without its body.
func (m *model) checkResponse(got Response, c *modelClaim) {
	for _, want := range m.responses[c.key] {
		if got.Code == want.Code && got.Status == want.Status && (got.Truncated || slices.Equal(got.Body, want.Body)) {
			return
		}
	}
	m.t.Fatalf("claim %d of key %v got a response that nobody stored: %+v", c.id, c.key[0], got)
}

func (m *model) submit(i int, key byte, fingerprint uint64) *modelClaim {
	m.lastID++
	c := &modelClaim{id: m.lastID, actor: i, key: Key{key}, fingerprint: fingerprint}
	m.claims[c.id] = c
	m.open = append(m.open, c)
	m.step(i, ClaimSubmitted{ID: c.id, Key: c.key, Fingerprint: c.fingerprint})
	return c
}

func (m *model) cancel() {
	if len(m.open) == 0 {
		return
	}
	c := m.open[m.draw("cancel", len(m.open))]
	m.step(c.actor, ClaimCanceled{ID: c.id})
	if slices.Contains(m.open, c) {
		m.t.Fatalf("canceled claim %d got no answer", c.id)
	}
}

// finish ends a granted call. A call that was not sent to the upstream releases its key, so that a later grant is allowed.
func (m *model) finish() {
	if len(m.running) == 0 {
		return
	}
	i := m.draw("running", len(m.running))
	c := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	response := Response{Code: result.OK, Status: 200, Body: binary.BigEndian.AppendUint64(nil, c.id)}
	if m.draw("release", 4) == 0 {
		response = Response{Code: result.Leaving}
		m.grants[c.key] = slices.DeleteFunc(m.grants[c.key], func(g *modelGrant) bool { return g.claim == c })
	} else {
		m.responses[c.key] = append(m.responses[c.key], response)
	}
	m.step(c.actor, FinishSubmitted{Key: c.key, Response: response})
}

// processCall lets the service process a call, in any order and with any fault.
func (m *model) processCall() {
	m.loseForwards(func(h *modelForward) bool { return !m.now.Before(h.due) })
	waiting := m.calls(func(c *modelCall) bool { return c.result == nil && !m.awaitingForward(c) })
	if len(waiting) == 0 {
		return
	}
	call := waiting[m.draw("call", len(waiting))]
	fault := 9
	if m.faults {
		fault = m.draw("fault", 12)
	}
	switch e := call.effect.(type) {
	case Read:
		value, revision, err := m.read(e.Segment, fault)
		call.result = ReadResult{Op: e.Op, Value: value, Revision: revision, Err: err}
	case ReadBodies:
		value, _, err := m.read(e.Segment, fault)
		call.result = BodyResult{Segment: e.Segment, Value: value, Err: err}
	case Write:
		call.result = m.writeWith(call, e, fault)
	case Forward:
		m.forwardBatch(call, e, fault)
		if call.run == 0 {
			m.network = slices.DeleteFunc(m.network, func(c *modelCall) bool { return c == call })
		}
	}
}

func (m *model) read(segment uint64, fault int) ([]byte, services.Revision, error) {
	cell := m.segments[segment]
	switch {
	case fault == 0:
		return nil, 0, services.ErrUnavailable
	case fault == 1 && cell != nil && cell.oldRevision > 0:
		return cell.oldValue, cell.oldRevision, nil
	case fault == 1 || cell == nil:
		return nil, 0, services.ErrNotFound
	}
	return cell.value, cell.revision, nil
}

func (m *model) writeWith(call *modelCall, e Write, fault int) Event {
	switch fault {
	case 0:
		return WriteResult{Op: e.Op, Err: services.ErrUnavailable}
	case 1:
		m.write(e)
		return WriteResult{Op: e.Op, Err: services.ErrOutcomeUnknown}
	case 2:
		// The writer gives up; the write remains in flight, without a receiver for its result.
		late := *call
		late.run = 0
		m.network = append(m.network, &late)
		return WriteResult{Op: e.Op, Err: services.ErrOutcomeUnknown}
	}
	revision, err := m.write(e)
	return WriteResult{Op: e.Op, Revision: revision, Err: err}
}

func (m *model) write(e Write) (services.Revision, error) {
	cell := m.segments[e.Segment]
	if cell == nil {
		cell = &modelSegment{}
	}
	if cell.revision != e.Prev {
		return 0, services.ErrConflict
	}
	m.revision++
	batches, err := decodeBatches(e.Value)
	must.NoError(m.t, err)
	m.segments[e.Segment] = &modelSegment{
		value: e.Value, revision: m.revision, oldValue: cell.value, oldRevision: cell.revision, batches: batches,
	}
	return m.revision, nil
}

// deliverResult delivers a result to its actor, unless the actor has restarted since.
func (m *model) deliverResult() {
	ready := m.calls(func(c *modelCall) bool { return c.result != nil })
	if len(ready) == 0 {
		return
	}
	call := ready[m.draw("result", len(ready))]
	m.network = slices.DeleteFunc(m.network, func(c *modelCall) bool { return c == call })
	if call.run == m.runs[call.actor] {
		m.step(call.actor, call.result)
	}
}

func (m *model) calls(match func(*modelCall) bool) []*modelCall {
	var found []*modelCall
	for _, c := range m.network {
		if match(c) {
			found = append(found, c)
		}
	}
	return found
}

func (m *model) advanceClock(limit int) {
	m.now = m.now.Add(time.Duration(1+m.draw("ms", limit)) * time.Millisecond)
}

// randomAction performs one random action. Calls and results are the most frequent, so that work gets done between faults.
func (m *model) randomAction() {
	i := m.draw("actor", len(m.actors))
	switch action := m.draw("action", 40); {
	case action < 8:
		for range m.leaderClaims {
			m.submit(0, byte(20+m.draw("other key", 80)), 1)
		}
		m.submit(i, byte(m.draw("key", 5)), uint64(m.draw("fingerprint", 8)/7))
	case action < 10:
		m.cancel()
	case action < 13:
		m.finish()
	case action < 22:
		m.processCall()
	case action < 31:
		m.deliverResult()
	case action < 36:
		m.advanceClock(40)
		m.step(i, Tick{})
	case action < 37:
		m.advanceClock(700)
	case action < 38:
		m.restart(i)
	default:
		m.step(i, Tick{})
	}
}

// checkNoUngrantedClaims checks that no running store owns a key that it did not grant: other stores would see the key in
// doubt.
func (m *model) checkNoUngrantedClaims() {
	for i, log := range m.actors {
		must.True(m.t, log.Idle(), must.Sprint("actor ", i, " has work left"))
		replay := newIndex(m.cfg.Retention, log.writer)
		for segment := uint64(0); m.segments[segment] != nil; segment++ {
			for _, b := range m.segments[segment].batches {
				replay.replayOwnership(&b)
			}
		}
		for position := replay.entries.head; position < replay.entries.next; position++ {
			e := replay.entries.entryAt(position)
			key := e.key
			if e.owner == selfOwner && !m.everGranted[modelRecord{log.writer, key, uint64(e.sequence)}] {
				m.t.Fatalf("key %v is in doubt, although claim %d was not granted", key[0], e.sequence)
			}
		}
	}
}

// replayOwnership applies the claims and releases of a batch.
func (x *index) replayOwnership(b *batch) {
	for i := range b.Records {
		switch r := &b.Records[i]; r.Kind {
		case recordClaim:
			x.applyClaim(r, b, x.ownerNumber(b.Writer))
		case recordRelease:
			x.applyRelease(r, x.ownerNumber(b.Writer))
		}
	}
}

// settle runs without faults until every claim has an answer.
func (m *model) settle() {
	m.faults = false
	for range 2000 {
		// Results of calls that failed earlier still have to be delivered, even if no claim waits for them.
		for m.canProgress() {
			m.processCall()
			m.deliverResult()
		}
		if len(m.open) == 0 {
			return
		}
		m.now = m.now.Add(20 * time.Millisecond)
		for i := range m.actors {
			m.step(i, Tick{})
		}
	}
	m.t.Fatalf("%d claims got no answer although the service works", len(m.open))
}
