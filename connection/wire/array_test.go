package wire

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// The structs of minor version 0, which encodes them as maps.
type (
	loadReportMap      LoadReport
	loadSummaryMap     LoadSummary
	rolloutRecordMap   RolloutRecord
	quarantineEntryMap QuarantineEntry
	configChangeMap    ConfigChange
)

var change = ConfigChange{18, "id", "losana", -1, []LineEdit{{3, 1, []string{"bound press-model 1.25 # ops"}}, {9, 2, nil}}, 19}

// A peer of minor version 0 must be able to decode arrays, and its maps must be decoded here. Otherwise a rolling upgrade loses load
// reports and configuration changes.
func TestArraysAndMapsReadAlike(t *testing.T) {
	for _, c := range []struct{ current, previous, currentTarget, previousTarget any }{
		{&LoadReport{5, 2, true}, &loadReportMap{5, 2, true}, new(LoadReport), new(loadReportMap)},
		{&LoadSummary{"nadi", "s", 1, 2, 3}, &loadSummaryMap{"nadi", "s", 1, 2, 3}, new(LoadSummary), new(loadSummaryMap)},
		{&RolloutRecord{"r", 5, []byte("x")}, &rolloutRecordMap{"r", 5, []byte("x")}, new(RolloutRecord), new(rolloutRecordMap)},
		{&QuarantineEntry{1, 2}, &quarantineEntryMap{1, 2}, new(QuarantineEntry), new(quarantineEntryMap)},
		{&change, (*configChangeMap)(&change), new(ConfigChange), new(configChangeMap)},
	} {
		array, mapped := marshal(t, c.current), marshal(t, c.previous)
		must.False(t, isMap(array[0]), must.Sprintf("%T", c.current))
		must.True(t, isMap(mapped[0]), must.Sprintf("%T", c.current))
		must.NoError(t, msgpack.Unmarshal(mapped, c.currentTarget))
		must.Eq(t, c.current, c.currentTarget)
		must.NoError(t, msgpack.Unmarshal(array, c.previousTarget))
		must.Eq(t, c.previous, c.previousTarget)
	}
}

// Messages must stay maps, so that a minor version can add fields to them, also beside structs encoded as arrays.
func TestMessagesWithArraysStayMaps(t *testing.T) {
	for _, m := range samples {
		frame, err := Encode(1, m)
		must.NoError(t, err)
		must.True(t, isMap(frame[headerBytes]), must.Sprintf("%T", m))
	}
	gossip := marshal(t, map[string]any{"cv": 9, "l": [][]any{{"nadi", "s", 1, 2, 3}}, "new": [][]any{{1}}})
	got, err := Read(bytes.NewReader(rawFrame(TypeGossip, gossip)))
	must.NoError(t, err)
	must.Eq(t, Message(&Gossip{ConfigVersion: 9, Loads: []LoadSummary{{"nadi", "s", 1, 2, 3}}}), got.Message)
}
