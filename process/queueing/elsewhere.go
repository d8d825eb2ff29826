package queueing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// report is what another entry told of its waiting requests.
type report struct {
	waiting [Classes]int
	surging []uint64
	at      time.Time
}

// maxReported bounds the number of waiting requests by class in a report.
const maxReported = 1000

// maxDebt bounds the places that an entry gives up for requests that wait elsewhere: reports repeat what still waits.
const maxDebt = 3

// maxBoost is the highest multiple of its equal share of the free places that an entry may fill. The others learn late of what it fills, and may
// have requests that wait by then.
const maxBoost = 2

const (
	// maxSurging is the maximum number of surging teams in a report.
	maxSurging = 8
	// minSurgeReports is the number of other entries, and surgeReportShare the fraction of those that report, from which a team is taken to surge.
	// At one entry of 28 a team sends so few requests that some entries always seem to see a surge, and some see none.
	minSurgeReports  = 2
	surgeReportShare = 0.2
)

// TeamHash returns the hash by which reports name a team.
func TeamHash(team string) uint64 { return xxhash.Sum64String(team) }

// elsewhere holds what the other entries told.
type elsewhere struct {
	reports map[string]report
	// debts is the number of places by class that requests of that class have to give up before one is sent.
	debts [Classes]float64
	// surging counts the reports by team, expiredAt is when old ones were dropped.
	surging   map[uint64]int
	expiredAt time.Time
}

// Hear records another entry's report, which replaces its earlier one. entries is the number of entries that share the service. Numbers out of
// range are clamped. Each entry gives up its share of the places that more urgent requests elsewhere need, before it sends less urgent ones.
//
// surging are the hashes of the teams that surge there. They are kept until the entry reports others or is forgotten.
func (q *Queue) Hear(now time.Time, peer string, waiting [Classes]int, surging []uint64, entries int) {
	any := len(surging) > 0
	for c := range waiting {
		waiting[c] = min(max(0, waiting[c]), maxReported)
		any = any || waiting[c] > 0
	}
	q.Forget(peer)
	if !any {
		return
	}
	if q.reports == nil {
		q.reports, q.surging = make(map[string]report), make(map[uint64]int)
	}
	surging = surging[:min(len(surging), maxSurging)]
	q.reports[peer] = report{waiting, surging, now}
	for _, team := range surging {
		q.surging[team]++
	}
	owed := 0.0
	for c := range Classes {
		if owed > 0 {
			q.debts[c] = min(maxDebt, q.debts[c]+owed)
		}
		owed += float64(waiting[c]) / float64(max(1, entries))
	}
}

// own settles debts with the requests that waited here: an entry that has as many urgent requests as the others on average needs its places itself.
func (q *Queue) own(waiting [Classes]int) {
	owned := 0
	for c := range Classes {
		q.debts[c] = max(-maxDebt, q.debts[c]-float64(owned))
		owned += waiting[c]
	}
}

// Forget drops the report of an entry that is gone or has nothing waiting.
func (q *Queue) Forget(peer string) {
	for _, team := range q.reports[peer].surging {
		if q.surging[team]--; q.surging[team] <= 0 {
			delete(q.surging, team)
		}
	}
	delete(q.reports, peer)
}

// surgesElsewhere reports whether enough other entries see a surge of a team.
func (q *Queue) surgesElsewhere(now time.Time, team uint64) bool {
	n := q.surging[team]
	if n < minSurgeReports {
		return false
	}
	if now.Sub(q.expiredAt) > expiryInterval {
		q.expire(now)
		n = q.surging[team]
	}
	return n >= minSurgeReports && float64(n) >= surgeReportShare*float64(len(q.reports))
}

// expiryInterval is the time between checks for reports that are too old.
const expiryInterval = 100 * time.Millisecond

// expire drops the reports that are too old.
func (q *Queue) expire(now time.Time) {
	q.expiredAt = now
	for peer, r := range q.reports {
		if now.Sub(r.at) > q.config.ReportMaxAge {
			q.Forget(peer)
		}
	}
}

// Surging returns the hashes of the teams that send many times their usual to this entry, at most maxSurging.
func (q *Queue) Surging(now time.Time) []uint64 {
	var out []uint64
	for _, t := range q.shares.teams {
		if _, surges := t.surge(now, false); surges && len(out) < maxSurging {
			out = append(out, t.hash)
		}
	}
	return out
}

// others returns the sum of the reports that are recent enough, and drops the others.
func (q *Queue) others(now time.Time) (sum [Classes]int, entries int) {
	q.expire(now)
	for _, r := range q.reports {
		entries++
		for c, n := range r.waiting {
			sum[c] += n
		}
	}
	return sum, entries
}

// Yields reports whether a request of a class has to give up a place to more urgent ones that wait elsewhere, and records that it does. The caller
// then uses up a place without sending.
func (q *Queue) Yields(now time.Time, priority int) bool {
	class := Clamp(priority)
	if q.debts[class] < 1 {
		return false
	}
	others, _ := q.others(now)
	urgent := 0
	for c := range class {
		urgent += others[c]
	}
	if urgent == 0 || q.passed[class] >= q.config.TurnAfter {
		q.debts[class] = 0
		return false
	}
	q.debts[class]--
	q.passed[class]++
	return true
}

// FreeShare returns the fraction of the free places of the fleet that this entry may fill, among a number of entries. Entries with the most urgent
// requests come first, each by the number of those; what they leave is divided among all. An entry that hears of no others has an equal share.
func (q *Queue) FreeShare(now time.Time, free float64, entries int) float64 {
	equal := 1 / float64(max(1, entries))
	others, reporting := q.others(now)
	if reporting == 0 || free <= 0 {
		return equal
	}
	left, own := free, 0.0
	for c := range Classes {
		all := float64(q.counts[c] + others[c])
		if all == 0 {
			continue
		}
		given := min(left, all)
		own += given * float64(q.counts[c]) / all
		left -= given
	}
	return min((own+left*equal)/free, maxBoost*equal, 1)
}
