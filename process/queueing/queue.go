// Package queueing decides in which order the requests of one service are sent while its upstreams cannot take all of them.
//
// Load answered: 26 to 31 entries in 3 data centres before 48 to 56 model upstreams of 64 slots and before one plain service of 3 upstreams of 6
// slots, 420 requests a second, routes of priorities 0 to 2, 24 teams of which one may send 7.5 to 9 times its usual while one of the three plain
// upstreams is lost. An entry then gets about ten places a second of the plain service and a hundred of a model service, and learns of the other
// entries' requests 0.2 to 0.3 s late.
//
// The order is: priority, fair share of teams, fair share of a team's chats, time left. Two rules keep it at low rates, at which a queue in which
// requests may wait for some tens of milliseconds seldom holds more than one: Reserve leaves places to more urgent requests that will arrive
// soon, and Yields gives up places for more urgent requests that wait at other entries.
//
// All types are state machines without a clock, I/O or goroutine. They are not safe for concurrent use.
package queueing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Classes is the number of priorities, from 0, the most urgent, to Classes-1.
const Classes = 10

// Clamp returns the closest priority in range.
func Clamp(priority int) int { return min(max(0, priority), Classes-1) }

// Config configures a Queue.
type Config struct {
	// MaxWaiting is the maximum number of waiting requests.
	MaxWaiting int
	// WaitShare is the fraction of its latency objective for which a request may wait in hope of a place, SureShare that for which it waits if its
	// turn is expected by then.
	WaitShare, SureShare float64
	// SureFactor is the factor by which the estimated time until a request's turn is multiplied before it is taken for sure.
	SureFactor float64
	// DeadlineShare is the fraction of the time until its deadline for which a request without a latency objective may wait.
	DeadlineShare float64
	// TurnAfter is the number of requests that are sent before those of a less urgent class that waits, until it gets one place.
	TurnAfter int
	// MaxRetryAfter is the longest time after which a refused caller is told to return.
	MaxRetryAfter time.Duration
	// ReportMaxAge is how long a report of another entry counts.
	ReportMaxAge time.Duration
}

// DefaultConfig returns the settings of a gateway.
func DefaultConfig() Config {
	return Config{
		MaxWaiting:    256,
		WaitShare:     1.0 / 8,
		SureShare:     1.0 / 2, // leaves half to the upstream, whose work takes a quarter of the objective
		SureFactor:    1.5,
		DeadlineShare: 0.75,
		TurnAfter:     20, // costs the more urgent classes at most a twentieth
		MaxRetryAfter: 2 * time.Second,
		ReportMaxAge:  1200 * time.Millisecond, // the maximum age of loads
	}
}

// Validate returns an error that names the first invalid field.
func (c *Config) Validate() error {
	switch {
	case c.MaxWaiting < 1:
		return trace.BadParameter("MaxWaiting must be positive")
	case !(c.WaitShare >= 0) || !(c.SureShare >= c.WaitShare):
		return trace.BadParameter("WaitShare must not be negative, nor exceed SureShare")
	case !(c.SureFactor >= 1):
		return trace.BadParameter("SureFactor must be at least 1")
	case c.TurnAfter < 1:
		return trace.BadParameter("TurnAfter must be positive")
	case !(c.DeadlineShare >= 0 && c.DeadlineShare <= 1):
		return trace.BadParameter("DeadlineShare must be in 0..1")
	case c.MaxRetryAfter <= 0 || c.ReportMaxAge <= 0:
		return trace.BadParameter("MaxRetryAfter and ReportMaxAge must be positive")
	default:
		return nil
	}
}

// Request is a request that needs a place at an upstream.
type Request struct {
	// ID is unique among the waiting requests.
	ID uint64
	// Priority is clamped to 0..9.
	Priority int
	Team     string
	// Chat identifies the chat within the team, zero means none.
	Chat uint64
	// Deadline is when the caller gives up, Objective the time within which the route's answers should begin, zero if there is none.
	Deadline  time.Time
	Objective time.Duration
	// Spread is a fraction in [0, 1) by which the times at which refused callers return are spread.
	Spread float64
}

