package rollout

import (
	"bytes"
	"compress/flate"
	"testing"

	"github.com/shoenig/test/must"
)

// deflate returns raw compressed like the output of EncodeColumns.
func deflate(t *testing.T, raw []byte) []byte {
	t.Helper()
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestCompression)
	must.NoError(t, err)
	_, err = w.Write(raw)
	must.NoError(t, err)
	must.NoError(t, w.Close())
	return buf.Bytes()
}

// Malformed columns from a peer must not cause a panic, or an allocation of the size that a few bytes declare.
func TestDecodeColumns_RejectsMalformedColumns(t *testing.T) {
	for name, raw := range map[string][]byte{
		"nothing":               {},
		"too many cells":        {0xff, 0xff, 0xff, 0xff, 0x0f, 0},
		"more names than cells": {1, 0, 2, 0, 0, 1, 0},
		"name too long":         {1, 0, 1, 0xff, 0xff, 0x7f},
		"cell without names":    {1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0},
		"name out of the table": {1, 0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0},
		"step of 9 bits":        {1, 0, 1, 0, 1, 0, 0, 0xff, 3, 0, 0, 0, 0, 0, 0, 0, 0},
		"missing column":        {1, 0, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0},
	} {
		_, err := DecodeColumns(deflate(t, raw))
		must.Error(t, err, must.Sprint(name))
	}
	_, err := DecodeColumns(deflate(t, []byte{1, 0, 1, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}))
	must.NoError(t, err)
}

// The decoder must not panic, and encoding decoded evidence again must not change its counts.
func FuzzDecodeColumns(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := DecodeColumns(deflate(t, raw))
		if err != nil {
			return
		}
		data, err := e.EncodeColumns()
		must.NoError(t, err)
		again, err := DecodeColumns(data)
		must.NoError(t, err)
		must.Eq(t, e.Cells(), again.Cells())
	})
}
