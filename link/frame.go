package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
)

const (
	// maxFrameBytes bounds the body of a frame, in bytes. A frame can hold 1,000
	// starts of 4 KB each.
	maxFrameBytes = 4 << 20
	// maxFirstFrameBytes bounds the body of the first frame of a connection, in bytes. Its
	// sender is not known, and Hello and Welcome have less than 300.
	maxFirstFrameBytes = 4 << 10
	// frameChunkBytes is what is allocated for a frame before any of it has arrived, in
	// bytes: most frames are smaller.
	frameChunkBytes = 16 << 10
	headerBytes     = 4
)

// Message is a message that can be sent over a Conn.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// AppendFrame appends the frame of m to b: the length of the encoding as four
// bytes in big-endian order, then the encoding. The specs of Commands are packed unless
// that was done before.
func AppendFrame(b []byte, m Message) ([]byte, error) {
	if c, ok := m.(*Commands); ok && len(c.Starts) > 0 && len(c.Specs) == 0 {
		if err := new(SpecPacker).Pack(c); err != nil {
			return b, err
		}
	}
	start := len(b)
	b = append(b, 0, 0, 0, 0)
	b, err := m.MarshalMsg(b)
	if err != nil {
		return b[:start], errors.Wrapf(err, "encode %T", m)
	}
	n := len(b) - start - headerBytes
	if n > maxFrameBytes {
		return b[:start], errors.Errorf("%T of %d bytes exceeds the limit of %d", m, n, maxFrameBytes)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(n))
	return b, nil
}

// ReadFrame reads one frame into m. It returns io.EOF if r is at its end.
func ReadFrame(r *bufio.Reader, m Message) error { return readFrame(r, m, maxFrameBytes) }

// readFrame is ReadFrame for a frame whose body has at most limit bytes.
func readFrame(r *bufio.Reader, m Message, limit uint32) error {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > limit {
		return errors.Errorf("%T of %d bytes exceeds the limit of %d", m, n, limit)
	}
	body, err := readBytes(r, int(n))
	if err != nil {
		return errors.Wrapf(err, "read %T", m)
	}
	rest, err := m.UnmarshalMsg(body)
	if err != nil {
		return errors.Wrapf(err, "decode %T", m)
	}
	if len(rest) > 0 {
		return errors.Errorf("%T has %d extra bytes", m, len(rest))
	}
	if v, ok := m.(interface{ validate() error }); ok {
		if err := v.validate(); err != nil {
			return errors.Wrapf(err, "%T", m)
		}
	}
	if c, ok := m.(*Commands); ok {
		return c.unpackSpecs()
	}
	return nil
}

// readBytes reads n bytes. At most frameChunkBytes, or twice what has arrived, is
// allocated: the length is only what the peer declares.
func readBytes(r io.Reader, n int) ([]byte, error) {
	var b []byte
	for len(b) < n {
		arrived := len(b)
		b = slices.Grow(b, min(n-arrived, max(arrived, frameChunkBytes)))
		b = b[:min(n, cap(b))]
		if _, err := io.ReadFull(r, b[arrived:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return b, nil
}
