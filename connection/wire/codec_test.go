package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

var identity = Identity{Request: RequestID{1, 2, 3, 15: 255}, Attempt: 7}

// samples has every message type with every field set.
var samples = []Message{
	&Hello{1, 2, "press-7", "sidecar", "nadi", "press-model", "v2", "127.0.0.1:7000", math.MaxUint64},
	&Open{identity, "press-model", "/chat", "drivers", math.MaxUint64, -3, 60_000, "key", 900, "POST", "/chat/1", "text/plain", []byte("body"), 4, true, 77, 12},
	&Accepted{identity},
	&Chunk{identity, math.MaxUint32, []byte("data")},
	&End{identity, 80, 502, "text/html", "/other", 9, math.MaxUint64, 250, "upstream closed", &LoadReport{5, 2, true}, 13},
	&Cancel{identity},
	&Window{identity, 1 << 20},
	&Ping{14},
	&Pong{15},
	&Gossip{16, []RolloutStop{{"r", "errors"}}, []RolloutRecord{{"r", 5, []byte("record")}}, []QuarantineEntry{{1, 2}}, []LoadSummary{{"nadi", "s", 1, 2, 3}}},
	&ConfigPull{17, true, true},
	&ConfigPush{
		[]ConfigChange{{18, "id", "losana", -1, []LineEdit{{3, 1, []string{"bound press-model 1.25 # ops"}}}, 19}},
		&ConfigSnapshotPart{20, "id", "josefa", 1, 2, 3, []byte("part"), 21},
		&ConfigRun{22, 23, "id", "losana", 4, 24, []byte("run")},
	},
	&Leaving{"press-7"},
	&Evidence{"r", "nadi", true, []byte("rows"), []byte("columns")},
	&Order{1, "load-version", "v2", 7},
	&OrderDone{1, 25, "stale"},
	&Claims{2, "basket-app", 1, []byte{9}}, &ClaimsDone{2, true, false, 1 << 40, []bool{true, false}},
	&FleetState{[]UpstreamLoad{{1 << 31, 2, 3, 4, 5}}, []PromptHolder{{"press-7", []PromptPart{{1 << 60, 700}}}}, true, []RequestCrash{{1 << 63, 8, 900}}},
	&StorePull{3, 1 << 40},
	&StorePush{3, 4, 5, true, 6, []StoreItem{{"key", []byte("value"), 5, true}}},
}

// A field without a tag of its own, or a type missing from newMessage, would get lost between two processes.
func TestRoundTrip(t *testing.T) {
	var stream bytes.Buffer
	for i, m := range samples {
		must.EqOp(t, Type(i+1), m.Type())
		frame, err := Append(stream.Bytes(), uint32(i), m)
		must.NoError(t, err)
		stream = *bytes.NewBuffer(frame)
	}
	r := NewReader(&stream)
	for i, m := range samples {
		before := stream.Len()
		got, err := r.Next()
		must.NoError(t, err)
		test.Eq(t, Frame{Stream: uint32(i), Message: m, Bytes: before - stream.Len()}, got)
	}
	_, err := r.Next()
	must.EqOp(t, io.EOF, err)
}

// A message that shared the Reader's buffer would change under its owner when the next frame arrives.
func TestReaderDoesNotShareMemory(t *testing.T) {
	first, _ := Encode(1, &Chunk{Data: []byte("aaaa")})
	second, _ := Encode(1, &Chunk{Data: []byte("bbbb")})
	r := NewReader(bytes.NewReader(append(first, second...)))
	a, err := r.Next()
	must.NoError(t, err)
	_, err = r.Next()
	must.NoError(t, err)
	must.Eq(t, "aaaa", string(a.Message.(*Chunk).Data))
}

// frameOf returns a frame with a body of any content.
func frameOf(t Type, body []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)+5))
	return append(append(frame, byte(t), 0, 0, 0, 0), body...)
}

func pack(t *testing.T, v any) []byte {
	body, err := msgpack.Marshal(v)
	must.NoError(t, err)
	return body
}

// A newer minor version's fields or frame types must not cut the connection during a rolling upgrade.
func TestUnknownFieldsAndTypesAreSkipped(t *testing.T) {
	body := pack(t, map[string]any{
		"new": []any{map[string]any{"deep": []any{1, 2.5, nil}}, strings.Repeat("x", 300)}, "cv": 9, "later": make([]byte, 70_000),
	})
	got, err := Read(bytes.NewReader(frameOf(TypePing, body)))
	must.NoError(t, err)
	must.Eq(t, Message(&Ping{ConfigVersion: 9}), got.Message)
	got, err = Read(bytes.NewReader(frameOf(200, body)))
	must.NoError(t, err)
	must.Nil(t, got.Message)
}

