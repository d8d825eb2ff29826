// Package claim makes calls with an idempotency key run at most once.
//
// # The log of a shard
//
// Keys are spread over a fixed number of shards by hash. A shard is a log of segments in the key-value service, under
// claims/<service>/<shard>/<segment>. A segment is a sequence of batches, each appended by one compare-and-swap and carrying the
// writer's id, the writer's sequence number and a time. The batch that fills a segment also seals it; a sealed segment never
// changes, and a writer creates a segment only after it has seen the one before it sealed. All batches of a shard therefore have
// one order, which all readers see alike.
//
// A batch holds claims, responses and releases. A claim in the log owns its key if the key is free at that point; else the
// record has no effect. A key is free again when its owner releases it or the retention ends. A claim is granted when its writer has read the log up to and
// including it and finds that it owns the key. Because the write that appended it replaced the last revision that the writer had
// read, no part of the log is missing. Nothing else decides: no lease, no clock, no read that may be stale. A stale read makes a
// later write fail with a conflict; a failed read makes claims unavailable and never makes a key look new.
//
// # Several writers
//
// A store that sees in the log that another one writes more than twice as many claims hands its batches over to that one, which appends
// them unchanged in the same write as its own: one compare-and-swap carries batches of several stores. The answer says which claims
// own their keys; it comes from a store that has read the log up to its own write, as for its own claims. A record with its address
// in each writer's first batch of a segment tells the others where it is reached. The address is a hint: any store may append any batch
// at any time.
//
// Without an answer the batch may be in the log, or be appended later. The store that owns it then reads the log, and appends the
// same batch with the same sequence number if it is not there. The other store appends it only if it has not seen that number in
// the log; what comes after it has looked makes its write fail. A duplicate is possible only if the other store was paused for longer than
// the retention; its claims are released by the store whose they are.
//
// # Lost responses
//
// When the response to a write is lost, the writer reads the segment. If its batch is there the write took effect. If the
// segment's revision has grown without it, the write never will, because it names the older revision. If the revision is
// unchanged the write may still arrive, so the writer sends the same write again; at most one of the two can succeed. No further
// batch is written until this is settled.
//
// A claim that ends meanwhile, because its context ended or the service has failed, is answered Unavailable and is never
// granted, even if its record turns out to be in the log. Such a record is left behind: as long as it is there a retry of the
// key gets InDoubt from other stores, although the call never ran. Its writer appends a release as soon as it finds the record,
// which makes the key free again. If the writer's process ends first, the key stays in doubt until the retention ends. That
// direction is safe: it costs a call that could have run and never runs one twice.
//
// # Retention
//
// A key is remembered for Config.Retention after the last claim of it in the log, also one that did not get it, so that stores that began
// to read at different segments agree on it. A claim owns its key if no earlier claim in the log is younger
// than the retention, by the times in the batches, which never decrease along the log. Segments that hold nothing younger are
// not read. A retry that comes after the retention is a new call and may run again, so the retention must exceed the longest
// time over which callers retry, plus the greatest difference between the clocks of writers, plus the longest pause of a process
// between a grant and the call. This is the only use of a clock. A grant that would be given later than the retention after its
// record was written is refused. A store counts time from its start by the monotonic clock, so a step of the system's clock does
// not make keys expire.
//
// A store that starts finds the first segment to read by a search over segment numbers (about twice the logarithm of their
// number in reads) and reads on from there before it claims anything in that shard. It does so when the first claim arrives.
//
// Until that is done the shard's claims wait, and are refused at Config.ClaimTimeout; reading goes on. Segments are read one
// after the other, so the time is about one round trip for each Config.SegmentBytes written within the retention.
//
// The interface to the key-value service has no deletion, so segments past the retention stay in it. A lease would remove them, but a
// store creates a segment by a compare-and-swap with "does not exist": a writer that lags, or starts with a stale read, could begin
// a second log at a number whose segment has ended. See docs/decisions/0009-claims-at-a-second-writer.md.
package claim
