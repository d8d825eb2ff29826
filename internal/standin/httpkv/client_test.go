package httpkv_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/jayridge/jayridge/internal/standin/httpkv"
	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/process/services"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTestClient(t *testing.T, handler http.Handler, change func(*httpkv.Config)) (*httpkv.Client, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	cfg := httpkv.DefaultConfig(server.URL)
	if change != nil {
		change(&cfg)
	}
	client, err := httpkv.New(cfg)
	must.NoError(t, err)
	t.Cleanup(client.Close)
	return client, server
}

// TestOutcomeErrors checks that a write that may have taken effect is not reported as not sent, and that a write without effect and a read
// are not reported as of unknown outcome.
func TestOutcomeErrors(t *testing.T) {
	answer := func(status int, header, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Kv-Applied", header)
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	for name, c := range map[string]struct {
		handler     http.HandlerFunc
		write, read error
	}{
		"503, not applied":     {answer(503, "no", ""), services.ErrUnavailable, services.ErrUnavailable},
		"503, empty header":    {answer(503, "", ""), services.ErrOutcomeUnknown, services.ErrUnavailable},
		"500":                  {answer(500, "", ""), services.ErrOutcomeUnknown, services.ErrUnavailable},
		"404":                  {answer(404, "", ""), services.ErrNotFound, services.ErrNotFound},
		"409":                  {answer(409, "", ""), services.ErrConflict, services.ErrConflict},
		"413":                  {answer(413, "", ""), services.ErrTooLarge, services.ErrTooLarge},
		"400":                  {answer(400, "", ""), services.ErrUnavailable, services.ErrUnavailable},
		"truncated response":   {answer(200, "", `{"rev`), services.ErrOutcomeUnknown, services.ErrUnavailable},
		"closed without reply": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, services.ErrOutcomeUnknown, services.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := newTestClient(t, c.handler, nil)
			_, err := client.CompareAndSwap(t.Context(), "k", 0, nil, 0)
			must.ErrorIs(t, err, c.write)
			_, err = client.Get(t.Context(), "k")
			must.ErrorIs(t, err, c.read)
			client.Close()
			server.Close()
			_, err = client.CompareAndSwap(t.Context(), "k", 0, nil, 0)
			must.ErrorIs(t, err, services.ErrUnavailable, must.Sprint("refused connection"))
		})
	}
}

// TestLateWrite checks that a write that takes effect after the caller's context was canceled is not reported as not sent, and that a call
// whose context had ended before is not reported as sent.
func TestLateWrite(t *testing.T) {
	service := kv.New()
	ctx, cancel := context.WithCancel(t.Context())
	release := make(chan struct{})
	client, _ := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			cancel()
			<-release
		}
		service.ServeHTTP(w, r)
	}), nil)
	_, err := client.CompareAndSwap(ctx, "k", 0, []byte("1"), 0)
	must.ErrorIs(t, err, services.ErrOutcomeUnknown)
	must.ErrorIs(t, err, context.Canceled)
	close(release)
	got, err := client.Watch(t.Context(), "k", 0)
	must.NoError(t, err)
	must.Eq(t, "1", string(got.Value))

	_, err = client.CompareAndSwap(ctx, "k", 0, nil, 0)
	must.ErrorIs(t, err, services.ErrUnavailable)
}

// TestWatch guards against a watch that ends after its first long poll, misses a write, or does not end when its context is canceled or
// the service goes down.
func TestWatch(t *testing.T) {
	service := kv.New()
	client, _ := newTestClient(t, service, func(c *httpkv.Config) { c.WatchWait = 10 * time.Millisecond })
	result := make(chan error, 1)
	watch := func(ctx context.Context, after services.Revision) {
		go func() {
			_, err := client.Watch(ctx, "k", after)
			result <- err
		}()
	}
	watch(t.Context(), 0)
	for service.Counters().Watches < 3 {
		time.Sleep(time.Millisecond)
	}
	revision, err := client.CompareAndSwap(t.Context(), "k", 0, nil, 0)
	must.NoError(t, err)
	must.NoError(t, <-result)

	ctx, cancel := context.WithCancel(t.Context())
	watch(ctx, revision)
	cancel()
	must.ErrorIs(t, <-result, context.Canceled)
	watch(t.Context(), revision)
	service.SetFaults(kv.Faults{Down: kv.DownClose})
	must.ErrorIs(t, <-result, services.ErrUnavailable)
}

// TestLeases checks that lease calls and keys are encoded correctly in requests, and that keys do not outlive their lease.
func TestLeases(t *testing.T) {
	client, _ := newTestClient(t, kv.New(), nil)
	lease, err := client.Grant(t.Context(), time.Minute)
	must.NoError(t, err)
	_, err = client.CompareAndSwap(t.Context(), "a&b=c/ü", 0, []byte("1"), lease)
	must.NoError(t, err)
	must.NoError(t, client.Renew(t.Context(), lease))
	keys, err := client.List(t.Context(), "a&", 0)
	must.NoError(t, err)
	must.Eq(t, []string{"a&b=c/ü"}, keys)
	must.NoError(t, client.Revoke(t.Context(), lease))
	must.ErrorIs(t, client.Renew(t.Context(), lease), services.ErrNotFound)
	_, err = client.Get(t.Context(), "a&b=c/ü")
	must.ErrorIs(t, err, services.ErrNotFound)
}

// TestConfigNamesField checks that a validation error names the invalid field.
func TestConfigNamesField(t *testing.T) {
	must.ErrorContains(t, httpkv.DefaultConfig("127.0.0.1:1").Validate(), "BaseURL")
	cfg := httpkv.DefaultConfig("http://127.0.0.1:1")
	must.NoError(t, cfg.Validate())
	cfg.WriteTimeout = 0
	must.ErrorContains(t, cfg.Validate(), "WriteTimeout")
}

func Example() {
	service := httptest.NewServer(kv.New())
	defer service.Close()
	client, _ := httpkv.New(httpkv.DefaultConfig(service.URL))
	defer client.Close()
	ctx := context.Background()
	revision, _ := client.CompareAndSwap(ctx, "greeting", 0, []byte("bula"), 0)
	got, _ := client.Get(ctx, "greeting")
	fmt.Println(string(got.Value), got.Revision == revision)
	_, err := client.CompareAndSwap(ctx, "greeting", 0, []byte("labdien"), 0)
	fmt.Println(errors.Is(err, services.ErrConflict))
	// Output:
	// bula true
	// true
}