// Decision tells what to do with a request for which there was no place.
type Decision struct {
	// Wait means that the request waits until Until; otherwise it is refused and its caller told to return after RetryAfter.
	Wait       bool
	Until      time.Time
	RetryAfter time.Duration
	Reason     Reason
	// Displaced is the request that gives way to this one in a full queue, if HasDisplaced is set.
	Displaced    Refusal
	HasDisplaced bool
}

// Refusal is a request that waited and is refused.
type Refusal struct {
	ID         uint64
	RetryAfter time.Duration
	Reason     Reason
}

// Reason is why a request is refused.
type Reason uint8

// The reasons.
const (
	// NotRefused is the reason of requests that are not refused.
	NotRefused Reason = iota
	// NoPlaceSoon means that no place is expected within the time for which the request may wait.
	NoPlaceSoon
	// PastDeadline means that no place is expected before the request's deadline.
	PastDeadline
	// QueueFull means that the queue is full of requests that come first.
	QueueFull
	// WaitedInVain means that the request waited and no place became free.
	WaitedInVain
	// GaveWay means that the request gave way to a more urgent one in a full queue.
	GaveWay

	reasons
)

// Reasons returns all reasons of refusals.
func Reasons() []Reason {
	var all []Reason
	for r := NoPlaceSoon; r < reasons; r++ {
		all = append(all, r)
	}
	return all
}

// String returns the reason as it is logged.
func (r Reason) String() string {
	return [...]string{"none", "no-place-soon", "past-deadline", "queue-full", "waited-in-vain", "gave-way"}[r]
}

// waiting is a request in the queue.
type waiting struct {
	Request
	until time.Time
	// tag is the request's place in the order of teams, chatTag that within its team. A lower tag comes first.
	tag, chatTag float64
	serial       uint64
	// exceeds means that the request's team exceeded its share when it arrived.
	exceeds bool
}

// Queue holds the waiting requests of one service.
type Queue struct {
	config  Config
	entries []*waiting
	serial  uint64
	shares  *shares
	// counts is the number of waiting requests by class, peaks the most since the last call of TakePeaks.
	counts, peaks [Classes]int
	// passed is the number of requests that were sent before a class that waited, since it was last sent one.
	passed [Classes]int
	// places are the places that became free while places were scarce, since scarceSince; they were last scarce at scarceAt. perSecond is the rate
	// at which places become free, zero if the entry only knows places.
	places                meter
	scarceSince, scarceAt time.Time
	perSecond             float64
	// refusals is the rate of refused requests, whose callers return.
	refusals meter
	// reserved is the latest result of Reserve.
	reserved float64
	// scratch is reused between decisions.
	scratch []float64
	// arrivals are the rates of requests by class.
	arrivals [Classes]meter
	elsewhere
}

