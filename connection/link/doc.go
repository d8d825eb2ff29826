// Package link is the multiplexed connection between two processes of jayridge: many concurrent requests and the control
// frames of the fleet over one TCP connection.
//
// The dialing side opens streams, one for each attempt of a request; the serving side answers them. Both sides send control
// frames. A connection has a reader and a writer goroutine; the serving side adds one for each request in progress. No lock is
// held across I/O.
//
// # Flow control
//
// The sender of chunks starts without credit. The dialing side grants it with Window frames, the first directly behind Open,
// then whenever the caller has taken half a window. A chunk costs its data plus ChunkOverheadBytes, so that empty and tiny
// chunks use up credit too. A peer that sends more than its credit is disconnected. A slow caller therefore stops only its own
// stream, and holds at most Config.WindowBytes.
//
// # Leaving
//
// When the peer of a dialed connection announces Leaving with its own instance name, Open fails with ErrPeerLeaving, and the
// connection closes itself once its last stream has ended. Only the dialing side can close without cutting off an Open that is
// still on its way, so Server.Drain announces Leaving and waits for its peers to close.
//
// # Metrics
//
// The expvar map jayridge_link counts, since the start of the process and over all connections:
//
//	connections_opened            handshakes completed
//	connections_lost              connections ended for any reason, orderly ones included
//	connections_refused           handshakes failed: another major version, timeout, no Hello
//	bad_frames                    malformed or forbidden frames; each closed its connection
//	dropped_unknown_stream        frames for a stream that is unknown or ended; a few after each cancellation are normal
//	dropped_identity              frames whose request id or attempt does not fit the stream
//	dropped_repeated              second Accepted frames of a stream
//	skipped_types                 frames of a type that this version does not know
//	control_queue_full            control frames not sent because the queue was full
//	streams_refused               requests refused because of Config.MaxStreams or during a drain
//	pings_sent                    keepalive probes sent
//	handlers_without_end          requests whose handler returned without End, panics included
//	false_ends                    results changed to internal-error: "not run" after Accepted, or "run" after a failed Write
//	control_frames_in, _out       control frames, Hello, Ping and Pong included
//	control_bytes_in, _out        their size in bytes, headers of the frames included, those of TCP and IP not
package link
