package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which runners write their entries, as in the settings of the small deployments.
const heartbeat = 1200 * time.Millisecond

// run is one request that a runner began to work on.
type run struct {
	id, tenant, runner string
	at                 time.Time
	// ended is the time at which the runner ended its work, zero if it was stopped before.
	ended time.Time
}

// runs are the requests that all runners began to work on.
type runs struct {
	mu  sync.Mutex
	all []*run
}

func (l *runs) begin(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, r)
}

func (l *runs) end(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended = time.Now()
}

func (l *runs) snapshot() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.all {
		out = append(out, *r)
	}
	return out
}

// runner is a stand-in of a runner.
type runner struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	store                      *store
	runs                       *runs
	born                       int64
	server                     *http.Server
	listener                   net.Listener
	sequence                   atomic.Int64
	running                    atomic.Int64
	// onRequest is called before the work on a request, nil for nothing.
	onRequest func(u *runner, r *http.Request)
	// answer writes the answer to a request that has run, nil for a short body with its length.
	answer func(u *runner, w http.ResponseWriter, r *http.Request, id string)
	// leaving is set once the runner leaves: it says so in all its answers.
	leaving atomic.Bool
	stopped chan struct{}
	once    sync.Once
}

// startRunner starts a runner, which registers itself.
func (l *lab) startRunner(id, service, zone string, slots int, work time.Duration) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &runner{
		id: id, service: service, zone: zone, address: listener.Addr().String(), slots: slots, work: work, store: l.store, runs: &l.runs,
		born: time.Now().UnixMilli(), listener: listener, stopped: make(chan struct{}), onRequest: l.onRequest, answer: l.answer,
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	u.beat()
	go u.beats()
	return u, nil
}

// beat writes the runner's entry. It reports whether the store has accepted it.
func (u *runner) beat() bool {
	state := "ready"
	if u.leaving.Load() {
		state = "draining"
	}
	return u.store.put(serverPrefix+u.id, map[string]any{
		"Service": u.service, "Address": u.address, "Zone": u.zone, "Version": "v1", "Slots": u.slots, "State": state, "ColdMs": 0,
		"Seq": u.sequence.Add(1), "born": u.born,
	})
}

func (u *runner) beats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-u.stopped:
			return
		case <-ticker.C:
			u.beat()
		}
	}
}

// stop ends the runner, as the end of its process does.
func (u *runner) stop() {
	u.once.Do(func() {
		close(u.stopped)
		_ = u.server.Close()
	})
}

// ServeHTTP implements the protocol of runners.
func (u *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Id", u.id)
	h.Set("server-load", fmt.Sprintf("%d,0,%d", min(u.running.Load(), int64(u.slots)), u.slots))
	leaving := u.leaving.Load()
	if leaving {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	refuse := func(status int) {
		h.Set("not-executed", "1")
		w.WriteHeader(status)
	}
	switch expected := r.Header.Get("expect-instance"); {
	case expected != "" && expected != u.id:
		refuse(http.StatusMisdirectedRequest)
		return
	case id == "":
		refuse(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if u.running.Add(1) > int64(u.slots) {
		u.running.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	began := &run{id: id, tenant: r.Header.Get("Tenant"), runner: u.id, at: time.Now()}
	u.runs.begin(began)
	if u.onRequest != nil {
		u.onRequest(u, r)
	}
	select {
	case <-time.After(u.work):
	case <-u.stopped:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	u.runs.end(began)
	if u.answer != nil {
		u.answer(u, w, r, id)
		return
	}
	text := "answer to " + id
	h.Set(signatureHeader, "s-"+id+"-"+u.id)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}
