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

// samples contains one message of each type, in the order of the types, with all fields set except ClaimsDone.Refused.
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
		&ConfigDelta{22, 23, "id", "losana", 4, 24, []byte("run")},
	},
	&Leaving{"press-7"},
	&Evidence{"r", "nadi", true, []byte("rows"), []byte("columns")},
	&Order{1, "load-version", "v2", 7},
	&OrderDone{1, 25, "stale"},
	&Claims{2, "basket-app", 1, []byte{9}}, &ClaimsDone{2, true, false, 1 << 40, []bool{true, false}},
	&FleetState{[]UpstreamLoad{{1 << 31, 2, 3, 4, 5}}, []PromptHolder{{"press-7", []PromptPart{{1 << 60, 700}}}}, true, []RequestCrash{{1 << 63, 8, 900}}, &PartReport{
		[]PartCrash{{1 << 62, 9, 100, 50, []uint64{1 << 61}}}, []PartAnswer{{10, 11, 12}}, []QuarantinedPart{{13, 14, 3, 1, 15}},
	}, []UpstreamLimit{{1 << 60, 2.5, 16}}, []UpstreamCapacity{{1 << 59, 40, 17, 5, 18}}, []ServiceWaiting{{1 << 59, []uint16{0, 17}, []uint64{1 << 58}}}, &RestoredStore{1 << 40, 19}},
	&StorePull{3, 1 << 40, 5},
	&StorePush{3, 4, 5, true, 6, []StoreItem{{"key", []byte("value"), 5, true}}, 7, []LargeValue{{"key", 8, 9}}},
	&StoreFetch{3, "key", 4, 5, 6},
	&StoreChunk{3, []byte("value")},
	&UsageCounts{"press-7", "start", 1 << 40, 5, true, true, map[string]uint64{"drivers": 7}, 1 << 41},
}

// All fields of all message types must arrive. A field with a duplicate or missing tag is lost, and so is a type missing from
// newMessage.
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

// A message must not share the Reader's buffer, because the next frame overwrites it.
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

// rawFrame returns a frame with the given body, which need not be valid.
func rawFrame(t Type, body []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)+5))
	return append(append(frame, byte(t), 0, 0, 0, 0), body...)
}

func marshal(t *testing.T, v any) []byte {
	body, err := msgpack.Marshal(v)
	must.NoError(t, err)
	return body
}

// Fields and frame types of a newer minor version must not close the connection during a rolling upgrade.
func TestUnknownFieldsAndTypesAreSkipped(t *testing.T) {
	body := marshal(t, map[string]any{
		"new": []any{map[string]any{"deep": []any{1, 2.5, nil}}, strings.Repeat("x", 300)}, "cv": 9, "later": make([]byte, 70_000),
	})
	got, err := Read(bytes.NewReader(rawFrame(TypePing, body)))
	must.NoError(t, err)
	must.Eq(t, Message(&Ping{ConfigVersion: 9}), got.Message)
	got, err = Read(bytes.NewReader(rawFrame(200, body)))
	must.NoError(t, err)
	must.Nil(t, got.Message)
}

// nestedArrays returns a map with one unknown field that contains arrays nested n levels deep.
func nestedArrays(n int) []byte {
	return append(append([]byte{0x81, 0xa1, 'z'}, bytes.Repeat([]byte{0x91}, n)...), 0xc0)
}

// Without the structural check, a frame of a few bytes makes the decoder allocate gigabytes or recurse without bound, which
// terminates the process and not only the connection.
func TestMalformedFrames(t *testing.T) {
	nils := append([]byte{0x81, 0xa1, 'c', 0xdd, 0, 2, 0, 0}, bytes.Repeat([]byte{0xc0}, 1<<17)...)
	for name, frame := range map[string][]byte{
		"length of bytes":     rawFrame(TypeChunk, []byte{0x81, 0xa1, 'b', 0xc6, 0x7f, 0xff, 0xff, 0xff}),
		"length of array":     rawFrame(TypeConfigPush, []byte{0x81, 0xa1, 'c', 0xdd, 0x00, 0xff, 0xff, 0xff}),
		"length of map":       rawFrame(TypePing, []byte{0xdf, 0xff, 0xff, 0xff, 0xff}),
		"too many values":     rawFrame(TypeConfigPush, nils),
		"nested arrays":       rawFrame(TypePing, nestedArrays(MaxFrameBytes-100)),
		"one level too deep":  rawFrame(TypePing, nestedArrays(maxDepth)),
		"unknown type nested": rawFrame(200, nestedArrays(maxDepth)),
		"trailing bytes":      rawFrame(TypePing, append(marshal(t, Ping{}), 0)),
		"array, not a map":    rawFrame(TypePing, []byte{0x91, 1}),
		"nil, not a map":      rawFrame(TypePing, []byte{0xc0}),
		"reserved code":       rawFrame(TypePing, []byte{0x81, 0xa1, 'z', 0xc1}),
		"wrong field type":    rawFrame(TypePing, []byte{0x81, 0xa2, 'c', 'v', 0xa1, 'x'}),
		"request id too long": rawFrame(TypeAccepted, marshal(t, map[string]any{"r": make([]byte, 17)})),
		"empty body":          rawFrame(TypePing, nil),
		"frame too long":      {0, 0x10, 0, 1},
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := Read(bytes.NewReader(frame))
		runtime.ReadMemStats(&after)
		test.ErrorIs(t, err, ErrFrame, test.Sprint(name))
		test.Less(t, MaxFrameBytes+64<<10, after.TotalAlloc-before.TotalAlloc, test.Sprint(name))
	}
	_, err := Read(bytes.NewReader(rawFrame(TypePing, nestedArrays(maxDepth-1))))
	must.NoError(t, err)
}

// A sender that queues a frame which every receiver rejects would lose its connection repeatedly.
func TestEncodeRejectsInvalidFrames(t *testing.T) {
	for _, m := range []Message{
		&Chunk{Data: make([]byte, MaxFrameBytes)},
		&ConfigPush{Changes: []ConfigChange{{Edits: []LineEdit{{Added: make([]string, MaxValues)}}}}},
	} {
		frame, err := Append([]byte("kept"), 1, m)
		test.ErrorIs(t, err, ErrFrame)
		test.Eq(t, "kept", string(frame))
	}
}

// A truncated frame that is read as a regular end of the stream would hide a lost frame.
func TestReadTruncatedFrame(t *testing.T) {
	frame, err := Encode(1, samples[4])
	must.NoError(t, err)
	for n := 1; n < len(frame); n++ {
		_, err := Read(bytes.NewReader(frame[:n]))
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

// FuzzRead guards against input that makes the decoder panic, and against messages that change when they are decoded and
// encoded again.
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
		decoded, err := Read(bytes.NewReader(encoded))
		must.NoError(t, err)
		reencoded, err := Encode(decoded.Stream, decoded.Message)
		must.NoError(t, err)
		must.Eq(t, encoded, reencoded)
	})
}

// benchmarkMessages are the messages of a streamed request: its start, one token and its end.
var benchmarkMessages = map[string]Message{"open": samples[1], "chunk": &Chunk{identity, 12, make([]byte, 200)}, "end": samples[4]}

func BenchmarkAppend(b *testing.B) {
	for name, m := range benchmarkMessages {
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
	for name, m := range benchmarkMessages {
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