// New returns an empty queue. config must be valid.
func New(config Config) *Queue { return &Queue{config: config, shares: newShares()} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Waiting returns the number of waiting requests by class.
func (q *Queue) Waiting() [Classes]int { return q.counts }

// TakePeaks returns the highest number of requests by class that waited at once since the last call.
func (q *Queue) TakePeaks() [Classes]int {
	peaks := q.peaks
	q.peaks = q.counts
	q.own(peaks)
	return peaks
}

// Arrived records the arrival of a request, whether or not there is a place for it.
func (q *Queue) Arrived(now time.Time, priority int, team string) {
	if !q.shares.arrived(now, team, q.surgesElsewhere) {
		q.arrivals[Clamp(priority)].add(now, fastWindow, 1)
	}
}

// PlaceFree records that a request of this entry ended at an upstream.
func (q *Queue) PlaceFree(now time.Time) {
	if now.Sub(q.scarceAt) <= scarcePause {
		q.places.add(now, fastWindow, 1)
	}
}

const (
	// scarcePause is the time without scarcity after which the places that become free are counted anew. While there are places for all, as many
	// become free as requests come, which says nothing about how many could.
	scarcePause = time.Second
	// minScarceTime is the time for which places are counted before their rate is known.
	minScarceTime = 200 * time.Millisecond
)

// scarce records that places are scarce.
func (q *Queue) scarce(now time.Time) {
	if now.Sub(q.scarceAt) > scarcePause {
		q.scarceSince, q.places = now, meter{}
	}
	q.scarceAt = now
}

// placeRate returns the number of places that become free in fastWindow. It returns false if it is not known.
func (q *Queue) placeRate(now time.Time) (float64, bool) {
	if q.perSecond > 0 {
		return q.perSecond * fastWindow.Seconds(), true
	}
	count, elapsed := q.places.count(now, fastWindow), now.Sub(q.scarceSince)
	if count < minKnownPlaces || elapsed < minScarceTime {
		return 0, false
	}
	// The weights of a window that has not passed entirely sum up to less.
	return count / (1 - math.Exp(-elapsed.Seconds()/fastWindow.Seconds())), true
}

// ComesFirst reports whether a request that has just arrived comes before all that wait.
func (q *Queue) ComesFirst(now time.Time, r Request) bool {
	if len(q.entries) == 0 {
		return true
	}
	w := q.newWaiting(now, r)
	q.insert(w)
	q.sort()
	first := q.entries[0] == w
	q.remove(w, false)
	return first
}

func (q *Queue) newWaiting(now time.Time, r Request) *waiting {
	r.Priority = Clamp(r.Priority)
	q.serial++
	w := &waiting{Request: r, serial: q.serial, exceeds: q.shares.exceeds(now, r.Team, q.surgesElsewhere)}
	w.tag, w.chatTag = q.shares.tags(r.Team, r.Chat)
	return w
}

// Offer decides on a request for which there was no place. placeIn is the time until there is one for it if no other takes it, zero if that is
// not known.
func (q *Queue) Offer(now time.Time, r Request, placeIn time.Duration) Decision {
	q.scarce(now)
	w := q.newWaiting(now, r)
	q.insert(w)
	q.sort()
	limit, reason := q.waitLimit(now, w, placeIn)
	if last := q.entries[len(q.entries)-1]; reason == NotRefused && len(q.entries) > q.config.MaxWaiting && last == w {
		reason = QueueFull
	}
	if reason != NotRefused {
		q.remove(w, false)
		return Decision{RetryAfter: q.refused(now, w), Reason: reason}
	}
	w.until = now.Add(limit)
	if w.until.After(r.Deadline) {
		w.until = r.Deadline
	}
	d := Decision{Wait: true, Until: w.until}
	if last := q.entries[len(q.entries)-1]; len(q.entries) > q.config.MaxWaiting {
		q.remove(last, false)
		d.Displaced, d.HasDisplaced = Refusal{last.ID, q.refused(now, last), GaveWay}, true
	}
	q.peaks[w.Priority] = max(q.peaks[w.Priority], q.counts[w.Priority])
	return d
}

// placeMargin is added to the time at which a place is known to become free: requests that wait are tried every few milliseconds, and the rate of
// places changes a little.
const placeMargin = 10 * time.Millisecond

// waitLimit returns how long a request that is in the sorted queue may wait, or why it must not.
func (q *Queue) waitLimit(now time.Time, w *waiting, placeIn time.Duration) (time.Duration, Reason) {
	limit, sureLimit := scale(w.Objective, q.config.WaitShare), scale(w.Objective, q.config.SureShare)
	if w.Objective <= 0 {
		limit = scale(w.Deadline.Sub(now), q.config.DeadlineShare)
		sureLimit = limit
	}
	if !w.Deadline.After(now) {
		return 0, PastDeadline
	}
	ahead := slices.Index(q.entries, w)
	turn, known := q.timeFor(now, ahead+1, w.Priority)
	sure := scale(turn, q.config.SureFactor)
	if w.exceeds || q.reserved > 0 {
		sure, placeIn = math.MaxInt64, 0 // others that arrive meanwhile come first
	}
	if placeIn > 0 && ahead == 0 {
		turn, known = placeIn, true
		sure = placeIn + placeMargin
	}
	if !known {
		return limit, NotRefused
	}
	switch {
	case now.Add(turn).After(w.Deadline):
		return 0, PastDeadline
	case sure <= sureLimit:
		return max(limit, sure), NotRefused
	case turn > limit:
		return 0, NoPlaceSoon
	default:
		return limit, NotRefused
	}
}

// insert adds a request to the queue.
func (q *Queue) insert(w *waiting) {
	q.entries = append(q.entries, w)
	q.shares.queued(w.Team, w.Chat, 1)
	q.counts[w.Priority]++
}

// refused records a refusal and returns when the caller should return.
func (q *Queue) refused(now time.Time, w *waiting) time.Duration {
	after := q.retryAfter(now, w)
	q.refusals.add(now, fastWindow, 1)
	return after
}

// Expired removes the requests that have waited as long as they may and returns them.
func (q *Queue) Expired(now time.Time) []Refusal {
	var out []Refusal
	for i := 0; i < len(q.entries); {
		w := q.entries[i]
		if now.Before(w.until) {
			i++
			continue
		}
		q.remove(w, false)
		reason := WaitedInVain
		if !now.Before(w.Deadline) {
			reason = PastDeadline
		}
		out = append(out, Refusal{w.ID, q.refused(now, w), reason})
	}
	return out
}

// NextExpiry returns the earliest time at which Expired returns a request. It returns false if nothing waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	var at time.Time
	for i, w := range q.entries {
		if i == 0 || w.until.Before(at) {
			at = w.until
		}
	}
	return at, len(q.entries) > 0
}

