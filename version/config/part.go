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

// partPrefix heads the keys of content-addressed parts.
const partPrefix = "config/part/"

// MaxTextBytes bounds the text of a configuration, about four times the text of 46,000 teams.
const MaxTextBytes = 16 << 20

// layout says how a configuration is laid out in the key-value service. Writers may differ in it; readers need not know it.
type layout struct {
	// inlineBytes is the largest compressed value that is stored in the head or record itself. Above it, parts are used, so
	// that a change in a large file writes a few kilobytes and not the whole file.
	inlineBytes int
	// partLines is the mean number of lines in a part.
	partLines uint64
	// minPartBytes and maxPartBytes bound a part before compression.
	minPartBytes, maxPartBytes int
	// recentChanges and recentBytes bound the changes in the head.
	recentChanges, recentBytes int
}

// defaultLayout gives about 25 parts for 46,000 teams, 1 KB of the head, and keeps the changes of about 25 s at 13,000 changes a day. Every change sends the whole head to every watcher, and each KB of it costs a watcher 0.2 KB/s; a process that is further behind
// pulls from a peer, which keeps the changes of hours.
var defaultLayout = layout{
	inlineBytes:   24 << 10,
	partLines:     2048,
	minPartBytes:  32 << 10,
	maxPartBytes:  256 << 10,
	recentChanges: 4,
	recentBytes:   8 << 10,
}

// partID is the hash of a part's content, in hexadecimal. It is also the end of its key.
type partID string

// part is a piece of a large value, stored under its own key.
type part struct {
	id      partID
	content []byte
}

func newPart(content []byte) part {
	sum := sha256.Sum256(content)
	return part{id: partID(hex.EncodeToString(sum[:16])), content: content}
}

func ids(parts []part) []partID {
	var list []partID
	for _, p := range parts {
		list = append(list, p.id)
	}
	return list
}

// maxCompression is more than rules files are compressed to. Larger values are not compressed to find out.
const maxCompression = 32

// store returns either the compressed value or, if that is too large, the parts of the value.
func (l layout) store(value []byte, pieces [][]byte) ([]byte, []part) {
	if len(value) <= maxCompression*l.inlineBytes {
		compressed := compress(value)
		if len(compressed) <= l.inlineBytes {
			return compressed, nil
		}
	}
	parts := make([]part, len(pieces))
	for i, piece := range pieces {
		parts[i] = newPart(piece)
	}
	return nil, parts
}

// cut splits a text behind lines whose hash is a multiple of partLines. The cuts depend on the lines around them alone, so a
// change in one line leaves all parts but its own as they were, or all but three if a cut moves.
func (l layout) cut(text string) [][]byte {
	var pieces [][]byte
	start, end := 0, 0
	for line := range strings.SplitAfterSeq(text, "\n") {
		if end > start && end+len(line)-start > l.maxPartBytes {
			pieces = append(pieces, []byte(text[start:end]))
			start = end
		}
		end += len(line)
		if end-start >= l.minPartBytes && xxhash.Sum64String(line)%l.partLines == 0 {
			pieces = append(pieces, []byte(text[start:end]))
			start = end
		}
	}
	if end > start || len(pieces) == 0 {
		pieces = append(pieces, []byte(text[start:end]))
	}
	return pieces
}

// chop splits a value that is not a text into pieces of the same size.
func (l layout) chop(value []byte) [][]byte {
	return slices.Collect(slices.Chunk(value, l.maxPartBytes))
}

func compress(content []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// A bytes.Buffer returns no error, so neither do the calls below.
	_, _ = w.Write(content)
	_ = w.Close()
	return b.Bytes()
}

// decompress refuses content of more than limit bytes, so that a faulty value cannot exhaust the memory.
func decompress(compressed []byte, limit int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFormat, err)
	}
	content, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrFormat, err)
	}
	if len(content) > limit {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrFormat, limit)
	}
	return content, nil
}
