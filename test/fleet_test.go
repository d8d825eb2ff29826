// Package test runs the roles of the binary as separate processes against stand-ins for the platform and the upstreams, which run in the
// test process. It kills and pauses the processes, disconnects them from the platform and checks the invariants of the system.
// Tests wait for conditions and never for a fixed time.
package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/internal/standin/httpkv"
	"github.com/jayridge/jayridge/internal/standin/instances"
	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/internal/standin/loopback"
	"github.com/jayridge/jayridge/internal/standin/service"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/config"
)

// binary is the path of the program under test, which TestMain builds once.
var binary string

// oldBinary is the path of a build of an earlier revision, or empty. If it is set, every second process of a role runs that build by default.
var oldBinary = os.Getenv("JAYRIDGE_OLD_BINARY")

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "jayridge-test")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "jayridge")
	build := exec.Command("go", "build", "-o", binary, "github.com/jayridge/jayridge/cmd/jayridge")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// conditionTimeout bounds every wait for a condition. It is far longer than any condition needs, so a wait times out only if the condition
// never becomes true.
const conditionTimeout = 90 * time.Second

const baseRules = `service press-model kind=model versions=v1,v2 # losana: the model
service basket-app kind=plain versions=v1 # josefa: bookings
coldstart press-model initial=4 limit=8 # ops: cold engines
route /chat service=press-model deadline=30s # losana: chats
route /bookings service=basket-app idempotent=no deadline=20s # josefa: bookings
`

// kvProxy passes the requests of one process on to the key-value service. It can refuse all of them or delay a write.
type kvProxy struct {
	disconnected atomic.Bool
	hold         atomic.Pointer[heldWrite]
	next         http.Handler
}

func (p *kvProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.disconnected.Load() {
		panic(http.ErrAbortHandler)
	}
	if hold := p.hold.Load(); hold != nil && r.Method == http.MethodPut {
		hold.serve(p.next, w, r)
		return
	}
	p.next.ServeHTTP(w, r)
}

// process is a process that runs one role, with its settings, addresses and log.
type process struct {
	name     string
	role     string
	binary   string
	settings string
	admin    string
	http     string
	kvProxy  *kvProxy
	cmd      *exec.Cmd
	log      *bytes.Buffer
	exited   chan struct{}
}

// fleet is a small deployment: the processes under test and the stand-ins that they use.
type fleet struct {
	t     *testing.T
	dir   string
	kv    *kv.Server
	store services.KV
	list  *instances.Server
	// instances holds the instance list's record of each process, also while the process is not listed.
	instances map[string]services.Instance
	engines   map[string]*engine.Server
	services  map[string]*service.Server
	servers   map[string]*httptest.Server
	// mu protects procs, which callers read while the test starts more processes.
	mu      sync.RWMutex
	procs   map[string]*process
	entries []string
	client  *http.Client
	// answerTokens is the length of the answers to chats.
	answerTokens int
	// settings are added to the settings of all processes.
	settings map[string]any
	// unlisted makes start leave new processes out of the instance list. They get the first entry as their seed.
	unlisted bool
	// useOld reports whether process n of a role, counted from zero, runs oldBinary if it is set.
	useOld func(n int) bool

	// changes counts the proposed configuration changes and makes their ids unique.
	changes int
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t: t, dir: t.TempDir(), kv: kv.New(), list: instances.New(nil),
		engines: map[string]*engine.Server{}, services: map[string]*service.Server{}, servers: map[string]*httptest.Server{},
		instances: map[string]services.Instance{}, answerTokens: 8, useOld: func(n int) bool { return n%2 == 1 },
		procs: map[string]*process{}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	store, err := httpkv.New(httpkv.DefaultConfig(f.serve("kv", f.kv)))
	must.NoError(t, err)
	f.store = store
	f.serve("list", f.list)
	t.Cleanup(f.close)
	return f
}

func (f *fleet) serve(name string, h http.Handler) string {
	server := httptest.NewServer(h)
	f.servers[name] = server
	return server.URL
}

func (f *fleet) close() {
	for _, p := range f.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", p.name, p.log.String())
		}
	}
	for _, s := range f.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// start writes the settings of a process, starts it and adds it to the instance list unless f.unlisted is set.
