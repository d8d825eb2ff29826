// Package link implements the multiplexed connection between two jayridge processes. It carries many concurrent requests and
// control frames over one TCP connection.
//
// The dialing side opens streams, one for each attempt of a request; the serving side responds to them. Both sides send control
// frames. A connection has a reader and a writer goroutine; the serving side adds one for each request in progress. No lock is
// held across I/O.
//
// # Flow control
//
// The sender of chunks starts without credit. The dialing side grants credit with Window frames, the first directly after Open,
// then whenever the caller has taken half a window. A chunk costs its data size plus ChunkOverheadBytes, so that empty and tiny
// chunks consume credit too. A peer that sends beyond its credit is disconnected. A slow caller therefore blocks only its own
// stream, for which at most Config.WindowBytes are held.
//
// # Leaving
//
// When the peer of a dialed connection announces Leaving with its own instance name, Open fails with ErrPeerLeaving, and the
// connection is closed once its last stream has ended. Only the dialing side can close without losing an Open that is in
// transit, so Server.Drain announces Leaving and waits for its peers to close.
//
// # Metrics
//
// The expvar map jayridge_link counts the following since the start of the process, over all connections:
//
//	connections_opened            completed handshakes
//	connections_lost              connections that ended for any reason, including graceful closes
//	connections_refused           failed handshakes: different major version, timeout, no Hello
//	bad_frames                    malformed or forbidden frames; each closed its connection
//	dropped_unknown_stream        frames for an unknown or ended stream; a few after each cancellation are normal
//	dropped_identity              frames whose request id or attempt does not match the stream
//	dropped_repeated              repeated Accepted frames of a stream
//	skipped_types                 frames of a type unknown to this version
//	control_queue_full            control frames not sent because the queue was full
//	streams_refused               requests refused because of Config.MaxStreams or during a drain
//	pings_sent                    keepalive probes sent
//	handlers_without_end          requests whose handler returned without End, including panics
//	false_ends                    results changed to internal-error: "not run" after Accepted, or "run" after a failed Write
//	control_frames_in, _out       control frames, including Hello, Ping and Pong
//	control_bytes_in, _out        their size in bytes, including frame headers, excluding TCP and IP headers
package link
