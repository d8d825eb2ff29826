package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// Sizes and offsets of the frame header: length, type and stream number. The body follows the header.
const (
	lengthBytes  = 4
	headerBytes  = lengthBytes + 1 + 4
	typeOffset   = lengthBytes
	streamOffset = lengthBytes + 1
)

// minBodyLength is the smallest value of the length field: type, stream number and an empty map.
const minBodyLength = headerBytes - lengthBytes + 1

// ErrFrame is wrapped by every error caused by the content of a frame rather than by the connection.
var ErrFrame = errors.New("bad frame")

// Frame is one decoded frame.
type Frame struct {
	Stream uint32
	// Message is nil if this version does not know the frame's type.
	Message Message
	// Bytes is the encoded size, including the header.
	Bytes int
}

// encoder encodes messages into a byte slice. Encoders are pooled because a msgpack.Encoder is larger than most messages.
type encoder struct {
	buf []byte
	enc *msgpack.Encoder
}

// Write implements io.Writer for the msgpack encoder.
func (e *encoder) Write(p []byte) (int, error) {
	e.buf = append(e.buf, p...)
	return len(p), nil
}

// WriteByte implements io.ByteWriter for the msgpack encoder.
func (e *encoder) WriteByte(b byte) error {
	e.buf = append(e.buf, b)
	return nil
}

var encoderPool = sync.Pool{New: func() any {
	e := new(encoder)
	e.enc = msgpack.NewEncoder(e)
	e.enc.UseCompactInts(true)
	return e
}}

// decoder decodes messages from a byte slice. Decoders are pooled for the same reason as encoders.
type decoder struct {
	r   bytes.Reader
	dec *msgpack.Decoder
}

var decoderPool = sync.Pool{New: func() any {
	d := new(decoder)
	d.dec = msgpack.NewDecoder(&d.r)
	return d
}}

// Encode returns the encoded frame of a message. It fails with ErrFrame if a receiver would reject the frame for its size.
func Encode(stream uint32, m Message) ([]byte, error) {
	return Append(make([]byte, 0, sizeHint(m)), stream, m)
}

// sizeHint returns a buffer capacity that fits the frames of most messages without reallocation.
func sizeHint(m Message) int {
	const fieldBytes = 160
	switch m := m.(type) {
	case *Open:
		return fieldBytes + len(m.Body)
	case *Chunk:
		return fieldBytes + len(m.Data)
	case *ConfigPush:
		if m.Snapshot != nil {
			return fieldBytes + len(m.Snapshot.Data)
		}
	}
	return fieldBytes
}

// Append appends the encoded frame of a message to dst and returns the extended buffer. It fails with ErrFrame, and returns
// dst unchanged, if a receiver would reject the frame for its size.
func Append(dst []byte, stream uint32, m Message) ([]byte, error) {
	e := encoderPool.Get().(*encoder)
	defer encoderPool.Put(e)
	defer func() { e.buf = nil }()
	start := len(dst)
	e.buf = append(dst, 0, 0, 0, 0, byte(m.Type()), 0, 0, 0, 0)
	if err := e.enc.Encode(m); err != nil {
		return dst, trace.Wrap(err)
	}
	frame := e.buf[start:]
	length := len(frame) - lengthBytes
	if length > MaxFrameBytes {
		return dst, trace.Wrap(fmt.Errorf("%w: %T of %d bytes exceeds %d", ErrFrame, m, length, MaxFrameBytes))
	}
	if err := checkBody(frame[headerBytes:]); err != nil {
		return dst, trace.Wrap(fmt.Errorf("%T: %w", m, err))
	}
	binary.BigEndian.PutUint32(frame, uint32(length))
	SetStream(frame, stream)
	return e.buf, nil
}

// SetStream overwrites the stream number of an encoded frame, for callers that encode before they assign the number.
func SetStream(frame []byte, stream uint32) {
	binary.BigEndian.PutUint32(frame[streamOffset:], stream)
}

// pooledBodyBytes is the size of the pooled read buffers. A process holds thousands of mostly idle connections, so a reader holds
// a buffer only while it reads a frame. Larger frames are read into a newly allocated buffer.
const pooledBodyBytes = 4 << 10

