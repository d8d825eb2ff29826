package quarantine

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// PartConfig holds the limits of Parts. No field may be zero.
type PartConfig struct {
	// Crashes is the number of crashes of which a part is the most likely cause from which on it is quarantined. Default 3: one or two may
	// be a coincidence.
	Crashes int
	// TiedCrashes is that number if other parts were in flight at the same crashes as often. Default 5.
	TiedCrashes int
	// AnsweredCrashes is the number of crashes since the latest complete answer if that answer is not older than AnsweredFor. Default 6.
	AnsweredCrashes int
	// AnsweredFor is how long a complete answer to a request with a part protects the part. Default 1 min.
	AnsweredFor time.Duration
	// SuspectFor is how long a crash counts. Default 10 min.
	SuspectFor time.Duration
	// FirstTrial is the time from the latest crash until one request with a quarantined part may run to find out whether the part still
	// crashes upstreams. It grows by TrialFactor with each trial, up to MaxTrial. Defaults 2 s, 10, 10 min.
	FirstTrial  time.Duration
	TrialFactor int
	MaxTrial    time.Duration
	// QuarantineFor is the time since the latest crash or trial after which a part is released. Default 30 min; it must exceed MaxTrial,
	// so that a part is released only if no request with it has come.
	QuarantineFor time.Duration
	// MaxEvidence is the maximum number of pairs of a crash and a part that are kept; the crashes received first are dropped. Default 32,768.
	MaxEvidence int
	// MaxAnswered is the maximum number of parts of which the latest answer is kept. Default 16,384.
	MaxAnswered int
	// MaxQuarantined is the maximum number of quarantined parts; the one with the oldest crash is released. Default 1,024.
	MaxQuarantined int
	// MaxTied is the maximum number of parts that are quarantined together because they were in flight at the same crashes. Default 32.
	MaxTied int
}

// DefaultPartConfig returns the defaults.
func DefaultPartConfig() PartConfig {
	return PartConfig{
		Crashes: 3, TiedCrashes: 5, AnsweredCrashes: 6, AnsweredFor: time.Minute, SuspectFor: 10 * time.Minute,
		FirstTrial: 2 * time.Second, TrialFactor: 10, MaxTrial: 10 * time.Minute, QuarantineFor: 30 * time.Minute,
		MaxEvidence: 32_768, MaxAnswered: 16_384, MaxQuarantined: 1024, MaxTied: 32,
	}
}

// Validate returns an error if a field is out of range.
func (c PartConfig) Validate() error {
	positive := min(c.Crashes, c.TrialFactor, c.MaxEvidence, c.MaxAnswered, c.MaxQuarantined, c.MaxTied) >= 1 &&
		min(c.AnsweredFor, c.SuspectFor, c.FirstTrial) > 0
	if !positive || c.TiedCrashes < c.Crashes || c.AnsweredCrashes < c.Crashes || c.MaxTrial < c.FirstTrial || c.QuarantineFor <= c.MaxTrial {
		return trace.BadParameter("part config out of range: %+v", c)
	}
	return nil
}

// Part identifies a prompt part of the requests of one service. Both fields are hashes.
type Part struct{ Service, ID uint64 }

// PartCrash records which prompt parts the requests had that were in flight at an upstream when it crashed.
type PartCrash struct {
	Service uint64
	// Upstream is a hash that identifies the upstream process; it changes with each restart.
	Upstream uint64
	// Started is when the latest of the requests was sent, At when the crash was detected.
	Started, At time.Time
	// IDs are the hashes of the parts.
	IDs []uint64
}

// PartAnswer records that a request with a part was answered completely, which shows that the part crashes no upstream.
type PartAnswer struct {
	Part Part
	At   time.Time
}

// QuarantinedPart is a part that requests are rejected for.
type QuarantinedPart struct {
	Part Part
	// Crashes is the number of crashes that the part was quarantined for.
	Crashes int
	// At is the time of the latest crash or trial, Trials the number of trials.
	At     time.Time
	Trials int
}

