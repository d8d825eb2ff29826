package main

import (
	"net/http"
	"sync"
	"time"
)

// press is a crowd of clients that use one key, each of them again and again.
type press struct {
	record  *record
	clients sync.WaitGroup
	stop    chan struct{}
	mu      sync.Mutex
	answers []answer
}

func newPress(l *lab, g *gatewayProcess, key string, clients int, pause time.Duration) *press {
	p := &press{record: l.record, stop: make(chan struct{})}
	for range clients {
		p.clients.Go(func() {
			c := newClient()
			defer c.CloseIdleConnections()
			for {
				select {
				case <-p.stop:
					return
				case <-time.After(pause):
				}
				p.add(send(c, l.record, g.callers, booking(key)))
			}
		})
	}
	return p
}

func (p *press) add(a answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers = append(p.answers, a)
}

// endLate ends the clients. It returns how many requests they sent later than revokeTime after a time, and how many of those ran.
func (p *press) endLate(since time.Time) (late, ran int) {
	close(p.stop)
	p.clients.Wait()
	for _, a := range p.answers {
		after := a.sentAt.Sub(since)
		if after <= revokeTime {
			continue
		}
		late++
		if p.record.runsOf(a.id) > 0 {
			ran++
			p.record.line("%s was sent %d ms after the acknowledgement and ran", a.id, after.Milliseconds())
		}
	}
	return late, ran
}

// booking is a request that must not be repeated.
func booking(key string) request {
	return request{method: http.MethodPost, path: "/book/1", key: key, deadline: requestTimeout, body: "{}"}
}
