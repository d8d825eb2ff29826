package gateway

import (
	"sync"

	"github.com/jayridge/jayridge/connection/upstream"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/version/routing"
)

// pools are the connections to upstreams, one pool for each address. Requests name the upstream that may run them, so a pool may
// outlive the upstream that had its address.
type pools struct {
	mu        sync.Mutex
	byAddress map[string]*upstream.Pool
}

func newPools() *pools { return &pools{byAddress: make(map[string]*upstream.Pool)} }

// get returns the pool of an address.
func (p *pools) get(address string) *upstream.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byAddress[address]
	if pool == nil {
		pool = upstream.NewPool(address, upstream.DefaultConfig())
		p.byAddress[address] = pool
	}
	return pool
}

const (
	// connectionShare is the part of the connections that an upstream accepts that the fleet opens. The rest covers gateways that are not
	// registered yet.
	connectionShare = 0.9
	// minConnections is the least number of connections that a gateway may open to an upstream.
	minConnections = 4
)

// connectionLimit is one gateway's share of the connections that an upstream accepts; zero means no limit.
func connectionLimit(accepted, gateways int) int {
	if accepted <= 0 {
		return 0
	}
	return max(minConnections, int(connectionShare*float64(accepted)/float64(max(1, gateways))))
}

// retain closes the pools of addresses that no upstream has, and limits the connections of the others to a gateway's share.
func (p *pools) retain(upstreams []directory.Upstream, table *routing.Table, gateways int) {
	used := make(map[string]struct{}, len(upstreams))
	for _, u := range upstreams {
		used[u.Address] = struct{}{}
		if s := table.Service(u.Service); s != nil {
			p.get(u.Address).SetLimit(connectionLimit(s.MaxConnections, gateways))
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pool := range p.byAddress {
		if _, found := used[address]; !found {
			delete(p.byAddress, address)
			pool.Close()
		}
	}
}

// trim closes connections that were idle for too long.
func (p *pools) trim() {
	p.mu.Lock()
	all := make([]*upstream.Pool, 0, len(p.byAddress))
	for _, pool := range p.byAddress {
		all = append(all, pool)
	}
	p.mu.Unlock()
	for _, pool := range all {
		pool.Trim()
	}
}
