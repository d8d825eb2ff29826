package settings

import (
	"cmp"
	"math"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Gateway holds the settings of a gateway, which is an entry that sends requests to upstreams without sidecars and keeps no state of
// its own. Duration fields are named after their unit and may be fractional.
type Gateway struct {
	// Instance is the unique name of this instance.
	Instance string `json:"instance" validate:"required"`
	// DataCentre is the data centre that the instance is in.
	DataCentre string `json:"data_centre" validate:"required"`
	// DataCentres lists all data centres with their regions.
	DataCentres []DataCentre `json:"data_centres" validate:"required,dive"`
	// CallersAddress is the IP address and port for callers.
	CallersAddress string `json:"callers_address" validate:"required,tcp_addr"`
	// ReadyAddress is the IP address and port for the load balancer's readiness checks.
	ReadyAddress string `json:"ready_address" validate:"required,tcp_addr"`
	// PeerAddress is the IP address and port for other gateways.
	PeerAddress string `json:"peer_address" validate:"required,tcp_addr"`
	// MetricsAddress is the IP address and port for metrics and status. If empty, they are not served.
	MetricsAddress string `json:"metrics_address" validate:"omitempty,tcp_addr"`
	// MemoryMB is the memory available to the process, in megabytes. Default 256.
	MemoryMB float64 `json:"memory_mb" validate:"min=32,max=1048576"`
	// MaxFiles is the maximum number of file descriptors of the process. Default 4096.
	MaxFiles int `json:"max_files" validate:"min=256,max=10000000"`
	// LinkMbps is the bandwidth of the instance's network link, in Mbit/s. Large responses of the store are read with two thirds of it, so that they do
	// not delay callers' streams. Zero means unknown: they are read at full speed. Default 0.
	LinkMbps float64 `json:"link_mbps" validate:"min=0,max=10000000"`
	// MaxConnections is the maximum number of callers' connections. If there are more, those without a complete request are closed. Default 0, which
	// derives it: three quarters of max_files without 200 for files and without those of the other listeners, but not more than take a quarter of
	// memory_mb at 20 KB each.
	MaxConnections int `json:"max_connections" validate:"min=0,max=10000000"`
	// MaxConnectionsPerAddress is the maximum number of callers' connections of one IP address, which may be that of a load balancer. Default 0, which
	// means nine tenths of max_connections.
	MaxConnectionsPerAddress int `json:"max_connections_per_address" validate:"min=0,max=10000000"`
	// MaxHeadFields is the maximum number of fields in the head of a request; a request with more gets status 431. Default 24000, more than fit into
	// a head of 64 KiB.
	MaxHeadFields int `json:"max_head_fields" validate:"min=20,max=10000000"`
	// MaxRequestsAhead is how many requests in a row a caller may send on one connection before it has the answer to the one before. The answer to
	// the next announces that the connection is closed. Default 100.
	MaxRequestsAhead int `json:"max_requests_ahead" validate:"min=1,max=10000000"`
	// MaxResponseMB is the maximum size of the body of a response that is not a stream, in megabytes. Such bodies are held in memory until they
	// are complete; an upstream that sends more is treated as broken. Default 4.
	MaxResponseMB float64 `json:"max_response_mb" validate:"min=0.01,max=1024"`
	// BufferShare is the fraction of memory_mb for all messages that are held in memory: the bodies of requests, responses until they are delivered,
	// events until they are complete, and long heads. A request that finds no room is refused. Default 0.25.
	BufferShare float64 `json:"buffer_share" validate:"min=0.01,max=0.5"`
	// CallerStallMS is how long a caller may neither send its request's body nor read the response, in milliseconds. Bytes now and then do not extend
	// this time, a rate of 1 KiB a second does. Default 5000.
	CallerStallMS float64 `json:"caller_stall_ms" validate:"min=100,max=600000"`
	// LateCallerStallMS replaces CallerStallMS after the deadline of the request, if it is lower, in milliseconds. Default 1500.
	LateCallerStallMS float64 `json:"late_caller_stall_ms" validate:"min=100,max=600000"`
	// UpstreamStallMS is how long an upstream may pause within a response that is not a stream, in milliseconds. Bytes now and then do not extend this
	// time, a rate of 16 KiB a second does. Default 5000.
	UpstreamStallMS float64 `json:"upstream_stall_ms" validate:"min=100,max=600000"`
	// Store holds the settings of the platform's store.
	Store Store `json:"store"`
	// Fleet holds the limits that apply to all gateways together.
	Fleet Fleet `json:"fleet"`
	// Duties holds the settings of the duties that one gateway at a time does for the fleet.
	Duties Duties `json:"duties"`
}

// DataCentre is a data centre and its region.
type DataCentre struct {
	Name   string `json:"name" validate:"required"`
	Region string `json:"region"`
}

// Store holds the settings of the platform's store.
type Store struct {
	// Address is the store's IP address and port.
	Address string `json:"address" validate:"required,tcp_addr"`
	// TimeoutMS is the maximum time until the response of a store call begins, beyond the time for which the call waits, and the maximum
	// pause within a response, in milliseconds. Default 1000.
	TimeoutMS float64 `json:"timeout_ms" validate:"min=10,max=60000"`
	// LeaseMS is the time to live of the gateway's registration without renewal, in milliseconds. Default 6000.
	LeaseMS float64 `json:"lease_ms" validate:"min=1000,max=600000"`
	// ReadsPerSecond and WritesPerSecond are the store's capacity for all gateways together. Default 2000 and 400.
	ReadsPerSecond  float64 `json:"reads_per_second" validate:"gt=0"`
	WritesPerSecond float64 `json:"writes_per_second" validate:"gt=0"`
}

// Fleet holds the limits that apply to all gateways together.
type Fleet struct {
	// ShutdownS is the time from a stop signal until the process is killed, in seconds. Default 8.
	ShutdownS float64 `json:"shutdown_s" validate:"min=0.5,max=3600"`
	// ConfigMS is the time within which an accepted configuration must take effect, in milliseconds. Default 2000.
	ConfigMS float64 `json:"config_ms" validate:"min=100,max=600000"`
	// RevokeMS is the time after which no gateway may accept a revoked key, in milliseconds. Default 5000.
	RevokeMS float64 `json:"revoke_ms" validate:"min=100,max=600000"`
	// StrictRevoke makes a gateway refuse a key if it cannot determine whether the key was revoked. Default true.
	StrictRevoke bool `json:"strict_revoke"`
	// RetryRatio is the maximum ratio of retries to requests of a service. Default 0.2.
	RetryRatio float64 `json:"retry_ratio" validate:"min=0,max=1"`
	// RetrySlack is the number of retries beyond RetryRatio that the fleet may send to a service within a few seconds. Default 50.
	RetrySlack float64 `json:"retry_slack" validate:"min=0,max=1000000"`
	// LoadFactor is the maximum number of requests held by a runner, as a multiple of the mean of its service. Default 2.
	LoadFactor float64 `json:"load_factor" validate:"min=1,max=100"`
	// LearnCapacity makes the gateway send less to upstreams that answer more slowly than the others of their service. Default true.
	LearnCapacity bool `json:"learn_capacity"`
	// PromptReuseS is how long after its last use a prompt prefix is worth keeping in a cache, in seconds. Default 10.
	PromptReuseS float64 `json:"prompt_reuse_s" validate:"min=0,max=86400"`
	// QueueRequests makes requests wait a short time for a place in the order of their priorities while upstreams have none, instead of refusing
	// them at once. Upstreams are then told the priorities. Default true.
	QueueRequests bool `json:"queue_requests"`
}

// Duties holds the settings of the fleet-wide duties. A number that is zero has its default value: deploy files may have no value for a duty that
// they do not name.
type Duties struct {
	// Address is the IP address and port of the platform's API. If empty, there are no duties.
	Address string `json:"address" validate:"omitempty,tcp_addr"`
	// CallsPerSecond is the number of calls that the API accepts from all gateways together. Default 50.
	CallsPerSecond float64 `json:"calls_per_second" validate:"omitempty,gt=0"`
	// Names lists the duties: "usage" or "usage_report" for usage reports, "scale" or "autoscale" for the number of upstreams.
	Names []DutyName `json:"names" validate:"dive,oneof=usage scale"`
	// LeaseMS is the time within which two gateways must not act alternately, in milliseconds. A new holder of a duty makes no call for this time.
	// Default 3000.
	LeaseMS float64 `json:"lease_ms" validate:"omitempty,min=200,max=600000"`
	// UsageWindowS is the length of the windows for which usage is counted, in seconds. Default 5.
	UsageWindowS float64 `json:"usage_window_s" validate:"omitempty,min=0.1,max=86400"`
	// UsageTolerance is the permitted error of a reported count, as a fraction. Default 0.05.
	UsageTolerance float64 `json:"usage_tolerance" validate:"min=0,max=1"`
	// UsageDueS is the time from the end of a window until its report is due, in seconds. Default 10.
	UsageDueS float64 `json:"usage_due_s" validate:"omitempty,min=0.2,max=86400"`
}

// Has reports whether the duties include one. There are none without an address.
func (d Duties) Has(name DutyName) bool { return d.Address != "" && slices.Contains(d.Names, name) }

// DutyName is the name of a duty.
type DutyName string

// Values of DutyName.
const (
	DutyUsage DutyName = "usage"
	DutyScale DutyName = "scale"
)

// UnmarshalText implements encoding.TextUnmarshaler. It also accepts the names that are used in deploy files.
func (n *DutyName) UnmarshalText(text []byte) error {
	switch name := string(text); name {
	case "usage_report":
		*n = DutyUsage
	case "autoscale":
		*n = DutyScale
	default:
		*n = DutyName(name)
	}
	return nil
}

// GatewayDefaults returns the default values of a gateway's settings.
func GatewayDefaults() Gateway {
	return Gateway{
		MemoryMB: 256,
		MaxFiles: 4096,

		MaxHeadFields: 24_000, MaxRequestsAhead: 100,

		MaxResponseMB: 4, BufferShare: 0.25, CallerStallMS: 5000, LateCallerStallMS: 1500, UpstreamStallMS: 5000,
		Store: Store{TimeoutMS: 1000, LeaseMS: 6000, ReadsPerSecond: 2000, WritesPerSecond: 400},
		Fleet: Fleet{
			ShutdownS: 8, ConfigMS: 2000, RevokeMS: 5000, StrictRevoke: true, RetryRatio: 0.2, RetrySlack: 50, LoadFactor: 2, LearnCapacity: true,
			PromptReuseS: 10, QueueRequests: true,
		},
		Duties: Duties{CallsPerSecond: 50, LeaseMS: 3000, UsageWindowS: 5, UsageTolerance: 0.05, UsageDueS: 10},
	}
}

// LoadGateway reads a gateway's settings file. If the file can be read but is invalid, the error is of type Faults.
func LoadGateway(path string) (*Gateway, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseGateway(path, text)
}

// ParseGateway parses a gateway's settings. name is the file name in validation errors.
func ParseGateway(name string, text []byte) (*Gateway, error) {
	g := GatewayDefaults()
	if err := decode(name, text, &g, func(scan *scanner) Faults { return g.crossChecks(scan) }); err != nil {
		return nil, err
	}
	g.Duties.setDefaults(GatewayDefaults().Duties)
	return &g, nil
}

// setDefaults replaces numbers that are zero.
func (d *Duties) setDefaults(defaults Duties) {
	d.CallsPerSecond = cmp.Or(d.CallsPerSecond, defaults.CallsPerSecond)
	d.LeaseMS = cmp.Or(d.LeaseMS, defaults.LeaseMS)
	d.UsageWindowS = cmp.Or(d.UsageWindowS, defaults.UsageWindowS)
	d.UsageDueS = cmp.Or(d.UsageDueS, defaults.UsageDueS)
}

// crossChecks requires data_centre to be one of data_centres.
func (g *Gateway) crossChecks(scan *scanner) Faults {
	for _, d := range g.DataCentres {
		if d.Name == g.DataCentre {
			return nil
		}
	}
	at := scan.positions["data_centre"]
	return Faults{{scan.file, at.line, at.column, "data_centre", "is not among data_centres"}}
}

// Equal reports whether two settings are identical.
func (g *Gateway) Equal(other *Gateway) bool {
	same := *g
	same.DataCentres = other.DataCentres
	return slices.Equal(g.DataCentres, other.DataCentres) && reflect.DeepEqual(same, *other)
}

// FractionalMilliseconds converts the value of a float64 field whose name ends in MS. Values beyond the range of durations become the longest one,
// since the conversion of such a number is not defined.
func FractionalMilliseconds(ms float64) time.Duration {
	ns := ms * float64(time.Millisecond)
	switch {
	case ns >= math.MaxInt64:
		return math.MaxInt64
	case ns <= math.MinInt64:
		return math.MinInt64
	default:
		return time.Duration(ns)
	}
}
