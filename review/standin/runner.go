package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is what is known of the runs of one request.
type run struct {
	count     int
	started   time.Time
	ended     time.Time
	completed bool
	tenant    string
	runner    string
}

// runs are the runs of all requests at all runners.
type runs struct {
	mu   sync.Mutex
	byID map[string]*run
}

func (r *runs) begin(id, runner, tenant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byID[id]
	if known == nil {
		known = &run{}
		r.byID[id] = known
	}
	known.count++
	known.started, known.tenant, known.runner = time.Now(), tenant, runner
}

func (r *runs) end(id string, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id].ended, r.byID[id].completed = time.Now(), completed
}

// of returns what is known of a request.
func (r *runs) of(id string) run {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byID[id]; known != nil {
		return *known
	}
	return run{}
}

// runner is a stand-in for a server of a service. It behaves like a sound one.
type runner struct {
	id, service, zone, version string
	slots                      int
	fleet                      *fleet
	listener                   net.Listener
	server                     *http.Server
	running                    atomic.Int64
	sequence                   atomic.Int64
	stop                       context.CancelFunc
}

func (f *fleet) addRunner(id, service, zone, version string, slots int) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	u := &runner{id: id, service: service, zone: zone, version: version, slots: slots, fleet: f, listener: listener, stop: stop}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	u.beat()
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(1200 * time.Millisecond):
				u.beat()
			}
		}
	}()
	f.runners = append(f.runners, u)
	return u, nil
}

// beat writes the runner's entry to the store.
func (u *runner) beat() {
	u.fleet.store.put(keyServers+u.id, map[string]any{
		"Service": u.service, "Address": u.listener.Addr().String(), "Zone": u.zone, "Version": u.version, "Slots": u.slots,
		"State": "ready", "ColdMs": 0, "Seq": u.sequence.Add(1), "born": u.fleet.record.started.UnixMilli(),
	})
}

// leave stops the runner at once and removes its entry.
func (u *runner) leave() {
	u.stop()
	_ = u.server.Close()
	u.fleet.store.remove(keyServers + u.id)
}

func milliseconds(h http.Header, name string) time.Duration {
	n, _ := strconv.Atoi(h.Get(name))
	return time.Duration(n) * time.Millisecond
}

func (u *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	switch r.URL.Path {
	case "/health":
		h.Set("Instance-Id", u.id)
		return
	case pathHeld:
		_, _ = io.WriteString(w, `{"epoch":1,"Next":1,"held":[]}`)
		return
	}
	id := r.Header.Get(headerRequestID)
	h.Set(headerRequestID, id)
	if r.Header.Get(headerInstance) != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if n := u.running.Add(1); n > int64(u.slots) {
		u.running.Add(-1)
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	u.fleet.runs.begin(id, u.id, r.Header.Get(headerTenant))
	quiet := strings.HasPrefix(id, "q-")
	if !quiet {
		u.fleet.record.log("runs      %s at %s (%s), tenant %q, body of %d bytes", id, u.id, u.version, r.Header.Get(headerTenant), len(body))
	}
	completed := u.answer(w, r, id)
	u.fleet.runs.end(id, completed)
	if !completed && !quiet {
		u.fleet.record.log("cut       %s at %s: the caller's connection has ended", id, u.id)
	}
}

// answer writes the answer and reports whether it was written to its end.
func (u *runner) answer(w http.ResponseWriter, r *http.Request, id string) bool {
	h := w.Header()
	h.Set(headerSignature, "sig-"+id)
	h.Set("Server-"+"Load", fmt.Sprintf("%d,0,%d", u.running.Load(), u.slots))
	if !u.wait(r, milliseconds(r.Header, headerWork)) {
		return false
	}
	if !strings.HasPrefix(r.URL.Path, "/chat/") {
		_, err := io.WriteString(w, "answer to "+id)
		return err == nil && r.Context().Err() == nil
	}
	h.Set("Content-Type", "text/event-stream")
	events, _ := strconv.Atoi(r.Header.Get(headerEvents))
	last, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	control := http.NewResponseController(w)
	for n := last + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id); err != nil || control.Flush() != nil {
			return false
		}
		if n < events && !u.wait(r, milliseconds(r.Header, headerGap)) {
			return false
		}
	}
	return true
}

// wait returns false if the caller left meanwhile.
func (u *runner) wait(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}
