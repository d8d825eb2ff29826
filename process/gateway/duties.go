package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/duty"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/lease"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
)

const (
	// dutyTick is the interval of the checks whether the lease of a duty is free.
	dutyTick = 100 * time.Millisecond
	// dutyRankDelay is the time by which each gateway tries later than the one before it in the order of the duty, so that they do not compete. It is
	// longer than an acquisition takes; the copies of the store learn of it later.
	dutyRankDelay = 200 * time.Millisecond
	// maxDutyRanks is the number of gateways that try one after the other. All others come at random times in the following second.
	maxDutyRanks = 8
	// dutyLeaseShare is the part of the time in which holders must not alternate for which the store keeps a lease. A shorter lease lets another gateway
	// take over earlier, but does not outlast a store that is slow for longer.
	dutyLeaseShare = 2.0 / 3
	// dutyMarginShare is the part of a lease by which the holder considers it expired earlier than the store does.
	dutyMarginShare = 6
	// dutyPause is the time for which a gateway does not try again after it has given a duty up because its calls failed, so that others try.
	dutyPause = 10 * time.Second
)

// dutyLease returns the lease settings of a duty whose holders must not alternate within a time.
func dutyLease(alternation time.Duration) lease.Config {
	ttl := time.Duration(dutyLeaseShare * float64(alternation))
	return lease.Config{TTL: ttl, Margin: ttl / dutyMarginShare, Jitter: 0.2, CallTimeout: ttl / 3}
}

// dutyLeaseHolder competes for the lease of one duty and knows which gateway holds it.
type dutyLeaseHolder struct {
	g      *Gateway
	name   string
	keeper *lease.Keeper
	// wanted reports whether there is anything to do for the duty; nil means always.
	wanted func() bool

	mu sync.Mutex
	// holder is the content of the lease key in the copy of the store, zero if there is none.
	holder lease.Value
	// freeSince is the time since which the copy has had no lease key.
	freeSince time.Time
}

func newDutyLeaseHolder(g *Gateway, name string) *dutyLeaseHolder {
	config := dutyLease(settings.FractionalMilliseconds(g.settings.Duties.LeaseMS))
	keeper := lease.NewKeeper(config, g.store, name, g.settings.Instance, rand.Uint64()).OnDemand()
	return &dutyLeaseHolder{g: g, name: name, keeper: keeper, freeSince: bootclock.Now()}
}

// applyItem applies a changed item of the copy of the store.
func (d *dutyLeaseHolder) applyItem(now time.Time, item mirror.Item) {
	if item.Key != lease.Key(d.name) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	holder := lease.Value{}
	if !item.Deleted {
		var err error
		if holder, err = lease.DecodeValue(item.Value); err != nil {
			event.Log(event.StoreItemInvalid, "key", item.Key, "revision", item.Revision, "error", err)
		}
	}
	if holder == (lease.Value{}) && d.holder != holder {
		d.freeSince = now
	}
	d.holder = holder
}

// holderNow returns the content of the lease key, zero if the lease is not held.
func (d *dutyLeaseHolder) holderNow() lease.Value {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder
}

// run acquires and renews the lease until the gateway stops.
func (d *dutyLeaseHolder) run() {
	d.g.startWorker(func() { d.keeper.Run(d.g.ctx) })
	ticker := time.NewTicker(dutyTick)
	defer ticker.Stop()
	left := false
	for {
		select {
		case <-d.g.ctx.Done():
			return
		case <-ticker.C:
		}
		switch {
		case !d.g.leaving.Load():
			if d.shouldTry(bootclock.Now()) {
				d.keeper.Try()
			}
		case !left:
			left = true
			d.keeper.GiveUp(time.Hour)
		}
	}
}

// shouldTry reports whether this gateway is to try to acquire the lease at time now.
func (d *dutyLeaseHolder) shouldTry(now time.Time) bool {
	if _, held := d.keeper.Held(); held || d.wanted != nil && !d.wanted() {
		return false
	}
	d.mu.Lock()
	holder, free := d.holder.Holder, now.Sub(d.freeSince)
	d.mu.Unlock()
	if holder != "" && holder != d.g.settings.Instance {
		return false
	}
	members := d.g.peers.memberNames()
	if !slices.Contains(members, d.g.settings.Instance) {
		return false // the others could not find the holder
	}
	// A key with the own name means that the lease has been lost, or belongs to an earlier process of this gateway and will end.
	return holder != "" || free >= dutyDelay(d.name, d.g.settings.Instance, members)
}

// dutyDelay returns how long a gateway waits before it tries to acquire a free lease. The members are put into an order by hash.
func dutyDelay(name, self string, members []string) time.Duration {
	own := dutyHash(name, self)
	rank := 0
	for _, m := range members {
		if m != self && dutyHash(name, m) < own {
			rank++
		}
	}
	if rank < maxDutyRanks {
		return time.Duration(rank) * dutyRankDelay
	}
	return maxDutyRanks*dutyRankDelay + time.Duration(own%uint64(time.Second))
}

func dutyHash(name, member string) uint64 { return xxhash.Sum64String(name + "/" + member) }

// dutyConfig returns the configuration of a duty's calls.
func (g *Gateway) dutyConfig() duty.Config {
	d := g.settings.Duties
	return duty.DefaultConfig(settings.FractionalMilliseconds(d.LeaseMS), d.CallsPerSecond, len(d.Names))
}

// memberNames returns the names of the registered gateways.
func (p *peers) memberNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.members))
	for name := range p.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// instanceOf returns the registration of a gateway.
func (p *peers) instanceOf(name string) (services.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, found := p.members[name]
	return services.Instance{ID: name, DataCentre: m.DataCentre, Address: m.PeerAddress}, found
}

// deputy returns the gateway that keeps a copy of this gateway's counts: the next one by name in another data centre, or else in the same one.
func (p *peers) deputy() (services.Instance, bool) {
	names := p.memberNames()
	self := p.g.settings.Instance
	at, found := slices.BinarySearch(names, self)
	if found {
		names = slices.Delete(names, at, at+1)
	}
	if len(names) == 0 {
		return services.Instance{}, false
	}
	ordered := append(slices.Clone(names[at:]), names[:at]...)
	for _, name := range ordered {
		if i, known := p.instanceOf(name); known && i.DataCentre != p.g.settings.DataCentre {
			return i, true
		}
	}
	return p.instanceOf(ordered[0])
}
