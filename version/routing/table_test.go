package routing

import (
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func testConfig() *Config {
	split := []Share{{Service: "chat", Weight: 90}, {Service: "next", Weight: 10}, {Service: "off"}}
	return &Config{
		Version: 7,
		Routes: []Route{
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/", TrafficSplit: split},
			{Name: "short", Host: "a.example", PathPrefix: "/x/", TrafficSplit: split},
			{Name: "other", Host: "b.example", PathPrefix: "/x/", TrafficSplit: split},
		},
		Services: []Service{{Name: "chat"}, {Name: "next"}, {Name: "off"}},
		Teams:    []Team{{Name: "drivers", Keys: []string{"k1", "k2"}}},
	}
}

// A request must go to the longest matching prefix that ends at a path segment.
func TestTable_LongestPrefixOfWholeSegments(t *testing.T) {
	table, err := NewTable(testConfig())
	must.NoError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/x/yz", "short"},
		{"a.example", "/x/", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/xx/y/", ""},
		{"b.example", "/x/y/z", "other"},
		{"c.example", "/x/y/z", ""},
		{"a.example", "", ""},
		{"a.example", "*", ""},
	} {
		got := ""
		if r := table.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		must.EqOp(t, c.want, got, must.Sprintf("%s%s", c.host, c.path))
	}
}

// Services must get shares of the traffic that follow their weights, and none with weight zero.
func TestRoute_PickFollowsWeights(t *testing.T) {
	r := testConfig().Routes[0]
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	must.Eq(t, map[string]int{"chat": 900, "next": 100}, counts)
}

// NewTable must reject a configuration without a version, with an unknown service, with an invalid path prefix, or with a route
// without a positive weight.
func TestNewTable_RejectsInvalidConfigurations(t *testing.T) {
	for name, invalidate := range map[string]func(*Config){
		"version":         func(c *Config) { c.Version = 0 },
		"unknown service": func(c *Config) { c.Services = c.Services[:1] },
		"prefix":          func(c *Config) { c.Routes[0].PathPrefix = "/x" },
		"no weight":       func(c *Config) { c.Routes[0].TrafficSplit = c.Routes[0].TrafficSplit[2:] },
	} {
		c := testConfig()
		invalidate(c)
		_, err := NewTable(c)
		must.Error(t, err, must.Sprint(name))
	}
}

// Requests need keys unless the configuration says otherwise, whichever form its list of teams has.
func TestTable_NeedsKeysWithoutTeams(t *testing.T) {
	for _, teams := range [][]Team{nil, {}, {{Name: "drivers"}}} {
		c := testConfig()
		c.Teams = teams
		table, err := NewTable(c)
		must.NoError(t, err)
		must.True(t, table.NeedsKeys())
		must.Nil(t, table.TeamByKey("k1"))
	}
	c := testConfig()
	c.WithoutKeys = true
	table, err := NewTable(c)
	must.NoError(t, err)
	must.False(t, table.NeedsKeys())
}

// Guards against a request without a key that is taken for one of a team whose list holds an empty key.
func TestTable_EmptyKey(t *testing.T) {
	c := testConfig()
	c.Teams[0].Keys = []string{"", "k1"}
	table, err := NewTable(c)
	must.NoError(t, err)
	must.Nil(t, table.TeamByKey(""))
	must.NotNil(t, table.TeamByKey("k1"))
}

// A request's priority must be that of its team, else of its route, in range; upstreams are told it only if a service has different ones.
func TestPriority(t *testing.T) {
	far, first := 40, -1
	share := func(service string) []Share { return []Share{{Service: service, Weight: 1}, {Service: "unused"}} }
	config := func(public, withoutKeys bool, priorities ...int) *Config {
		c := &Config{Version: 1, WithoutKeys: withoutKeys, Services: []Service{{Name: "a"}, {Name: "b"}, {Name: "unused"}}}
		for i, p := range priorities {
			name := string(rune('r' + i))
			c.Routes = append(c.Routes, Route{Name: name, PathPrefix: "/" + name + "/", Priority: p, Public: public, TrafficSplit: share("a")})
		}
		c.Routes = append(c.Routes, Route{Name: "other", PathPrefix: "/other/", Priority: 3, Public: public, TrafficSplit: share("b")})
		c.Teams = []Team{{Name: "plain"}, {Name: "far", Priority: &far}, {Name: "first", Priority: &first}}
		return c
	}
	table, err := NewTable(config(false, false, 2, 12))
	must.NoError(t, err)
	must.EqOp(t, 2, table.Priority(&table.config.Routes[0], nil))
	must.EqOp(t, 2, table.Priority(&table.config.Routes[0], &table.config.Teams[0]))
	must.EqOp(t, MaxPriority, table.Priority(&table.config.Routes[0], &table.config.Teams[1]))
	must.EqOp(t, 0, table.Priority(&table.config.Routes[0], &table.config.Teams[2]))
	must.EqOp(t, MaxPriority, table.Priority(&table.config.Routes[1], nil))
	must.Eq(t, []string{"route s", "team far", "team first"}, table.ClampedPriorities())
	must.True(t, table.HasPriorities("a") && table.HasPriorities("b"))
	must.False(t, table.HasPriorities("unused"))
	for name, c := range map[string]*Config{"public": config(true, false, 2, 2), "without keys": config(false, true, 2, 2)} {
		table, err := NewTable(c)
		must.NoError(t, err)
		must.False(t, table.HasPriorities("a"), must.Sprint(name, ": teams have no part in it"))
	}
	table, err = NewTable(config(true, false, 2, 4))
	must.NoError(t, err)
	must.True(t, table.HasPriorities("a"))
}

// Guards against a crowd with paths of very many segments keeping the processor from ordinary requests: each segment took a string of the path's size.
func TestTable_PathOfManySegments(t *testing.T) {
	table, err := NewTable(testConfig())
	must.NoError(t, err)
	for name, c := range map[string]struct{ host, path, want string }{
		"no route":     {"a.example", "/" + strings.Repeat("a/", 7700), ""},
		"route":        {"a.example", "/x/" + strings.Repeat("a/", 7700), "short"},
		"other host":   {"c.example", "/x/" + strings.Repeat("a/", 7700), ""},
		"only slashes": {"a.example", strings.Repeat("/", 15_400), ""},
	} {
		t.Run(name, func(t *testing.T) {
			var got *Route
			allocations := testing.AllocsPerRun(10, func() { got = table.Route(c.host, c.path) })
			if c.want == "" {
				must.Nil(t, got)
			} else {
				must.EqOp(t, c.want, got.Name)
			}
			must.LessEq(t, 4, allocations)
			if h := table.hosts[c.host]; h != nil {
				must.LessEq(t, h.longest, len(slices.Collect(h.candidates(c.path))))
			}
		})
	}
}
