package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// clients send safe requests to the gateways at a steady rate until stop is closed.
type clients struct {
	fleet *fleet
	mu    sync.Mutex
	sent  []servedRequest
}

type servedRequest struct {
	at     time.Time
	served bool
}

func (c *clients) run(perSecond int, stop <-chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	client := newClient()
	client.Timeout = 3 * time.Second
	var n atomic.Int64
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		i := n.Add(1)
		c.fleet.mu.Lock()
		g := c.fleet.gateways[int(i)%len(c.fleet.gateways)]
		c.fleet.mu.Unlock()
		all.Go(func() {
			id := fmt.Sprint("q-", i)
			a := g.send(client, request{
				id: id, quiet: true, method: http.MethodGet, path: fmt.Sprint("/look/", i), key: "key-of-sorters", deadline: 3 * time.Second,
				header: map[string]string{headerWork: "5"},
			})
			run := c.fleet.runs.of(id)
			c.fleet.record.log("%s to %s: status %d after %v, ran %d times, at %s", id, g.name, a.status, a.endedAt.Sub(a.sentAt).Round(time.Millisecond), run.count, run.runner)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.sent = append(c.sent, servedRequest{a.sentAt, a.err == nil && a.status == http.StatusOK && a.signed})
		})
	}
}

// share returns the number of requests that were sent in a span of time, and how many of them were served.
func (c *clients) share(from, to time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.sent {
		if q.at.After(from) && q.at.Before(to) {
			sent++
			if q.served {
				served++
			}
		}
	}
	return sent, served
}

// status returns the state that the system reports for the rollout of a service.
func (f *fleet) status(service string) string {
	var status struct{ State string }
	_ = json.Unmarshal(f.store.value(keyStatus+service), &status)
	return status.State
}

const recoverS = 12

// orderRollout orders the move of the service to v2 and starts its runners.
func (f *fleet) orderRollout(within time.Duration) (newer []*runner, err error) {
	f.store.put(keyRollout+"ledger", map[string]any{"Service": "ledger", "Target": "v2", "DurationS": within.Seconds()})
	f.record.log("operator  orders the rollout of v2 within %v, acknowledged", within)
	for i, zone := range []string{"riga-a", "riga-b", "riga-c"} {
		u, err := f.addRunner(fmt.Sprint("i-ledger-new-", i+1), "ledger", zone, "v2", 6)
		if err != nil {
			return nil, err
		}
		newer = append(newer, u)
	}
	return newer, nil
}

var errNotCompleted = errors.New("the good version is not completed within the time of the order")

// stopOlder stops the runners of the old version, as is done when the system reports completed.
func (f *fleet) stopOlder(ordered time.Time) {
	f.record.log("system    reports completed %.1f s after the order; the old runners stop", time.Since(ordered).Seconds())
	for _, u := range f.runners {
		if u.service == "ledger" && u.version == "v1" {
			u.leave()
		}
	}
}

// finalFault kills all processes, starts them again and checks RECOVER.
func (f *fleet) finalFault(c *clients, newer []*runner) error {
	fault := time.Now()
	last, lastServed := c.share(fault.Add(-500*time.Millisecond), fault)
	f.record.log("result    served %d of %d in the half second before the final fault", lastServed, last)
	for _, g := range f.gateways {
		g.signal(syscall.SIGKILL)
		<-g.done
	}
	time.Sleep(1300 * time.Millisecond)
	for _, g := range f.gateways {
		if err := g.restart(); err != nil {
			return err
		}
	}
	back := time.Now()
	f.record.log("platform  has started all processes again")
	time.Sleep((recoverS + 6) * time.Second)
	before, servedBefore := c.share(fault.Add(-10*time.Second), fault)
	after, servedAfter := c.share(back.Add(recoverS*time.Second), time.Now().Add(-500*time.Millisecond))
	f.record.log("result    status %s; served %d of %d in the 10 s before the final fault, %d of %d later than RecoverS after it; sound runners of v2: %d",
		f.status("ledger"), servedBefore, before, servedAfter, after, len(newer))
	if servedBefore*4 >= before && servedAfter*4 < after {
		f.record.breach("RECOVER: %d of %d requests sent later than RecoverS after the machines are back are served, %d of %d were before the final fault",
			servedAfter, after, servedBefore, before)
	}
	return nil
}
