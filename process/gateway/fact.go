package gateway

import (
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/version/routing"
)

// FactKind says what an item of the store is about.
type FactKind uint8

// The kinds of facts.
const (
	// FactOther is anything that a gateway does not use.
	FactOther FactKind = iota
	// FactConfig is the accepted configuration.
	FactConfig
	// FactUpstream is an upstream's own entry; Name is its ID.
	FactUpstream
	// FactEvacuation says that a data centre's upstreams are to get nothing; Name is the data centre.
	FactEvacuation
	// FactRollout is an order to move a service to another version; Name is the service.
	FactRollout
	// FactRolloutStatus is what the operators were told of a rollout; Name is the service.
	FactRolloutStatus
)

// Fact is what one item of the store says.
type Fact struct {
	Kind    FactKind
	Name    string
	Deleted bool
	// Config and Upstream are set for their kinds unless Deleted.
	Config   *routing.Config
	Upstream directory.Entry
	// Rollout and Status are set for their kinds unless Deleted.
	Rollout RolloutOrder
	Status  RolloutStatus
}

// Decoder translates items of the store into facts. An error comes with the fact's kind and name.
type Decoder interface {
	Decode(item mirror.Item) (Fact, error)
	// EncodeStatus returns the key and value that tell the operators of a service's rollout.
	EncodeStatus(service string, status RolloutStatus) (key string, value []byte, err error)
}
