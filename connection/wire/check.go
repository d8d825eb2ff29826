package wire

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Structural limits of a frame's body. The msgpack library allocates the length that a field announces before it reads the
// elements, and skips unknown fields recursively. Without these checks a frame of a few bytes allocates gigabytes, and a frame
// of nested arrays exhausts the stack.
const (
	// maxDepth is the deepest nesting of maps and arrays; this version's messages need five.
	maxDepth = 16
	// MaxValues is the maximum number of values, map keys included, in one frame. It limits the memory of a decoded frame to
	// about 15 MB.
	MaxValues = 1 << 17
)

// checkBody returns an error that wraps ErrFrame unless body consists of exactly one msgpack map within the limits.
func checkBody(body []byte) error {
	if len(body) == 0 || !isMap(body[0]) {
		return fmt.Errorf("%w: body is not a map", ErrFrame)
	}
	// remaining is the number of values that are still expected at each nesting level.
	var remaining [maxDepth + 1]int
	depth, values := 0, 0
	remaining[0] = 1
	for depth >= 0 {
		if remaining[depth] == 0 {
			depth--
			continue
		}
		remaining[depth]--
		size, children, ok := scanValue(body)
		if !ok {
			return fmt.Errorf("%w: body is truncated or has an unknown code", ErrFrame)
		}
		body = body[size:]
		if children == 0 {
			continue
		}
		values += children
		if depth++; depth > maxDepth || values > MaxValues {
			return fmt.Errorf("%w: more than %d levels or %d values", ErrFrame, maxDepth, MaxValues)
		}
		remaining[depth] = children
	}
	if len(body) > 0 {
		return fmt.Errorf("%w: %d bytes behind the map", ErrFrame, len(body))
	}
	return nil
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

// scanValue returns the encoded size of the first value of b, excluding nested values, and the number of nested values. ok is
// false if the format code is unknown or the value does not fit into b.
func scanValue(b []byte) (size, children int, ok bool) {
	if len(b) == 0 {
		return 0, 0, false
	}
	code := b[0]
	switch {
	case msgpcode.IsFixedNum(code):
		return 1, 0, true
	case msgpcode.IsFixedMap(code):
		return 1, 2 * int(code&msgpcode.FixedMapMask), true
	case msgpcode.IsFixedArray(code):
		return 1, int(code & msgpcode.FixedArrayMask), true
	case msgpcode.IsFixedString(code):
		size = 1 + int(code&msgpcode.FixedStrMask)
		return size, 0, size <= len(b)
	}
	return scanLongValue(b)
}

// scanLongValue implements scanValue for the codes that are followed by a number or a length.
func scanLongValue(b []byte) (size, children int, ok bool) {
	f := encodings[b[0]]
	if !f.known || len(b) < 1+f.lengthBytes {
		return 0, 0, false
	}
	length := lengthField(b[1 : 1+f.lengthBytes])
	size = 1 + f.lengthBytes + f.fixedBytes
	if f.valuesPerItem > 0 {
		// Each item takes at least one byte, so a length beyond the rest of the body is invalid. This also prevents an overflow of
		// the product.
		return size, f.valuesPerItem * length, length <= len(b)
	}
	size += length
	return size, 0, size <= len(b)
}

// lengthField decodes a big-endian length of 1, 2 or 4 bytes. It returns zero for other sizes.
func lengthField(b []byte) int {
	switch len(b) {
	case 1:
		return int(b[0])
	case 2:
		return int(binary.BigEndian.Uint16(b))
	case 4:
		return int(binary.BigEndian.Uint32(b))
	default:
		return 0
	}
}

// encoding describes the bytes after a format code: a length field, then fixed bytes, then as many bytes or items as the
// length states.
type encoding struct {
	known       bool
	lengthBytes int
	fixedBytes  int
	// valuesPerItem is the number of values per unit of the length, or zero if the length counts bytes.
	valuesPerItem int
}

// encodings is indexed by format code.
var encodings = buildEncodings()

func buildEncodings() (table [256]encoding) {
	set := func(f encoding, codes ...byte) {
		f.known = true
		for _, code := range codes {
			table[code] = f
		}
	}
	set(encoding{}, msgpcode.Nil, msgpcode.False, msgpcode.True)
	set(encoding{fixedBytes: 1}, msgpcode.Uint8, msgpcode.Int8)
	set(encoding{fixedBytes: 2}, msgpcode.Uint16, msgpcode.Int16)
	set(encoding{fixedBytes: 4}, msgpcode.Uint32, msgpcode.Int32, msgpcode.Float)
	set(encoding{fixedBytes: 8}, msgpcode.Uint64, msgpcode.Int64, msgpcode.Double)
	set(encoding{lengthBytes: 1}, msgpcode.Str8, msgpcode.Bin8)
	set(encoding{lengthBytes: 2}, msgpcode.Str16, msgpcode.Bin16)
	set(encoding{lengthBytes: 4}, msgpcode.Str32, msgpcode.Bin32)
	set(encoding{lengthBytes: 2, valuesPerItem: 1}, msgpcode.Array16)
	set(encoding{lengthBytes: 4, valuesPerItem: 1}, msgpcode.Array32)
	set(encoding{lengthBytes: 2, valuesPerItem: 2}, msgpcode.Map16)
	set(encoding{lengthBytes: 4, valuesPerItem: 2}, msgpcode.Map32)
	// The fixed bytes of an extension include its type byte.
	set(encoding{fixedBytes: 1 + 1}, msgpcode.FixExt1)
	set(encoding{fixedBytes: 1 + 2}, msgpcode.FixExt2)
	set(encoding{fixedBytes: 1 + 4}, msgpcode.FixExt4)
	set(encoding{fixedBytes: 1 + 8}, msgpcode.FixExt8)
	set(encoding{fixedBytes: 1 + 16}, msgpcode.FixExt16)
	set(encoding{lengthBytes: 1, fixedBytes: 1}, msgpcode.Ext8)
	set(encoding{lengthBytes: 2, fixedBytes: 1}, msgpcode.Ext16)
	set(encoding{lengthBytes: 4, fixedBytes: 1}, msgpcode.Ext32)
	return table
}
