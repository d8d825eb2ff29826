package wire

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// The structs as minor version 0 has them: it writes maps.
type (
	loadReportMap      LoadReport
	loadSummaryMap     LoadSummary
	rolloutRecordMap   RolloutRecord
	quarantineEntryMap QuarantineEntry
	configChangeMap    ConfigChange
)

var change = ConfigChange{18, "id", "losana", -1, []LineEdit{{3, 1, []string{"bound press-model 1.25 # ops"}}, {9, 2, nil}}, 19}

// A peer of the minor version before the arrays must read them, and its maps must be read, or a rolling upgrade loses load reports and
// configuration changes.
func TestArraysAndMapsReadAlike(t *testing.T) {
	for _, c := range []struct{ now, before, nowRead, beforeRead any }{
		{&LoadReport{5, 2, true}, &loadReportMap{5, 2, true}, new(LoadReport), new(loadReportMap)},
		{&LoadSummary{"nadi", "s", 1, 2, 3}, &loadSummaryMap{"nadi", "s", 1, 2, 3}, new(LoadSummary), new(loadSummaryMap)},
		{&RolloutRecord{"r", 5, []byte("x")}, &rolloutRecordMap{"r", 5, []byte("x")}, new(RolloutRecord), new(rolloutRecordMap)},
		{&QuarantineEntry{1, 2}, &quarantineEntryMap{1, 2}, new(QuarantineEntry), new(quarantineEntryMap)},
		{&change, (*configChangeMap)(&change), new(ConfigChange), new(configChangeMap)},
	} {
		array, asMap := pack(t, c.now), pack(t, c.before)
		must.False(t, isMap(array[0]), must.Sprintf("%T", c.now))
		must.True(t, isMap(asMap[0]), must.Sprintf("%T", c.now))
		must.NoError(t, msgpack.Unmarshal(asMap, c.nowRead))
		must.Eq(t, c.now, c.nowRead)
		must.NoError(t, msgpack.Unmarshal(array, c.beforeRead))
		must.Eq(t, c.before, c.beforeRead)
	}
}

// A message that stays a map may get new fields in a minor version, also beside structs that are arrays.
func TestMessagesWithArraysStayMaps(t *testing.T) {
	for _, m := range samples {
		frame, err := Encode(1, m)
		must.NoError(t, err)
		must.True(t, isMap(frame[headerBytes]), must.Sprintf("%T", m))
	}
	gossip := pack(t, map[string]any{"cv": 9, "l": [][]any{{"nadi", "s", 1, 2, 3}}, "new": [][]any{{1}}})
	got, err := Read(bytes.NewReader(frameOf(TypeGossip, gossip)))
	must.NoError(t, err)
	must.Eq(t, Message(&Gossip{ConfigVersion: 9, Loads: []LoadSummary{{"nadi", "s", 1, 2, 3}}}), got.Message)
}
