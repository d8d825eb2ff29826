package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
)

// membersPart is the prefix of the keys under which gateways register in the platform's store.
const membersPart = "fleet/gateways/"

// renewShare is the part of the lease's lifetime after which it is renewed; two renewals may fail before it ends.
const renewShare = 0.3

// member is how a gateway registers. The key ends in its instance name.
type member struct {
	PeerAddress string `json:"peer_address"`
	DataCentre  string `json:"data_centre"`
}

// memberOf reads a registration. It returns false for other keys.
func memberOf(key string, value []byte, deleted bool) (name string, m member, ok bool, err error) {
	name, ok = strings.CutPrefix(key, membersPart)
	if !ok || deleted {
		return name, member{}, ok, nil
	}
	err = json.Unmarshal(value, &m)
	return name, m, true, trace.Wrap(err)
}

// register keeps the gateway registered under a lease.
func (g *Gateway) register() {
	r := &registration{g: g, ttl: settings.Duration(g.settings.Store.LeaseMS)}
	for g.ctx.Err() == nil {
		pause := time.Duration(renewShare * float64(r.ttl))
		if err := r.step(); err != nil {
			g.metrics.storeFailures.Add(1)
			event.Sampled(event.RegistrationFailed, "error", err)
			pause = watchRetry
		}
		sleep.For(g.ctx, pause)
	}
	r.end()
}

type registration struct {
	g     *Gateway
	ttl   time.Duration
	lease services.LeaseID
	// written says that the key was written under the lease.
	written bool
}

// step does the next call that the registration needs.
func (r *registration) step() error {
	ctx := r.g.ctx
	if r.lease == 0 {
		lease, err := r.g.store.Grant(ctx, r.ttl)
		if err != nil {
			return err
		}
		r.lease, r.written = lease, false
	}
	if !r.written {
		return r.write(ctx)
	}
	err := r.g.store.Renew(ctx, r.lease)
	if errors.Is(err, services.ErrNotFound) {
		r.lease = 0
		return nil
	}
	return err
}

// write puts the key, whatever an earlier start of the instance left there.
func (r *registration) write(ctx context.Context) error {
	key := membersPart + r.g.settings.Instance
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
	r.written = true
	return nil
}

// endTimeout bounds the end of the registration when the process stops.
const endTimeout = 200 * time.Millisecond

func (r *registration) end() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	// If this fails, the lease runs out by itself.
	_ = r.g.store.Revoke(ctx, r.lease)
}
