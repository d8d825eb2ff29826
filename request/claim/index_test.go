package claim

import (
	"encoding/binary"
	"encoding/hex"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The hash of a key and the encoding of a batch must not change. Otherwise, during an upgrade, the same key could be claimed
// twice, or claims would stop.
func TestStableFormat(t *testing.T) {
	must.Eq(t, "47838ec5de9f1dda2ea50392db2e4e4d", KeyOf("drivers", "booking-17").String())
	must.NotEq(t, KeyOf("ab", "c"), KeyOf("a", "bc"))
	data, err := encodeBatch(&batch{
		Format: formatVersion, Writer: WriterID{1, 2}, Sequence: 300, TimeMS: 1e12, Sealed: true,
		Records: []record{
			{Kind: recordClaim, Key: Key{3}, Fingerprint: 1 << 40},
			{Kind: recordFinish, Key: Key{4}, Claim: 299, Code: 60, Status: 502, Body: []byte("b"), Truncated: true},
		},
	})
	must.NoError(t, err)
	must.Eq(t, "9601c41001020000000000000000000000000000cd012ccf000000e8d4a51000c3929801c41003000000000000000000"+
		"000000000000cf0000010000000000000000c0c29803c4100400000000000000000000000000000000cd012b3ccd01f6c40162c3", hex.EncodeToString(data))
	_, err = decodeBatches(data[:len(data)-1])
	must.ErrorIs(t, err, errCorrupt)
}

// BenchmarkIndexMemory reports the memory used per claimed key.
func BenchmarkIndexMemory(b *testing.B) {
	for b.Loop() {
		const keys = 1_000_000
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		x := newIndex(time.Hour, WriterID{})
		for i := range uint64(keys) {
			r := record{Kind: recordClaim, Key: Key(binary.BigEndian.AppendUint64(make([]byte, 8, 16), i*0x9e3779b97f4a7c15))}
			x.applyClaim(&r, &batch{TimeMS: int64(i), Sequence: i}, selfOwner)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(x)
	}
}
