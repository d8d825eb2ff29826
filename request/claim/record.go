package claim

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// formatVersion is written with each batch. A reader that finds a different version refuses all claims of the shard, because
// it cannot tell which keys are claimed.
const formatVersion = 1

// Upper bounds of encoded sizes in bytes, by which a batch is kept within its limit.
const (
	batchOverhead  = 48
	recordOverhead = 48
)

// WriterID identifies one run of a store. A restarted process has a new one, so that it never takes a batch of its predecessor
// for its own.
type WriterID [16]byte

type recordKind uint8

// Kinds of a record. The numbers are part of the log's format.
const (
	recordClaim   recordKind = 1
	recordRelease recordKind = 2
	recordFinish  recordKind = 3
)

// record is one entry of the log. A release or response takes effect only if the claim that it refers to owns the key. The key
// alone is not enough: after the retention the same writer may claim the same key again.
type record struct {
	Kind recordKind
	Key  Key
	// Fingerprint is set for a claim.
	Fingerprint uint64
	// Claim is set for a release or response: the sequence number of the same writer's batch that holds the claim.
	Claim     uint64
	Code      uint8
	Status    uint16
	Body      []byte
	Truncated bool
}

// batch is a group of records that one store appends at once.
type batch struct {
	Format   uint8
	Writer   WriterID
	Sequence uint64
	// TimeMS is the later of the writer's clock and the timestamp of the previous batch, in ms since 1970.
	TimeMS int64
	// Sealed marks the last batch of its segment.
	Sealed  bool
	Records []record
}

var errCorrupt = errors.New("segment is not readable")

// appendBatches returns segment with the batches appended. If the result reaches limit bytes, the last batch seals the
// segment.
func appendBatches(segment []byte, batches []*batch, limit int) ([]byte, error) {
	value := bytes.Clone(segment)
	for i, b := range batches {
		b.Sealed = false
		encoded, err := encodeBatch(b)
		if err != nil {
			return nil, err
		}
		if i == len(batches)-1 && len(value)+len(encoded) >= limit {
			b.Sealed = true
			if encoded, err = encodeBatch(b); err != nil {
				return nil, err
			}
		}
		value = append(value, encoded...)
	}
	return value, nil
}

// addressRecord tells readers where to reach a batch's writer. It is encoded as a release that refers to no claim, which
// versions that do not know it ignore; a new kind of record would make them refuse the shard.
func addressRecord(address string) record {
	return record{Kind: recordRelease, Body: []byte(address)}
}

// address returns the address in an addressRecord. Sequence numbers start at one, so no real release has this form.
func (r *record) address() (string, bool) {
	return string(r.Body), r.Kind == recordRelease && r.Claim == 0 && len(r.Body) > 0
}

func (r *record) size() int { return recordOverhead + len(r.Body) }

// size returns an upper bound of the encoded size in bytes.
func (b *batch) size() int {
	size := batchOverhead
	for i := range b.Records {
		size += b.Records[i].size()
	}
	return size
}

// encodeBatch encodes structs as arrays, which omits the field names.
func encodeBatch(b *batch) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(b)
	return buffer.Bytes(), err
}

// decodeBatches decodes the batches in data.
func decodeBatches(data []byte) ([]batch, error) {
	var batches []batch
	// The decoder does not buffer input from a bytes.Reader, so Len is what remains. It reports a truncated batch as io.EOF,
	// which must not be treated as the end of the data.
	reader := bytes.NewReader(data)
	decoder := msgpack.NewDecoder(reader)
	for reader.Len() > 0 {
		var b batch
		if err := decoder.Decode(&b); err != nil {
			return nil, fmt.Errorf("%w: %w", errCorrupt, err)
		}
		if err := b.validate(); err != nil {
			return nil, err
		}
		batches = append(batches, b)
	}
	return batches, nil
}

// claimCount returns the number of claims in the batch.
func (b *batch) claimCount() int {
	n := 0
	for i := range b.Records {
		if b.Records[i].Kind == recordClaim {
			n++
		}
	}
	return n
}

func (b *batch) validate() error {
	if b.Format != formatVersion {
		return fmt.Errorf("%w: format %d", errCorrupt, b.Format)
	}
	for i := range b.Records {
		if kind := b.Records[i].Kind; kind < recordClaim || kind > recordFinish {
			return fmt.Errorf("%w: record of kind %d", errCorrupt, kind)
		}
	}
	return nil
}
