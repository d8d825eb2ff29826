// Package settings reads the JSON settings of a process.
//
// Load applies defaults, rejects unknown fields, and reports all validation errors of a file together, with path, line and column.
// docs/settings.md documents the fields; a test compares it with this package. Secrets have the type Secret and are masked in logs and
// on status pages.
package settings

import (
	"time"
)

// Values of Settings.Role.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// Values of Upstream.Kind.
const (
	UpstreamEngine = "engine"
	UpstreamPlain  = "plain"
)

// Secret is a string that is masked when printed or marshaled.
type Secret string

// String returns asterisks, or an empty string for an empty secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "***"
}

// MarshalText implements encoding.TextMarshaler. It masks the secret on status pages.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Secret) UnmarshalText(text []byte) error {
	*s = Secret(text)
	return nil
}

// Settings holds the configuration of one process. It does not change while the process runs.
type Settings struct {
	// Instance is the unique name of this instance.
	Instance string `json:"instance" validate:"required"`
	// Role is "entry" or "sidecar".
	Role string `json:"role" validate:"required,oneof=entry sidecar"`
	// DataCentre is the data centre that the instance is in.
	DataCentre string `json:"data_centre" validate:"required"`
	// Region groups data centres that are close to each other. An entry uses upstreams of other regions only for a service version
	// that has none in its own region. If empty, upstreams of all regions are used alike.
	Region string `json:"region"`
	// PeerAddress is the IP address and port for connections from other processes.
	PeerAddress string `json:"peer_address" validate:"required,tcp_addr"`
	// AdminAddress is the IP address and port for health checks, metrics and status.
	AdminAddress string `json:"admin_address" validate:"required,tcp_addr"`
	// HTTPAddress is the IP address and port for callers. Entries only.
	HTTPAddress string `json:"http_address" validate:"required_if=Role entry,omitempty,tcp_addr"`
	// Service is the service of the sidecar's upstream.
	Service string `json:"service" validate:"required_if=Role sidecar"`
	// Upstream holds the settings of the sidecar's upstream.
	Upstream Upstream `json:"upstream"`
	// KV holds the settings of the platform's key-value service.
	KV KV `json:"kv"`
	// Instances holds the settings of the platform's instance list.
	Instances Instances `json:"instances"`
	// Rollout controls the pace of shifts between versions. The values must be the same for all entries of a fleet.
	Rollout Rollout `json:"rollout"`
	// Seeds lists peer addresses from which to fetch the configuration while the platform is unavailable. If empty, only the instance
	// list is used.
	Seeds []string `json:"seeds" validate:"dive,tcp_addr"`
	// GossipIntervalMS is the interval between gossip exchanges with a random peer, in milliseconds. Default 1000.
	GossipIntervalMS int `json:"gossip_interval_ms" validate:"min=10,max=60000"`
	// KeepaliveMS is the time without received data after which a connection with requests in progress is probed, in milliseconds. The
	// connection is closed after two and a half times as long. Default 10000.
	KeepaliveMS int `json:"keepalive_ms" validate:"min=50,max=600000"`
	// ConnectTimeoutMS is the timeout for dialing and handshake with a peer, in milliseconds. Default 1000.
	ConnectTimeoutMS int `json:"connect_timeout_ms" validate:"min=10,max=60000"`
	// LeaveDelayMS is how long an entry continues to accept callers after failing its readiness check, in milliseconds. It gives the
	// load balancer time to notice before the listener closes. Default 3000.
	LeaveDelayMS int `json:"leave_delay_ms" validate:"min=0,max=600000"`
	// ShutdownTimeoutMS is the maximum duration of a graceful shutdown, in milliseconds. Default 60000.
	ShutdownTimeoutMS int `json:"shutdown_timeout_ms" validate:"min=0,max=3600000"`
	// MaxBodyBytes is the maximum size of a request body, in bytes. Default 524288. A request must fit in one frame.
	MaxBodyBytes int `json:"max_body_bytes" validate:"min=1,max=1000000"`
	// MaxAnswerBytes is the maximum size of a buffered response, in bytes. Default 16777216.
	MaxAnswerBytes int `json:"max_answer_bytes" validate:"min=1,max=1073741824"`
}

