package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// raisedGrace is the grace time that the changed settings name, in place of 8 s.
	raisedGrace = 16 * time.Second
	// streamEvents and streamGap give the length of a stream, 11 s.
	streamEvents, streamGap = 110, 100 * time.Millisecond
	// streamsEach is the number of streams at each gateway.
	streamsEach = 10
	// startGap is the time between the starts of two gateways.
	startGap = 330 * time.Millisecond
)

// streamEventsInChunks answers with a long stream.
func streamEventsInChunks(u *runner, w http.ResponseWriter, r *http.Request, id string) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(signatureHeader, "s-"+id+"-"+u.id)
	for n := 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(streamGap):
		case <-r.Context().Done():
			return
		}
	}
}

// setGrace replaces the grace time in the settings file, as the platform does, and announces it with SIGHUP if the process runs.
func (g *gateway) setGrace(from, to time.Duration) error {
	text, err := os.ReadFile(g.settings)
	if err != nil {
		return err
	}
	name := func(d time.Duration) []byte { return fmt.Appendf(nil, `"shutdown_s": %d`, int(d.Seconds())) }
	changed := bytes.Replace(text, name(from), name(to), 1)
	if bytes.Equal(changed, text) {
		return fmt.Errorf("the settings of %s have no grace time of %v", g.name, from)
	}
	if err := os.WriteFile(g.settings+".new", changed, 0o600); err != nil {
		return err
	}
	return os.Rename(g.settings+".new", g.settings)
}

// graceRaised raises the grace time in the settings, sends SIGHUP and, 0.2 s later, SIGTERM while streams are under way. Without the disruption the
// settings have had the longer time for some seconds.
func graceRaised(l *lab, trouble bool) (int, error) {
	const service, key = "press", "key-one-0123456789ab"
	l.answer = streamEventsInChunks
	if err := l.addRunners(service, 3, 64, 20*time.Millisecond); err != nil {
		return 0, err
	}
	c := modelConfig(3, service, tenant{"t-one", []string{key}})
	c["Routes"].([]any)[0].(map[string]any)["TimeoutMs"] = 15000
	l.store.put(configKey, c)
	for i, zone := range zones {
		if _, err := l.addGateway("front-"+zone+"-1", zones[i]); err != nil {
			return 0, err
		}
		time.Sleep(startGap)
	}
	if err := l.awaitReady(); err != nil {
		return 0, err
	}
	raise := func() error {
		for _, g := range l.gateways {
			if err := g.setGrace(8*time.Second, raisedGrace); err != nil {
				return err
			}
			g.signal(syscall.SIGHUP)
		}
		l.note("the settings name %v as the grace time, SIGHUP", raisedGrace)
		return nil
	}
	if !trouble {
		if err := raise(); err != nil {
			return 0, err
		}
	}
	time.Sleep(stableWindow + time.Second)
	var whole, lost atomic.Int64
	var clients sync.WaitGroup
	for _, g := range l.gateways {
		for n := range streamsEach {
			clients.Go(func() {
				a := l.send(g, request{
					method: "POST", path: fmt.Sprintf("/confirm/%d", n), key: key, deadline: 14 * time.Second, body: []byte("a long chat"),
					header: map[string]string{partsHeader: fmt.Sprintf("%s:10512,%08x:1300", firstPart, n+1), countHeader: "11812,660", "Model": "m"},
				})
				switch {
				case a.status == http.StatusOK:
					whole.Add(1)
				case a.status == 0:
					lost.Add(1)
				}
			})
		}
	}
	time.Sleep(time.Second)
	if trouble {
		if err := raise(); err != nil {
			return 0, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	l.note("SIGTERM")
	terminated := time.Now()
	for _, g := range l.gateways {
		g.signal(syscall.SIGTERM)
	}
	clients.Wait()
	l.note("the last stream has ended %.1f s after SIGTERM", time.Since(terminated).Seconds())
	l.note("%d streams whole, %d of %d begun 1 s before SIGTERM were cut", whole.Load(), lost.Load(), streamsEach*len(l.gateways))
	if whole.Load()+lost.Load() == 0 {
		return 0, fmt.Errorf("no stream began")
	}
	if lost.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
