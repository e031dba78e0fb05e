package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
)

const (
	// MaxFrameBytes bounds the type and body of a frame, in bytes. It is large enough
	// for a roster and for a submission with all its tasks.
	MaxFrameBytes = 4 << 20
	headerBytes   = 5
)

// ErrFrameTooLarge says that a frame exceeds MaxFrameBytes.
var ErrFrameTooLarge = errors.New("frame exceeds the size limit")

// Message is implemented by all messages of this package.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Sizer
	// MessageType returns the type number that identifies the message in a frame.
	MessageType() Type
}

// AppendFrame appends the frame of m to b: the length of type and body as four
// bytes in big-endian order, the type as one byte, then the body.
func AppendFrame(b []byte, m Message) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, 0, 0, byte(m.MessageType()))
	b, err := m.MarshalMsg(b)
	if err != nil {
		return b[:start], errors.Wrapf(err, "encode message type %d", m.MessageType())
	}
	n := len(b) - start - headerBytes + 1
	if n > MaxFrameBytes {
		return b[:start], ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(b[start:], uint32(n))
	return b, nil
}

// ReadFrame reads one message from r. It returns io.EOF if r is at its end, and
// ErrFrameTooLarge without reading the body if the frame is too large.
func ReadFrame(r *bufio.Reader) (Message, error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:4]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(h[:4])
	if n > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	if n == 0 {
		return nil, errors.New("frame without a message type")
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Wrap(err, "read frame body")
	}
	return decode(Type(body[0]), body[1:])
}

func decode(t Type, body []byte) (Message, error) {
	m := newMessage(t)
	if m == nil {
		return nil, errors.Errorf("unknown message type %d", t)
	}
	rest, err := m.UnmarshalMsg(body)
	if err != nil {
		return nil, errors.Wrapf(err, "decode message type %d", t)
	}
	if len(rest) > 0 {
		return nil, errors.Errorf("message type %d has %d extra bytes", t, len(rest))
	}
	return m, nil
}

func newMessage(t Type) Message {
	switch t {
	case TypeHello:
		return &Hello{}
	case TypeWelcome:
		return &Welcome{}
	case TypeStart:
		return &Start{}
	case TypeResult:
		return &Result{}
	case TypeSettle:
		return &Settle{}
	case TypeSettled:
		return &Settled{}
	case TypeLoadReport:
		return &LoadReport{}
	case TypeFence:
		return &Fence{}
	case TypeFenceAck:
		return &FenceAck{}
	case TypeWorkerConfig:
		return &WorkerConfig{}
	case TypePing:
		return &Ping{}
	case TypePong:
		return &Pong{}
	case TypeForward:
		return &Forward{}
	case TypeForwardReply:
		return &ForwardReply{}
	case TypeHandover:
		return &Handover{}
	case TypeHandoverAck:
		return &HandoverAck{}
	case TypeDeparture:
		return &Departure{}
	case TypeDepartureAck:
		return &DepartureAck{}
	case TypeRosterUpdate:
		return &RosterUpdate{}
	}
	return nil
}