func (f *fleet) start(name, role, dataCentre string, extra map[string]any) *process {
	f.t.Helper()
	p := &process{
		name: name, role: role, binary: f.binaryFor(role), admin: loopback.UnusedAddress(), kvProxy: &kvProxy{next: f.kv},
		settings: filepath.Join(f.dir, name+".json"),
	}
	peer := loopback.UnusedAddress()
	s := map[string]any{
		"instance": name, "role": role, "data_centre": dataCentre, "peer_address": peer, "admin_address": p.admin,
		"gossip_interval_ms": 100, "leave_delay_ms": 200,
		"kv": map[string]any{"url": f.serve(name+" kv", p.kvProxy), "writes_per_second": 300},
	}
	if role == "entry" {
		p.http = loopback.UnusedAddress()
		s["http_address"] = p.http
		s["instances"] = map[string]any{"url": f.servers["list"].URL, "poll_interval_ms": 50}
		f.entries = append(f.entries, name)
	}
	if f.unlisted {
		s["seeds"] = []string{f.instances[f.entries[0]].Address}
	}
	maps.Copy(s, f.settings)
	for key, value := range extra {
		s[key] = value
	}
	text, err := json.Marshal(s)
	must.NoError(f.t, err)
	must.NoError(f.t, os.WriteFile(p.settings, text, 0o600))
	f.mu.Lock()
	f.procs[name] = p
	f.mu.Unlock()
	f.run(p)
	serviceName, _ := s["service"].(string)
	upstream, _ := s["upstream"].(map[string]any)
	version, _ := upstream["version"].(string)
	f.instances[name] = services.Instance{
		ID: name, Role: role, DataCentre: dataCentre, Address: peer, Admin: p.admin, Service: serviceName, Version: version, State: services.InstanceLive,
	}
	if !f.unlisted {
		f.list.Put(f.instances[name])
	}
	return p
}

// binaryFor returns the path of the program that the next process of a role runs.
func (f *fleet) binaryFor(role string) string {
	n := 0
	for _, p := range f.procs {
		if p.role == role {
			n++
		}
	}
	if oldBinary != "" && f.useOld(n) {
		return oldBinary
	}
	return binary
}

// run starts or restarts a process with the settings that start wrote.
func (f *fleet) run(p *process) {
	p.log = &bytes.Buffer{}
	p.cmd = exec.Command(p.binary, p.role, "--settings", p.settings)
	p.cmd.Stderr = p.log
	p.exited = make(chan struct{})
	must.NoError(f.t, p.cmd.Start())
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
}

func (f *fleet) startEntry(name, dataCentre string) *process {
	return f.start(name, "entry", dataCentre, map[string]any{"rollout": map[string]any{
		"window_ms": 500, "lag_ms": 3000, "min_step_ms": 500, "monitor_ms": 1000, "settle_ms": 500,
	}})
}

func (f *fleet) startRunner(name, dataCentre, version string, cfg engine.Config) *process {
	cfg.Version = version
	f.engines[name] = engine.New(cfg)
	return f.start(name, "sidecar", dataCentre, map[string]any{"service": "press-model", "upstream": map[string]any{
		"kind": "engine", "url": f.serve(name+" engine", f.engines[name]), "version": version, "load_interval_ms": 50,
	}})
}

func (f *fleet) startUpstream(name, dataCentre string) *process {
	f.services[name] = service.New()
	return f.start(name, "sidecar", dataCentre, map[string]any{"service": "basket-app", "upstream": map[string]any{
		"kind": "plain", "url": f.serve(name+" service", f.services[name]), "version": "v1", "load_interval_ms": 50,
	}})
}

// apply proposes rules on top of the accepted version and returns the new version.
func (f *fleet) apply(text string) uint64 {
	f.t.Helper()
	head, err := config.ReadHead(context.Background(), f.store, nil)
	must.NoError(f.t, err)
	f.changes++
	outcome, err := config.Propose(context.Background(), f.store, config.Proposal{
		File: "rules", Text: text, Base: head.Version, ChangeID: fmt.Sprintf("change-%d", f.changes), Author: "test", Time: time.Now(),
	})
	must.NoError(f.t, err)
	return outcome.Version
}

