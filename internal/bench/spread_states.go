package bench

import (
	"fmt"
	"strings"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/version/config"
)

// versionStates holds only a version per process: 0 is no configuration, 1 the version before the change, 2 the change.
type versionStates struct{ versions []uint8 }

func (s *versionStates) reset(processes int, empty func(int) bool) {
	if len(s.versions) != processes {
		s.versions = make([]uint8, processes)
	}
	for i := range s.versions {
		s.versions[i] = 1
		if empty(i) {
			s.versions[i] = 0
		}
	}
}

func (s *versionStates) accept(process int)         { s.versions[process] = 2 }
func (s *versionStates) pull(to, from int)          { s.versions[to] = max(s.versions[to], s.versions[from]) }
func (s *versionStates) hasChange(process int) bool { return s.versions[process] == 2 }
func (s *versionStates) hasConfig(process int) bool { return s.versions[process] > 0 }

// realStates holds a config.State per process, with a rules file of a few lines.
type realStates struct {
	states  []*config.State
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
	s.states = make([]*config.State, processes)
	for i := range s.states {
		s.states[i] = config.New(config.DefaultConfig())
		if !empty(i) {
			s.adopt(i, before)
		}
	}
}

func (s *realStates) adopt(process int, head config.Head) {
	if _, err := s.states[process].AdoptHead(head); err != nil {
		panic(fmt.Sprint("process ", process, ": ", err))
	}
}

func (s *realStates) accept(process int) { s.adopt(process, s.changed) }

func (s *realStates) pull(to, from int) {
	for _, push := range s.states[from].Answer(wire.ConfigPull{Since: s.states[to].Version()}) {
		if _, err := s.states[to].ApplyPush(push); err != nil {
			panic(fmt.Sprint("process ", to, ": ", err))
		}
	}
}

func (s *realStates) hasChange(process int) bool { return s.states[process].Version() == 2 }
func (s *realStates) hasConfig(process int) bool { return s.states[process].Version() > 0 }
