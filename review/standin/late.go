package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

func init() { cases["late-streams"] = lateStreams }

// lateStreams: callers that keep their connections ask their next question as soon as they have the answer to the one before. The process is told to stop
// while they wait for the first answer.
func lateStreams(f *fleet, trouble bool) error {
	const (
		callers       = 20
		grace         = graceS * time.Second
		gap           = 100 * time.Millisecond
		first, second = 43, 56 // events
	)
	if err := f.startSmall(); err != nil {
		return err
	}
	g := f.gateways[0]
	ask := func(c *http.Client, id string, events int) answer {
		return g.send(c, request{
			id: id, method: http.MethodPost, path: "/chat/" + id, key: "key-of-sorters", deadline: 15 * time.Second,
			header: map[string]string{headerEvents: strconv.Itoa(events), headerGap: strconv.FormatInt(gap.Milliseconds(), 10)}, body: []byte("prompt"),
		})
	}
	go func() {
		time.Sleep(callers*20*time.Millisecond + 300*time.Millisecond)
		if trouble {
			g.stop(grace)
		}
	}()
	var whole, refused atomic.Int64
	together(callers, 20*time.Millisecond, func(i int) {
		c := newClient()
		for n, events := range []int{first, second} {
			id := fmt.Sprintf("stream-%02d-%d", i, n+1)
			a := ask(c, id, events)
			run := f.runs.of(id)
			late := a.sentAt.Sub(g.termSentAt)
			switch {
			case a.err == nil && a.status == http.StatusOK && isWholeStream(a.body, id, events):
				whole.Add(1)
				continue
			case a.err == nil || run.count == 0:
				refused.Add(1)
			case !trouble || a.endedAt.After(g.termSentAt.Add(grace+time.Second)):
				f.record.log("excused   %s", id)
			case late <= 3*time.Second && run.ended.After(g.termSentAt.Add(grace*5/6)):
				f.record.log("excused   %s: sent %.2f s after SIGTERM, its runner was at work in the last sixth of the grace time", id, late.Seconds())
			default:
				f.record.breach("LOST: %s, sent %.2f s after SIGTERM on a kept connection, was passed on to %s and cut %.2f s after SIGTERM (grace time %v, deadline 15 s)",
					id, late.Seconds(), run.runner, a.endedAt.Sub(g.termSentAt).Seconds(), grace)
			}
			return
		}
	})
	f.record.log("result    %d streams are whole, %d were refused or not taken", whole.Load(), refused.Load())
	return nil
}
