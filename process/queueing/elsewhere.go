package queueing

import "time"

// report is what another entry told of its waiting requests.
type report struct {
	waiting [Classes]int
	at      time.Time
}

// maxReported bounds the number of waiting requests by class in a report.
const maxReported = 1000

// maxDebt bounds the places that an entry gives up for requests that wait elsewhere: reports repeat what still waits.
const maxDebt = 3

// maxBoost is the highest multiple of its equal share of the free places that an entry may fill. The others learn late of what it fills, and may have
// requests that wait by then.
const maxBoost = 2

// elsewhere holds what the other entries told.
type elsewhere struct {
	reports map[string]report
	// debts is the number of places by class that requests of that class have to give up before one is sent.
	debts [Classes]float64
}

// Hear records another entry's report, which replaces its earlier one. entries is the number of entries that share the service. Numbers out of range
// are clamped. Each entry gives up its share of the places that more urgent requests elsewhere need, before it sends less urgent ones.
func (q *Queue) Hear(now time.Time, peer string, waiting [Classes]int, entries int) {
	any := false
	for c := range waiting {
		waiting[c] = min(max(0, waiting[c]), maxReported)
		any = any || waiting[c] > 0
	}
	if !any {
		q.Forget(peer)
		return
	}
	if q.reports == nil {
		q.reports = make(map[string]report)
	}
	q.reports[peer] = report{waiting, now}
	owed := 0.0
	for c := range Classes {
		if owed > 0 {
			q.debts[c] = min(maxDebt, q.debts[c]+owed)
		}
		owed += float64(waiting[c]) / float64(max(1, entries))
	}
}

// Forget drops the report of an entry that is gone or has nothing waiting.
func (q *Queue) Forget(peer string) { delete(q.reports, peer) }

// others returns the sum of the reports that are recent enough, and drops the others.
func (q *Queue) others(now time.Time) (sum [Classes]int, entries int) {
	for peer, r := range q.reports {
		if now.Sub(r.at) > q.config.ReportMaxAge {
			delete(q.reports, peer)
			continue
		}
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
