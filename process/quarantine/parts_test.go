package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	testService = 1
	badPart     = 100
)

// partsAt records crashes at given times, each of an upstream of its own.
type partsAt struct {
	*Parts
	crashes uint64
}

func newPartsAt() *partsAt { return &partsAt{Parts: NewParts(DefaultPartConfig())} }

// crash records that requests with the parts, sent just before, were in flight at a crash, and returns the newly quarantined parts.
func (p *partsAt) crash(at time.Time, ids ...uint64) []QuarantinedPart {
	p.crashes++
	p.RecordCrash(at, PartCrash{Service: testService, Upstream: p.crashes, Started: at.Add(-50 * time.Millisecond), At: at, IDs: ids})
	return p.Update(at)
}

func (p *partsAt) answer(at time.Time, id uint64) bool {
	return p.RecordAnswer(PartAnswer{Part{testService, id}, at})
}

// rejects reports whether requests with a part are rejected, without a trial.
func (p *partsAt) rejects(now time.Time, id uint64) bool {
	return p.Judge(now, []uint64{id}, func(Part) bool { return false }).RetryAfter > 0
}

// The part that was in flight at all crashes must be quarantined, not those that were at some of them.
func TestParts_AttributesToTheMostFrequent(t *testing.T) {
	p := newPartsAt()
	must.SliceEmpty(t, p.crash(crashAt(0), badPart, 1, 2))
	must.SliceEmpty(t, p.crash(crashAt(1000), badPart, 1, 3))
	found := p.crash(crashAt(2000), badPart, 4)
	must.Len(t, 1, found)
	must.Eq(t, Part{testService, badPart}, found[0].Part)
	must.SliceEmpty(t, p.crash(crashAt(3000), badPart, 1, 2))
	must.SliceEmpty(t, p.crash(crashAt(4000), badPart, 1, 2))
	for id := range uint64(5) {
		must.False(t, p.rejects(crashAt(4100), id))
	}
	must.True(t, p.rejects(crashAt(4100), badPart))
}

// Parts that were in flight at the same crashes cannot be told apart; they must be quarantined only after more crashes.
func TestParts_TiedPartsNeedMoreCrashes(t *testing.T) {
	p := newPartsAt()
	for i := range 4 {
		must.SliceEmpty(t, p.crash(crashAt(1000*i), badPart, 7))
	}
	must.Len(t, 2, p.crash(crashAt(4000), badPart, 7))
}

// A part that is answered between crashes must not be quarantined, and an answer must release a quarantined part.
func TestParts_AnswersShowThatAPartIsSound(t *testing.T) {
	p := newPartsAt()
	for i := range 20 {
		must.SliceEmpty(t, p.crash(crashAt(1000*i), 7))
		must.True(t, p.answer(crashAt(1000*i+500), 7))
	}
	q := newPartsAt()
	for i := range 3 {
		q.crash(crashAt(1000*i), 7)
	}
	must.True(t, q.rejects(crashAt(2100), 7))
	must.True(t, q.answer(crashAt(2200), 7))
	must.False(t, q.rejects(crashAt(2300), 7))
}

// A part that was answered recently must be quarantined only after more crashes in a row.
func TestParts_RecentAnswerProtects(t *testing.T) {
	p := newPartsAt()
	p.answer(crashAt(0), 7)
	for i := range 5 {
		must.SliceEmpty(t, p.crash(crashAt(1000*i+1000), 7))
	}
	must.Len(t, 1, p.crash(crashAt(6000), 7))
}

// A report of a crash that arrives after a later answer must not bring the suspicion back.
func TestParts_LateReportOfAClearedCrash(t *testing.T) {
	p := newPartsAt()
	crash := PartCrash{Service: testService, Upstream: 9, Started: crashAt(0), At: crashAt(50), IDs: []uint64{7}}
	must.Len(t, 1, p.RecordCrash(crashAt(60), crash))
	must.True(t, p.answer(crashAt(70), 7))
	crash.At = crashAt(90) // relays make it seem later
	must.SliceEmpty(t, p.RecordCrash(crashAt(100), crash))
	must.True(t, p.Empty())
}

