package bench

import (
	"testing"

	"github.com/shoenig/test/must"
)

// BenchmarkPath streams answers of 64 tokens through a real entry and sidecar; its processor profile says where the time goes.
func BenchmarkPath(b *testing.B) {
	p, err := newPath()
	must.NoError(b, err)
	defer p.close()
	p.warm()
	b.ResetTimer()
	p.processorTime(b.N, func(i int) error { return p.through(i, 64) })
	must.EqOp(b, 0, p.failed.Load())
}
