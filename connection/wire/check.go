package wire

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Limits of a frame's body beside its size. The msgpack library allocates what a length field announces before it reads the
// elements, and skips unknown fields recursively, so that without these checks a frame of a few bytes allocates gigabytes and
// a frame of nested arrays exhausts the stack.
const (
	// maxDepth is the deepest nesting of maps and arrays; this version's messages need five.
	maxDepth = 16
	// MaxValues is the largest number of values (map keys included) in one frame. It bounds the memory of a decoded frame
	// to about 15 MB.
	MaxValues = 1 << 17
)

// checkBody returns an error that wraps ErrFrame unless body is exactly one msgpack map within the limits.
func checkBody(body []byte) error {
	if len(body) == 0 || !isMap(body[0]) {
		return fmt.Errorf("%w: body is not a map", ErrFrame)
	}
	// left holds the number of values still to come at each level.
	var left [maxDepth + 1]int
	depth, values := 0, 0
	left[0] = 1
	for depth >= 0 {
		if left[depth] == 0 {
			depth--
			continue
		}
		left[depth]--
		size, children, ok := value(body)
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
		left[depth] = children
	}
	if len(body) > 0 {
		return fmt.Errorf("%w: %d bytes behind the map", ErrFrame, len(body))
	}
	return nil
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}

// value returns the size in bytes of the first value of b, without the values that it contains, and their number. It is not
// ok if the code is unknown or the value does not fit into b.
func value(b []byte) (size, children int, ok bool) {
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
	return longValue(b)
}

// longValue is value for the codes that are followed by a number or a length.
func longValue(b []byte) (size, children int, ok bool) {
	f := forms[b[0]]
	if !f.known || len(b) < 1+f.lengthBytes {
		return 0, 0, false
	}
	length := lengthField(b[1 : 1+f.lengthBytes])
	size = 1 + f.lengthBytes + f.fixedBytes
	if f.perItem > 0 {
		// Each item takes at least a byte, so a longer announcement is false; this also keeps the product in range.
		return size, f.perItem * length, length <= len(b)
	}
	size += length
	return size, 0, size <= len(b)
}

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

// form describes the bytes behind a code: a length field, then fixed bytes, then as many bytes or items as the length says.
type form struct {
	known       bool
	lengthBytes int
	fixedBytes  int
	// perItem is the number of values for each count of the length; zero if the length counts bytes.
	perItem int
}

// forms is indexed by code.
var forms = buildForms()

func buildForms() (forms [256]form) {
	set := func(f form, codes ...byte) {
		f.known = true
		for _, code := range codes {
			forms[code] = f
		}
	}
	set(form{}, msgpcode.Nil, msgpcode.False, msgpcode.True)
	set(form{fixedBytes: 1}, msgpcode.Uint8, msgpcode.Int8)
	set(form{fixedBytes: 2}, msgpcode.Uint16, msgpcode.Int16)
	set(form{fixedBytes: 4}, msgpcode.Uint32, msgpcode.Int32, msgpcode.Float)
	set(form{fixedBytes: 8}, msgpcode.Uint64, msgpcode.Int64, msgpcode.Double)
	set(form{lengthBytes: 1}, msgpcode.Str8, msgpcode.Bin8)
	set(form{lengthBytes: 2}, msgpcode.Str16, msgpcode.Bin16)
	set(form{lengthBytes: 4}, msgpcode.Str32, msgpcode.Bin32)
	set(form{lengthBytes: 2, perItem: 1}, msgpcode.Array16)
	set(form{lengthBytes: 4, perItem: 1}, msgpcode.Array32)
	set(form{lengthBytes: 2, perItem: 2}, msgpcode.Map16)
	set(form{lengthBytes: 4, perItem: 2}, msgpcode.Map32)
	// Extensions carry a type byte.
	set(form{fixedBytes: 1 + 1}, msgpcode.FixExt1)
	set(form{fixedBytes: 1 + 2}, msgpcode.FixExt2)
	set(form{fixedBytes: 1 + 4}, msgpcode.FixExt4)
	set(form{fixedBytes: 1 + 8}, msgpcode.FixExt8)
	set(form{fixedBytes: 1 + 16}, msgpcode.FixExt16)
	set(form{lengthBytes: 1, fixedBytes: 1}, msgpcode.Ext8)
	set(form{lengthBytes: 2, fixedBytes: 1}, msgpcode.Ext16)
	set(form{lengthBytes: 4, fixedBytes: 1}, msgpcode.Ext32)
	return forms
}