// nested returns a map with one unknown field of arrays nested n deep.
func nested(n int) []byte {
	return append(append([]byte{0x81, 0xa1, 'z'}, bytes.Repeat([]byte{0x91}, n)...), 0xc0)
}

// Without the structure check a frame of a few bytes makes the decoder allocate gigabytes or recurse without bound, which
// ends the whole process and not only the connection.
func TestHostileBodies(t *testing.T) {
	nils := append([]byte{0x81, 0xa1, 'c', 0xdd, 0, 2, 0, 0}, bytes.Repeat([]byte{0xc0}, 1<<17)...)
	for name, frame := range map[string][]byte{
		"length of bytes":     frameOf(TypeChunk, []byte{0x81, 0xa1, 'b', 0xc6, 0x7f, 0xff, 0xff, 0xff}),
		"length of array":     frameOf(TypeConfigPush, []byte{0x81, 0xa1, 'c', 0xdd, 0x00, 0xff, 0xff, 0xff}),
		"length of map":       frameOf(TypePing, []byte{0xdf, 0xff, 0xff, 0xff, 0xff}),
		"too many values":     frameOf(TypeConfigPush, nils),
		"nested arrays":       frameOf(TypePing, nested(MaxFrameBytes-100)),
		"one level too deep":  frameOf(TypePing, nested(maxDepth)),
		"unknown type nested": frameOf(200, nested(maxDepth)),
		"bytes behind":        frameOf(TypePing, append(pack(t, Ping{}), 0)),
		"array, not a map":    frameOf(TypePing, []byte{0x91, 1}),
		"nil, not a map":      frameOf(TypePing, []byte{0xc0}),
		"reserved code":       frameOf(TypePing, []byte{0x81, 0xa1, 'z', 0xc1}),
		"wrong field type":    frameOf(TypePing, []byte{0x81, 0xa2, 'c', 'v', 0xa1, 'x'}),
		"request id too long": frameOf(TypeAccepted, pack(t, map[string]any{"r": make([]byte, 17)})),
		"empty body":          frameOf(TypePing, nil),
		"frame too long":      {0, 0x10, 0, 1},
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := Read(bytes.NewReader(frame))
		runtime.ReadMemStats(&after)
		test.ErrorIs(t, err, ErrFrame, test.Sprint(name))
		test.Less(t, MaxFrameBytes+64<<10, after.TotalAlloc-before.TotalAlloc, test.Sprint(name))
	}
	_, err := Read(bytes.NewReader(frameOf(TypePing, nested(maxDepth-1))))
	must.NoError(t, err)
}

// A sender that queued a frame which every receiver refuses would cut its connection again and again.
func TestEncodeRefusesWhatReadRefuses(t *testing.T) {
	for _, m := range []Message{
		&Chunk{Data: make([]byte, MaxFrameBytes)},
		&ConfigPush{Changes: []ConfigChange{{Edits: []LineEdit{{Added: make([]string, MaxValues)}}}}},
	} {
		frame, err := Append([]byte("kept"), 1, m)
		test.ErrorIs(t, err, ErrFrame)
		test.Eq(t, "kept", string(frame))
	}
}

// A truncated frame that read as an orderly end would hide a lost frame.
func TestTruncation(t *testing.T) {
	frame, err := Encode(1, samples[4])
	must.NoError(t, err)
	for n := 1; n < len(frame); n++ {
		_, err := Read(bytes.NewReader(frame[:n]))
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

// FuzzRead guards against bytes that panic the decoder, and against messages that change when they are passed on.
func FuzzRead(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := Read(bytes.NewReader(data))
		if err != nil {
			if !errors.Is(err, ErrFrame) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("unexpected error %v", err)
			}
			return
		}
		if frame.Message == nil {
			return
		}
		encoded, err := Encode(frame.Stream, frame.Message)
		must.NoError(t, err)
		again, err := Read(bytes.NewReader(encoded))
		must.NoError(t, err)
		twice, err := Encode(again.Stream, again.Message)
		must.NoError(t, err)
		must.Eq(t, encoded, twice)
	})
}

// benchmarks are the messages of a streamed request: its start, a token, and its end.
var benchmarks = map[string]Message{"open": samples[1], "chunk": &Chunk{identity, 12, make([]byte, 200)}, "end": samples[4]}

func BenchmarkAppend(b *testing.B) {
	for name, m := range benchmarks {
		b.Run(name, func(b *testing.B) {
			buf := make([]byte, 0, 1<<10)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = Append(buf, 1, m)
			}
		})
	}
}

func BenchmarkRead(b *testing.B) {
	for name, m := range benchmarks {
		b.Run(name, func(b *testing.B) {
			frame, _ := Encode(1, m)
			source := bytes.NewReader(frame)
			r := NewReader(source)
			b.ReportAllocs()
			for b.Loop() {
				source.Reset(frame)
				_, _ = r.Next()
			}
		})
	}
}
