package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// revokeTime is the bound RevokeMs of the small deployments.
const revokeTime = 5 * time.Second

// revokedKeyAfterRestore takes a key away. When that has been in force for longer than the bound, all gateways lose power at the moment at which the
// store comes back from a copy from before. The operator writes its newest configuration again 1.5 s later.
func revokedKeyAfterRestore(l *lab, trouble bool) (int, error) {
	const service, kept, revoked = "basket", "kept-key-0123456789", "revoked-key-01234567"
	if err := l.addRunners(service, 3, 6, 30*time.Millisecond); err != nil {
		return 0, err
	}
	first := config(3, service, tenant{"t-one", []string{kept, revoked}}, tenant{"t-two", []string{"other-key-0123456789"}})
	second := config(5, service, tenant{"t-one", []string{kept}}, tenant{"t-two", []string{"other-key-0123456789"}})
	l.store.put(configKey, first)
	for i, zone := range zones {
		if _, err := l.addGateway("front-"+zone+"-1", zones[i]); err != nil {
			return 0, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var answers []answer
	stop := make(chan struct{})
	var clients sync.WaitGroup
	client := func(key, method, path string) {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				g := l.gateways[i%len(l.gateways)]
				if !g.answersReadiness.Load() {
					continue
				}
				a := l.send(g, request{method: method, path: path, key: key, deadline: 1500 * time.Millisecond})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	client(revoked, "POST", "/charge/1")
	client(revoked, "GET", "/status/1")
	client(kept, "POST", "/charge/2")
	time.Sleep(2 * time.Second)
	older := l.store.backup()
	l.note("the store is copied at revision %d", older.revision)
	time.Sleep(500 * time.Millisecond)
	if !l.store.put(configKey, second) {
		return 0, fmt.Errorf("the store did not accept the configuration")
	}
	acknowledged := time.Now()
	l.note("version 5 takes the key away, acknowledged")
	time.Sleep(revokeTime + time.Second)
	if trouble {
		l.note("the store is away, all gateways lose power")
		l.store.setAway(true)
		for _, g := range l.gateways {
			g.kill()
		}
		time.Sleep(500 * time.Millisecond)
		l.store.restore(older)
		l.note("the store is back from the copy, the gateways start")
		for _, u := range l.runners {
			u.beat()
		}
		for _, g := range l.gateways {
			if err := g.start(); err != nil {
				return 0, err
			}
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		l.store.put(configKey, second)
		l.note("the operator has written version 5 again")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	return judgeRevoked(l, answers, revoked, kept, acknowledged)
}

// judgeRevoked checks the rule: a request that was sent later than RevokeMs after the acknowledgement must not run with the key.
func judgeRevoked(l *lab, answers []answer, revoked, kept string, acknowledged time.Time) (int, error) {
	all := l.runs.snapshot()
	late, before, served := 0, 0, 0
	for _, a := range answers {
		ran := slices.ContainsFunc(all, func(r run) bool { return r.id == a.id })
		switch {
		case a.key == kept && a.status == 200:
			served++
		case a.key == revoked && ran && a.sent.Before(acknowledged):
			before++
		case a.key == revoked && ran && a.sent.After(acknowledged.Add(revokeTime)):
			late++
			l.note("BROKEN: %s with the revoked key was sent to %s %.3f s after the acknowledgement and ran", a.id, a.gateway,
				a.sent.Sub(acknowledged).Seconds())
		}
	}
	l.note("with the revoked key: %d ran before, %d ran that were sent later than %v after the acknowledgement; with the other key %d were served",
		before, late, revokeTime, served)
	if before == 0 || served == 0 {
		return 0, fmt.Errorf("the clients were not served: %d and %d", before, served)
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
