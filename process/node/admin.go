package node

import (
	"encoding/json"
	"expvar"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/rules"
)

// Status is the body of the admin server's /status page.
type Status struct {
	Instance      string              `json:"instance"`
	Role          string              `json:"role"`
	DataCentre    string              `json:"data_centre"`
	Leaving       bool                `json:"leaving"`
	ConfigVersion uint64              `json:"config_version"`
	Confirmations map[string]uint64   `json:"confirmations"`
	Sidecars      []services.Instance `json:"sidecars,omitempty"`
	Entries       []services.Instance `json:"entries,omitempty"`
	Detail        any                 `json:"detail,omitempty"`
}

// Status returns the content of the status page.
func (n *Node) Status() Status {
	s := n.Snapshot()
	return Status{
		Instance: n.opts.Settings.Instance, Role: n.opts.Settings.Role, DataCentre: n.opts.Settings.DataCentre,
		Leaving: n.Leaving(), ConfigVersion: s.Version(), Confirmations: n.Confirmations(),
		Sidecars: s.Sidecars, Entries: s.Entries, Detail: n.opts.Role.Status(),
	}
}

func (n *Node) adminHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.HandleFunc("/readyz", n.readyz)
	r.Handle("/debug/vars", expvar.Handler())
	r.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.Status())
	})
	return r
}

// readyz reports whether the platform's load balancer should send traffic to this instance.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	accepted := n.Snapshot().Config
	switch {
	case n.Leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case accepted == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case n.drained(accepted.Rules):
		http.Error(w, "drained by a rule", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func (n *Node) drained(set *rules.Set) bool {
	_, drained := set.Drained(n.opts.Settings.DataCentre, n.opts.Settings.Instance)
	return drained
}
