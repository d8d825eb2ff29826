package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const entryText = `{
  "instance": "entry-1", "role": "entry", "data_centre": "suva",
  "peer_address": "127.0.0.1:7000", "admin_address": "127.0.0.1:7001", "http_address": "127.0.0.1:7002",
  "kv": {"url": "http://127.0.0.1:8000", "token": "hush"}
}`

// Fields omitted from a section that is present must keep their defaults.
func TestParse_KeepsDefaults(t *testing.T) {
	s, err := Parse("entry.json", []byte(entryText))
	must.NoError(t, err)
	must.Eq(t, 1000, s.KV.TimeoutMS)
	must.Eq(t, 60_000, s.ShutdownTimeoutMS)
}

// A secret must be masked when settings are formatted with fmt, as for a log line.
func TestSecret_NeverPrinted(t *testing.T) {
	s, err := Parse("entry.json", []byte(entryText))
	must.NoError(t, err)
	must.Eq(t, "hush", string(s.KV.Token))
	must.StrNotContains(t, fmt.Sprintf("%v %+v", s.KV, s.KV), "hush")
}

// Every validation error must be reported, with its line unless the field is missing. Validation must not stop at the first one.
func TestParse_ReportsEveryFault(t *testing.T) {
	text := `{
  "instance": "s-1", "role": "sidecar", "data_centre": 7,
  "peer_address": "localhost", "admin_address": "127.0.0.1:7001",
  "shutdown": 5,
  "kv": {"timeout_ms": "1s", "extra": {"a": [1]}},
  "gossip_interval_ms": 1,
  "seeds": ["127.0.0.1:1", "nowhere"]
}`
	_, err := Parse("s.json", []byte(text))
	var faults Faults
	must.True(t, errors.As(err, &faults))
	var found []string
	for _, f := range faults {
		found = append(found, fmt.Sprintf("%d %s", f.Line, f.Path))
	}
	must.SliceContainsAll(t, found, []string{
		"2 data_centre", "3 peer_address", "4 shutdown", "5 kv.timeout_ms", "5 kv.extra", "6 gossip_interval_ms", "7 seeds[1]",
		"0 upstream.kind", "0 upstream.url", "0 service",
	})
}

// Ranges and addresses must be validated when the file is loaded rather than on first use.
func TestParse_ChecksValues(t *testing.T) {
	for change, path := range map[string]string{
		`"gossip_interval_ms": 1`:         "gossip_interval_ms",
		`"seeds": ["nowhere"]`:            "seeds[0]",
		`"kv": {"url": "not a url"}`:      "kv.url",
		`"upstream": {"weight": -1}`:      "upstream.weight",
		`"max_body_bytes": 99999999`:      "max_body_bytes",
		`"instances": {"url": "ftp://x"}`: "instances.url",
	} {
		text := strings.Replace(entryText, `"kv": {"url": "http://127.0.0.1:8000", "token": "hush"}`, change, 1)
		_, err := Parse("e.json", []byte(text))
		var faults Faults
		must.True(t, errors.As(err, &faults), must.Sprint(change))
		must.Eq(t, path, faults[0].Path)
		must.Positive(t, faults[0].Line)
	}
}

// Every field must be documented in docs/settings.md.
func TestDocs_ListEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	must.NoError(t, err)
	var walk func(reflect.Type, string)
	walk = func(typ reflect.Type, path string) {
		for _, name := range fieldNames(typ) {
			field, _ := fieldByName(typ, name)
			if field.Type.Kind() == reflect.Struct {
				walk(field.Type, joinPath(path, name))
				continue
			}
			must.StrContains(t, string(page), "`"+joinPath(path, name)+"`")
		}
	}
	walk(reflect.TypeOf(Settings{}), "")
	walk(reflect.TypeOf(Gateway{}), "")
}

// Invalid gateway settings must be rejected with the path of the invalid field, and omitted fields must be set to their defaults.
func TestParseGateway(t *testing.T) {
	const text = `{"instance":"one","data_centre":"here","data_centres":[{"name":"here","region":"r"}],"callers_address":"127.0.0.1:7001",
"ready_address":"127.0.0.1:7002","peer_address":"127.0.0.1:7003","store":{"address":"127.0.0.1:7004"}}`
	g, err := ParseGateway("g.json", []byte(text))
	must.NoError(t, err)
	must.EqOp(t, 5000, g.Fleet.RevokeMS)
	must.True(t, g.Fleet.StrictRevoke)
	for change, path := range map[string]string{
		`"data_centre":"here"`:                 "data_centre",
		`"store":{"address":"127.0.0.1:7004"}`: "store.address",
		`"ready_address":"127.0.0.1:7002"`:     "ready_address",
	} {
		_, err := ParseGateway("g.json", []byte(strings.Replace(text, change, strings.NewReplacer("here", "x", "127.0.0.1", "").Replace(change), 1)))
		var faults Faults
		must.True(t, errors.As(err, &faults), must.Sprint(change))
		must.Eq(t, path, faults[0].Path)
	}
}

// The duties must be off without an address, be known under the names of the deploy file too, and be rejected under other names.
func TestParseGateway_Duties(t *testing.T) {
	const text = `{"instance":"one","data_centre":"here","data_centres":[{"name":"here","region":"r"}],"callers_address":"127.0.0.1:7001",
"ready_address":"127.0.0.1:7002","peer_address":"127.0.0.1:7003","store":{"address":"127.0.0.1:7004"},"duties":{DUTIES}}`
	parse := func(duties string) (*Gateway, error) {
		return ParseGateway("g.json", []byte(strings.Replace(text, "DUTIES", duties, 1)))
	}
	g, err := parse(`"names":["usage"]`)
	must.NoError(t, err)
	must.False(t, g.Duties.Has(DutyUsage))
	must.EqOp(t, 3000, g.Duties.LeaseMS)
	g, err = parse(`"address":"127.0.0.1:7005","names":["usage_report","autoscale"]`)
	must.NoError(t, err)
	must.True(t, g.Duties.Has(DutyUsage))
	must.True(t, g.Duties.Has(DutyScale))
	// A deploy file may have no values for duties that it does not name.
	g, err = parse(`"address":"127.0.0.1:7005","names":[],"calls_per_second":0,"lease_ms":0,"usage_window_s":0,"usage_due_s":0`)
	must.NoError(t, err)
	must.Eq(t, GatewayDefaults().Duties.LeaseMS, g.Duties.LeaseMS)
	must.EqOp(t, 50, g.Duties.CallsPerSecond)
	must.EqOp(t, 5, g.Duties.UsageWindowS)
	for duties, path := range map[string]string{
		`"names":["usage","lunch"]`: "duties.names[1]", `"address":"here"`: "duties.address", `"usage_window_s":-1`: "duties.usage_window_s",
		`"calls_per_second":-1`: "duties.calls_per_second", `"lease_ms":1`: "duties.lease_ms",
	} {
		_, err := parse(duties)
		var faults Faults
		must.True(t, errors.As(err, &faults), must.Sprint(duties))
		must.Eq(t, path, faults[0].Path)
	}
}
