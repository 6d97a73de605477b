package link

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/door"
)

const freeFrame = 1 << 10 // bytes of a frame that are not counted; most frames are heartbeats

// readMessage reads the next message. The memory of its frame and its decompressed text is counted as it is needed; a link that
// stalls within a frame is closed in favour of others.
func (c *Conn) readMessage() (control.Message, error) {
	_, in, err := c.ws.NextReader()
	if err != nil {
		return nil, err
	}
	if c.memory == nil {
		frame, err := io.ReadAll(in)
		if err != nil {
			return nil, err
		}
		return Decode(frame)
	}
	hold := c.memory.Open(c.closeNow)
	defer hold.Release()
	frame, err := readFrame(in, hold)
	if err != nil {
		return nil, err
	}
	size, err := decodedSize(frame)
	if err != nil {
		return nil, err
	}
	if size > freeFrame {
		if err := hold.Take(door.Bytes(size)); err != nil {
			return nil, errors.Wrap(err, "decompress message")
		}
	}
	return Decode(frame)
}

// readFrame reads a frame into a buffer that grows as bytes arrive.
func readFrame(in io.Reader, hold *door.Hold) ([]byte, error) {
	frame := make([]byte, 0, freeFrame)
	for {
		if len(frame) == cap(frame) {
			next, _ := door.Capacity(int64(len(frame)), -1, MaxFrameBytes)
			if err := hold.Take(door.Bytes(next) - door.Bytes(cap(frame))); err != nil {
				return nil, err
			}
			frame = append(make([]byte, 0, next), frame...)
		}
		n, err := in.Read(frame[len(frame):cap(frame)])
		frame = frame[:len(frame)+n]
		hold.Progress(n)
		switch {
		case errors.Is(err, io.EOF):
			return frame, hold.Pin()
		case err != nil:
			return nil, err
		}
	}
}
