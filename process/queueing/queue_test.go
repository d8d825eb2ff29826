package queueing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// request returns a request with an objective of 400 ms that arrives at the start.
func request(id uint64, priority int, team string) Request {
	return Request{ID: id, Priority: priority, Team: team, Deadline: at(4000), Objective: 400 * time.Millisecond, Spread: 0.5}
}

// queueWith returns a queue in which requests wait.
func queueWith(requests ...Request) *Queue {
	q := New(DefaultConfig())
	for _, r := range requests {
		q.Offer(start, r, 0)
	}
	return q
}

// A more urgent request must come before less urgent ones, then teams take turns, then chats, then the time that is left decides.
func TestNext_Order(t *testing.T) {
	inChat := func(id, chat uint64) Request { r := request(id, 1, "a"); r.Chat = chat; return r }
	due := func(r Request, ms int) Request { r.Deadline = at(ms); return r }
	for name, test := range map[string]struct {
		requests []Request
		want     []uint64
	}{
		"priority":               {[]Request{request(1, 2, "a"), request(2, 0, "a"), request(3, 1, "b")}, []uint64{2, 3, 1}},
		"priority out of range":  {[]Request{request(1, 99, "a"), request(2, 9, "b"), request(3, -7, "a"), request(4, 0, "b")}, []uint64{3, 4, 1, 2}},
		"teams":                  {[]Request{request(1, 1, "a"), request(2, 1, "a"), request(3, 1, "a"), request(4, 1, "b")}, []uint64{1, 4, 2, 3}},
		"chats":                  {[]Request{inChat(1, 7), inChat(2, 7), inChat(3, 8)}, []uint64{1, 3, 2}},
		"time left":              {[]Request{due(request(1, 1, "a"), 900), due(request(2, 1, "b"), 800)}, []uint64{2, 1}},
		"order of arrival":       {[]Request{request(1, 1, "a"), request(2, 1, "b")}, []uint64{1, 2}},
		"priority over the time": {[]Request{due(request(1, 1, "a"), 500), request(2, 0, "a")}, []uint64{2, 1}},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, test.want, queueWith(test.requests...).Next(9)) })
	}
}

// A request must not be held without hope: only for an eighth of its objective, longer if its turn is sure to come, and not at all if that is
// known to come too late.
func TestOffer_Wait(t *testing.T) {
	offer := func(places int, r Request, waiting int) Decision {
		q := New(DefaultConfig())
		for ms, free := -20_000, 0.0; ms < 0; ms += 10 {
			q.Reserve(at(ms), 0, "", 0)
			for free += float64(places) * 0.01 / fastWindow.Seconds(); free >= 1; free-- {
				q.PlaceFree(at(ms))
			}
		}
		for i := range waiting {
			q.Offer(start, request(uint64(100+i), 0, "a"), 0)
		}
		return q.Offer(start, r, 0)
	}
	short := request(1, 1, "b")
	short.Deadline = at(40)
	aimless := request(1, 1, "b")
	aimless.Objective = 0
	past := request(1, 1, "b")
	past.Deadline = start
	for name, test := range map[string]struct {
		got  Decision
		want Reason
		wait time.Duration
	}{
		"rate unknown":        {offer(0, request(1, 1, "b"), 3), NotRefused, 50 * time.Millisecond},
		"place soon":          {offer(200, request(1, 1, "b"), 0), NotRefused, 50 * time.Millisecond},
		"sure to come later":  {offer(40, request(1, 1, "b"), 0), NotRefused, 75 * time.Millisecond},
		"many before it":      {offer(40, request(1, 1, "b"), 2), NoPlaceSoon, 0},
		"no objective":        {offer(40, aimless, 2), NotRefused, 3 * time.Second},
		"deadline before":     {offer(30, short, 0), PastDeadline, 0},
		"deadline has passed": {offer(0, past, 0), PastDeadline, 0},
	} {
		t.Run(name, func(t *testing.T) {
			must.EqOp(t, test.want, test.got.Reason)
			must.EqOp(t, test.want == NotRefused, test.got.Wait)
			if test.got.Wait {
				must.InDelta(t, test.wait.Seconds(), test.got.Until.Sub(start).Seconds(), 0.003)
				return
			}
			must.Positive(t, test.got.RetryAfter)
			must.LessEq(t, DefaultConfig().MaxRetryAfter, test.got.RetryAfter)
		})
	}
}

