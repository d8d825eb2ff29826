package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lab is a small deployment on loopback addresses: the store, runners and gateways.
type lab struct {
	dir     string
	store   *store
	runs    runs
	runners []*runner
	// onRequest and answer are given to the runners.
	onRequest func(u *runner, r *http.Request)
	answer    func(u *runner, w http.ResponseWriter, r *http.Request, id string)
	gateways  []*gateway

	mu      sync.Mutex
	record  *os.File
	started time.Time
	nextID  atomic.Int64
}

func newLab(record string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	return &lab{dir: dir, store: s, record: file, started: time.Now()}, err
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) close() {
	for _, g := range l.gateways {
		g.kill()
	}
	l.mu.Lock()
	runners := l.runners
	l.mu.Unlock()
	for _, u := range runners {
		u.stop()
	}
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

// addRunners starts n runners of a service, in the zones by turns.
func (l *lab) addRunners(service string, n, slots int, work time.Duration) error {
	for i := range n {
		if err := l.addRunner(fmt.Sprintf("i-%s-%d", service, i+1), service, zones[i%len(zones)], slots, work); err != nil {
			return err
		}
	}
	return nil
}

func (l *lab) addRunner(id, service, zone string, slots int, work time.Duration) error {
	u, err := l.startRunner(id, service, zone, slots, work)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runners = append(l.runners, u)
	return nil
}

// crash ends a runner, as the end of its process does, and starts it again some seconds later as a new incarnation. Its entry goes when the store has
// not heard of it for three heartbeats.
func (l *lab) crash(u *runner) {
	u.stop()
	l.note("%s has crashed", u.id)
	time.AfterFunc(crashedFor, func() {
		id := fmt.Sprintf("%s-%d", u.id, l.nextID.Add(1))
		if err := l.addRunner(id, u.service, u.zone, u.slots, u.work); err != nil {
			l.note("%s does not start: %v", id, err)
		}
	})
	time.AfterFunc(3*heartbeat, func() { l.store.remove(serverPrefix + u.id) })
}

var zones = []string{"suva", "nadi", "lautoka"}

// host is the host of all routes.
const host = "wuny96.example"

// tenant is a tenant of a configuration.
type tenant struct {
	Name    string
	ApiKeys []string
}

// config returns a configuration with an unsafe and a safe route to one plain service.
func config(version int, service string, tenants ...tenant) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 1500, "TargetLatencyMs": 150, "Priority": 2,
			"Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": false,
		}
	}
	return map[string]any{
		"Version":  version,
		"Routes":   []any{route("r-charge", "/charge/", "unsafe", 1), route("r-status", "/status/", "safe", 2)},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/health", "MaxConns": 110, "ColdS": 0, "ColdPerS": 0}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  tenants,
	}
}

// gateway is one gateway and its settings, across the starts of its process.
type gateway struct {
	lab            *lab
	name, settings string
	front, ready   string
	log            *os.File
	// answersReadiness is the result of the latest readiness check.
	answersReadiness atomic.Bool

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// firstPort and ports are the range from which the addresses of gateways are drawn. It is below the ports that the kernel gives to connections.
const firstPort, ports = 20_000, 12_000

// freeAddress returns an address of which the port is free.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", err
}

// addGateway prepares and starts a gateway with the settings that the template of the deploy file gives on the smallest deployment.
func (l *lab) addGateway(name, zone string) (*gateway, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	centres := []any{}
	for _, z := range zones {
		centres = append(centres, map[string]any{"name": z, "region": "viti-levu"})
	}
	text, err := json.MarshalIndent(map[string]any{
		"instance": name, "data_centre": zone, "data_centres": centres,
		"callers_address": addresses[0], "ready_address": addresses[1], "peer_address": addresses[2], "metrics_address": addresses[3],
		"memory_mb": 284, "max_files": 4100, "link_mbps": 1000.0,
		"store": map[string]any{"address": l.store.address, "reads_per_second": 2000, "writes_per_second": 400},
		"fleet": map[string]any{
			"shutdown_s": 8, "config_ms": 2000, "revoke_ms": 5000, "strict_revoke": true, "retry_ratio": 0.2, "retry_slack": 58, "load_factor": 2,
			"prompt_reuse_s": 10,
		},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	g := &gateway{lab: l, name: name, settings: filepath.Join(l.dir, name+".json"), front: addresses[0], ready: addresses[1]}
	if err := os.WriteFile(g.settings, text, 0o600); err != nil {
		return nil, err
	}
	if g.log, err = os.Create(filepath.Join(l.dir, name+".log")); err != nil {
		return nil, err
	}
	go g.checkReadiness()
	l.gateways = append(l.gateways, g)
	return g, g.start()
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process = exec.Command("target/jayridge", "gateway", "--settings", g.settings)
	g.process.Stdout, g.process.Stderr = g.log, g.log
	// The process ends with the driver, however that ends.
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.process.Start(); err != nil {
		return err
	}
	process, exited := g.process, make(chan struct{})
	g.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		_ = g.process.Process.Signal(s)
	}
}

// kill ends the process at once.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	if exited != nil {
		<-exited
	}
	g.answersReadiness.Store(false)
}

// checkReadiness asks the gateway once a second whether it is ready, as the platform does.
func (g *gateway) checkReadiness() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(time.Second) {
		response, err := client.Get("http://" + g.ready + "/readyz")
		if err == nil {
			_ = response.Body.Close()
		}
		g.answersReadiness.Store(err == nil && response.StatusCode == http.StatusOK)
	}
}

// awaitReady waits until all gateways say that they are ready.
func (l *lab) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range l.gateways {
			if g.answersReadiness.Load() {
				ready++
			}
		}
		if ready == len(l.gateways) {
			return nil
		}
	}
	return fmt.Errorf("not all gateways became ready")
}

// request is what a client sends.
type request struct {
	method, path, key string
	deadline          time.Duration
	body              []byte
	header            map[string]string
}

// answer is what a client got.
type answer struct {
	id, key        string
	gateway        string
	sent, answered time.Time
	// status is zero if the connection ended without a whole answer.
	status    int
	signature string
	header    http.Header
	err       error
}

// send sends a request on a new connection and records what comes back.
func (l *lab) send(g *gateway, q request) answer {
	a := answer{id: fmt.Sprintf("%016x", l.nextID.Add(1)), key: q.key, gateway: g.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+g.front+q.path, bytes.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("deadline-ms", fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+q.key)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(r)
	if err == nil {
		defer response.Body.Close() //nolint:errcheck // the answer has been read
		_, err = io.Copy(io.Discard, response.Body)
	}
	a.answered = time.Now()
	if a.err = err; err == nil {
		a.status, a.header, a.signature = response.StatusCode, response.Header, response.Header.Get(signatureHeader)
	}
	l.note("%s sent to %s with key %s: %s", a.id, g.name, q.key, a.outcome())
	return a
}

func (a *answer) outcome() string {
	if a.err != nil {
		return "no answer, " + a.err.Error()
	}
	return fmt.Sprintf("%d after %d ms", a.status, a.answered.Sub(a.sent).Milliseconds())
}
