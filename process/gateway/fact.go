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
)

// Fact is what one item of the store says.
type Fact struct {
	Kind    FactKind
	Name    string
	Deleted bool
	// Config and Upstream are set for their kinds unless Deleted.
	Config   *routing.Config
	Upstream directory.Entry
}

// Decoder translates items of the store into facts. An error comes with the fact's kind and name.
type Decoder interface {
	Decode(item mirror.Item) (Fact, error)
}