// Upstream holds the settings of a sidecar's upstream.
type Upstream struct {
	// Kind is "engine" for a model engine or "plain" for a plain service.
	Kind string `json:"kind" validate:"omitempty,oneof=engine plain"`
	// URL is the upstream's base URL, with an IP address as its host.
	URL string `json:"url" validate:"omitempty,http_url"`
	// Version is the upstream's version, as named in the rules. Default "v1".
	Version string `json:"version"`
	// Weight is the upstream's relative capacity. Default 1.
	Weight float64 `json:"weight" validate:"gt=0,lte=10000"`
	// CapacityWorkUnits is the maximum work, in tokens, that the upstream may hold if its load report does not specify a capacity.
	// Default 200000.
	CapacityWorkUnits int `json:"capacity_work_units" validate:"min=1"`
	// LoadIntervalMS is the interval between load reports, in milliseconds. Default 500.
	LoadIntervalMS int `json:"load_interval_ms" validate:"min=10,max=60000"`
	// FirstTokenSlowMS is the time to first token above which a cold engine is considered slow, in milliseconds. Default 1300.
	FirstTokenSlowMS int `json:"first_token_slow_ms" validate:"min=1,max=600000"`
}

// KV holds the settings of the platform's key-value service.
type KV struct {
	// URL is the service's base URL. If empty, no key-value service is used and the configuration comes from peers only.
	URL string `json:"url" validate:"omitempty,http_url"`
	// Token authenticates the process. If empty, no token is sent.
	Token Secret `json:"token"`
	// TimeoutMS is the timeout of a call, in milliseconds. Default 1000.
	TimeoutMS int `json:"timeout_ms" validate:"min=1,max=60000"`
	// ReadsPerSecond and WritesPerSecond are the rate limits of the process's own calls. Default 20 and 20.
	ReadsPerSecond  float64 `json:"reads_per_second" validate:"gt=0"`
	WritesPerSecond float64 `json:"writes_per_second" validate:"gt=0"`
}

// Instances holds the settings of the platform's instance list.
type Instances struct {
	// URL is the list's base URL. If empty, no instance list is used.
	URL string `json:"url" validate:"omitempty,http_url"`
	// PollIntervalMS is the interval between polls of the list, in milliseconds. Default 4000; a poll without changes transfers about
	// 250 bytes.
	PollIntervalMS int `json:"poll_interval_ms" validate:"min=10,max=600000"`
}

// Rollout controls the pace of shifts between versions.
type Rollout struct {
	// WindowMS is the length of the time windows for which outcomes are counted, in milliseconds. Default 5000.
	WindowMS int `json:"window_ms" validate:"min=100,max=600000"`
	// LagMS is how long after the end of a window its counts are still accepted, in milliseconds. Default 5000. Below 3000, counts
	// from other data centres are lost.
	LagMS int `json:"lag_ms" validate:"min=0,max=600000"`
	// MinStepMS is the minimum duration of a rollout step, in milliseconds. Default 30000.
	MinStepMS int `json:"min_step_ms" validate:"min=100,max=86400000"`
	// MonitorMS is how long the old version is kept after the new one has received all traffic, in milliseconds. Default 1800000.
	MonitorMS int `json:"monitor_ms" validate:"min=100,max=604800000"`
	// SettleMS is how long a new lease holder waits for rollout stops before it first advances a rollout, in milliseconds. Default
	// 10000.
	SettleMS int `json:"settle_ms" validate:"min=100,max=600000"`
}

// Defaults returns the default values of Settings.
func Defaults() Settings {
	return Settings{
		Upstream: Upstream{
			Version:           "v1",
			Weight:            1,
			CapacityWorkUnits: 200_000,
			LoadIntervalMS:    500,
			FirstTokenSlowMS:  1300,
		},
		KV:                KV{TimeoutMS: 1000, ReadsPerSecond: 20, WritesPerSecond: 20},
		Rollout:           Rollout{WindowMS: 5000, LagMS: 5000, MinStepMS: 30_000, MonitorMS: 1_800_000, SettleMS: 10_000},
		Instances:         Instances{PollIntervalMS: 4000},
		GossipIntervalMS:  1000,
		KeepaliveMS:       10_000,
		ConnectTimeoutMS:  1000,
		LeaveDelayMS:      3000,
		ShutdownTimeoutMS: 60_000,
		MaxBodyBytes:      512 << 10,
		MaxAnswerBytes:    16 << 20,
	}
}

// Milliseconds converts the value of an integer field whose name ends in MS.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
