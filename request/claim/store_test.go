package claim

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/jayridge/jayridge/internal/standin/httpkv"
	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func openStore(t *testing.T, kv services.KV, change func(*Config)) *Store {
	t.Helper()
	cfg := DefaultConfig("cards")
	if change != nil {
		change(&cfg)
	}
	s, err := NewStore(kv, cfg, "test")
	must.NoError(t, err)
	return s
}

func claimKind(t *testing.T, s *Store, key Key) Kind {
	t.Helper()
	d, err := s.Claim(t.Context(), key, 1)
	must.Eq(t, d.Kind == Unavailable, err != nil)
	return d.Kind
}

// A key must be granted once when many callers claim it at two stores concurrently.
func TestStoreOneGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeKV(time.Millisecond)
		stores := []*Store{openStore(t, service, nil), openStore(t, service, nil)}
		var granted atomic.Int32
		var calls sync.WaitGroup
		for i := range 100 {
			calls.Go(func() {
				d, _ := stores[i%2].Claim(t.Context(), KeyOf("team", fmt.Sprint(i/20)), 1)
				if d.Kind == Granted {
					granted.Add(1)
				}
			})
		}
		calls.Wait()
		must.Eq(t, 5, granted.Load())
		for _, s := range stores {
			must.NoError(t, s.Close(t.Context()))
		}
	})
}

// A restarted store must not grant a key again or lose its response, even if the claim is many segments back and the body is no
// longer in memory.
func TestStoreRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeKV(time.Millisecond)
		change := func(c *Config) { c.SegmentBytes, c.BodyLimitBytes, c.CachedBodies = 1<<10, 200, 1 }
		s := openStore(t, service, change)
		for i := range 100 {
			key := KeyOf("team", fmt.Sprint(i))
			must.Eq(t, Granted, claimKind(t, s, key))
			s.Finish(key, Response{Code: result.OK, Status: 200, Body: fmt.Append(nil, "body ", i)})
		}
		must.NoError(t, s.Close(t.Context()))
		must.Greater(t, 9, len(service.keys))

		s = openStore(t, service, change)
		for i := range 100 {
			d, err := s.Claim(t.Context(), KeyOf("team", fmt.Sprint(i)), 1)
			must.NoError(t, err)
			must.Eq(t, Finished, d.Kind)
			must.Eq(t, fmt.Sprint("body ", i), string(d.Response.Body))
		}
		d, err := s.Claim(t.Context(), KeyOf("team", "0"), 2)
		must.NoError(t, err)
		must.Eq(t, KeyReused, d.Kind)
		must.NoError(t, s.Close(t.Context()))
	})
}

// Keys must not stay in memory after the retention, and a start must not read the whole log.
func TestStoreRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeKV(time.Millisecond)
		change := func(c *Config) { c.Shards, c.SegmentBytes, c.BodyLimitBytes, c.Retention = 1, 1<<10, 0, time.Minute }
		s := openStore(t, service, change)
		for i := range 2000 {
			must.Eq(t, Granted, claimKind(t, s, KeyOf("team", fmt.Sprint(i))))
			time.Sleep(time.Second)
		}
		must.NoError(t, s.Close(t.Context()))
		must.LessEq(t, 70, s.shards[0].log.index.entries.len)

		segments, before := len(service.keys)-1, service.reads
		s = openStore(t, service, change)
		must.Eq(t, InDoubt, claimKind(t, s, KeyOf("team", "1990")))
		must.Eq(t, Granted, claimKind(t, s, KeyOf("team", "1")))
		t.Logf("%d segments, %d reads to start", segments, service.reads-before)
		must.Less(t, segments/2, service.reads-before)
		must.NoError(t, s.Close(t.Context()))
	})
}

// A claim whose caller has canceled must not be granted, and its key must not stay in doubt once the outcome of the lost write
// is known.
func TestStoreCanceledClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeKV(time.Millisecond)
		s := openStore(t, service, nil)
		key := KeyOf("team", "lost")
		lose := true
		service.afterWrite = func(name string) error {
			if lose && !strings.HasSuffix(name, "layout") {
				time.Sleep(time.Second)
				lose = false
				return services.ErrOutcomeUnknown
			}
			return nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		d, err := s.Claim(ctx, key, 1)
		must.Eq(t, Unavailable, d.Kind)
		must.True(t, errors.Is(err, ErrCanceled))
		must.Eq(t, Granted, claimKind(t, s, key))
		must.NoError(t, s.Close(t.Context()))
		// The granted claim is in doubt for other stores; the canceled one was released.
		other := openStore(t, service, nil)
		must.Eq(t, InDoubt, claimKind(t, other, key))
		must.NoError(t, other.Close(t.Context()))
	})
}

