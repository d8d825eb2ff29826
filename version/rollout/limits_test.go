package rollout

import (
	"bytes"
	"compress/flate"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The counts of a window must not be reported before its end, and must then be reported with the same values each time.
func TestReportEnded_ExcludesCurrentWindow(t *testing.T) {
	config := DefaultConfig()
	start := time.UnixMilli(0).Add(1000 * config.Window)
	r := NewRecorder(config)
	r.Record(start, Observation{Route: "/a", DataCentre: "suva"})
	must.Eq(t, 0, r.ReportEnded(start.Add(config.Window-time.Millisecond)).Len())
	must.Eq(t, 1, r.ReportEnded(start.Add(config.Window)).Len())
	must.Eq(t, 0, r.ReportEnded(start.Add(config.Window+config.Lag)).Len())
}

// A few bytes from a peer must not expand until the memory is exhausted (a decompression bomb).
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
