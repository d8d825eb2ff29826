package main

import (
	"fmt"
	"time"
)

const (
	// turnedAwayTime is how long the store turns the gateway away, turnedAwayTimes how often.
	turnedAwayTime  = 7 * time.Second
	turnedAwayTimes = 5
	// addedRoutes is the number of routes that come with each configuration.
	addedRoutes = 1500
	// keyClients is the number of clients that use the revoked key, keyClientPause the pause after each of their answers.
	keyClients     = 40
	keyClientPause = 10 * time.Millisecond
)

// lateView takes a key away while the store turns the gateway away for longer than revokeTime, in a version that also has other routes. No request
// that is sent with the key later than revokeTime after the acknowledgement may run, also not when the store serves the gateway again.
func lateView(l *lab) (verdict, error) {
	l.store.put(keyConfig, lateViewConfig(0))
	if err := l.addRunners("basket-app", 3, 6, 30*time.Millisecond); err != nil {
		return verdict{}, err
	}
	g, err := l.addGateway("front-suva-1", "suva")
	if err != nil {
		return verdict{}, err
	}
	late, ran := 0, 0
	for n := range turnedAwayTimes {
		p := newPress(l, g, fmt.Sprint("key-", n), keyClients, keyClientPause)
		time.Sleep(time.Second)
		if l.trouble {
			l.store.turnAway(true)
			l.record.line("the store turns the gateway away")
		}
		acknowledged := time.Now()
		l.store.put(keyConfig, lateViewConfig(n+1))
		l.record.line("a version without key-%d is acknowledged", n)
		time.Sleep(turnedAwayTime)
		l.store.turnAway(false)
		l.record.line("the store serves the gateway")
		time.Sleep(2 * time.Second)
		sent, running := p.endLate(acknowledged)
		late, ran = late+sent, ran+running
	}
	return verdict{ran > 0, lateKeyText(late, ran)}, nil
}

func lateKeyText(late, ran int) string {
	return fmt.Sprintf("%d requests were sent with a revoked key later than %v after the acknowledgement, %d of them ran", late, revokeTime, ran)
}

// lateViewConfig returns the configuration that has taken the first n keys away. Each one has other routes than the one before.
func lateViewConfig(n int) map[string]any {
	keys := []string{"key-a"}
	for i := n; i < turnedAwayTimes; i++ {
		keys = append(keys, fmt.Sprint("key-", i))
	}
	c := config(n+1, []tenant{{"north", keys}})
	if n == 0 {
		return c
	}
	routes := c["Routes"].([]map[string]any)
	for i := range addedRoutes {
		routes = append(routes, route(fmt.Sprintf("r-%d-%d", n, i), fmt.Sprintf("/more%d/%d/", n, i), "safe"))
	}
	c["Routes"] = routes
	return c
}
