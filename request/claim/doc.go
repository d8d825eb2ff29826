// Package claim makes calls with an idempotency key run at most once.
//
// # The log of a shard
//
// Keys are distributed by hash over a fixed number of shards. A shard is a log of segments in the key-value service, stored
// under claims/<service>/<shard>/<segment>. A segment is a sequence of batches. Each batch is appended by a compare-and-swap and
// carries the writer's id, the writer's sequence number and a timestamp. The batch that fills a segment also seals it. A sealed
// segment never changes, and a writer creates a segment only after it has seen the previous one sealed. The batches of a shard
// therefore have a single order that all readers agree on.
//
// A batch holds claims, responses and releases. A claim in the log owns its key if the key is free at that point; otherwise the
// record has no effect except to extend the time for which the key is remembered. A key becomes free when its owner releases it or
// the retention ends. A claim is granted when its writer has read the log up to and including the claim and finds that it owns the
// key. The write that appended it replaced the last revision that the writer had read, so no part of the log is missing. Nothing
// else decides: no lease, no clock, and no read that may be stale. A stale read makes a later write fail with a conflict. A failed
// read makes claims unavailable and never makes a claimed key look free.
//
// # Several writers
//
// A store that sees in the log that another store writes more than twice as many claims forwards its batches to that store, the
// leader. The leader appends them unchanged in the same write as its own, so one compare-and-swap carries the batches of several
// stores. The reply says which claims own their keys. As for the leader's own claims, it is based on the log up to and including
// that write. The first batch of each writer in a segment holds an address record that tells the others where to reach it. A
// wrong address does no harm, because any store may append any batch at any time.
//
// Without a reply, the batch may be in the log or may be appended later. The store that owns it then reads the log, and appends
// the same batch with the same sequence number if it is absent. The leader appends a forwarded batch only if it has not seen that
// sequence number in the log; if the batch is appended after the leader's last read, the leader's write fails with a conflict. A
// duplicate is possible only if the leader was paused for longer than the retention. The store that owns such a batch releases its
// claims.
//
// # Lost responses
//
// When the response to a write is lost, the writer reads the segment. If its batch is there, the write took effect. If the
// segment's revision has grown without it, the write can never take effect, because it names the older revision. If the revision
// is unchanged, the write may still arrive, so the writer sends the same write again; at most one of the two can succeed. No
// further batch is written until this is resolved.
//
// A claim that ends meanwhile, because its context ended or the service has failed, gets the decision Unavailable and is never
// granted, even if its record turns out to be in the log. While the record is in the log without a release, a retry of the key gets
// InDoubt from other stores, although the call never ran. Its writer appends a release as soon as it finds the record, which frees
// the key. If the writer's process ends first, the key stays in doubt until the retention ends. This is safe: at worst a call that
// could have run does not, and no call runs twice.
//
// # Retention
//
// A key is remembered for Config.Retention after its last claim in the log. Claims that did not get the key count too, so that
// stores that began to read at different segments agree on it. A claim owns its key if no earlier claim of the key in the log is
// younger than the retention, by the timestamps of the batches, which never decrease along the log. Segments that hold nothing
// younger are not read. A retry after the retention is a new call and may run again. The retention must therefore exceed the
// longest time over which callers retry, plus the largest clock difference between writers, plus the longest pause of a process
// between a grant and the call. This is the only use of a clock. A grant is refused if the retention has passed since its record
// was written. A store measures time from its start by the monotonic clock, so a step of the system clock does not expire keys.
//
// A store finds the first segment to read by a search over segment numbers, which takes about twice the logarithm of their number
// in reads. It then reads all following segments before it claims anything in that shard. It does so when the first claim arrives.
//
// Until that is done the shard's claims wait, and are refused at Config.ClaimTimeout; reading goes on. Segments are read one after
// the other, so this takes about one round trip for each Config.SegmentBytes written within the retention.
//
// The interface to the key-value service has no deletion, so segments past the retention stay in it. Attaching a lease to each
// segment would remove them, but would be unsafe: a store creates a segment by a compare-and-swap with "does not exist", so a
// writer that lags, or starts with a stale read, could begin a second log at a number whose segment has expired. See
// docs/decisions/0009-claims-at-a-second-writer.md.
package claim
