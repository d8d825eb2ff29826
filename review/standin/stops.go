package main

import (
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["grace-raised"] = graceRaised }

// streamsOverStop sends streams to a gateway that is told to stop half a second after the last one, and checks what becomes of them.
func (f *fleet) streamsOverStop(g *gateway, streams int, length, grace time.Duration) error {
	const gap = 100 * time.Millisecond
	events := int(length/gap) + 1
	answers := make([]answer, streams)
	ids := make([]string, streams)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		together(streams, 10*time.Millisecond, func(i int) {
			ids[i] = fmt.Sprintf("stream-%02d", i)
			answers[i] = g.send(newClient(), request{
				id: ids[i], method: http.MethodPost, path: "/chat/" + ids[i], key: "key-of-sorters", deadline: 15 * time.Second,
				header: map[string]string{headerEvents: strconv.Itoa(events), headerGap: strconv.FormatInt(gap.Milliseconds(), 10)},
				body:   []byte("prompt"),
			})
		})
	}()
	time.Sleep(time.Duration(streams)*10*time.Millisecond + 500*time.Millisecond)
	g.stop(grace)
	<-finished
	whole := 0
	for i, a := range answers {
		if f.checkStream(g, ids[i], a, events, grace) {
			whole++
		}
	}
	f.record.log("result    %d of %d streams are whole", whole, streams)
	return nil
}

// checkStream applies LOST to a stream that was sent before the SIGTERM. It returns whether the stream was whole.
func (f *fleet) checkStream(g *gateway, id string, a answer, events int, grace time.Duration) bool {
	if a.err == nil && a.status == http.StatusOK && a.signed && isWholeStream(a.body, id, events) {
		return true
	}
	run := f.runs.of(id)
	lastSixth := g.termSentAt.Add(grace * 5 / 6)
	switch {
	case a.err == nil:
		f.record.log("refused   %s: complete answer with status %d", id, a.status)
	case run.count == 0:
		f.record.log("not run   %s", id)
	case a.endedAt.After(g.termSentAt.Add(grace + time.Second)):
		f.record.log("excused   %s: it ended more than 1 s after the grace time", id)
	case run.ended.After(lastSixth) || run.ended.IsZero():
		f.record.log("excused   %s: its runner was at work in the last sixth of the grace time", id)
	default:
		f.record.breach("LOST: %s was passed on to %s, and its connection ended without a complete answer %.2f s after SIGTERM (grace time %v, deadline 15 s)",
			id, run.runner, a.endedAt.Sub(g.termSentAt).Seconds(), grace)
	}
	return false
}

// graceRaised: the settings file gets a longer grace time, which SIGHUP announces. Later the process is told to stop.
func graceRaised(f *fleet, trouble bool) error {
	if err := f.startSmall(); err != nil {
		return err
	}
	g, grace := f.gateways[0], graceS*time.Second
	if trouble {
		grace = 16 * time.Second
		g.settings["fleet"].(map[string]any)["shutdown_s"] = grace.Seconds()
		if err := g.writeSettings(); err != nil {
			return err
		}
		f.record.log("platform  has filled in the settings of %s again, grace time %v", g.name, grace)
		g.signal(syscall.SIGHUP)
	}
	time.Sleep(5 * time.Second)
	return f.streamsOverStop(g, 20, 11*time.Second, grace)
}