// Next returns the IDs of the first n waiting requests in order. The first is the one that comes first; the others may be sent if no upstream that
// the ones before may use has a place.
func (q *Queue) Next(n int) []uint64 {
	q.sort()
	var ids []uint64
	for _, w := range q.entries[:min(n, len(q.entries))] {
		ids = append(ids, w.ID)
	}
	return ids
}

// Sent removes a waiting request because it is sent.
func (q *Queue) Sent(now time.Time, id uint64) {
	if w := q.find(id); w != nil {
		q.remove(w, true)
		q.shares.get(w.Team).sent.add(now, fastWindow, 1)
		q.pass(w.Priority)
	}
}

// SentAtOnce records that a request was sent without waiting while places were scarce.
func (q *Queue) SentAtOnce(now time.Time, priority int, team string, chat uint64) {
	q.shares.sentAtOnce(now, team, chat)
	q.pass(Clamp(priority))
}

// pass records that a request of a class was sent.
func (q *Queue) pass(class int) {
	q.passed[class] = 0
	for c := class + 1; c < Classes; c++ {
		if q.counts[c] > 0 {
			q.passed[c]++
		}
	}
}

// Remove removes a request that is no longer to be sent. Unknown IDs are ignored.
func (q *Queue) Remove(id uint64) {
	if w := q.find(id); w != nil {
		q.remove(w, false)
	}
}

// SetPriority changes the priority of a waiting request. Unknown IDs are ignored.
func (q *Queue) SetPriority(id uint64, priority int) {
	if w := q.find(id); w != nil {
		q.counts[w.Priority]--
		w.Priority = Clamp(priority)
		q.counts[w.Priority]++
		q.peaks[w.Priority] = max(q.peaks[w.Priority], q.counts[w.Priority])
	}
}

func (q *Queue) find(id uint64) *waiting {
	for _, w := range q.entries {
		if w.ID == id {
			return w
		}
	}
	return nil
}

func (q *Queue) remove(w *waiting, sent bool) {
	at := slices.Index(q.entries, w)
	q.entries = slices.Delete(q.entries, at, at+1)
	q.counts[w.Priority]--
	if sent {
		q.shares.sentQueued(w)
	} else {
		q.shares.queued(w.Team, w.Chat, -1)
	}
}

// sort puts the waiting requests in order. A team's requests of a class exchange their tags, so that the order among them is that of its chats.
func (q *Queue) sort() {
	slices.SortFunc(q.entries, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(q.rank(a), q.rank(b)), cmp.Compare(a.Team, b.Team), cmp.Compare(a.chatTag, b.chatTag), a.compareTime(b))
	})
	for from := 0; from < len(q.entries); {
		to := from + 1
		for to < len(q.entries) && q.entries[to].Team == q.entries[from].Team && q.rank(q.entries[to]) == q.rank(q.entries[from]) {
			to++
		}
		q.exchangeTags(q.entries[from:to])
		from = to
	}
	slices.SortFunc(q.entries, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(q.rank(a), q.rank(b)), cmp.Compare(a.tag, b.tag), a.compareTime(b))
	})
}