// Claims must not wait during an outage or still be refused after it, and the number of calls must not grow with the number of
// claims.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeKV(time.Millisecond)
		s := openStore(t, service, nil)
		must.Eq(t, Granted, claimKind(t, s, KeyOf("team", "before")))
		var attempts atomic.Int32
		var up atomic.Bool
		service.beforeWrite = func(string) error {
			if !up.Load() {
				attempts.Add(1)
				return services.ErrUnavailable
			}
			return nil
		}
		for i := range 1000 {
			must.Eq(t, Unavailable, claimKind(t, s, KeyOf("team", fmt.Sprint("during ", i))))
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("%d calls for 1000 claims in an outage of 10 s", attempts.Load())
		must.Less(t, 200, attempts.Load())
		must.Eq(t, InDoubt, claimKind(t, s, KeyOf("team", "before")))
		up.Store(true)
		time.Sleep(time.Second)
		must.Eq(t, Granted, claimKind(t, s, KeyOf("team", "during 1")))
		must.NoError(t, s.Close(t.Context()))
		must.Eq(t, Unavailable, claimKind(t, s, KeyOf("team", "after")))
	})
}

// A retry must be granted if the granted call was never sent to the upstream.
func TestStoreRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeKV(time.Millisecond)
		s := openStore(t, service, nil)
		key := KeyOf("team", "refused")
		must.Eq(t, Granted, claimKind(t, s, key))
		s.Finish(key, Response{Code: result.Draining})
		must.Eq(t, Granted, claimKind(t, s, key))
		s.Finish(key, Response{Code: result.UpstreamBroken})
		d, err := s.Claim(t.Context(), key, 1)
		must.NoError(t, err)
		must.Eq(t, result.UpstreamBroken, d.Response.Code)
		must.NoError(t, s.Close(t.Context()))
	})
}

// A key must not be claimed in two shards if two stores are configured with different numbers of shards.
func TestStoreLayout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeKV(time.Millisecond)
		first := openStore(t, service, nil)
		must.Eq(t, Granted, claimKind(t, first, KeyOf("team", "a")))
		second := openStore(t, service, func(c *Config) { c.Shards = 4 })
		d, err := second.Claim(t.Context(), KeyOf("team", "b"), 1)
		must.Eq(t, Unavailable, d.Kind)
		must.True(t, errors.Is(err, ErrLayout))
		must.NoError(t, first.Close(t.Context()))
		must.NoError(t, second.Close(t.Context()))
	})
}

// No claim may be granted if the log cannot be read.
func TestStoreUnreadableSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeKV(time.Millisecond)
		for shard := range 3 {
			_, err := service.CompareAndSwap(t.Context(), fmt.Sprintf("claims/cards/%04d/%012d", shard, 0), 0, []byte("no batch"), 0)
			must.NoError(t, err)
		}
		s := openStore(t, service, nil)
		_, err := s.Claim(t.Context(), KeyOf("team", "a"), 1)
		must.True(t, errors.Is(err, errCorrupt))
		must.NoError(t, s.Close(t.Context()))
	})
}

// The log, the adapter and the service must work together over the real protocol under lost responses and stale reads.
func TestStoreOverHTTP(t *testing.T) {
	service := kv.New()
	server := httptest.NewServer(service)
	defer server.Close()
	client, err := httpkv.New(httpkv.DefaultConfig(server.URL))
	must.NoError(t, err)
	defer client.Close()
	s := openStore(t, client, nil)
	for i := range 20 {
		service.SetFaults(kv.Faults{LoseWrites: 1, StaleReads: i % 3})
		key := KeyOf("team", fmt.Sprint(i))
		must.Eq(t, Granted, claimKind(t, s, key))
		s.Finish(key, Response{Code: result.OK, Status: 200})
		must.Eq(t, Finished, claimKind(t, s, key))
	}
	service.SetFaults(kv.Faults{})
	must.NoError(t, s.Close(t.Context()))
	other := openStore(t, client, nil)
	must.Eq(t, Finished, claimKind(t, other, KeyOf("team", "3")))
	must.NoError(t, other.Close(t.Context()))
}

// The error of Validate must name the field that is out of range.
func TestConfigNamesField(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"Service":         func(c *Config) { c.Service = "a/b" },
		"Shards":          func(c *Config) { c.Shards = 0 },
		"SegmentBytes":    func(c *Config) { c.SegmentBytes = services.MaxValueBytes },
		"Retention":       func(c *Config) { c.Retention = 0 },
		"WritesPerSecond": func(c *Config) { c.WritesPerSecond = 0 },
		"BodyLimitBytes":  func(c *Config) { c.BodyLimitBytes = c.SegmentBytes },
		"ClaimTimeout":    func(c *Config) { c.ClaimTimeout = 0 },
		"RetryMax":        func(c *Config) { c.RetryMax = 0 },
	} {
		cfg := DefaultConfig("cards")
		change(&cfg)
		must.ErrorContains(t, cfg.Validate(), name)
	}
	must.NoError(t, DefaultConfig("cards").Validate())
}
