package kv

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/jayridge/jayridge/process/services"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// request sends one request and returns the status of the response, or zero if the connection was closed without a response.
func request(t *testing.T, server *httptest.Server, method, path string, body, into any) int {
	t.Helper()
	encoded, err := json.Marshal(body)
	must.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, bytes.NewReader(encoded))
	must.NoError(t, err)
	resp, err := server.Client().Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	if into != nil && resp.StatusCode == http.StatusOK {
		must.NoError(t, json.Unmarshal(data, into))
	}
	return resp.StatusCode
}

func startServer(t *testing.T, options ...Option) (*Server, *httptest.Server) {
	t.Helper()
	service := New(options...)
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return service, server
}

// TestCompareAndSwap checks that writes do not overwrite another revision and that values above the size limit are rejected.
func TestCompareAndSwap(t *testing.T) {
	_, server := startServer(t)
	var put PutResponse
	must.Eq(t, 200, request(t, server, "PUT", "/v1/key", PutRequest{Key: "a/b", Value: []byte("1")}, &put))
	first := put.Revision
	for _, c := range []struct {
		req  PutRequest
		want int
	}{
		{PutRequest{Key: "a/b", Value: []byte("2")}, 409},
		{PutRequest{Key: "a/b", Prev: first + 1, Value: []byte("2")}, 409},
		{PutRequest{Key: "a/b", Prev: first, Value: make([]byte, services.MaxValueBytes+1)}, 413},
		{PutRequest{Key: "a/b", Prev: first, Value: make([]byte, 2*services.MaxValueBytes)}, 413},
		{PutRequest{Key: "a/b", Prev: first, Lease: 9}, 404},
		{PutRequest{Key: "a/b", Prev: first, Value: []byte("2")}, 200},
		{PutRequest{Key: "a/c", Value: make([]byte, services.MaxValueBytes)}, 200},
	} {
		must.Eq(t, c.want, request(t, server, "PUT", "/v1/key", c.req, nil))
	}
	var kv KeyValue
	must.Eq(t, 200, request(t, server, "GET", "/v1/key?key=a/b", nil, &kv))
	must.Eq(t, "2", string(kv.Value))
	must.Greater(t, first, kv.Revision)
	var list ListResponse
	must.Eq(t, 200, request(t, server, "GET", "/v1/keys?prefix=a/&limit=0", nil, &list))
	must.Eq(t, []string{"a/b", "a/c"}, list.Keys)
	must.Eq(t, 200, request(t, server, "GET", "/v1/keys?prefix=a/&limit=1", nil, &list))
	must.Eq(t, []string{"a/b"}, list.Keys)
	must.Eq(t, 400, request(t, server, "GET", "/v1/keys?prefix=a/", nil, nil))
}

// TestLease checks that keys do not outlive their lease, and that the revision does not restart when a deleted key is created again.
func TestLease(t *testing.T) {
	now := time.Unix(0, 0)
	_, server := startServer(t, WithClock(func() time.Time { return now }))
	var lease LeaseResponse
	must.Eq(t, 200, request(t, server, "POST", "/v1/leases", LeaseRequest{TTLMS: 1000}, &lease))
	var put, again PutResponse
	must.Eq(t, 200, request(t, server, "PUT", "/v1/key", PutRequest{Key: "k", Lease: lease.Lease}, &put))
	now = now.Add(900 * time.Millisecond)
	must.Eq(t, 200, request(t, server, "POST", "/v1/leases/1/renew", nil, nil))
	now = now.Add(900 * time.Millisecond)
	must.Eq(t, 200, request(t, server, "GET", "/v1/key?key=k", nil, nil))
	now = now.Add(100 * time.Millisecond)
	must.Eq(t, 404, request(t, server, "GET", "/v1/key?key=k", nil, nil))
	must.Eq(t, 404, request(t, server, "POST", "/v1/leases/1/renew", nil, nil))
	must.Eq(t, 200, request(t, server, "PUT", "/v1/key", PutRequest{Key: "k"}, &again))
	must.Greater(t, put.Revision, again.Revision)
	must.Eq(t, 400, request(t, server, "POST", "/v1/leases", LeaseRequest{}, nil))
}

// TestFaults checks the injected faults: 503 and closed connections without an effect, a write that takes effect without an answer, and a
// stale read.
func TestFaults(t *testing.T) {
	service, server := startServer(t)
	put := PutRequest{Key: "k", Value: []byte("1")}
	must.Eq(t, 400, request(t, server, "POST", "/faults", map[string]int{"unknown": 1}, nil))

	must.Eq(t, 200, request(t, server, "POST", "/faults", Faults{Down: DownUnavailable}, nil))
	must.Eq(t, 503, request(t, server, "PUT", "/v1/key", put, nil))
	must.Eq(t, 200, request(t, server, "POST", "/faults", Faults{Down: DownClose}, nil))
	must.Eq(t, 0, request(t, server, "PUT", "/v1/key", put, nil))
	must.MapEmpty(t, service.Snapshot())

	must.Eq(t, 200, request(t, server, "POST", "/faults", Faults{LoseWrites: 1, StaleReads: 1, SlowMS: 1}, nil))
	must.Eq(t, 0, request(t, server, "PUT", "/v1/key", put, nil))
	must.MapLen(t, 1, service.Snapshot())
	must.Eq(t, 404, request(t, server, "GET", "/v1/key?key=k", nil, nil))
	must.Eq(t, 200, request(t, server, "GET", "/v1/key?key=k", nil, nil))
	must.Eq(t, 409, request(t, server, "PUT", "/v1/key", put, nil))

	var counters Counters
	must.Eq(t, 200, request(t, server, "GET", "/counters", nil, &counters))
	must.Eq(t, Counters{Reads: 2, Writes: 4}, counters)
}
