// Command lab2 plays the scripts of the review against gateway processes of the project, with stand-ins for the platform's store, runners and
// clients.
//
// Usage: lab2 CASE FOLDER. It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The small deployment that all cases share.
const (
	host       = "orders.example"
	healthPath = "/health"
	heartbeat  = 1200 * time.Millisecond
	// revokeTime is RevokeMs, requestTimeout the TimeoutMs of the routes and the clients' deadline.
	revokeTime     = 5 * time.Second
	requestTimeout = 1500 * time.Millisecond
)

// lab is what a case works with.
type lab struct {
	record  *record
	store   *store
	dir     string
	trouble bool
	// oneCore makes the gateways see one core.
	oneCore bool
	// gateways are the processes to end.
	gateways []*gatewayProcess
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*lab) (verdict, error){
	"late-view":   lateView,
	"long-path":   longPath,
	"revoked-key": revokedKey,
	"two-signals": twoSignals,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*lab) (verdict, error), folder string) int {
	dir, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return cannotRun(err)
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary folder
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return cannotRun(err)
	}
	defer r.close()
	s, err := newStore()
	if err != nil {
		return cannotRun(err)
	}
	l := &lab{record: r, store: s, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer l.end()
	v, err := run(l)
	if err != nil {
		r.line("cannot run: %v", err)
		return cannotRun(err)
	}
	r.line("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return 1
	}
	return 0
}

func cannotRun(err error) int {
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	return 2
}

// end kills the gateways that still run.
func (l *lab) end() {
	for _, g := range l.gateways {
		g.kill()
	}
}

// addGateway starts a gateway and waits until it is ready.
func (l *lab) addGateway(name, zone string) (*gatewayProcess, error) {
	g, err := startGateway(l.dir, name, zone, l.store.address, l.oneCore)
	if err != nil {
		return nil, err
	}
	l.gateways = append(l.gateways, g)
	return g, g.awaitReady(10 * time.Second)
}

// addRunners starts runners of a service, one in each zone in turn.
func (l *lab) addRunners(service string, count, slots int, work time.Duration) error {
	zones := []string{"suva", "nadi", "lautoka"}
	for i := range count {
		r, err := startRunner(fmt.Sprintf("i-%s-%d", service, i), service, zones[i%len(zones)], slots, work, l.record)
		if err != nil {
			return err
		}
		go r.register(l.store)
	}
	return nil
}

// tenant is an entry of the configuration's list of tenants.
type tenant struct {
	Name    string
	ApiKeys []string
}

// config returns a configuration with one plain service.
func config(version int, tenants []tenant) map[string]any {
	return map[string]any{
		"Version":  version,
		"Routes":   []map[string]any{route("book", "/book/", "unsafe"), route("look", "/look/", "safe")},
		"Services": []map[string]any{{"Name": "basket-app", "HealthPath": healthPath, "MaxConns": 110, "ColdS": 0, "ColdPerS": 0}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  tenants,
	}
}

func route(name, prefix, kind string) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": requestTimeout.Milliseconds(), "TargetLatencyMs": 150, "Priority": 0,
		"Service": "basket-app", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false,
	}
}