// exchangeTags gives the lowest tag of some requests to the first of them, and so on.
func (q *Queue) exchangeTags(ordered []*waiting) {
	if len(ordered) < 2 {
		return
	}
	q.scratch = q.scratch[:0]
	for _, w := range ordered {
		q.scratch = append(q.scratch, w.tag)
	}
	slices.Sort(q.scratch)
	for i, w := range ordered {
		w.tag = q.scratch[i]
	}
}

// compareTime orders requests by the time that is left, then by arrival.
func (w *waiting) compareTime(other *waiting) int {
	return cmp.Or(w.Deadline.Compare(other.Deadline), cmp.Compare(w.serial, other.serial))
}

// rank returns the rank of a request: its class, or -1 if that has been passed over so often that it is its turn. Requests of a team that exceeds
// its share come after those of all other teams, among each other by class.
func (q *Queue) rank(w *waiting) int {
	switch {
	case w.exceeds:
		return Classes + w.Priority
	case q.passed[w.Priority] >= q.config.TurnAfter:
		return -1
	default:
		return w.Priority
	}
}

// minKnownPlaces is the number of places that must have become free recently for their rate to be known. With fewer, an estimate of the time
// until a request's turn is off by more than half.
const minKnownPlaces = 4

// timeFor returns the time until n places are expected to become free for requests of a class, besides those that more urgent requests will take as
// they arrive. It returns false if the rate of places is not known.
func (q *Queue) timeFor(now time.Time, n, class int) (time.Duration, bool) {
	all, known := q.placeRate(now)
	if !known {
		return 0, false
	}
	count := all
	for c := range class {
		count -= q.arrivals[c].count(now, fastWindow)
	}
	count = max(count, all/float64(q.config.TurnAfter))
	return time.Duration(float64(n) / (count / fastWindow.Seconds()) * float64(time.Second)), true
}

// retryAfter returns when the caller of a refused request should return: within the time in which there will be room for those that wait and those
// that were refused recently, which return as well.
func (q *Queue) retryAfter(now time.Time, w *waiting) time.Duration {
	const shortest, unknown = 100 * time.Millisecond, 250 * time.Millisecond
	room, known := q.timeFor(now, 1+len(q.entries)+int(q.refusals.count(now, fastWindow)), 0)
	if !known {
		room = unknown
	}
	room = min(max(room, unknown), q.config.MaxRetryAfter-shortest)
	after := shortest + scale(room, w.Spread)
	// Callers return after at most a third of their remaining time.
	if left := w.Deadline.Sub(now) / 3; left > 0 {
		after = min(after, max(left, shortest))
	}
	return after
}

// Reserve returns the number of places that a request has to leave free for requests that come before it and will arrive soon. perSecond is the
// rate at which this entry gets places, zero if it is to be taken from PlaceFree.
func (q *Queue) Reserve(now time.Time, priority int, team string, perSecond float64) float64 {
	q.scarce(now)
	q.perSecond = perSecond
	q.reserved = q.reserve(now, priority, team)
	return q.reserved
}

func (q *Queue) reserve(now time.Time, priority int, team string) float64 {
	class := Clamp(priority)
	if q.shares.exceeds(now, team, q.surgesElsewhere) {
		return MaxReserve
	}
	if q.passed[class] >= q.config.TurnAfter {
		return 0
	}
	places, _ := q.placeRate(now)
	urgent, all := 0.0, 0.0
	for c := range Classes {
		n := q.arrivals[c].count(now, fastWindow)
		all += n
		if c < class {
			urgent += n
		}
	}
	switch {
	case urgent < activeArrivals || all < enoughShare*places:
		return 0
	case urgent < busyShare*places:
		return 1
	default:
		return MaxReserve
	}
}

// MaxReserve is the highest result of Reserve.
const MaxReserve = 2

const (
	// enoughShare is the fraction of the places up to which requests can take all of them without more urgent ones finding none.
	enoughShare = 1.1
	// busyShare is the fraction of the places that more urgent requests need from which more than one place is left to them.
	busyShare = 0.6
)

// activeArrivals is the number of requests within about fastWindow from which a class is expected to send more soon.
const activeArrivals = 1

// scale multiplies a duration.
func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(math.Min(float64(d)*by, math.MaxInt64/2))
}
