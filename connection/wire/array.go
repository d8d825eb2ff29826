package wire

import "github.com/vmihailenco/msgpack/v5"

// The small structs that make up most of the control traffic are encoded as arrays of their fields, since map keys would take up
// to a third of their size. Decoders of all minor versions read a struct from a map or from an array, but an array must have exactly
// as many elements as the decoder knows fields. Adding a field to one of these structs therefore requires a new major version; a
// minor version adds the field to the enclosing message instead.

var (
	_ msgpack.CustomEncoder = (*LoadReport)(nil)
	_ msgpack.CustomEncoder = (*LoadSummary)(nil)
	_ msgpack.CustomEncoder = (*RolloutRecord)(nil)
	_ msgpack.CustomEncoder = (*QuarantineEntry)(nil)
	_ msgpack.CustomEncoder = (*ConfigChange)(nil)
	_ msgpack.CustomEncoder = (*UpstreamLoad)(nil)
)

// encodeArray encodes a struct and its nested structs as arrays.
func encodeArray(enc *msgpack.Encoder, v any) error {
	enc.UseArrayEncodedStructs(true)
	defer enc.UseArrayEncodedStructs(false)
	return enc.Encode(v)
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *LoadReport) EncodeMsgpack(enc *msgpack.Encoder) error {
	type fields LoadReport
	return encodeArray(enc, (*fields)(r))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s *LoadSummary) EncodeMsgpack(enc *msgpack.Encoder) error {
	type fields LoadSummary
	return encodeArray(enc, (*fields)(s))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *RolloutRecord) EncodeMsgpack(enc *msgpack.Encoder) error {
	type fields RolloutRecord
	return encodeArray(enc, (*fields)(r))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (e *QuarantineEntry) EncodeMsgpack(enc *msgpack.Encoder) error {
	type fields QuarantineEntry
	return encodeArray(enc, (*fields)(e))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c *ConfigChange) EncodeMsgpack(enc *msgpack.Encoder) error {
	type fields ConfigChange
	return encodeArray(enc, (*fields)(c))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l *UpstreamLoad) EncodeMsgpack(enc *msgpack.Encoder) error {
	type fields UpstreamLoad
	return encodeArray(enc, (*fields)(l))
}