// Parts finds prompt parts that crash the upstreams that answer requests with them, however the requests differ otherwise. It collects the
// parts of all requests that were in flight at crashes. A part that crashes upstreams is in flight at each crash that it causes and never in a
// request that is answered completely; a part that was merely in flight at the same upstream is answered elsewhere, or is in flight at fewer of
// the crashes. It is not safe for concurrent use.
type Parts struct {
	config      PartConfig
	evidence    evidence
	answered    *simplelru.LRU[Part, time.Time]
	quarantined map[Part]*QuarantinedPart
	// rejected is the number of services for which a part is quarantined, by the part's ID.
	rejected map[uint64]int
}

// NewParts returns a Parts without suspects. The config must be valid.
func NewParts(config PartConfig) *Parts {
	answered, err := simplelru.NewLRU[Part, time.Time](config.MaxAnswered, nil)
	if err != nil {
		panic(err) // the size is validated
	}
	return &Parts{
		config: config, evidence: newEvidence(config), answered: answered,
		quarantined: make(map[Part]*QuarantinedPart), rejected: make(map[uint64]int),
	}
}

// RecordCrash records a crash and returns the IDs of the parts that were not known to be in flight at it. Parts that were answered since the
// crash are ignored: reports of a crash also arrive after the answer.
func (p *Parts) RecordCrash(now time.Time, crash PartCrash) []uint64 {
	// A relayed report makes the crash seem later than it was.
	crash.At = p.evidence.earliest(crash.Upstream, crash.At)
	crash.IDs = slices.DeleteFunc(slices.Clone(crash.IDs), func(id uint64) bool {
		at, found := p.answered.Peek(Part{crash.Service, id})
		return found && !crash.At.After(at)
	})
	fresh := p.evidence.add(now, crash)
	for _, id := range fresh {
		if q := p.quarantined[Part{crash.Service, id}]; q != nil && crash.At.After(q.At) {
			q.At = crash.At
		}
	}
	return fresh
}

// RecordAnswer records a complete answer to a request with a part. It reports whether the other entries need to know: the part was suspected or
// quarantined.
func (p *Parts) RecordAnswer(a PartAnswer) bool {
	known, found := p.answered.Get(a.Part)
	if !found || a.At.After(known) {
		p.answered.Add(a.Part, a.At)
	}
	cleared := p.evidence.clear(a.Part, a.At)
	if q := p.quarantined[a.Part]; q != nil && (a.At.After(q.At) || q.Crashes < p.config.AnsweredCrashes) {
		p.release(a.Part)
		cleared = true
	}
	return cleared
}

// RecordPeerAnswer records an answer that another entry received and reports whether to forward it.
func (p *Parts) RecordPeerAnswer(a PartAnswer) bool {
	known, found := p.answered.Peek(a.Part)
	cleared := p.RecordAnswer(a)
	return cleared || !found || a.At.Sub(known) > p.config.AnsweredFor/2
}

// AnsweredAt returns the time of the latest known complete answer to a request with a part if it still protects the part.
func (p *Parts) AnsweredAt(now time.Time, part Part) (time.Time, bool) {
	at, found := p.answered.Peek(part)
	return at, found && now.Sub(at) < p.config.AnsweredFor
}

// RecordPeerQuarantine takes over a quarantine from another entry and reports whether it is new. If the part was answered recently, the
// quarantine is ignored and the answer returned, so that the other entry can be told.
func (p *Parts) RecordPeerQuarantine(now time.Time, q QuarantinedPart) (adopted bool, answer *PartAnswer) {
	if at, protected := p.AnsweredAt(now, q.Part); protected && (at.After(q.At) || q.Crashes < p.config.AnsweredCrashes) {
		return false, &PartAnswer{q.Part, at}
	}
	if now.Sub(q.At) >= p.config.QuarantineFor {
		return false, nil
	}
	known := p.quarantined[q.Part]
	switch {
	case known == nil:
		p.add(q)
	case q.Trials > known.Trials:
		known.Trials = q.Trials
		known.At = later(known.At, q.At)
	default:
		return false, nil
	}
	return true, nil
}

