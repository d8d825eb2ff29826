package connlimit

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

type fake struct {
	address string
	state   State
}

func (f *fake) Address() netip.Addr { return netip.MustParseAddr(f.address) }
func (f *fake) State() State        { return f.state }

func at(s int) time.Time { return time.Unix(int64(s), 0) }

// Stalled connections with much memory go first; one on which a large body arrives goes last, and one whose request has been passed on never.
func TestTable_LeastUseful(t *testing.T) {
	idle := &fake{"127.0.0.1", State{Progress: at(1)}}
	fresh := &fake{"127.0.0.1", State{Progress: at(9)}}
	large := &fake{"127.0.0.2", State{Bytes: 9000, Progress: at(9)}}
	older := &fake{"127.0.0.2", State{Bytes: 9000, Progress: at(8)}}
	served := &fake{"127.0.0.3", State{Protected: true, Bytes: 1 << 20}}
	uploading := &fake{"127.0.0.4", State{Bytes: 1 << 20, Progress: at(99)}}
	const now = 100
	table := New[*fake](Config{Connections: 6, PerAddress: 2})
	for _, c := range []*fake{idle, fresh, large, older, served, uploading} {
		must.EqOp(t, Accepted, table.Add(c))
	}
	first := &fake{"127.0.0.1", State{}}
	must.EqOp(t, AddressFull, table.Add(first))
	victim, ok := table.LeastUseful(at(now), first, AddressFull)
	must.True(t, ok)
	must.EqOp(t, idle, victim)

	other := &fake{"127.0.0.9", State{}}
	for _, want := range []*fake{older, large, idle, fresh, uploading} {
		victim, ok := table.LeastUseful(at(now), other, Full)
		must.True(t, ok)
		must.EqOp(t, want, victim)
		must.True(t, table.Remove(victim))
		must.False(t, table.Remove(victim))
	}
	_, ok = table.LeastUseful(at(now), other, Full)
	must.False(t, ok, must.Sprint("its request has been passed on"))
	must.EqOp(t, 1, table.Len())
	must.EqOp(t, Accepted, table.Add(other))
}

// A full table must not take a connection of an address that has room of its own.
func TestTable_Full(t *testing.T) {
	table := New[*fake](Config{Connections: 2, PerAddress: 2})
	must.EqOp(t, Accepted, table.Add(&fake{"127.0.0.1", State{}}))
	must.EqOp(t, Accepted, table.Add(&fake{"127.0.0.2", State{}}))
	must.EqOp(t, Full, table.Add(&fake{"127.0.0.3", State{}}))
}
