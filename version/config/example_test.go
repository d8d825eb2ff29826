package config_test

import (
	"fmt"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/version/config"
)

// A process with an older version pulls from a peer and applies the pushes of its answer.
func Example() {
	const text = "service m kind=model versions=v1  # ops: the model\n"
	ahead := config.New(config.DefaultConfig())
	behind := config.New(config.DefaultConfig())
	head := config.Head{Version: 7, Author: "ops", Text: text, Loaded: true, TextHash: config.Hash(text)}
	if _, err := ahead.AdoptHead(head); err != nil {
		fmt.Println(err)
	}
	for _, push := range ahead.Answer(wire.ConfigPull{Since: behind.Version()}) {
		changed, err := behind.ApplyPush(push)
		fmt.Println(changed, err)
	}
	service, _ := behind.Current().Rules.Service("m")
	fmt.Println(behind.Version(), service.Kind)
	// Output:
	// true <nil>
	// 7 model
}
