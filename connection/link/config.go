package link

import (
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Protocol constants; both ends must agree on them.
const (
	// MaxChunkBytes is the maximum data size of a chunk. Responder.Write splits longer data at multiples of it and nowhere
	// else, so that the number of chunks of a response does not depend on timing.
	MaxChunkBytes = 16 << 10
	// ChunkOverheadBytes is added to the data size of a chunk in flow control. It accounts for the memory of a queued chunk.
	ChunkOverheadBytes = 64
)

// MinWindowBytes is the minimum window. The receiver grants credit in steps of half a window, and a sender without credit for
// a whole chunk waits, so that a window smaller than two of the largest chunks could stall a stream permanently.
const MinWindowBytes = 2 * (MaxChunkBytes + ChunkOverheadBytes)

// Config is the configuration of a connection, or of all connections of a Server. The two ends of a connection may use
// different values. Zero is invalid in every field; start from DefaultConfig.
type Config struct {
	// WindowBytes is the flow-control window of a stream, which limits the data queued for a slow caller. The dialing side's
	// value applies. At least MinWindowBytes. Default 256 KiB.
	WindowBytes uint32
	// KeepaliveInterval is the time without received frames after which the dialing side sends a Ping while a request is in
	// progress, counted from the start of the request at the earliest. The serving side waits longer, by a quarter of the time
	// that remains until KeepaliveTimeout. Default 10 s.
	KeepaliveInterval time.Duration
	// IdleInterval replaces KeepaliveInterval while no request is in progress. At least KeepaliveInterval. Default 15 min: an
	// entry holds up to 11,600 connections at the design scale, and probes every 10 s would cost it 38 KB/s.
	IdleInterval time.Duration
	// KeepaliveTimeout is the time without received frames after which the connection is considered lost while a request is in
	// progress. An idle connection is considered lost the same time after its Ping as a busy one. It must be longer than
	// KeepaliveInterval. Default 25 s, which gives a paused peer 15 s to answer a Ping.
	KeepaliveTimeout time.Duration
	// HandshakeTimeout limits the TCP connect and the exchange of Hello frames. Default 5 s.
	HandshakeTimeout time.Duration
	// WriteTimeout limits one write of at most 64 KiB to a peer that does not read. Default 10 s.
	WriteTimeout time.Duration
	// CloseTimeout is how long a graceful close waits for the peer to close its end, and how long Server.Drain waits for peers
	// that have no request in progress. Default 1 s.
	CloseTimeout time.Duration
	// MaxStreams limits the requests in progress on a connection. Beyond it, the serving side refuses requests with
	// result.Full, and the dialing side with ErrTooManyStreams. Default 1,024.
	MaxStreams int
	// QueueBytes is the size of queued request frames at which Open and Responder.Write wait for the writer. A serving side
	// closes the connection if four times as much plus one frame is queued: the peer sends requests but does not read the
	// responses. Default 256 KiB.
	QueueBytes int
	// ControlQueueBytes is the size of queued control frames at which Send fails. Default 4 MiB, the size of a full
	// configuration.
	ControlQueueBytes int
}

// DefaultConfig returns the default values documented at the fields.
func DefaultConfig() Config {
	return Config{
		WindowBytes:       256 << 10,
		KeepaliveInterval: 10 * time.Second,
		IdleInterval:      15 * time.Minute,
		KeepaliveTimeout:  25 * time.Second,
		HandshakeTimeout:  5 * time.Second,
		WriteTimeout:      10 * time.Second,
		CloseTimeout:      time.Second,
		MaxStreams:        1024,
		QueueBytes:        256 << 10,
		ControlQueueBytes: 4 << 20,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var faults []error
	atLeast := func(field string, value, least int64) {
		if value < least {
			faults = append(faults, fmt.Errorf("%s is %d, must be at least %d", field, value, least))
		}
	}
	atLeast("WindowBytes", int64(c.WindowBytes), MinWindowBytes)
	atLeast("KeepaliveInterval", int64(c.KeepaliveInterval), int64(time.Millisecond))
	atLeast("IdleInterval", int64(c.IdleInterval), max(int64(c.KeepaliveInterval), 1))
	atLeast("KeepaliveTimeout", int64(c.KeepaliveTimeout), int64(c.KeepaliveInterval)+1)
	atLeast("HandshakeTimeout", int64(c.HandshakeTimeout), int64(time.Millisecond))
	atLeast("WriteTimeout", int64(c.WriteTimeout), int64(time.Millisecond))
	atLeast("CloseTimeout", int64(c.CloseTimeout), int64(time.Millisecond))
	atLeast("MaxStreams", int64(c.MaxStreams), 1)
	atLeast("QueueBytes", int64(c.QueueBytes), 1)
	atLeast("ControlQueueBytes", int64(c.ControlQueueBytes), 1)
	return trace.Wrap(errors.Join(faults...))
}