// The rate of places must be right soon after requests began to wait: a queue that takes it for lower refuses at once what could be served. What
// became free while there were places for all says nothing.
func TestOffer_RateOfPlaces(t *testing.T) {
	q := New(DefaultConfig())
	for ms := -5000; ms < 0; ms += 200 { // few requests, no scarcity
		q.PlaceFree(at(ms))
	}
	must.True(t, q.Offer(start, request(1, 1, "a"), 0).Wait)
	q.Remove(1)
	for ms := 0; ms < 300; ms += 10 {
		q.Reserve(at(ms), 0, "", 0)
		q.PlaceFree(at(ms))
	}
	turn, known := q.timeFor(at(300), 1, 0)
	must.True(t, known)
	must.Between(t, 0.009, turn.Seconds(), 0.012)
	q.Reserve(at(300), 0, "", 50)
	turn, _ = q.timeFor(at(300), 1, 0)
	must.EqOp(t, 20*time.Millisecond, turn)
}

// Callers that are refused together must return one after the other, later if more were refused, and while their deadlines allow it.
func TestOffer_RetryAfter(t *testing.T) {
	q := New(DefaultConfig())
	for i := range 20 {
		q.Reserve(at(20*i-400), 0, "", 0)
		q.PlaceFree(at(20*i - 400))
	}
	var first, last time.Duration
	for i := range 30 {
		r := request(uint64(i), 1, "a")
		r.Spread = float64(i%2) * 0.9
		d := q.Offer(start, r, 0)
		if !d.Wait && i%2 == 1 {
			if first == 0 {
				first = d.RetryAfter
			}
			last = d.RetryAfter
		}
	}
	must.Greater(t, first, last)
	soon := request(99, 1, "a")
	soon.Deadline, soon.Spread = at(600), 0.9
	must.LessEq(t, 200*time.Millisecond, q.Offer(start, soon, 0).RetryAfter)
}

// In a full queue the last request in order gives way to a more urgent one, which nobody else's request does.
func TestOffer_Full(t *testing.T) {
	config := DefaultConfig()
	config.MaxWaiting = 2
	q := New(config)
	q.Offer(start, request(1, 1, "a"), 0)
	q.Offer(start, request(2, 2, "a"), 0)
	d := q.Offer(start, request(3, 2, "a"), 0)
	must.EqOp(t, QueueFull, d.Reason)
	d = q.Offer(start, request(4, 0, "a"), 0)
	must.True(t, d.Wait && d.HasDisplaced)
	must.EqOp(t, 2, d.Displaced.ID)
	must.Eq(t, []uint64{4, 1}, q.Next(9))
}

// A priority that changes while a request waits must change its place.
func TestSetPriority(t *testing.T) {
	q := queueWith(request(1, 1, "a"), request(2, 2, "a"))
	q.SetPriority(2, 0)
	q.SetPriority(77, 0)
	must.Eq(t, []uint64{2, 1}, q.Next(9))
	must.Eq(t, [Classes]int{1, 1}, q.Waiting())
}

// A less urgent class that waits must get a twentieth of the places, however many more urgent requests come.
func TestSent_LessUrgentClassGetsItsTurn(t *testing.T) {
	q := New(DefaultConfig())
	sent := make(map[int]int)
	for i := range 2100 {
		for p := range 3 {
			q.Offer(start, request(uint64(3*i+p), p, "a"), 0)
		}
		id := q.Next(1)[0]
		q.Sent(start, id)
		sent[int(id%3)]++
		for _, w := range slices.Clone(q.entries) {
			q.Remove(w.ID)
		}
	}
	must.Between(t, 80, sent[1], 120)
	must.Between(t, 80, sent[2], 120)
	must.EqOp(t, 2100, sent[0]+sent[1]+sent[2])
}

