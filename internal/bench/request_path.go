package bench

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/internal/standin/httpengine"
	"github.com/jayridge/jayridge/internal/standin/httpkv"
	"github.com/jayridge/jayridge/internal/standin/httplist"
	"github.com/jayridge/jayridge/internal/standin/instances"
	"github.com/jayridge/jayridge/internal/standin/kv"
	entryrole "github.com/jayridge/jayridge/process/entry"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/process/sidecar"
	"github.com/jayridge/jayridge/version/config"
)

// The load bound and the cold-start limits are too large to refuse a request.
const pathRules = `service press-model kind=model versions=v1 # losana: the model
bound press-model 100 # ops: one runner
coldstart press-model initial=64 limit=512 # ops: one runner
route /chat service=press-model deadline=60s # losana: chats
`

// requestPath is a real entry and a real sidecar in this process, connected over loopback, with stand-ins for all other parts.
type requestPath struct {
	client               *http.Client
	url                  string
	engine, kv, list     *httptest.Server
	entry                *entryrole.Entry
	sidecar              *sidecar.Sidecar
	ids, failed, refused atomic.Int64
}

func newRequestPath() (*requestPath, error) {
	p := &requestPath{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: throughputWorkers}},
		engine: httptest.NewServer(engine.New(engine.Config{Version: "v1"})), kv: httptest.NewServer(kv.New()),
	}
	store, err := httpkv.New(httpkv.DefaultConfig(p.kv.URL))
	if err != nil {
		return nil, err
	}
	proposal := config.Proposal{File: "rules", Text: pathRules, ChangeID: "1", Author: "bench", Time: time.Now()}
	if _, err := config.Propose(context.Background(), store, proposal); err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	row := services.Instance{
		ID: "press-1", Role: settings.RoleSidecar, DataCentre: "suva", Address: addresses[0], Service: "press-model", Version: "v1", State: services.InstanceLive,
	}
	p.list = httptest.NewServer(instances.New([]services.Instance{row}))
	if err := p.startSidecar(store, row, addresses[1]); err != nil {
		return nil, err
	}
	return p, p.startEntry(store, addresses[2:])
}

func (p *requestPath) startSidecar(store services.KV, row services.Instance, admin string) error {
	s := settings.Defaults()
	s.Instance, s.Role, s.DataCentre, s.Service = row.ID, row.Role, row.DataCentre, row.Service
	s.PeerAddress, s.AdminAddress = row.Address, admin
	s.Upstream.Kind, s.Upstream.URL = settings.UpstreamEngine, p.engine.URL
	upstream := httpengine.New(httpengine.Config{URL: p.engine.URL, MaxAnswerBytes: int64(s.MaxAnswerBytes)})
	var err error
	if p.sidecar, err = sidecar.New(sidecar.Options{Settings: &s, KV: store, Engine: upstream}); err != nil {
		return err
	}
	p.sidecar.Start()
	return nil
}

func (p *requestPath) startEntry(store services.KV, addresses []string) error {
	s := settings.Defaults()
	s.Instance, s.Role, s.DataCentre = "entry-1", settings.RoleEntry, "suva"
	s.PeerAddress, s.AdminAddress, s.HTTPAddress = addresses[0], addresses[1], addresses[2]
	var err error
	if p.entry, err = entryrole.New(entryrole.Options{Settings: &s, KV: store, List: httplist.New(p.list.URL, callTimeout)}); err != nil {
		return err
	}
	p.entry.Start()
	p.url = "http://" + addresses[2]
	return nil
}

// freeAddresses returns unused loopback addresses.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	var errs []error
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		// All listeners stay open until the end, so that the addresses differ.
		defer func() { errs = append(errs, ln.Close()) }()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, errors.Join(errs...)
}

// warmUpRequests is enough to end the engine's cold start.
const warmUpRequests = 200

// warmUp waits for the first answer, then sends requests until connections are open and the engine is warm.
func (p *requestPath) warmUp() {
	deadline := time.Now().Add(30 * time.Second)
	for p.sendThroughEntry(1, 1) != nil && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	for i := range warmUpRequests {
		// A lasting failure also fails the measured requests.
		_ = p.sendThroughEntry(i, 1)
	}
}

func (p *requestPath) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	p.entry.Stop()
	p.sidecar.Stop(ctx)
	p.client.CloseIdleConnections()
	for _, s := range []*httptest.Server{p.engine, p.kv, p.list} {
		s.CloseClientConnections()
		s.Close()
	}
}
