package config

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// partPrefix is the key prefix of content-addressed parts.
const partPrefix = "config/part/"

// MaxTextBytes is the maximum size of a configuration text, about four times the size with 46,000 teams.
const MaxTextBytes = 16 << 20

// layout determines how a configuration is divided into stored values. Writers may use different layouts; readers work with any.
type layout struct {
	// maxInlineBytes is the maximum size of a compressed value that is stored in the head or record itself. Larger values are
	// stored in parts, so that a change in a large file writes a few kilobytes and not the whole file.
	maxInlineBytes int
	// meanPartLines is the mean distance between two lines after which a part may end.
	meanPartLines uint64
	// minPartBytes and maxPartBytes bound a part before compression.
	minPartBytes, maxPartBytes int
	// maxHeadChanges and maxHeadChangeBytes limit the number and the size of the changes in the head.
	maxHeadChanges, maxHeadChangeBytes int
}

// defaultLayout gives about 25 parts for 46,000 teams, 1 KB of the head, and keeps the changes of about 25 s at 13,000 changes a
// day. Each change sends the whole head to every watcher, and each KB of it costs a watcher 0.2 KB/s. A process that is further
// behind pulls from a peer, which keeps the changes of several hours.
var defaultLayout = layout{
	maxInlineBytes:     24 << 10,
	meanPartLines:      2048,
	minPartBytes:       32 << 10,
	maxPartBytes:       256 << 10,
	maxHeadChanges:     4,
	maxHeadChangeBytes: 8 << 10,
}

// partID is the truncated SHA-256 hash of a part's content in hexadecimal. The key of the part is partPrefix followed by it.
type partID string

// part is a chunk of a large value, stored under its own key.
type part struct {
	id      partID
	content []byte
}

func newPart(content []byte) part {
	sum := sha256.Sum256(content)
	return part{id: partID(hex.EncodeToString(sum[:16])), content: content}
}

func partIDs(parts []part) []partID {
	var list []partID
	for _, p := range parts {
		list = append(list, p.id)
	}
	return list
}

// maxCompressionRatio is above the compression ratio of rules files. A value that would need a higher ratio to be stored inline is
// not compressed as a whole.
const maxCompressionRatio = 32

// inlineOrParts returns the compressed value or, if that is too large, a part for each of the value's chunks.
func (l layout) inlineOrParts(value []byte, chunks [][]byte) ([]byte, []part) {
	if len(value) <= maxCompressionRatio*l.maxInlineBytes {
		compressed := compress(value)
		if len(compressed) <= l.maxInlineBytes {
			return compressed, nil
		}
	}
	parts := make([]part, len(chunks))
	for i, chunk := range chunks {
		parts[i] = newPart(chunk)
	}
	return nil, parts
}

// splitText divides a text by content-defined chunking: a chunk ends after a line whose hash is a multiple of meanPartLines. Chunk
// boundaries depend only on the lines near them, so a change of one line changes one chunk, or up to three if a boundary moves.
func (l layout) splitText(text string) [][]byte {
	var chunks [][]byte
	start, end := 0, 0
	for line := range strings.SplitAfterSeq(text, "\n") {
		if end > start && end+len(line)-start > l.maxPartBytes {
			chunks = append(chunks, []byte(text[start:end]))
			start = end
		}
		end += len(line)
		if end-start >= l.minPartBytes && xxhash.Sum64String(line)%l.meanPartLines == 0 {
			chunks = append(chunks, []byte(text[start:end]))
			start = end
		}
	}
	if end > start || len(chunks) == 0 {
		chunks = append(chunks, []byte(text[start:end]))
	}
	return chunks
}

// splitFixed divides a value that is not a text into chunks of at most maxPartBytes.
func (l layout) splitFixed(value []byte) [][]byte {
	return slices.Collect(slices.Chunk(value, l.maxPartBytes))
}

// compress returns the content as a gzip member.
func compress(content []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writes to a bytes.Buffer never fail.
	_, _ = w.Write(content)
	_ = w.Close()
	return b.Bytes()
}

// decompress rejects content of more than limit bytes, so that an invalid value cannot exhaust memory.
func decompress(compressed []byte, limit int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidFormat, err)
	}
	content, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidFormat, err)
	}
	if len(content) > limit {
		return nil, fmt.Errorf("%w: content exceeds %d bytes", ErrInvalidFormat, limit)
	}
	return content, nil
}