// A team must not starve beside one that sends many times as much, nor its large chats.
func TestNext_SmallTeamBesideLargeOne(t *testing.T) {
	q := New(DefaultConfig())
	id, small := uint64(0), 0
	for range 400 {
		for range 8 {
			id += 2
			q.Offer(start, request(id, 1, "large"), 0)
		}
		q.Offer(start, request(id+1, 1, "small"), 0)
		for range 3 {
			next := q.Next(1)[0]
			q.Sent(start, next)
			small += int(next % 2)
		}
		for _, w := range slices.Clone(q.entries) {
			q.Remove(w.ID)
		}
	}
	must.EqOp(t, 400, small)
}

// Requests of a team at many times its usual rate, and less urgent ones, must leave a place for others that will come soon. Otherwise an entry
// that gets ten places a second refuses a more urgent request most of the time.
func TestReserve(t *testing.T) {
	q := New(DefaultConfig())
	now := start
	for i := range 300 { // 30 s at 10 a second
		now = now.Add(100 * time.Millisecond)
		q.Arrived(now, i%2, fmt.Sprint("team-", i%5))
	}
	must.EqOp(t, 0, q.Reserve(now, 1, "team-1", 20), must.Sprint("there are places for all"))
	must.EqOp(t, 0, q.Reserve(now, 0, "team-1", 5))
	must.EqOp(t, 1, q.Reserve(now, 1, "team-1", 8.5))
	must.EqOp(t, MaxReserve, q.Reserve(now, 1, "team-1", 5))
	for range 60 {
		now = now.Add(50 * time.Millisecond)
		q.Arrived(now, 1, "team-2")
		q.SentAtOnce(now, 1, "team-2", 0)
	}
	must.EqOp(t, MaxReserve, q.Reserve(now, 0, "team-2", 100))
	must.EqOp(t, 0, q.Reserve(now, 0, "team-1", 100))
	must.EqOp(t, 0, q.Reserve(now.Add(time.Minute), 0, "team-2", 100))
}

// An entry that has just started knows no usual rates: a team that sends more than all others must not take their places either.
func TestReserve_SurgeAfterStart(t *testing.T) {
	q := New(DefaultConfig())
	for i := range 40 {
		q.Arrived(at(25*i), 1, "large")
		q.SentAtOnce(at(25*i), 1, "large", 0)
		if i%4 == 0 {
			q.Arrived(at(25*i), 1, "small")
		}
	}
	must.EqOp(t, MaxReserve, q.Reserve(at(1000), 1, "large", 100))
	must.EqOp(t, 0, q.Reserve(at(1000), 1, "small", 100))
}

// An entry must give up its share of the places that more urgent requests need elsewhere, and only while reports are fresh.
func TestYields(t *testing.T) {
	q := New(DefaultConfig())
	const entries = 4
	q.Hear(start, "b", [Classes]int{6}, nil, entries)
	must.False(t, q.Yields(start, 0))
	must.True(t, q.Yields(start, 1))
	must.False(t, q.Yields(start, 1)) // half a place is left
	q.Hear(at(200), "b", [Classes]int{6}, nil, entries)
	must.False(t, q.Yields(at(200+1300), 1), must.Sprint("the report is stale"))
	for i := range 100 {
		q.Hear(at(2000), "b", [Classes]int{70000, -1}, nil, entries) // repeated messages
		q.Hear(at(2000), fmt.Sprint("c", i), [Classes]int{}, nil, entries)
	}
	n := 0
	for q.Yields(at(2000), 2) {
		n++
	}
	must.EqOp(t, maxDebt, n)
	q.Forget("b")
	q.debts[2] = 2
	must.False(t, q.Yields(at(2000), 2))
}

