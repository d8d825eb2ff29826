package main

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gatewayProcess is a gateway of the project, started with the command of deploy/system.toml.
type gatewayProcess struct {
	name, callers, ready string
	cmd                  *exec.Cmd
	ended                chan struct{}
}

// gatewayProgram is the program of the deploy file.
const gatewayProgram = "target/jayridge"

// startGateway starts a gateway with the settings that deploy/gateway.json.tmpl makes for a small deployment.
// oneCore makes it see one core, as on the platform's machines.
func startGateway(dir, name, zone, storeAddress string, oneCore bool) (*gatewayProcess, error) {
	free, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"instance": name, "data_centre": zone, "data_centres": dataCentres(),
		"callers_address": free[0], "ready_address": free[1], "peer_address": free[2], "metrics_address": free[3],
		"memory_mb": 284, "max_files": 4100, "link_mbps": 1000.0,
		"store": map[string]any{"address": storeAddress, "reads_per_second": 2000, "writes_per_second": 400},
		"fleet": map[string]any{
			"shutdown_s": 8, "config_ms": 2000, "revoke_ms": revokeTime.Milliseconds(), "strict_revoke": true, "retry_ratio": 0.2, "retry_slack": 58,
			"load_factor": 2, "prompt_reuse_s": 10,
		},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	g := &gatewayProcess{name: name, callers: free[0], ready: free[1], ended: make(chan struct{})}
	g.cmd = exec.Command(gatewayProgram, "gateway", "--settings", path)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.Env = os.Environ()
	if oneCore {
		g.cmd.Env = append(g.cmd.Env, "GOMAXPROCS=1")
	}
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = g.cmd.Wait()
		_ = log.Close()
		close(g.ended)
	}()
	return g, nil
}

func dataCentres() []map[string]string {
	var all []map[string]string
	for _, zone := range []string{"suva", "nadi", "lautoka"} {
		all = append(all, map[string]string{"name": zone, "region": "viti-levu"})
	}
	return all
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	var all []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close() //nolint:errcheck // only the port is of interest
		all = append(all, l.Addr().String())
	}
	return all, nil
}

// awaitReady waits until the gateway is ready.
func (g *gatewayProcess) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady(time.Second) {
			return nil
		}
	}
	return errors.New(g.name + " does not become ready")
}

func (g *gatewayProcess) isReady(timeout time.Duration) bool {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gatewayProcess) signal(s os.Signal) { _ = g.cmd.Process.Signal(s) } // fails only if it has ended

func (g *gatewayProcess) kill() {
	_ = g.cmd.Process.Kill()
	<-g.ended
}
