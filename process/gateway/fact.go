package gateway

import (
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/version/routing"
)

// FactKind is the type of a fact.
type FactKind uint8

// The kinds of facts.
const (
	// FactOther is an item that a gateway does not use.
	FactOther FactKind = iota
	// FactConfig is the current configuration.
	FactConfig
	// FactUpstream is the entry of an upstream; Name is its ID.
	FactUpstream
	// FactEvacuation is the evacuation of a data centre, whose upstreams get no requests; Name is the data centre.
	FactEvacuation
	// FactRollout is a rollout order; Name is the service.
	FactRollout
	// FactRolloutStatus is the rollout status reported to the operators; Name is the service.
	FactRolloutStatus
)

// Fact is the decoded content of one item of the store.
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

// Decoder translates between items of the store and facts.
type Decoder interface {
	// Decode returns the fact in an item. With an error the fact's Kind and Name are still set.
	Decode(item mirror.Item) (Fact, error)
	// EncodeStatus returns the key and value under which the status of a service's rollout is reported to the operators.
	EncodeStatus(service string, status RolloutStatus) (key string, value []byte, err error)
}
