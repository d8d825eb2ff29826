package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small deployments.
const (
	graceS        = 8
	revokeMS      = 5000
	configApplyMS = 2000
	stableWindow  = 3 * time.Second
)

const host = "review.example"

// fleet is a small deployment: the store, the runners and the gateways.
type fleet struct {
	mu       sync.Mutex
	record   *record
	runs     *runs
	store    *store
	listener net.Listener
	runners  []*runner
	gateways []*gateway
	dir      string
	binary   string
	routes   []any
	services []any
	version  int
	// doorOf, if set, returns the address at which a gateway reaches the store.
	doorOf func(name string) (string, error)
}

// gateway is one process of the system.
type gateway struct {
	fleet          *fleet
	name           string
	callers, ready string
	settings       map[string]any
	path           string
	process        *exec.Cmd
	done           chan struct{}
	termSentAt     time.Time
}

func newFleet(r *record, binary string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, runs: &runs{byID: map[string]*run{}}, store: newStore(), listener: listener, dir: dir, binary: binary}
	go func() { _ = http.Serve(listener, f.store) }()
	return f, nil
}

// route adds a route to the configuration that writeConfig writes.
func (f *fleet) route(name, kind, service string, attempts int, timeout time.Duration, resumable bool) {
	f.routes = append(f.routes, map[string]any{
		"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutMs": timeout.Milliseconds(), "TargetLatencyMs": 1000,
		"Priority": 1, "Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": resumable, "GapAimMs": 250,
	})
}

func (f *fleet) service(name string, connections int) {
	f.services = append(f.services, map[string]any{
		"Name": name, "HealthPath": "/health", "MaxConns": connections, "Protocol": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0,
	})
}

// tenant is an entry of the configuration's list of tenants.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"Name": name, "ApiKeys": keys, "Priority": 1}
}

// writeConfig writes the next version of the configuration and returns the time of the store's acknowledgement.
func (f *fleet) writeConfig(tenants []any) time.Time {
	f.version += 3
	f.store.put(keyConfig, map[string]any{
		"Version": f.version, "Routes": f.routes, "Services": f.services, "Tenants": tenants,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	text, _ := json.Marshal(tenants)
	f.record.log("operator  version %d of the configuration is acknowledged, tenants %s", f.version, text)
	return time.Now()
}

// unusedAddress returns a loopback address that was free a moment ago.
func unusedAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addGateway starts a gateway with the settings that the deploy file's template makes for a front machine.
func (f *fleet) addGateway(name, zone string) (*gateway, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = unusedAddress(); err != nil {
			return nil, err
		}
	}
	storeAddress := f.listener.Addr().String()
	if f.doorOf != nil {
		var err error
		if storeAddress, err = f.doorOf(name); err != nil {
			return nil, err
		}
	}
	g := &gateway{fleet: f, name: name, callers: addresses[0], ready: addresses[1], path: filepath.Join(f.dir, name+".json")}
	g.settings = map[string]any{
		"instance": name, "data_centre": zone, "callers_address": addresses[0], "ready_address": addresses[1], "peer_address": addresses[2],
		"metrics_address": addresses[3], "memory_mb": 284, "max_files": 4100,
		"data_centres": []any{
			map[string]any{"name": "riga-a", "region": "riga"}, map[string]any{"name": "riga-b", "region": "riga"},
			map[string]any{"name": "riga-c", "region": "riga"},
		},
		"store": map[string]any{"address": storeAddress, "reads_per_second": 2000, "writes_per_second": 400},
		"fleet": map[string]any{
			"shutdown_s": graceS, "config_ms": configApplyMS, "revoke_ms": revokeMS, "strict_revoke": true, "retry_ratio": 0.2, "retry_slack": 54,
			"load_factor": 2, "prompt_reuse_s": 10,
		},
	}
	if err := g.writeSettings(); err != nil {
		return nil, err
	}
	if err := g.restart(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways = append(f.gateways, g)
	return g, nil
}

// restart starts the process of a gateway, which must not be running.
func (g *gateway) restart() error {
	log, err := os.OpenFile(filepath.Join(g.fleet.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.process = exec.Command(g.fleet.binary, "gateway", "--settings", g.path)
	g.process.Stdout, g.process.Stderr = log, log
	if err := g.process.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.done = done
	go func() {
		_ = g.process.Wait()
		g.fleet.record.log("process   %s has ended: %s", g.name, g.process.ProcessState)
		_ = log.Close()
		close(done)
	}()
	return nil
}

// writeSettings writes the settings file as a whole.
func (g *gateway) writeSettings() error {
	text, err := json.Marshal(g.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(g.path+".new", g.path)
}

func (g *gateway) signal(s syscall.Signal) {
	g.fleet.record.log("platform  sends %v to %s", s, g.name)
	_ = g.process.Process.Signal(s)
}

// stop does what the platform does to stop a process: SIGTERM, and SIGKILL after the grace time.
func (g *gateway) stop(grace time.Duration) {
	g.termSentAt = time.Now()
	g.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-g.done:
		case <-time.After(grace):
			g.signal(syscall.SIGKILL)
		}
	}()
}

// isReady asks a gateway whether it is ready.
func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + g.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready and calm.
func (f *fleet) awaitReady() error {
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range f.gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(f.gateways) {
			time.Sleep(stableWindow)
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the gateways are not ready")
		}
	}
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, g := range f.gateways {
		_ = g.process.Process.Signal(syscall.SIGCONT)
		_ = g.process.Process.Kill()
		<-g.done
	}
	for _, u := range f.runners {
		u.stop()
		_ = u.server.Close()
	}
	_ = f.listener.Close()
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		for _, g := range f.gateways {
			text, _ := os.ReadFile(filepath.Join(f.dir, g.name+".log"))
			_ = os.WriteFile(filepath.Join(dir, g.name+".log"), text, 0o600)
		}
	}
	if err := os.RemoveAll(f.dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// startSmall starts three gateways before three model runners and three runners of a plain service.
func (f *fleet) startSmall() error {
	f.service("model", 360)
	f.service("ledger", 100)
	f.route("chat", "streaming", "model", 1, 15*time.Second, false)
	f.route("look", "safe", "ledger", 2, 3*time.Second, false)
	f.route("book", "unsafe", "ledger", 1, 3*time.Second, false)
	zones := []string{"riga-a", "riga-b", "riga-c"}
	for i, zone := range zones {
		if _, err := f.addRunner(fmt.Sprint("i-model-", i+1), "model", zone, "v1", 64); err != nil {
			return err
		}
		if _, err := f.addRunner(fmt.Sprint("i-ledger-", i+1), "ledger", zone, "v1", 6); err != nil {
			return err
		}
	}
	f.writeConfig([]any{tenant("sorters", "key-of-sorters"), tenant("charity", "key-of-charity")})
	for i, zone := range zones {
		if _, err := f.addGateway(fmt.Sprint("front-", i+1), zone); err != nil {
			return err
		}
	}
	return f.awaitReady()
}
