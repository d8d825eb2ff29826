package link

import (
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Constants of the protocol: both ends must agree on them.
const (
	// MaxChunkBytes is the largest data of one chunk. Responder.Write splits longer data at multiples of it and never
	// elsewhere, so that the number of chunks of a response does not depend on timing.
	MaxChunkBytes = 16 << 10
	// ChunkOverheadBytes is added to the data of a chunk in flow control. It stands for the memory of a queued chunk.
	ChunkOverheadBytes = 64
)

// MinWindowBytes is the smallest window. The receiver grants credit in steps of half a window, and a sender with no credit
// for a whole chunk waits, so that a window under twice the largest chunk could stop a stream for good.
const MinWindowBytes = 2 * (MaxChunkBytes + ChunkOverheadBytes)

// Config is the configuration of a connection or of all connections of a Server. The two ends of a connection may differ in
// it. Zero is not valid in any field; start from DefaultConfig.
type Config struct {
	// WindowBytes is the flow-control window of a stream, in bytes: the most that is queued for a slow caller. The dialing
	// side's value counts. At least MinWindowBytes. Default 256 KiB.
	WindowBytes uint32
	// KeepaliveInterval is the time without received frames after which the dialing side sends a Ping while a request is in
	// progress, counted from its start at the earliest. The serving side does so later, by a quarter of the time that is left to
	// KeepaliveTimeout. Default 10 s.
	KeepaliveInterval time.Duration
	// IdleInterval is KeepaliveInterval while no request is in progress. At least KeepaliveInterval. Default 15 min: an entry holds
	// up to 11,600 connections at the design scale, and probes every 10 s cost it 38 KB/s.
	IdleInterval time.Duration
	// KeepaliveTimeout is the time without received frames after which the connection is lost while a request is in progress; an
	// idle one is lost as long after its Ping. It must be longer than KeepaliveInterval. Default 25 s, which leaves a paused peer
	// 15 s to answer a Ping.
	KeepaliveTimeout time.Duration
	// HandshakeTimeout bounds the TCP connect and the exchange of Hello frames. Default 5 s.
	HandshakeTimeout time.Duration
	// WriteTimeout bounds one write of at most 64 KiB to a peer that does not read. Default 10 s.
	WriteTimeout time.Duration
	// CloseTimeout is how long an orderly close waits for the peer to close its end, and how long Server.Drain waits for
	// peers that have no request in progress. Default 1 s.
	CloseTimeout time.Duration
	// MaxStreams bounds the requests in progress on a connection. The serving side refuses more with result.Full, and the
	// dialing side with ErrTooManyStreams. Default 1,024.
	MaxStreams int
	// QueueBytes is the size of queued request frames at which Open and Responder.Write wait for the writer. A
	// serving side on which four times as much and a frame is queued closes the connection: the peer sends requests but does
	// not read their answers. Default 256 KiB.
	QueueBytes int
	// ControlQueueBytes is the size of queued control frames at which Send fails. Default 4 MiB, a whole configuration.
	ControlQueueBytes int
}

// DefaultConfig returns the defaults that are documented at the fields.
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

// Validate returns an error that names every faulty field.
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
