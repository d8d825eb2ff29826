package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/version/config"
)

// numberStates is a stand-in for the states: 0 is no configuration, 1 the version before the change, 2 the change.
type numberStates struct{ of []uint8 }

func (s *numberStates) reset(processes int, empty func(int) bool) {
	if len(s.of) != processes {
		s.of = make([]uint8, processes)
	}
	for i := range s.of {
		s.of[i] = 1
		if empty(i) {
			s.of[i] = 0
		}
	}
}

func (s *numberStates) accept(process int)     { s.of[process] = 2 }
func (s *numberStates) pull(to, from int)      { s.of[to] = max(s.of[to], s.of[from]) }
func (s *numberStates) has(process int) bool   { return s.of[process] == 2 }
func (s *numberStates) knows(process int) bool { return s.of[process] > 0 }

// realStates has a config.State for each process, with a text of a few lines.
type realStates struct {
	of      []*config.State
	changed config.Head
}

const spreadText = "service press-model kind=model versions=v1 # losana: the model\nroute /chat service=press-model # losana: chats\n"

func (s *realStates) reset(processes int, empty func(int) bool) {
	before := config.Head{Version: 1, ChangeID: "a", Author: "losana", Text: spreadText, Loaded: true, TextHash: config.Hash(spreadText)}
	text := spreadText + "drain datacentre nadi # ops: power work\n"
	lines := strings.Split(spreadText, "\n")
	s.changed = config.Head{
		Version: 2, ChangeID: "b", Author: "ops", UnixMS: time.Unix(1_800_000_000, 0).UnixMilli(), Text: text, Loaded: true, TextHash: config.Hash(text),
		Changes: []wire.ConfigChange{{
			Version: 2, ChangeID: "b", Author: "ops", UnixMS: 1_800_000_000_000, TextHash: config.Hash(text),
			Edits: []wire.LineEdit{{Line: uint32(len(lines) - 1), Added: []string{"drain datacentre nadi # ops: power work"}}},
		}},
	}
	s.of = make([]*config.State, processes)
	for i := range s.of {
		s.of[i] = config.New(config.DefaultConfig())
		if !empty(i) {
			s.adopt(i, before)
		}
	}
}

func (s *realStates) adopt(process int, head config.Head) {
	if _, err := s.of[process].AdoptHead(head); err != nil {
		panic(fmt.Sprint("process ", process, ": ", err))
	}
}

func (s *realStates) accept(process int) { s.adopt(process, s.changed) }

func (s *realStates) pull(to, from int) {
	for _, push := range s.of[from].Answer(wire.ConfigPull{Since: s.of[to].Version()}) {
		if _, err := s.of[to].ApplyPush(push); err != nil {
			panic(fmt.Sprint("process ", to, ": ", err))
		}
	}
}

func (s *realStates) has(process int) bool   { return s.of[process].Version() == 2 }
func (s *realStates) knows(process int) bool { return s.of[process].Version() > 0 }
