package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// errNoBaseline means that requests are not handled as expected before anything was disrupted.
var errNoBaseline = errors.New("a request was not handled as expected before the disruption")

func init() { cases["no-tenants"] = noTenants }

// noTenants: the operator takes all keys away with a version whose list of tenants is empty. Without the disruption, the list names another tenant.
func noTenants(f *fleet, trouble bool) error {
	if err := f.startSmall(); err != nil {
		return err
	}
	c := newClient()
	ask := func(g *gateway, id, method, path, key string) answer {
		return g.send(c, request{id: id, method: method, path: path, key: key, deadline: 3 * time.Second})
	}
	for i, g := range f.gateways {
		if a := ask(g, fmt.Sprint("before-", i), http.MethodGet, "/look/1", "key-of-sorters"); a.status != http.StatusOK {
			return errNoBaseline
		}
		id := fmt.Sprint("stranger-before-", i)
		if a := ask(g, id, http.MethodGet, "/look/1", "never-held"); a.status == http.StatusOK || f.runs.of(id).count > 0 {
			return errNoBaseline
		}
	}
	tenants := []any{tenant("press", "key-of-press")}
	if trouble {
		tenants = []any{}
	}
	acknowledged := f.writeConfig(tenants)
	time.Sleep(time.Until(acknowledged.Add(revokeMS*time.Millisecond + time.Second)))
	for i, g := range f.gateways {
		for kind, key := range map[string]string{"revoked": "key-of-sorters", "stranger": "never-held", "keyless": ""} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				path := map[string]string{http.MethodGet: "/look/2", http.MethodPost: "/book/2"}[method]
				id := fmt.Sprintf("%s-%s-%d", kind, method, i)
				ask(g, id, method, path, key)
				if run := f.runs.of(id); run.count > 0 {
					f.record.breach("%s: %s, key %q, sent %.1f s after the acknowledgement, ran at %s for tenant %q",
						map[string]string{"revoked": "CONFIG", "stranger": "ROUTE", "keyless": "ROUTE"}[kind], id, key,
						run.started.Sub(acknowledged).Seconds(), run.runner, run.tenant)
				}
			}
		}
	}
	return nil
}
