package httplist

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/instances"
	"github.com/jayridge/jayridge/process/services"
)

func row(id string, state services.InstanceState) services.Instance {
	return services.Instance{ID: id, Role: "sidecar", State: state}
}

// Guards against a reader that misses a change, gets it twice, or mistakes a partial update for the full list.
func TestList_Changes(t *testing.T) {
	list := instances.New([]services.Instance{row("a", services.InstanceLive), row("b", services.InstanceLive)})
	server := httptest.NewServer(list)
	defer server.Close()
	client := New(server.URL, 10*time.Second)
	read := func(after uint64) services.InstanceUpdate {
		update, err := client.List(t.Context(), after)
		must.NoError(t, err)
		return update
	}
	first := read(0)
	must.True(t, first.Full)
	must.Len(t, 2, first.Instances)
	must.Eq(t, services.InstanceUpdate{Revision: first.Revision}, read(first.Revision))

	list.Put(row("c", services.InstanceLive))
	list.Put(row("a", services.InstanceLeaving))
	list.Put(row("c", services.InstanceLeaving))
	list.Remove("b")
	must.Eq(t, services.InstanceUpdate{
		Revision:  first.Revision + 4,
		Instances: []services.Instance{row("a", services.InstanceLeaving), row("c", services.InstanceLeaving)}, Removed: []string{"b"},
	}, read(first.Revision))

	must.True(t, read(first.Revision+99).Full, must.Sprint("a restarted service does not know the revision"))
	for range 5000 {
		list.Put(row("d", services.InstanceLive))
	}
	must.True(t, read(first.Revision).Full, must.Sprint("the changes since the revision are no longer in the log"))
}