var bodyPool = sync.Pool{New: func() any { return new([pooledBodyBytes]byte) }}

// Reader reads frames. It is not safe for concurrent use.
type Reader struct {
	r         io.Reader
	lengthBuf [lengthBytes]byte
}

// NewReader returns a Reader on r, which should be buffered.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Read reads one frame from r. Use a Reader to read more than one.
func Read(r io.Reader) (Frame, error) { return NewReader(r).Next() }

// Next reads one frame. Errors caused by the frame's content wrap ErrFrame. Other errors are those of the underlying reader:
// io.EOF at the end of the stream between two frames, io.ErrUnexpectedEOF within a frame. The message shares no memory with
// the Reader.
func (r *Reader) Next() (Frame, error) {
	if _, err := io.ReadFull(r.r, r.lengthBuf[:]); err != nil {
		return Frame{}, err
	}
	n := int(binary.BigEndian.Uint32(r.lengthBuf[:]))
	if n < minBodyLength || n > MaxFrameBytes {
		return Frame{}, fmt.Errorf("%w: length %d is outside %d to %d", ErrFrame, n, minBodyLength, MaxFrameBytes)
	}
	if n > pooledBodyBytes {
		return r.readBody(make([]byte, n))
	}
	pooled := bodyPool.Get().(*[pooledBodyBytes]byte)
	defer bodyPool.Put(pooled)
	return r.readBody(pooled[:n])
}

// readBody reads the rest of a frame into body and decodes it.
func (r *Reader) readBody(body []byte) (Frame, error) {
	if _, err := io.ReadFull(r.r, body); err != nil {
		if errors.Is(err, io.EOF) {
			return Frame{}, io.ErrUnexpectedEOF
		}
		return Frame{}, err
	}
	m, err := Decode(Type(body[typeOffset-lengthBytes]), body[headerBytes-lengthBytes:])
	if err != nil {
		return Frame{}, err
	}
	return Frame{Stream: binary.BigEndian.Uint32(body[streamOffset-lengthBytes:]), Message: m, Bytes: len(body) + lengthBytes}, nil
}

// Decode decodes the msgpack body of a frame. An unknown type yields a nil message and no error, so that frames of newer
// peers are skipped. The message does not refer to body.
func Decode(t Type, body []byte) (Message, error) {
	if err := checkBody(body); err != nil {
		return nil, fmt.Errorf("type %d: %w", t, err)
	}
	m := newMessage(t)
	if m == nil {
		return nil, nil
	}
	d := decoderPool.Get().(*decoder)
	defer decoderPool.Put(d)
	defer d.r.Reset(nil)
	d.r.Reset(body)
	if err := d.dec.Decode(m); err != nil {
		return nil, fmt.Errorf("%w: type %d: %v", ErrFrame, t, err)
	}
	return m, nil
}

// newMessage returns an empty message of the type, or nil if the type is unknown.
func newMessage(t Type) Message {
	switch t {
	case TypeHello:
		return new(Hello)
	case TypeOpen:
		return new(Open)
	case TypeAccepted:
		return new(Accepted)
	case TypeChunk:
		return new(Chunk)
	case TypeEnd:
		return new(End)
	case TypeCancel:
		return new(Cancel)
	case TypeWindow:
		return new(Window)
	case TypePing:
		return new(Ping)
	case TypePong:
		return new(Pong)
	case TypeGossip:
		return new(Gossip)
	case TypeConfigPull:
		return new(ConfigPull)
	case TypeConfigPush:
		return new(ConfigPush)
	case TypeLeaving:
		return new(Leaving)
	case TypeEvidence:
		return new(Evidence)
	case TypeOrder:
		return new(Order)
	case TypeOrderDone:
		return new(OrderDone)
	case TypeClaims:
		return new(Claims)
	case TypeClaimsDone:
		return new(ClaimsDone)
	case TypeFleetState:
		return new(FleetState)
	case TypeStorePull:
		return new(StorePull)
	case TypeStorePush:
		return new(StorePush)
	case TypeStoreFetch:
		return new(StoreFetch)
	case TypeStoreChunk:
		return new(StoreChunk)
	case TypeUsageCounts:
		return new(UsageCounts)
	default:
		return nil
	}
}
