package claim

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// formatVersion is written with each batch. A reader that finds another one refuses all claims of the shard, because it cannot
// tell which keys are claimed.
const formatVersion = 1

// Upper bounds of encoded sizes in bytes, by which a batch is kept within its limit.
const (
	batchOverhead  = 48
	recordOverhead = 48
)

// WriterID identifies one run of a store. A process that restarts has a new one, so that it never takes a batch of its
// predecessor for its own.
type WriterID [16]byte

type recordKind uint8

const (
	recordClaim   recordKind = 1
	recordRelease recordKind = 2
	recordFinish  recordKind = 3
)

// record is one line of the log. A release or response counts only if the key is owned by the claim that it names. Its key alone
// would not do: after the retention the same writer may claim the same key again.
type record struct {
	Kind recordKind
	Key  Key
	// Fingerprint is set in a claim.
	Fingerprint uint64
	// Claim is the sequence number of the batch that has the claim, by the same writer; set in a release or response.
	Claim     uint64
	Code      uint8
	Status    uint16
	Body      []byte
	Truncated bool
}

// batch is what one write appends.
type batch struct {
	Format   uint8
	Writer   WriterID
	Sequence uint64
	// TimeMS is the later of the writer's clock and the time of the batch before it, in ms since 1970.
	TimeMS int64
	// Sealed marks the last batch of its segment.
	Sealed  bool
	Records []record
}

var errCorrupt = errors.New("segment is not readable")

// appendBatches returns segment with the batches at its end. The last one seals the segment if that reaches limit bytes.
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

// addressRecord tells the readers where a batch's writer is reached. It has the form of a release of no claim, which a version
// that does not know it passes over; another kind of record would make that version refuse the shard.
func addressRecord(address string) record {
	return record{Kind: recordRelease, Body: []byte(address)}
}

// address returns the address in an addressRecord. Claims are numbered from one, so no release has the same form.
func (r *record) address() (string, bool) {
	return string(r.Body), r.Kind == recordRelease && r.Claim == 0 && len(r.Body) > 0
}

func (r *record) size() int { return recordOverhead + len(r.Body) }

// size is at least the encoded size in bytes.
func (b *batch) size() int {
	size := batchOverhead
	for i := range b.Records {
		size += b.Records[i].size()
	}
	return size
}

// encodeBatch encodes structures as arrays, which saves the field names.
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
	// The decoder does not buffer what a bytes.Reader gives it, so Len is what is left. It reports a batch that is cut short as
	// io.EOF, which must not pass for the end.
	reader := bytes.NewReader(data)
	decoder := msgpack.NewDecoder(reader)
	for reader.Len() > 0 {
		var b batch
		if err := decoder.Decode(&b); err != nil {
			return nil, fmt.Errorf("%w: %w", errCorrupt, err)
		}
		if err := b.check(); err != nil {
			return nil, err
		}
		batches = append(batches, b)
	}
	return batches, nil
}

// claims returns the number of claims in the batch.
func (b *batch) claims() int {
	n := 0
	for i := range b.Records {
		if b.Records[i].Kind == recordClaim {
			n++
		}
	}
	return n
}

func (b *batch) check() error {
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
