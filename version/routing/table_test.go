package routing

import (
	"testing"

	"github.com/shoenig/test/must"
)

func config() *Config {
	split := []Share{{Service: "chat", Weight: 90}, {Service: "next", Weight: 10}, {Service: "off"}}
	return &Config{
		Version: 7,
		Routes: []Route{
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/", Split: split},
			{Name: "short", Host: "a.example", PathPrefix: "/x/", Split: split},
			{Name: "other", Host: "b.example", PathPrefix: "/x/", Split: split},
		},
		Services: []Service{{Name: "chat"}, {Name: "next"}, {Name: "off"}},
		Teams:    []Team{{Name: "drivers", Keys: []string{"k1", "k2"}}},
	}
}

// A request must go to the route with the longest prefix, and never to one whose prefix only shares its first letters.
func TestTable_LongestPrefixOfWholeSegments(t *testing.T) {
	table, err := NewTable(config())
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

// A service without a weight must get no traffic, whatever the point.
func TestRoute_PickFollowsWeights(t *testing.T) {
	r := config().Routes[0]
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	must.Eq(t, map[string]int{"chat": 900, "next": 100}, counts)
}

// A configuration that names a service it does not have must be refused as a whole.
func TestNewTable_RefusesBrokenConfigurations(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"version":         func(c *Config) { c.Version = 0 },
		"unknown service": func(c *Config) { c.Services = c.Services[:1] },
		"prefix":          func(c *Config) { c.Routes[0].PathPrefix = "/x" },
		"no weight":       func(c *Config) { c.Routes[0].Split = c.Routes[0].Split[2:] },
	} {
		c := config()
		spoil(c)
		_, err := NewTable(c)
		must.Error(t, err, must.Sprint(name))
	}
}
