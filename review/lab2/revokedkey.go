package main

import (
	"fmt"
	"time"
)

const (
	// copyAge is the age of the copy when the store goes away, awayTime how long it is away, rewriteTime the time from its return until the operator
	// has written again what it lacks.
	copyAge     = time.Second
	awayTime    = 5 * time.Second
	rewriteTime = time.Second
	// pressTime is how long clients use the revoked key after the acknowledgement.
	pressTime = 10 * time.Second
)

// revokedKey takes a key away just before the store is restored from a copy of before. No request that is sent with the key later than revokeTime
// after the acknowledgement may run.
func revokedKey(l *lab) (verdict, error) {
	l.store.put(keyConfig, config(1, []tenant{{"north", []string{"key-a", "key-b"}}}))
	after := config(2, []tenant{{"north", []string{"key-a"}}})
	if err := l.addRunners("basket-app", 3, 6, 30*time.Millisecond); err != nil {
		return verdict{}, err
	}
	for i, zone := range []string{"suva", "nadi"} {
		if _, err := l.addGateway(fmt.Sprintf("front-%s-%d", zone, i+1), zone); err != nil {
			return verdict{}, err
		}
	}
	var crowds []*press
	for _, g := range l.gateways {
		crowds = append(crowds, newPress(l, g, "key-b", 2, 50*time.Millisecond))
	}
	time.Sleep(2 * time.Second)
	saved := l.store.backup()
	time.Sleep(copyAge)
	acknowledged := time.Now()
	l.store.put(keyConfig, after)
	if l.trouble {
		l.store.leave()
	}
	l.record.line("version 2 without key-b is acknowledged")
	if l.trouble {
		l.record.line("the store is away")
		time.Sleep(awayTime)
		l.store.restore(saved)
		l.record.line("the store is back from the copy")
		time.Sleep(rewriteTime)
		l.store.put(keyConfig, after)
		l.record.line("the operator has written version 2 again")
	}
	time.Sleep(time.Until(acknowledged.Add(pressTime)))
	late, ran := 0, 0
	for _, p := range crowds {
		l, r := p.endLate(acknowledged)
		late, ran = late+l, ran+r
	}
	return verdict{ran > 0, lateKeyText(late, ran)}, nil
}
