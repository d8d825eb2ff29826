package balancer

import (
	"time"

	"github.com/jayridge/jayridge/request/placement"
)

const (
	// maxPendingUpdates is the maximum number of updates that wait to be sent. A dropped update costs processing a prompt twice.
	maxPendingUpdates = 1024
	// maxSentKeys is the maximum number of parts that are remembered as sent; at the limit, no further parts are sent.
	maxSentKeys = 1 << 14
	// resendAfter is how long a part is not sent again. Without it, gateways whose cache models are smaller than the announced parts
	// would send each other the same parts forever.
	resendAfter = 20 * time.Second
)

// Holder names an upstream and parts of prompts that it has in its cache.
type Holder struct {
	Upstream string
	Parts    []placement.Part
}

// holderUpdates collects the parts of prompts that upstreams newly hold, to be sent to the peers.
type holderUpdates struct {
	pending []Holder
	// sentAt is when a part at an upstream was last queued to be sent, by the hash of both.
	sentAt   map[uint64]time.Time
	prunedAt time.Time
}

// add queues newly known parts, except those that were queued within resendAfter.
func (n *holderUpdates) add(now time.Time, e *backend, parts []placement.Part) {
	if n.sentAt == nil {
		n.sentAt = make(map[uint64]time.Time)
	}
	n.prune(now)
	var unsent []placement.Part
	for _, p := range parts {
		key := e.hash ^ p.ID
		if _, sent := n.sentAt[key]; sent || len(n.sentAt) >= maxSentKeys {
			continue
		}
		n.sentAt[key] = now
		unsent = append(unsent, p)
	}
	if len(unsent) > 0 && len(n.pending) < maxPendingUpdates {
		n.pending = append(n.pending, Holder{e.ID, unsent})
	}
}

// prune drops the parts that may be sent again. It runs at most once per second.
func (n *holderUpdates) prune(now time.Time) {
	if now.Sub(n.prunedAt) < time.Second {
		return
	}
	n.prunedAt = now
	for key, at := range n.sentAt {
		if now.Sub(at) > resendAfter {
			delete(n.sentAt, key)
		}
	}
}

// TakeHolderUpdates returns and clears the queued updates: the parts that upstreams newly hold since the last call.
func (b *Balancer) TakeHolderUpdates() []Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := b.updates.pending
	b.updates.pending = nil
	return waiting
}

// Holders returns all parts that upstreams are known to hold.
func (b *Balancer) Holders() []Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	var holders []Holder
	for id, e := range b.backends {
		if parts := e.cache.Parts(); len(parts) > 0 {
			holders = append(holders, Holder{id, parts})
		}
	}
	return holders
}

// AddHolder records parts announced by a peer or an upstream. Those that were not known are queued for the peers.
func (b *Balancer) AddHolder(now time.Time, h Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.backends[h.Upstream]; e != nil {
		b.updates.add(now, e, e.cache.Record(h.Parts))
	}
}
