package link

import (
	"expvar"
	"sync/atomic"
)

var metrics = expvar.NewMap("jayridge_link")

// The counters of jayridge_link, documented in the package comment.
var (
	connectionsOpened    = counter("connections_opened")
	connectionsLost      = counter("connections_lost")
	connectionsRefused   = counter("connections_refused")
	badFrames            = counter("bad_frames")
	droppedUnknownStream = counter("dropped_unknown_stream")
	droppedIdentity      = counter("dropped_identity")
	droppedRepeated      = counter("dropped_repeated")
	skippedTypes         = counter("skipped_types")
	controlQueueFull     = counter("control_queue_full")
	streamsRefused       = counter("streams_refused")
	pingsSent            = counter("pings_sent")
	handlersWithoutEnd   = counter("handlers_without_end")
	falseEnds            = counter("false_ends")
	controlFramesIn      = counter("control_frames_in")
	controlFramesOut     = counter("control_frames_out")
	controlBytesIn       = counter("control_bytes_in")
	controlBytesOut      = counter("control_bytes_out")
)

func counter(name string) *expvar.Int {
	c := new(expvar.Int)
	metrics.Set(name, c)
	return c
}

// Volume is a number of frames and their size in bytes, headers included.
type Volume struct {
	Frames uint64
	Bytes  uint64
}

// Stats is what a connection has transferred. Control frames are those that belong to no request: Hello, Ping, Pong, Gossip,
// ConfigPull, ConfigPush and Leaving. Frames count as sent once they are handed to the network completely.
type Stats struct {
	ControlIn, ControlOut Volume
	TrafficIn, TrafficOut Volume
}

type volumeCounter struct {
	frames, bytes atomic.Uint64
}

func (v *volumeCounter) add(frames, bytes int) {
	v.frames.Add(uint64(frames))
	v.bytes.Add(uint64(bytes))
}

func (v *volumeCounter) load() Volume { return Volume{Frames: v.frames.Load(), Bytes: v.bytes.Load()} }

type stats struct {
	controlIn, controlOut, trafficIn, trafficOut volumeCounter
}

func (s *stats) received(control bool, bytes int) {
	if !control {
		s.trafficIn.add(1, bytes)
		return
	}
	s.controlIn.add(1, bytes)
	controlFramesIn.Add(1)
	controlBytesIn.Add(int64(bytes))
}

func (s *stats) sent(control bool, frames, bytes int) {
	if !control {
		s.trafficOut.add(frames, bytes)
		return
	}
	s.controlOut.add(frames, bytes)
	controlFramesOut.Add(int64(frames))
	controlBytesOut.Add(int64(bytes))
}
