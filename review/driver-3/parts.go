package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// firstPart is the first part of all prompts of the case, crashingPart the one that crashes runners.
	firstPart    = "5c1e07a2"
	crashingPart = "91bd3f06"
	// confirmEvents is the number of events of an answer to booking-confirm.
	confirmEvents = 4
	// crashingRequests is the number of requests with the crashing part, one every 1.5 s.
	crashingRequests = 32
	// minCompared is the number of requests that the rule needs on both sides.
	minCompared = 20
)

// modelConfig returns a configuration with the route of booking-confirm.
func modelConfig(version int, service string, tenants ...tenant) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-confirm", "Host": host, "PathPrefix": "/confirm/", "Kind": "streaming", "TimeoutMs": 3000, "TargetLatencyMs": 400, "GapAimMs": 250,
			"Priority": 2, "Service": service, "MaxAttempts": 1, "Public": false, "Sticky": true, "Resumable": false,
		}},
		"Services": []any{map[string]any{
			"Name": service, "HealthPath": "/health", "MaxConns": 370, "ColdS": 3.0, "ColdPerS": 13.0,
			"Engine": map[string]any{"Slots": 64, "KvCapacity": 436460, "KvTokenBytes": 163840, "LinkMbps": 260000.0},
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": tenants,
	}
}

// streamUnframed answers with a stream that has neither a length nor chunks and ends with its connection. It writes part of the answer only if the
// runner crashes meanwhile.
func streamUnframed(u *runner, w http.ResponseWriter, r *http.Request, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close() //nolint:errcheck // the end of the connection is the end of the answer
	abort := func() { _ = conn.(*net.TCPConn).SetLinger(0) }
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\n%s: s-%s-%s\r\nWeight-Versions: 1\r\n\r\n",
		id, signatureHeader, id, u.id)
	if _, err := conn.Write([]byte(head)); err != nil {
		return
	}
	for n := 1; n <= confirmEvents; n++ {
		select {
		case <-time.After(15 * time.Millisecond):
		case <-u.stopped:
			abort()
			return
		}
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
	}
}

// signatureHeader is the header with the signature of a runner.
const signatureHeader = "response-signature"

// crashingPartRefusesSoundRequests sends requests with a part that crashes each runner that begins to write an answer on it, beside sound requests of
// the same caller with the same first part. The runners answer with streams that end with their connections.
func crashingPartRefusesSoundRequests(l *lab, trouble bool) (int, error) {
	const service, key = "press", "key-one-0123456789ab"
	var c crashes
	l.answer = streamUnframed
	l.onRequest = func(u *runner, r *http.Request) {
		if !strings.Contains(r.Header.Get(partsHeader), crashingPart) {
			return
		}
		c.add(time.Now())
		if trouble {
			l.crash(u)
			panic(http.ErrAbortHandler)
		}
	}
	if err := l.addRunners(service, 12, 64, 20*time.Millisecond); err != nil {
		return 0, err
	}
	l.store.put(configKey, modelConfig(3, service, tenant{"t-one", []string{key}}))
	for i := range 2 {
		if _, err := l.addGateway("front-"+zones[i]+"-1", zones[i]); err != nil {
			return 0, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return 0, err
	}
	send := func(i, n int, parts string) answer {
		return l.send(l.gateways[(i+n)%2], request{
			method: "POST", path: fmt.Sprintf("/confirm/%d", n), key: key, deadline: 3 * time.Second, body: []byte("confirm the pickup"),
			header: map[string]string{partsHeader: parts, countHeader: "2401,24", "Model": "m"},
		})
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
				case <-time.After(100 * time.Millisecond):
				}
				a := send(i, n, fmt.Sprintf("%s:2041,%08x:360", firstPart, 0x1000000*(i+1)+n))
				mu.Lock()
				sound = append(sound, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(10 * time.Second)
	from := time.Now()
	l.note("requests with the crashing part begin")
	for n := range crashingRequests {
		send(0, n, fmt.Sprintf("%s:2041,%s:410,%08x:250", firstPart, crashingPart, 0x7000000+n))
		time.Sleep(1500 * time.Millisecond)
	}
	until := time.Now()
	close(stop)
	clients.Wait()
	return judgeSound(l, &c, sound, from, until, trouble)
}

// judgeSound checks the rule: from 2 x StableWindowMs after the fifth crash or the last, while requests with the part still come, sound requests begin at the first
// attempt at least half as often as before.
func judgeSound(l *lab, c *crashes, sound []answer, from, until time.Time, trouble bool) (int, error) {
	all := l.runs.snapshot()
	var before, begunBefore, after, begunAfter int
	since := from
	if trouble {
		if len(c.reached) == 0 {
			return 0, fmt.Errorf("no request with the part reached a runner")
		}
		since = c.reached[min(len(c.reached), 5)-1].Add(2 * stableWindow)
	}
	for _, a := range sound {
		begun := slices.ContainsFunc(all, func(r run) bool { return r.id == a.id })
		switch {
		case a.sent.After(from.Add(-5*time.Second)) && a.sent.Before(from):
			before++
			if begun {
				begunBefore++
			}
		case a.sent.After(since) && a.sent.Before(until):
			after++
			if begun {
				begunAfter++
			}
		}
	}
	l.note("requests with the part reached runners %d times", len(c.reached))
	l.note("sound requests with the same first part: %d of %d begun before, %d of %d begun later than 6 s after the fifth (or last) crash",
		begunBefore, before, begunAfter, after)
	if min(before, after) < minCompared || begunBefore == 0 {
		return 0, fmt.Errorf("too few requests to compare")
	}
	if float64(begunAfter)/float64(after) < float64(begunBefore)/float64(before)/2 {
		return broken, nil
	}
	return held, nil
}

// Headers of requests to model runners.
const (
	partsHeader = "prompt-prefix"
	countHeader = "token-count"
)
