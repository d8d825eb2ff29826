package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// stableWindow is the bound StableWindowMs of the small deployments.
	stableWindow = 3 * time.Second
	// crashedFor is how long a runner that a request has crashed is away.
	crashedFor = 3 * time.Second
	// poisonPath is the path of the request that crashes runners.
	poisonPath = "/status/crash"
)

// crashes are the times at which a request crashed runners, and those at which it reached them.
type crashes struct {
	mu      sync.Mutex
	reached []time.Time
}

func (c *crashes) add(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached = append(c.reached, at)
}

// crashingRequest sends one request, which crashes each runner that begins to run it, again and again with the same path, caller and body. The interval
// is longer than the time for which a crash is remembered.
func crashingRequest(l *lab, trouble bool) (int, error) {
	return sendCrashing(l, trouble, 21*time.Second, 5, func(int) string { return poisonPath })
}

// crashingQuery does the same at short intervals. Only the query differs each time.
func crashingQuery(l *lab, trouble bool) (int, error) {
	return sendCrashing(l, trouble, 2*time.Second, 12, func(n int) string { return fmt.Sprintf("%s?try=%d", poisonPath, n) })
}

// sendCrashing sends the crashing request some times, at gateways by turns, beside charges of other callers.
func sendCrashing(l *lab, trouble bool, interval time.Duration, times int, target func(n int) string) (int, error) {
	const service, key = "basket", "key-one-0123456789ab"
	var c crashes
	l.onRequest = func(u *runner, r *http.Request) {
		if r.URL.Path != poisonPath {
			return
		}
		c.add(time.Now())
		l.note("the request reaches %s", u.id)
		if trouble {
			l.crash(u)
			panic(http.ErrAbortHandler)
		}
	}
	if err := l.addRunners(service, 3, 6, 60*time.Millisecond); err != nil {
		return 0, err
	}
	l.store.put(configKey, config(3, service, tenant{"t-one", []string{key}}))
	for i := range 2 {
		if _, err := l.addGateway("front-"+zones[i]+"-1", zones[i]); err != nil {
			return 0, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var sound []answer
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				a := l.send(l.gateways[(i+n)%2], request{method: "POST", path: fmt.Sprintf("/charge/%d/%d", i, n), key: key, deadline: 1500 * time.Millisecond})
				mu.Lock()
				sound = append(sound, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(stableWindow)
	for i := range times {
		if i > 0 {
			time.Sleep(interval)
		}
		a := l.send(l.gateways[i%2], request{method: "GET", path: target(i), key: key, deadline: 1500 * time.Millisecond})
		l.note("the request is sent for the %d. time: %s", i+1, a.outcome())
	}
	time.Sleep(stableWindow)
	close(stop)
	clients.Wait()
	return judgeCrashes(l, &c, sound, trouble)
}

// judgeCrashes checks the rule: the request reaches runners in no more than three retries later than StableWindowMs after it has crashed the third.
func judgeCrashes(l *lab, c *crashes, sound []answer, trouble bool) (int, error) {
	all := l.runs.snapshot()
	served, lost := 0, 0
	for _, a := range sound {
		switch {
		case a.status == 200:
			served++
		case slices.ContainsFunc(all, func(r run) bool { return r.id == a.id }):
			lost++
		}
	}
	l.note("sound requests: %d served, %d had begun to run and were lost", served, lost)
	if served == 0 {
		return 0, fmt.Errorf("no sound request was served")
	}
	if !trouble {
		return held, nil
	}
	if len(c.reached) < 3 {
		return 0, fmt.Errorf("the request reached %d runners", len(c.reached))
	}
	third, retries := c.reached[2], 0
	for _, at := range c.reached {
		if at.After(third.Add(stableWindow)) {
			retries++
		}
	}
	l.note("the request reached runners %d times; %d times later than %v after it had crashed the third", len(c.reached), retries, stableWindow)
	if retries > 3 {
		return broken, nil
	}
	return held, nil
}
