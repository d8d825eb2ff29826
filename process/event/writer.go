package event

import (
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// bufferLines is the number of lines that wait for a slow reader of the log before the oldest are dropped. A line has some 300 bytes,
// so they take about 300 KB.
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

var dropped atomic.Int64

// Dropped returns the number of lines that were dropped because the log's reader was too slow.
func Dropped() int64 { return dropped.Load() }

// Start directs the log of a process to w through a bounded buffer: a reader that stands still delays nobody, and the oldest lines are
// dropped and counted. instance is added to each line. The returned function writes what is buffered and returns to standard error.
func Start(w io.Writer, instance string) (stop func()) {
	buffered := diode.NewWriter(w, bufferLines, 0, func(missed int) {
		dropped.Add(int64(missed))
	})
	l := zerolog.New(buffered).With().Timestamp().Str("instance", instance).Logger()
	logger.Store(&l)
	return func() {
		setOutput(os.Stderr)
		_ = buffered.Close() // there is nowhere left to report a failure of the log
	}
}
