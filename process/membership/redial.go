package membership

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/process/services"
)

// redialQueue is a rate-limited FIFO queue of unreachable instances to redial.
type redialQueue struct {
	members  []*member
	attempts *rate.Limiter
}

// newRedialQueue returns a queue whose burst is the number of attempts of one second.
func newRedialQueue(perSecond float64) redialQueue {
	burst := 0
	if perSecond > 0 {
		burst = max(1, int(perSecond))
	}
	return redialQueue{attempts: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// pop removes the next unreachable member and returns it, or returns nil if there is none or the rate limit is reached. Members that are
// no longer unreachable are dropped from the queue.
func (q *redialQueue) pop(now time.Time) *member {
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

// unreachable reports whether an instance that is listed as live is disconnected and known to be down.
func (m *member) unreachable() bool {
	return m.listed && m.State == services.InstanceLive && !m.connected && !m.downSince.IsZero()
}

// DueRedials returns the unreachable instances to redial now and moves them to the end of the queue. An instance that was unreachable for
// longer than Config.DownAfter gets no work, so that nothing else would connect to it again. The caller calls DueRedials about once a
// second and reports the result of each attempt through Connected or Disconnected.
func (t *Table) DueRedials(now time.Time) []services.Instance {
	var tried []*member
	var due []services.Instance
	for _, q := range []*redialQueue{&t.recovering, &t.unreachable} {
		for m := q.pop(now); m != nil; m = q.pop(now) {
			tried = append(tried, m)
			due = append(due, m.Instance)
		}
	}
	t.unreachable.members = append(t.unreachable.members, tried...)
	return due
}

// enqueue adds a member to the unreachable queue unless it is in a queue already.
func (t *Table) enqueue(m *member) {
	if !m.queued {
		m.queued = true
		t.unreachable.members = append(t.unreachable.members, m)
	}
}

// promoteDataCentre moves the unreachable members of a data centre to the faster queue, because one of them is reachable again.
func (t *Table) promoteDataCentre(dataCentre string) {
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
