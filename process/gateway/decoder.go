package gateway

import (
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/version/routing"
)

// ItemKind is the kind of content of an item.
type ItemKind uint8

// The kinds of items.
const (
	// ItemOther is an item that a gateway does not use.
	ItemOther ItemKind = iota
	// ItemConfig is the current configuration.
	ItemConfig
	// ItemUpstream is the entry of an upstream; Name is its ID.
	ItemUpstream
	// ItemEvacuation is the evacuation of a data centre, whose upstreams get no requests; Name is the data centre.
	ItemEvacuation
	// ItemRollout is a rollout order; Name is the service.
	ItemRollout
	// ItemRolloutStatus is the rollout status reported to the operators; Name is the service.
	ItemRolloutStatus
)

// DecodedItem is the decoded content of one item of the store.
type DecodedItem struct {
	Kind    ItemKind
	Name    string
	Deleted bool
	// Config and Upstream are set for their kinds unless Deleted.
	Config   *routing.Config
	Upstream directory.Entry
	// Rollout and Status are set for their kinds unless Deleted.
	Rollout RolloutOrder
	Status  RolloutStatus
}

// Decoder decodes items of the store and encodes the status of rollouts.
type Decoder interface {
	// Decode returns the content of an item. With an error its Kind and Name are still set.
	Decode(item mirror.Item) (DecodedItem, error)
	// UrgentPrefixes returns the prefixes of the keys whose changes must not wait behind large values: they stop requests to upstreams.
	UrgentPrefixes() []string
	// EncodeStatus returns the key and value under which the status of a service's rollout is reported to the operators.
	EncodeStatus(service string, status RolloutStatus) (key string, value []byte, err error)
}
