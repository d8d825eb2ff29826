// Package settings reads the JSON settings of a process.
//
// Load fills defaults, rejects unknown fields, validates, and reports every fault of a file at once with its path, line and
// column. docs/settings.md lists the fields; a test compares it with this package. Secrets have the type Secret and never
// appear in logs or on status pages.
package settings

import (
	"time"
)

// Roles of a process.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// Kinds of upstreams.
const (
	UpstreamEngine = "engine"
	UpstreamPlain  = "plain"
)

// Secret is a string that prints as asterisks.
type Secret string

// String implements fmt.Stringer.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "***"
}

// MarshalText implements encoding.TextMarshaler, so that status pages do not show the secret.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Secret) UnmarshalText(text []byte) error {
	*s = Secret(text)
	return nil
}

// Settings configure one process. They do not change while it runs.
type Settings struct {
	// Instance is the unique name of this instance.
	Instance string `json:"instance" validate:"required"`
	// Role is "entry" or "sidecar".
	Role string `json:"role" validate:"required,oneof=entry sidecar"`
	// DataCentre is the data centre that the instance is in.
	DataCentre string `json:"data_centre" validate:"required"`
	// Region groups data centres that are near each other. An entry uses upstreams of other regions only for a service version that
	// has none in its own. Empty: one region.
	Region string `json:"region"`
	// PeerAddress is the IP address and port for frames from other processes.
	PeerAddress string `json:"peer_address" validate:"required,tcp_addr"`
	// AdminAddress is the IP address and port for health checks, metrics and status.
	AdminAddress string `json:"admin_address" validate:"required,tcp_addr"`
	// HTTPAddress is the IP address and port for callers. Entries only.
	HTTPAddress string `json:"http_address" validate:"required_if=Role entry,omitempty,tcp_addr"`
	// Service is the service that the upstream beside a sidecar belongs to.
	Service string `json:"service" validate:"required_if=Role sidecar"`
	// Upstream is the upstream beside a sidecar.
	Upstream Upstream `json:"upstream"`
	// KV is the platform's key-value service.
	KV KV `json:"kv"`
	// Instances is the platform's instance list.
	Instances Instances `json:"instances"`
	// Rollout sets the pace of shifts between versions. All entries of a fleet must have the same values.
	Rollout Rollout `json:"rollout"`
	// Seeds are peer addresses to learn the configuration from while the platform is down. Empty: only the instance list.
	Seeds []string `json:"seeds" validate:"dive,tcp_addr"`
	// GossipIntervalMS is the time between exchanges with a random peer, in milliseconds. Default 1000.
	GossipIntervalMS int `json:"gossip_interval_ms" validate:"min=10,max=60000"`
	// KeepaliveMS is the silence after which a connection with requests in progress is probed, in milliseconds; two and a half
	// times as long ends it. Default 10000.
	KeepaliveMS int `json:"keepalive_ms" validate:"min=50,max=600000"`
	// ConnectTimeoutMS bounds dialing and handshake with a peer, in milliseconds. Default 1000.
	ConnectTimeoutMS int `json:"connect_timeout_ms" validate:"min=10,max=60000"`
	// LeaveDelayMS is how long an entry still accepts callers after its readiness page turned false, in milliseconds, so that
	// the balancer has noticed before the listener closes. Default 3000.
	LeaveDelayMS int `json:"leave_delay_ms" validate:"min=0,max=600000"`
	// ShutdownTimeoutMS bounds a graceful shutdown, in milliseconds. Default 60000.
	ShutdownTimeoutMS int `json:"shutdown_timeout_ms" validate:"min=0,max=3600000"`
	// MaxBodyBytes bounds a caller's request body, in bytes. Default 524288; a request must fit one frame.
	MaxBodyBytes int `json:"max_body_bytes" validate:"min=1,max=1000000"`
	// MaxAnswerBytes bounds an answer that is not streamed, in bytes. Default 16777216.
	MaxAnswerBytes int `json:"max_answer_bytes" validate:"min=1,max=1073741824"`
}

// Upstream describes the upstream beside a sidecar.
type Upstream struct {
	// Kind is "engine" for a model engine or "plain" for a plain service.
	Kind string `json:"kind" validate:"omitempty,oneof=engine plain"`
	// URL is the upstream's base URL by IP address.
	URL string `json:"url" validate:"omitempty,http_url"`
	// Version is the upstream's version as the rules name it. Default "v1".
	Version string `json:"version"`
	// Weight is the upstream's relative capacity. Default 1.
	Weight float64 `json:"weight" validate:"gt=0,lte=10000"`
	// CapacityWorkUnits is the most work, in tokens, that the upstream may hold at once if its load report does not say.
	// Default 200000.
	CapacityWorkUnits int `json:"capacity_work_units" validate:"min=1"`
	// LoadIntervalMS is the time between load reports, in milliseconds. Default 500.
	LoadIntervalMS int `json:"load_interval_ms" validate:"min=10,max=60000"`
	// FirstTokenSlowMS is the time to first token above which a cold engine counts as slow, in milliseconds. Default 1300.
	FirstTokenSlowMS int `json:"first_token_slow_ms" validate:"min=1,max=600000"`
}

// KV describes the platform's key-value service.
type KV struct {
	// URL is the service's base URL. Empty: none; the configuration comes from peers only.
	URL string `json:"url" validate:"omitempty,http_url"`
	// Token authenticates the process. Empty: none.
	Token Secret `json:"token"`
	// TimeoutMS bounds one call, in milliseconds. Default 1000.
	TimeoutMS int `json:"timeout_ms" validate:"min=1,max=60000"`
	// ReadsPerSecond and WritesPerSecond are the process's call budget. Default 20 and 20.
	ReadsPerSecond  float64 `json:"reads_per_second" validate:"gt=0"`
	WritesPerSecond float64 `json:"writes_per_second" validate:"gt=0"`
}

// Instances describes the platform's instance list.
type Instances struct {
	// URL is the list's base URL. Empty: none.
	URL string `json:"url" validate:"omitempty,http_url"`
	// PollIntervalMS is the time between reads, in milliseconds. Default 4000; a read without changes costs about 250 bytes.
	PollIntervalMS int `json:"poll_interval_ms" validate:"min=10,max=600000"`
}

// Rollout sets the pace of shifts between versions.
type Rollout struct {
	// WindowMS is the length of the time windows in which outcomes are counted, in milliseconds. Default 5000.
	WindowMS int `json:"window_ms" validate:"min=100,max=600000"`
	// LagMS is how long after a window's end its counts may arrive, in milliseconds. Default 5000; below 3000 counts of other
	// data centres are lost.
	LagMS int `json:"lag_ms" validate:"min=0,max=600000"`
	// MinStepMS is the shortest stay at a share, in milliseconds. Default 30000.
	MinStepMS int `json:"min_step_ms" validate:"min=100,max=86400000"`
	// MonitorMS is how long the old version is kept after the new one has all traffic, in milliseconds. Default 1800000.
	MonitorMS int `json:"monitor_ms" validate:"min=100,max=604800000"`
	// SettleMS is how long a new lease holder waits for stops before its first advance, in milliseconds. Default 10000.
	SettleMS int `json:"settle_ms" validate:"min=100,max=600000"`
}

// Defaults returns the settings that fields left out of a file have.
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

// Milliseconds converts a field whose name ends in MS.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
