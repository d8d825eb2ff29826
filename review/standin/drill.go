package main

import (
	"errors"
	"time"
)

func init() { cases["completed-reverts"] = completedReverts }

// completedReverts: a rollout is completed, and the old runners are stopped. Then the store comes back from a copy that was made during the rollout, and
// at the end of the drill the final fault kills all processes. Without the disruption there is no drill.
func completedReverts(f *fleet, trouble bool) error {
	if err := f.startSmall(); err != nil {
		return err
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	c := &clients{fleet: f}
	go func() { defer close(stopped); c.run(400, stop) }()
	defer func() { close(stop); <-stopped }()
	time.Sleep(2 * time.Second)

	ordered := time.Now()
	newer, err := f.orderRollout(12 * time.Second)
	if err != nil {
		return err
	}
	var copies []storeCopy
	for f.status("ledger") != "completed" {
		if copies = append(copies, f.store.backup()); time.Since(ordered) > 12*time.Second {
			return errNotCompleted
		}
		time.Sleep(250 * time.Millisecond)
	}
	f.stopOlder(ordered)
	time.Sleep(time.Until(ordered.Add(11 * time.Second)))
	if trouble {
		if err := f.drill(copies, 5*time.Second); err != nil {
			return err
		}
	}
	return f.finalFault(c, newer)
}

// drill takes the store away for a moment and brings it back from a copy of the given age. What the operator and the runners wrote since is written
// again.
func (f *fleet) drill(copies []storeCopy, age time.Duration) error {
	f.store.goAway()
	f.record.log("drill     the store is away")
	time.Sleep(time.Second)
	for i := len(copies) - 1; i >= 0; i-- {
		if time.Since(copies[i].at) < age {
			continue
		}
		f.store.restore(copies[i])
		f.record.log("drill     the store is back from a copy that is %.1f s old", time.Since(copies[i].at).Seconds())
		for _, u := range f.runners {
			if u.version == "v1" && u.service == "ledger" {
				f.store.remove(keyServers + u.id)
			} else {
				u.beat()
			}
		}
		return nil
	}
	return errors.New("there is no copy of that age")
}
