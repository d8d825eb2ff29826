package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// storeDoor is the way of one gateway to the store. While it is shut, the gateway is turned away with 503.
type storeDoor struct {
	store *store
	shut  atomic.Bool
}

func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.shut.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.store.ServeHTTP(w, r)
}

func (f *fleet) openDoor() (*storeDoor, net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	d := &storeDoor{store: f.store}
	go func() { _ = http.Serve(l, d) }()
	return d, l, nil
}

// rolloutLeader returns the gateway that holds the lease of the rollout, nil if there is none.
func (f *fleet) rolloutLeader() *gateway {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for key, i := range f.store.items {
		if !strings.HasPrefix(key, "lease/rollout/") {
			continue
		}
		for _, g := range f.gateways {
			if strings.Contains(string(i.Value), g.name) {
				return g
			}
		}
	}
	return nil
}

// registeredFor returns how long the store still keeps a gateway's registration without a renewal.
func (s *store) registeredFor(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, i := range s.items {
		if strings.HasSuffix(key, "/"+name) && i.Lease != 0 {
			return time.Until(s.leases[i.Lease])
		}
	}
	return 0
}

func init() { cases["stale-leader"] = staleLeader }

// staleLeader: the store turns the leader of a rollout away for nine seconds. Another gateway takes over and completes the rollout; the old runners are
// stopped. The final fault follows when the store serves all again.
func staleLeader(f *fleet, trouble bool) error {
	const within, away = 23 * time.Second, 9 * time.Second
	doors := map[string]*storeDoor{}
	f.doorOf = func(name string) (string, error) {
		d, l, err := f.openDoor()
		if err != nil {
			return "", err
		}
		doors[name] = d
		return l.Addr().String(), nil
	}
	if err := f.startSmall(); err != nil {
		return err
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	c := &clients{fleet: f}
	go func() { defer close(stopped); c.run(400, stop) }()
	defer func() { close(stop); <-stopped }()
	time.Sleep(2 * time.Second)
	ordered := time.Now()
	newer, err := f.orderRollout(within)
	if err != nil {
		return err
	}
	// The new version would get all traffic 15 s after the order.
	time.Sleep(time.Until(ordered.Add(13500 * time.Millisecond)))
	leader := f.rolloutLeader()
	if leader == nil {
		return fmt.Errorf("the rollout has no leader")
	}
	for f.store.registeredFor(leader.name) > 4400*time.Millisecond && time.Since(ordered) < 15*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	turnedAway := time.Now()
	if trouble {
		f.record.log("platform  the store turns %s away with 503, %.1f s after the order", leader.name, time.Since(ordered).Seconds())
		doors[leader.name].shut.Store(true)
	}
	for f.status("ledger") != "completed" {
		if time.Since(ordered) > within {
			return errNotCompleted
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.stopOlder(ordered)
	time.Sleep(time.Until(turnedAway.Add(away)))
	doors[leader.name].shut.Store(false)
	f.record.log("platform  the store serves %s again, status %s", leader.name, f.status("ledger"))
	time.Sleep(200 * time.Millisecond)
	return f.finalFault(c, newer)
}
