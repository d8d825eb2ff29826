package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// runner is a stand-in of one runner of a service. It runs each request that it gets and answers after work.
type runner struct {
	id, service, address, zone string
	slots                      int
	work                       time.Duration
	running                    atomic.Int64
	listener                   net.Listener
	record                     *record
	seq                        int
	born                       int64
}

func startRunner(id, service, zone string, slots int, work time.Duration, record *record) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, service: service, address: listener.Addr().String(), zone: zone, slots: slots, work: work, listener: listener, record: record,
		born: time.Now().UnixMilli(),
	}
	go func() { _ = http.Serve(listener, r) }()
	return r, nil
}

// entry is the runner's registration.
func (r *runner) entry() map[string]any {
	r.seq++
	return map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": r.slots, "State": "ready", "ColdMs": 0, "Seq": r.seq,
		"born": r.born,
	}
}

// register writes the registration now and then, until the program ends.
func (r *runner) register(s *store) {
	for {
		s.put(keyServers+r.id, r.entry())
		time.Sleep(heartbeat)
	}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	load := r.running.Add(1)
	defer r.running.Add(-1)
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", load, r.slots))
	if q.URL.Path == healthPath {
		w.Header().Set("Instance-Id", r.id)
		return
	}
	id := q.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if expected := q.Header.Get(headerInstance); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.record.ran(id, r.id)
	w.Header().Set(headerSignature, "s-"+id)
	if strings.HasPrefix(q.URL.Path, "/chat/") {
		r.serveStream(w)
		return
	}
	time.Sleep(r.work)
	_, _ = io.WriteString(w, answerOf(id))
}

// answerOf is the body of the answer to a request.
func answerOf(id string) string { return strings.Repeat(id+" ", 40) }