// Upstreams that fail at the same moment must count as one crash for the parts that were in flight at all of them.
func TestParts_IgnoresSimultaneousFailures(t *testing.T) {
	p := newPartsAt()
	for u := range uint64(10) {
		p.RecordCrash(crashAt(100), PartCrash{Service: testService, Upstream: u, Started: crashAt(int(u)), At: crashAt(100 + int(u)), IDs: []uint64{7}})
	}
	must.SliceEmpty(t, p.Update(crashAt(200)))
	must.EqOp(t, 1, p.Crashes(Part{testService, 7}))
}

// One request at the owner may run as a trial, later and later, and none at the other entries.
func TestParts_TrialsBecomeRare(t *testing.T) {
	p := newPartsAt()
	for i := range 3 {
		p.crash(crashAt(1000*i), badPart)
	}
	owner := func(Part) bool { return true }
	var trials []int
	for ms := 2000; ms < 30*60_000; ms += 500 {
		must.True(t, p.rejects(crashAt(ms), badPart))
		if v := p.Judge(crashAt(ms), []uint64{badPart}, owner); v.Trial != nil {
			trials = append(trials, ms/1000)
			p.crash(crashAt(ms+100), badPart)
		}
	}
	must.Eq(t, []int{4, 24, 225, 825, 1426}, trials)
	must.NotNil(t, p.Judge(crashAt(35*60_000), []uint64{badPart}, owner).Trial)
	p.Update(crashAt(35*60_000 + 30*60_000))
	must.False(t, p.rejects(crashAt(35*60_000+30*60_000), badPart))
}

// A quarantine from another entry must be taken over, unless the part was answered here recently; then the other entry must be told.
func TestParts_PeerQuarantine(t *testing.T) {
	p := newPartsAt()
	q := QuarantinedPart{Part: Part{testService, badPart}, Crashes: 3, At: crashAt(0)}
	adopted, answer := p.RecordPeerQuarantine(crashAt(100), q)
	must.True(t, adopted)
	must.Nil(t, answer)
	adopted, _ = p.RecordPeerQuarantine(crashAt(200), q)
	must.False(t, adopted)
	must.True(t, p.rejects(crashAt(200), badPart))

	q.Part.ID = 7
	p.answer(crashAt(100), 7)
	adopted, answer = p.RecordPeerQuarantine(crashAt(200), q)
	must.False(t, adopted)
	must.Eq(t, crashAt(100), answer.At)
}

// The evidence must be bounded, and a flood of parts that no other request has must not displace a part that keeps crashing upstreams.
func TestParts_FloodOfParts(t *testing.T) {
	p := newPartsAt()
	junk := uint64(1000)
	for i := 0; ; i++ {
		must.Less(t, 5, i)
		ids := []uint64{badPart}
		for range 8000 {
			junk++
			ids = append(ids, junk)
		}
		if len(p.crash(crashAt(1000*i), ids...)) > 0 {
			break
		}
	}
	must.True(t, p.rejects(crashAt(5000), badPart))
	for i := range 20 {
		ids := []uint64{}
		for range 8000 {
			junk++
			ids = append(ids, junk)
		}
		p.crash(crashAt(6000+1000*i), ids...)
	}
	must.LessEq(t, DefaultPartConfig().MaxEvidence, p.evidence.pairs)
	must.LessEq(t, DefaultPartConfig().MaxEvidence, len(p.evidence.parts))
	must.True(t, p.rejects(crashAt(26_000), badPart))
}

// A request whose caller left must be a suspect only if something else shows that the upstream crashed.
func TestDetector_AbandonedRequests(t *testing.T) {
	d := NewDetector(DefaultDetectorConfig())
	abandoned := Crash{Fingerprint: 1, Upstream: 9, Abandoned: true}
	must.SliceEmpty(t, d.RecordBrokenAnswer(crashAt(0), abandoned))
	must.SliceEmpty(t, d.RecordUnreachable(crashAt(10), 9))
	must.Len(t, 2, d.RecordBrokenAnswer(crashAt(20), Crash{Fingerprint: 2, Upstream: 9}))

	must.SliceEmpty(t, d.RecordBrokenAnswer(crashAt(5000), abandoned))
	must.SliceEmpty(t, d.RecordUnreachable(crashAt(5010), 9))
	must.Len(t, 1, d.RecordPeerCrash(crashAt(5020), 9))
	must.SliceEmpty(t, d.RecordPeerCrash(crashAt(5030), 9))
}
