package membership

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/process/services"
)

// redialQueue holds unreachable instances in the order in which they are tried again.
type redialQueue struct {
	members  []*member
	attempts *rate.Limiter
}

// newRedialQueue returns a queue that tries at most the instances of one second at once.
func newRedialQueue(perSecond float64) redialQueue {
	burst := 0
	if perSecond > 0 {
		burst = max(1, int(perSecond))
	}
	return redialQueue{attempts: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// next removes the next unreachable member, or returns nil when there is none or no attempt is left.
func (q *redialQueue) next(now time.Time) *member {
	for len(q.members) > 0 {
		m := q.members[0]
		unreachable := m.unreachable()
		if unreachable && !q.attempts.AllowN(now, 1) {
			return nil
		}
		q.members = q.members[1:]
		if unreachable {
			return m
		}
		m.queued = false
	}
	return nil
}

// unreachable reports whether the last attempt to reach an instance that is listed as live failed.
func (m *member) unreachable() bool {
	return m.listed && m.State == services.InstanceLive && !m.connected && !m.downSince.IsZero()
}

// Redial returns the unreachable instances that are to be tried again now. Without it an instance that was cut off for longer than
// Config.DownAfter would get no work, and therefore no connection, ever after. It is called about once a second; each attempt ends in
// Connected or Disconnected.
func (t *Table) Redial(now time.Time) []services.Instance {
	var tried []*member
	var due []services.Instance
	for _, q := range []*redialQueue{&t.recovering, &t.unreachable} {
		for m := q.next(now); m != nil; m = q.next(now) {
			tried = append(tried, m)
			due = append(due, m.Instance)
		}
	}
	t.unreachable.members = append(t.unreachable.members, tried...)
	return due
}

// enqueue has a member tried again unless it is queued already.
func (t *Table) enqueue(m *member) {
	if !m.queued {
		m.queued = true
		t.unreachable.members = append(t.unreachable.members, m)
	}
}

// recovered has the unreachable members of a data centre tried soon, because one of them could be reached again.
func (t *Table) recovered(dataCentre string) {
	var rest []*member
	for _, m := range t.unreachable.members {
		if m.DataCentre == dataCentre {
			t.recovering.members = append(t.recovering.members, m)
		} else {
			rest = append(rest, m)
		}
	}
	t.unreachable.members = rest
}
