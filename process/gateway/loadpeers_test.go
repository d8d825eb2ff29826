package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/bootclock"
)

// addMembersBetween registers gateways that do not run, so that two running ones are no neighbours of each other. It returns their keys.
func addMembersBetween(f *fixture, one, two string) (keys []string) {
	members := map[string]string{one: "here", two: "here"}
	for i := 0; slices.Contains(neighbours(one, members), two); i++ {
		name := fmt.Sprint("member-", i)
		members[name] = "here"
		keys = append(keys, memberKeyPrefix+name)
	}
	for _, key := range keys {
		f.store.put(key, member{PeerAddress: "127.0.0.1:1", DataCentre: "here"})
	}
	return keys
}

// A gateway with which only loads are exchanged and that becomes a neighbour must be told what the neighbours were told before.
func TestPeers_LoadPeerBecomesNeighbour(t *testing.T) {
	limited := newLimitedUpstream(t, "limited", 2.5)
	limited.limited.Store(true)
	f := newFixture(t, limited.fakeUpstream)
	other := f.start("two")
	f.waitReady(other)
	f.eventually("gateways are connected", func() bool { return len(other.peers.neighbourConns()) == 1 })
	keys := addMembersBetween(f, f.gateway.settings.Instance, other.settings.Instance)
	must.LessEq(t, maxLoadMesh-2, len(keys))
	f.eventually("gateways are load peers", func() bool {
		return len(other.peers.loadPeerConns()) == 1 && len(f.gateway.peers.loadPeerConns()) == 1
	})
	must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodGet, "/look/1", nil).status)
	must.Len(t, 1, f.gateway.balancer.RateLimits())
	takeFleetState(f.gateway.balancer, bootclock.Now()) // the neighbours have been told
	must.SliceEmpty(t, other.balancer.RateLimits())
	for _, key := range keys {
		f.store.remove(key)
	}
	f.eventually("the new neighbour is told", func() bool { return len(other.balancer.RateLimits()) == 1 })
}
