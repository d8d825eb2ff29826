package gateway

import (
	"sync"

	"github.com/jayridge/jayridge/connection/upstream"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/version/routing"
)

// pools holds one connection pool per upstream address. Each request names the upstream that may run it, so it is safe for a pool to
// outlive the upstream that had its address.
type pools struct {
	mu        sync.Mutex
	byAddress map[string]*upstream.Pool
}

func newPools() *pools { return &pools{byAddress: make(map[string]*upstream.Pool)} }

// get returns the pool for an address and creates it if needed.
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
	// connectionShare is the fraction of an upstream's connection limit that the fleet uses. The margin covers gateways that are not
	// registered yet.
	connectionShare = 0.9
	// minConnections is the minimum of a gateway's connection limit per upstream.
	minConnections = 4
)

// connectionLimit returns one gateway's share of the number of connections that an upstream accepts; zero means no limit.
func connectionLimit(accepted, gateways int) int {
	if accepted <= 0 {
		return 0
	}
	return max(minConnections, int(connectionShare*float64(accepted)/float64(max(1, gateways))))
}

// retain closes the pools whose addresses no upstream has, and limits the others to this gateway's share of the connections.
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

// trim closes connections that are closed by the upstream or have been idle for too long.
func (p *pools) trim() {
	p.mu.Lock()
	all := make([]*upstream.Pool, 0, len(p.byAddress))
	for _, pool := range p.byAddress {
		all = append(all, pool)
	}
	p.mu.Unlock()
	for _, pool := range all {
		pool.CloseExpired()
	}
}