// Update quarantines the parts that the crashes now point to, round by round since each explains some of the crashes, and releases those whose time has passed. It returns the newly quarantined ones.
func (p *Parts) Update(now time.Time) []QuarantinedPart {
	for part, q := range p.quarantined {
		if now.Sub(q.At) >= p.config.QuarantineFor {
			p.release(part)
		}
	}
	p.evidence.expire(now)
	known := knownParts{isQuarantined: p.IsQuarantined, isProtected: func(part Part) bool {
		_, protected := p.AnsweredAt(now, part)
		return protected
	}}
	var added []QuarantinedPart
	for {
		found := p.evidence.culprits(known)
		for _, q := range found {
			p.add(q)
		}
		if len(found) == 0 {
			return added
		}
		added = append(added, found...)
	}
}

// Verdict is the decision about a request with quarantined parts.
type Verdict struct {
	// Part is a quarantined part of the request; RetryAfter is the time until a request with it may run as a trial. Both are zero if the request
	// has none.
	Part       uint64
	RetryAfter time.Duration
	// Trial is set if the request runs as a trial. The other entries need to know.
	Trial *QuarantinedPart
}

// Judge decides whether a request with the given parts may run. A request whose only quarantined part is due for a trial runs if owns returns
// true; exactly one entry should own a part.
func (p *Parts) Judge(now time.Time, ids []uint64, owns func(Part) bool) Verdict {
	var found []*QuarantinedPart
	for _, id := range ids {
		if p.rejected[id] == 0 {
			continue
		}
		for _, q := range p.quarantined {
			if q.Part.ID == id {
				found = append(found, q)
			}
		}
	}
	var v Verdict
	for _, q := range found {
		wait := q.At.Add(p.trialInterval(q.Trials)).Sub(now)
		if wait <= 0 && len(found) == 1 && owns(q.Part) {
			q.Trials++
			q.At = now
			trial := *q
			return Verdict{Trial: &trial}
		}
		if wait = max(wait, minRetryAfter); wait > v.RetryAfter {
			v.Part, v.RetryAfter = q.Part.ID, wait
		}
	}
	return v
}

// minRetryAfter is the minimum of Verdict.RetryAfter. It applies while another entry is due to make a trial.
const minRetryAfter = time.Second

// Quarantined returns all quarantined parts.
func (p *Parts) Quarantined() []QuarantinedPart {
	var all []QuarantinedPart
	for _, q := range p.quarantined {
		all = append(all, *q)
	}
	return all
}

// LatestCrashes returns the crashes received last, with about max parts in all. For each crash the parts are grouped by the time at which the
// latest request with them was sent.
func (p *Parts) LatestCrashes(max int) []PartCrash { return p.evidence.latest(max) }

// Crashes returns the number of counted crashes at which a part was in flight since its latest answer.
func (p *Parts) Crashes(part Part) int { return p.evidence.count(part) }

// Empty reports whether no part is suspected or quarantined.
func (p *Parts) Empty() bool { return len(p.quarantined) == 0 && p.evidence.empty() }

// IsQuarantined reports whether a part is quarantined.
func (p *Parts) IsQuarantined(part Part) bool { return p.quarantined[part] != nil }

// trialInterval returns the time from the latest crash or trial until the next trial.
func (p *Parts) trialInterval(trials int) time.Duration {
	interval := p.config.FirstTrial
	for range trials {
		if interval *= time.Duration(p.config.TrialFactor); interval >= p.config.MaxTrial {
			return p.config.MaxTrial
		}
	}
	return interval
}

func (p *Parts) add(q QuarantinedPart) {
	if len(p.quarantined) >= p.config.MaxQuarantined {
		p.releaseOldest()
	}
	p.quarantined[q.Part] = &q
	p.rejected[q.Part.ID]++
}

func (p *Parts) release(part Part) {
	delete(p.quarantined, part)
	if p.rejected[part.ID]--; p.rejected[part.ID] == 0 {
		delete(p.rejected, part.ID)
	}
}

func (p *Parts) releaseOldest() {
	var oldest *QuarantinedPart
	for _, q := range p.quarantined {
		if oldest == nil || q.At.Before(oldest.At) {
			oldest = q
		}
	}
	p.release(oldest.Part)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