// await polls a condition until it is true. It fails the test after conditionTimeout.
func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("never happened: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// status returns the status page of a process, or nil if it cannot be read.
func (f *fleet) status(name string) *node.Status {
	resp, err := f.client.Get("http://" + f.procs[name].admin + "/status")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var s node.Status
	if json.NewDecoder(resp.Body).Decode(&s) != nil {
		return nil
	}
	return &s
}

// awaitVersion waits until the named processes, or all, have a configuration version, and entries see every live sidecar.
func (f *fleet) awaitVersion(version uint64, names ...string) {
	f.t.Helper()
	if len(names) == 0 {
		for name := range f.procs {
			names = append(names, name)
		}
	}
	for _, name := range names {
		f.await(fmt.Sprintf("%s has version %d", name, version), func() bool {
			s := f.status(name)
			return s != nil && s.ConfigVersion >= version
		})
	}
}

// awaitSidecars waits until the status page of an entry shows n sidecars.
func (f *fleet) awaitSidecars(entry string, n int) {
	f.t.Helper()
	f.await(fmt.Sprintf("%s has %d sidecars", entry, n), func() bool {
		s := f.status(entry)
		return s != nil && len(s.Sidecars) == n
	})
}

// reply is the response to a caller's request, or the error in its place.
type reply struct {
	status  int
	outcome string
	name    string
	body    string
	err     error
}

// post sends one request to an entry, with header as pairs of names and values.
func (f *fleet) post(entry, path, chat, key, body string, header ...string) reply {
	f.mu.RLock()
	address := f.procs[entry].http
	f.mu.RUnlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Jayridge-Team", "drivers")
	if chat != "" {
		req.Header.Set("Jayridge-Chat", chat)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	_, err = text.ReadFrom(resp.Body)
	r := reply{status: resp.StatusCode, outcome: resp.Header.Get("Jayridge-Outcome"), body: text.String(), err: err}
	var failure struct {
		Name string `json:"name"`
	}
	if resp.StatusCode != http.StatusOK {
		_ = json.Unmarshal(text.Bytes(), &failure)
		r.name = failure.Name
	}
	return r
}

// chat sends one chat and checks that the answer is complete if the status is 200.
func (f *fleet) chat(entry, chat string) reply { return f.chatOn("/chat", entry, chat) }

// chatOn is like chat for a given path.
func (f *fleet) chatOn(path, entry, chat string) reply {
	body := fmt.Sprintf(`{"prompt":"%s","max_tokens":%d}`, chat, f.answerTokens)
	r := f.post(entry, path, chat, "", body)
	if r.err == nil && r.status == http.StatusOK && r.body != strings.Join(engine.ExpectedAnswer([]byte(body)), "") {
		f.t.Errorf("chat %s: wrong or incomplete answer %q", chat, r.body)
	}
	return r
}

// chatUntilOK retries a chat while its outcome is "not-run", as a caller would.
func (f *fleet) chatUntilOK(entry, chat string) {
	f.t.Helper()
	f.await("chat "+chat+" is answered", func() bool {
		r := f.chat(entry, chat)
		if r.status != http.StatusOK && r.outcome != "not-run" {
			f.t.Fatalf("chat %s: %+v", chat, r)
		}
		return r.status == http.StatusOK
	})
}

// effects returns how often the booking with this id took effect, summed over all upstreams.
func (f *fleet) effects(id string) int {
	n := 0
	for _, s := range f.services {
		n += s.Counters().Effects[id]
	}
	return n
}

// received returns the number of requests that the engine of a runner received.
func (f *fleet) received(runner string) int { return f.engines[runner].Counters().Received }

func (f *fleet) signal(name string, s syscall.Signal) {
	must.NoError(f.t, f.procs[name].cmd.Process.Signal(s))
}

// kill sends SIGKILL to a process and waits until it has exited.
func (f *fleet) kill(name string) {
	f.signal(name, syscall.SIGKILL)
	<-f.procs[name].exited
}

// restart starts an exited process again.
func (f *fleet) restart(name string) { f.run(f.procs[name]) }
