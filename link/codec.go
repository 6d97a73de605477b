package link

import (
	"fmt"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
	"github.com/ugorji/go/codec"

	"github.com/cassialead/cassialead/control"
)

const (
	// MaxFrameBytes is the maximum size of a received frame.
	MaxFrameBytes      = 4 << 20
	maxMessageBytes    = 16 << 20 // after decompression
	compressThreshold  = 512      // bytes; smaller messages do not compress well
	headerBytes        = 2        // kind and encoding
	encodingPlain      = 0
	encodingZstd       = 1
	maxDecodeDepth     = 32
	maxInitialElements = 4096 // elements allocated before they are decoded
)

// messageKind is the first byte of a frame; values are never reused.
type messageKind byte

const (
	kindHello messageKind = iota + 1
	kindWelcome
	kindHeartbeat
	kindConfigUpdate
	kindSnapshotRequest
	kindRecords
	kindDigests
	kindAck
	kindSuspect
)

// Errors returned by Decode.
var (
	// ErrMalformed is returned for a frame that cannot be decoded.
	ErrMalformed = errors.New("malformed frame")
	// ErrUnknownKind is returned for a message kind of a later release; the frame can be skipped.
	ErrUnknownKind = errors.New("unknown message kind")
)

var (
	cborHandle  = newCBORHandle()
	zstdEncoder = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithWindowSize(1<<20)))
	zstdDecoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxMessageBytes)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func newCBORHandle() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.Canonical = true
	h.MaxDepth = maxDecodeDepth
	h.MaxInitLen = maxInitialElements
	h.MapType = reflect.TypeOf(map[string]any(nil))
	return h
}

func kindOf(m control.Message) messageKind {
	switch m.(type) {
	case control.Hello:
		return kindHello
	case control.Welcome:
		return kindWelcome
	case control.Heartbeat:
		return kindHeartbeat
	case control.ConfigUpdate:
		return kindConfigUpdate
	case control.SnapshotRequest:
		return kindSnapshotRequest
	case control.Records:
		return kindRecords
	case control.Digests:
		return kindDigests
	case control.Ack:
		return kindAck
	case control.Suspect:
		return kindSuspect
	}
	return 0
}

// Encode encodes a message as a frame, compressed with zstd if it is large.
func Encode(m control.Message) ([]byte, error) {
	var body []byte
	if err := codec.NewEncoderBytes(&body, cborHandle).Encode(m); err != nil {
		return nil, errors.Wrapf(err, "encode %T", m)
	}
	frame := []byte{byte(kindOf(m)), encodingPlain}
	if len(body) <= compressThreshold {
		return append(frame, body...), nil
	}
	frame[1] = encodingZstd
	return zstdEncoder.EncodeAll(body, frame), nil
}

// Decode decodes a frame; its error is ErrMalformed or ErrUnknownKind.
func Decode(frame []byte) (control.Message, error) {
	if len(frame) < headerBytes {
		return nil, errors.Wrap(ErrMalformed, "frame shorter than its header")
	}
	body := frame[headerBytes:]
	switch frame[1] {
	case encodingPlain:
	case encodingZstd:
		var err error
		if body, err = zstdDecoder.DecodeAll(body, nil); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformed, errors.Wrap(err, "decompress"))
		}
	default:
		return nil, errors.Wrapf(ErrMalformed, "unsupported frame encoding %d", frame[1])
	}
	switch messageKind(frame[0]) {
	case kindHello:
		return decode[control.Hello](body)
	case kindWelcome:
		return decode[control.Welcome](body)
	case kindHeartbeat:
		return decode[control.Heartbeat](body)
	case kindConfigUpdate:
		return decode[control.ConfigUpdate](body)
	case kindSnapshotRequest:
		return decode[control.SnapshotRequest](body)
	case kindRecords:
		return decode[control.Records](body)
	case kindDigests:
		return decode[control.Digests](body)
	case kindAck:
		return decode[control.Ack](body)
	case kindSuspect:
		return decode[control.Suspect](body)
	}
	return nil, errors.Wrapf(ErrUnknownKind, "message kind %d", frame[0])
}

func decode[M control.Message](body []byte) (m control.Message, err error) {
	// The codec panics on some malformed input.
	defer func() {
		if r := recover(); r != nil {
			m, err = nil, errors.Wrapf(ErrMalformed, "decoder panic: %v", r)
		}
	}()
	var v M
	if err := codec.NewDecoderBytes(body, cborHandle).Decode(&v); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, errors.Wrap(err, "decode"))
	}
	return v, nil
}

// decodedSize returns the memory in bytes that Decode needs for a frame besides the message; its error is ErrMalformed.
func decodedSize(frame []byte) (uint64, error) {
	if len(frame) < headerBytes || frame[1] != encodingZstd {
		return 0, nil
	}
	var h zstd.Header
	if err := h.Decode(frame[headerBytes:]); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrMalformed, errors.Wrap(err, "decompress"))
	}
	if !h.HasFCS {
		return maxMessageBytes, nil
	}
	if h.FrameContentSize > maxMessageBytes {
		return 0, errors.Wrap(ErrMalformed, "message is too long")
	}
	return h.FrameContentSize, nil
}
