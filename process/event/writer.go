package event

import (
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// bufferLines is the number of log lines buffered for a slow reader before the oldest are dropped. At about 300 bytes a line, a full
// buffer takes about 300 KB.
const bufferLines = 1000

var logger atomic.Pointer[zerolog.Logger]

func init() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	setOutput(os.Stderr)
}

func setOutput(w io.Writer) {
	l := zerolog.New(w).With().Timestamp().Logger()
	logger.Store(&l)
}

var droppedLines atomic.Int64

// Dropped returns the number of log lines dropped because the reader was too slow.
func Dropped() int64 { return droppedLines.Load() }

// Start redirects the process log to w through a bounded buffer. If w blocks, callers are not delayed; the oldest lines are dropped
// and counted. Each line includes the instance name. The returned function flushes the buffer and restores standard error as the
// output.
func Start(w io.Writer, instance string) (stop func()) {
	buffered := diode.NewWriter(w, bufferLines, 0, func(missed int) {
		droppedLines.Add(int64(missed))
	})
	l := zerolog.New(buffered).With().Timestamp().Str("instance", instance).Logger()
	logger.Store(&l)
	return func() {
		setOutput(os.Stderr)
		_ = buffered.Close() // a failure of the log writer itself cannot be reported anywhere
	}
}
