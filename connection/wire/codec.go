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

// headerBytes is the length field, the type and the stream number.
const headerBytes = 4 + 1 + 4

// minBodyLength is the smallest value of the length field: type, stream number and an empty map.
const minBodyLength = 1 + 4 + 1

// ErrFrame is wrapped by every error that is due to the bytes of a frame rather than to the connection.
var ErrFrame = errors.New("bad frame")

// Frame is one decoded frame.
type Frame struct {
	Stream  uint32
	Message Message
	// Bytes is the encoded size, including the header.
	Bytes int
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Encode returns the frame of a message. It fails with ErrFrame if the frame would exceed MaxFrameBytes.
func Encode(stream uint32, m Message) ([]byte, error) {
	buf := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(buf)
	buf.Reset()
	var header [headerBytes]byte
	buf.Write(header[:])
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(m); err != nil {
		return nil, trace.Wrap(err)
	}
	length := buf.Len() - 4
	if length > MaxFrameBytes {
		return nil, trace.Wrap(fmt.Errorf("%w: %T of %d bytes exceeds %d", ErrFrame, m, length, MaxFrameBytes))
	}
	frame := bytes.Clone(buf.Bytes())
	binary.BigEndian.PutUint32(frame, uint32(length))
	frame[4] = byte(m.Type())
	binary.BigEndian.PutUint32(frame[5:], stream)
	return frame, nil
}

// Read reads one frame. Errors that are due to the frame's content wrap ErrFrame; others are those of r, io.EOF at the end
// of the stream between two frames.
func Read(r io.Reader) (Frame, error) {
	var length [4]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n < minBodyLength || n > MaxFrameBytes {
		return Frame{}, fmt.Errorf("%w: length %d is outside %d to %d", ErrFrame, n, minBodyLength, MaxFrameBytes)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		if errors.Is(err, io.EOF) {
			return Frame{}, io.ErrUnexpectedEOF
		}
		return Frame{}, err
	}
	m, err := Decode(Type(body[0]), body[5:])
	if err != nil {
		return Frame{}, err
	}
	return Frame{Stream: binary.BigEndian.Uint32(body[1:]), Message: m, Bytes: int(n) + 4}, nil
}

// Decode decodes the msgpack body of a frame. A type that this version does not know gives a nil message and no error, so
// that a newer peer's frames are skipped.
func Decode(t Type, body []byte) (Message, error) {
	m := newMessage(t)
	if m == nil {
		return nil, nil
	}
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("%w: type %d: %v", ErrFrame, t, err)
	}
	return m, nil
}

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
	default:
		return nil
	}
}
