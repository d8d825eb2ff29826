package rollout

import (
	"bytes"
	"compress/flate"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against counts of a window that are reported before its end, reported with different values, or never reported.
func TestEnded_ExcludesCurrentWindow(t *testing.T) {
	config := DefaultConfig()
	start := time.UnixMilli(0).Add(1000 * config.Window)
	r := NewRecorder(config)
	r.Record(start, Observation{Route: "/a", DataCentre: "suva"})
	must.Eq(t, 0, r.ReportEnded(start.Add(config.Window-time.Millisecond)).Len())
	must.Eq(t, 1, r.ReportEnded(start.Add(config.Window)).Len())
	must.Eq(t, 0, r.ReportEnded(start.Add(config.Window+config.Lag)).Len())
}

// Guards against a decompression bomb: a few bytes of a peer that expand until the memory is exhausted.
func TestDecodeEvidence_BoundsDecompressedSize(t *testing.T) {
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestCompression)
	must.NoError(t, err)
	// An array of 2^24 empty arrays.
	_, err = w.Write(append([]byte{0xdd, 1, 0, 0, 0}, bytes.Repeat([]byte{0x90}, 1<<24)...))
	must.NoError(t, err)
	must.NoError(t, w.Close())
	_, err = DecodeEvidence(bomb.Bytes())
	must.Error(t, err)
}
