package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/settings"
)

const gatewaySettings = `{"instance":"one","data_centre":"here","data_centres":[{"name":"here"}],"callers_address":"127.0.0.1:7001",
"ready_address":"127.0.0.1:7002","peer_address":"127.0.0.1:7003","store":{"address":"127.0.0.1:7004"},"fleet":{"revoke_ms":4000}}`

// Changed settings must take effect without a signal, and an invalid file must be ignored.
func TestWatchSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { must.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(gatewaySettings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	changes := make(chan *settings.Gateway, 8)
	go watchSettings(ctx, path, func(s *settings.Gateway) { changes <- s })
	time.Sleep(settingsPollInterval / 2) // the watcher must have read the initial file
	write(strings.Replace(gatewaySettings, "4000", "\"soon\"", 1))
	time.Sleep(2 * settingsPollInterval)
	write(strings.Replace(gatewaySettings, "4000", "3000", 1))
	select {
	case s := <-changes:
		must.EqOp(t, 3000, s.Fleet.RevokeMS)
	case <-time.After(10 * settingsPollInterval):
		t.Fatal("the changed settings were not read within ten poll intervals")
	}
}
