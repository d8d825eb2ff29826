package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
)

// memberKeyPrefix is the prefix of the keys under which gateways register in the store.
const memberKeyPrefix = "fleet/gateways/"

// renewFraction is the fraction of the lease's TTL after which it is renewed. Two renewals may fail before the lease expires.
const renewFraction = 0.3

// member is the value of a gateway's registration. The key ends with the gateway's instance name.
type member struct {
	PeerAddress string `json:"peer_address"`
	DataCentre  string `json:"data_centre"`
}

// decodeMember decodes a registration. ok is false for other keys.
func decodeMember(key string, value []byte, deleted bool) (name string, m member, ok bool, err error) {
	name, ok = strings.CutPrefix(key, memberKeyPrefix)
	if !ok || deleted {
		return name, member{}, ok, nil
	}
	err = json.Unmarshal(value, &m)
	return name, m, true, trace.Wrap(err)
}

// register keeps the gateway registered under a lease until the gateway stops.
func (g *Gateway) register() {
	r := &registration{g: g, ttl: settings.FractionalMilliseconds(g.settings.Store.LeaseMS)}
	for g.ctx.Err() == nil {
		pause := time.Duration(renewFraction * float64(r.ttl))
		if err := r.step(); err != nil {
			g.metrics.storeFailures.Add(1)
			event.LogSampled(event.RegistrationFailed, "error", err)
			pause = watchRetry
		}
		g.waitToRegister(pause)
	}
	r.revoke()
}

// waitToRegister returns after d, or earlier if the store was restored or the gateway stops.
func (g *Gateway) waitToRegister(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.registerNow:
	case <-g.ctx.Done():
	}
}

// registration is the state of the gateway's registration: the lease and the key under it.
type registration struct {
	g     *Gateway
	ttl   time.Duration
	lease services.LeaseID
	// keyWritten means that the key was written under the current lease.
	keyWritten bool
}

// step renews the lease. It grants a new one and writes the key if the lease has ended.
func (r *registration) step() error {
	if r.keyWritten {
		err := r.g.store.Renew(r.g.ctx, r.lease)
		if !errors.Is(err, services.ErrNotFound) {
			return err
		}
		r.lease = 0
	}
	return r.grantAndWrite(r.g.ctx)
}

func (r *registration) grantAndWrite(ctx context.Context) error {
	if r.lease == 0 {
		lease, err := r.g.store.Grant(ctx, r.ttl)
		if err != nil {
			return err
		}
		r.lease = lease
	}
	r.keyWritten = false
	return r.write(ctx)
}

// write writes the key and replaces a value that an earlier process of the instance wrote.
func (r *registration) write(ctx context.Context) error {
	key := memberKeyPrefix + r.g.settings.Instance
	value, err := json.Marshal(member{r.g.settings.PeerAddress, r.g.settings.DataCentre})
	if err != nil {
		return trace.Wrap(err)
	}
	known, err := r.g.store.Get(ctx, key)
	if err != nil && !errors.Is(err, services.ErrNotFound) {
		return err
	}
	_, err = r.g.store.CompareAndSwap(ctx, key, known.Revision, value, r.lease)
	if errors.Is(err, services.ErrNotFound) {
		r.lease = 0
	}
	if err != nil {
		return err
	}
	r.keyWritten = true
	return nil
}

// revokeTimeout is the timeout of revoking the lease when the process stops.
const revokeTimeout = 200 * time.Millisecond

// revoke revokes the lease, which removes the key.
func (r *registration) revoke() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	// If this fails, the lease expires by itself.
	_ = r.g.store.Revoke(ctx, r.lease)
}