// The free places must go to the entries with the most urgent requests, and never to more than there are.
func TestFreeShare(t *testing.T) {
	one, two := New(DefaultConfig()), New(DefaultConfig())
	must.EqOp(t, 0.25, one.FreeShare(start, 8, 4))
	for i := range 4 {
		one.Offer(start, request(uint64(i), 0, "a"), 0)
		two.Offer(start, request(uint64(i), 1, "a"), 0)
	}
	one.Hear(start, "two", two.Waiting(), nil, 2)
	two.Hear(start, "one", one.Waiting(), nil, 2)
	must.EqOp(t, 1, one.FreeShare(start, 4, 2))
	must.EqOp(t, 0, two.FreeShare(start, 4, 2))
	must.EqOp(t, 1, one.FreeShare(start, 8, 2)+two.FreeShare(start, 8, 2))
	must.EqOp(t, 1, one.FreeShare(start, 20, 2)+two.FreeShare(start, 20, 2))
	must.EqOp(t, 0.5, two.FreeShare(at(1500), 4, 2), must.Sprint("stale reports count for nothing"))
}

// Whatever happens, each request ends exactly once, no request waits longer than its limit, and counts agree with the queue.
func TestQueue_Properties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.MaxWaiting = rapid.IntRange(1, 12).Draw(t, "max")
		q := New(config)
		now, id := start, uint64(0)
		open := make(map[uint64]time.Time)
		ended := func(id uint64) {
			_, found := open[id]
			must.True(t, found)
			delete(open, id)
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				id++
				r := Request{
					ID: id, Priority: rapid.IntRange(-2, 12).Draw(t, "priority"), Team: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "team"),
					Chat:      uint64(rapid.IntRange(0, 3).Draw(t, "chat")),
					Deadline:  now.Add(time.Duration(rapid.IntRange(-10, 900).Draw(t, "left")) * time.Millisecond),
					Objective: time.Duration(rapid.IntRange(1, 400).Draw(t, "objective")) * time.Millisecond, Spread: rapid.Float64Range(0, 0.99).Draw(t, "spread"),
				}
				q.Arrived(now, r.Priority, r.Team)
				d := q.Offer(now, r, 0)
				if d.HasDisplaced {
					ended(d.Displaced.ID)
				}
				if d.Wait {
					must.False(t, d.Until.After(r.Deadline))
					must.LessEq(t, 200*time.Millisecond, d.Until.Sub(now))
					open[id] = d.Until
				} else {
					must.NotEq(t, NotRefused, d.Reason)
					must.Positive(t, d.RetryAfter)
				}
			case 3:
				q.PlaceFree(now)
				if next := q.Next(1); len(next) > 0 {
					q.Sent(now, next[0])
					ended(next[0])
				}
			case 4:
				for _, r := range q.Expired(now) {
					must.False(t, now.Before(open[r.ID]))
					ended(r.ID)
				}
				for _, until := range open {
					must.True(t, until.After(now))
				}
			case 5:
				if next := q.Next(3); len(next) > 0 {
					q.Remove(next[len(next)-1])
					ended(next[len(next)-1])
				}
			case 6:
				q.SetPriority(uint64(rapid.IntRange(0, 50).Draw(t, "id")), rapid.IntRange(-2, 12).Draw(t, "new"))
			case 7:
				q.Hear(now, "peer", [Classes]int{rapid.IntRange(-1, 9).Draw(t, "n"), 1}, nil, 3)
				q.Yields(now, rapid.IntRange(0, 9).Draw(t, "class"))
				share := q.FreeShare(now, rapid.Float64Range(0, 20).Draw(t, "free"), 3)
				must.True(t, share >= 0 && share <= 1+1e-9)
			}
			must.LessEq(t, config.MaxWaiting, q.Len())
			must.EqOp(t, len(open), q.Len())
			sum := 0
			for _, n := range q.Waiting() {
				must.True(t, n >= 0)
				sum += n
			}
			must.EqOp(t, q.Len(), sum)
		}
	})
}
