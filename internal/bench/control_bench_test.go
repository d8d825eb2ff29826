package bench

import (
	"testing"

	"github.com/shoenig/test/must"
)

// BenchmarkPath streams answers of 64 tokens through a real entry and sidecar; its CPU profile shows where the time is spent.
func BenchmarkPath(b *testing.B) {
	p, err := newRequestPath()
	must.NoError(b, err)
	defer p.close()
	p.warmUp()
	b.ResetTimer()
	p.processorTimeOf(b.N, func(i int) error { return p.sendThroughEntry(i, 64) })
	must.EqOp(b, 0, p.failed.Load())
}
