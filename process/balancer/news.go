package balancer

import (
	"time"

	"github.com/jayridge/jayridge/request/placement"
)

const (
	// maxNews bounds the news that wait to be told; what is left out costs reading a prompt twice.
	maxNews = 1024
	// maxTold bounds the parts that are remembered as told; while there are that many, nothing more is told.
	maxTold = 1 << 14
	// tellAgainAfter is how long a part is not told again. Without it gateways whose beliefs do not fit their bounds would tell each
	// other the same parts for ever.
	tellAgainAfter = 20 * time.Second
)

// Holder says that an upstream holds parts of prompts.
type Holder struct {
	Upstream string
	Parts    []placement.Part
}

// news are the upstreams that began to hold parts of prompts, on their way to the peers.
type news struct {
	waiting []Holder
	// told is when a part at an upstream was last told, by the hash of both.
	told   map[uint64]time.Time
	pruned time.Time
}

// add takes parts that were not known, unless they were told a short time ago.
func (n *news) add(now time.Time, e *backend, parts []placement.Part) {
	if n.told == nil {
		n.told = make(map[uint64]time.Time)
	}
	n.prune(now)
	var fresh []placement.Part
	for _, p := range parts {
		key := e.hash ^ p.ID
		if _, told := n.told[key]; told || len(n.told) >= maxTold {
			continue
		}
		n.told[key] = now
		fresh = append(fresh, p)
	}
	if len(fresh) > 0 && len(n.waiting) < maxNews {
		n.waiting = append(n.waiting, Holder{e.ID, fresh})
	}
}

// prune forgets what was told long ago.
func (n *news) prune(now time.Time) {
	if now.Sub(n.pruned) < time.Second {
		return
	}
	n.pruned = now
	for key, at := range n.told {
		if now.Sub(at) > tellAgainAfter {
			delete(n.told, key)
		}
	}
}

// News returns the upstreams that began to hold parts since the last call.
func (b *Balancer) News() []Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting := b.news.waiting
	b.news.waiting = nil
	return waiting
}

// Holders returns what all upstreams are known to hold.
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

// Heard takes a peer's or an upstream's news. What was not known becomes news for the peers.
func (b *Balancer) Heard(now time.Time, h Holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.backends[h.Upstream]; e != nil {
		b.news.add(now, e, e.cache.Used(h.Parts))
	}
}
