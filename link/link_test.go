package link

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func connPair(t *testing.T) (*Conn, *Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	a, err := Dialer(time.Second).Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	b, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	x, y := NewConn(a), NewConn(b)
	t.Cleanup(func() { x.Close(); y.Close() })
	return x, y
}

// Guards against messages that are lost, reordered or altered.
func TestMessagesArriveInOrder(t *testing.T) {
	a, b := connPair(t)
	for i := range uint64(200) {
		qt.Assert(t, a.Send(&Commands{Sequence: i, Starts: []Start{{Task: TaskID{Job: "j", Index: uint16(i)}, Attempt: 2, Spec: "s"}}}), qt.IsNil)
	}
	for i := range uint64(200) {
		var c Commands
		qt.Assert(t, b.Read(&c), qt.IsNil)
		qt.Assert(t, c.Sequence, qt.Equals, i)
		qt.Assert(t, c.Starts[0].Task.Index, qt.Equals, uint16(i))
	}
}

// Guards against unbounded memory use when messages for a peer that does not read
// are queued without limit. The pipe holds no bytes, so that the send goroutine
// blocks in its first write, with at most one full queue in its batch.
func TestFullSendQueueClosesTheConnection(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	a := NewConn(client)
	defer a.Close()
	var err error
	accepted := 0
	for ; accepted <= 2*sendQueueFrames+1; accepted++ {
		if err = a.Send(&Commands{}); err != nil {
			break
		}
	}
	qt.Assert(t, err, qt.ErrorMatches, "send queue full: 256 frames")
	qt.Assert(t, accepted >= sendQueueFrames, qt.IsTrue, qt.Commentf("%d frames were accepted", accepted))
	qt.Assert(t, a.Send(&Commands{}), qt.IsNotNil)
	_, err = client.Write(nil)
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("the connection is still open"))
}

// Guards against a connection that stays open after a malformed frame.
func TestMalformedFramesCloseTheConnection(t *testing.T) {
	for name, bytes := range map[string][]byte{
		"too large": {0xff, 0xff, 0xff, 0xff}, "invalid MessagePack": {0, 0, 0, 1, 0xc1}, "truncated": {0, 0, 0, 9, 1},
	} {
		c, s := net.Pipe()
		go func() { _, _ = c.Write(bytes); _ = c.Close() }()
		conn := NewConn(s)
		var commands Commands
		qt.Assert(t, conn.Read(&commands), qt.IsNotNil, qt.Commentf("%s", name))
		qt.Assert(t, conn.Send(&commands), qt.IsNotNil)
	}
}

// Guards against a peer that takes memory by declaring a length, or by a long first message.
func TestFramesAreReadAsTheyArrive(t *testing.T) {
	r := &countingReader{arriving: 100_000}
	_, err := readBytes(r, maxFrameBytes)
	qt.Assert(t, err, qt.Equals, io.ErrUnexpectedEOF)
	qt.Assert(t, r.largest <= 2*r.arriving, qt.IsTrue, qt.Commentf("asked for %d bytes after at most %d", r.largest, r.arriving))

	long, err := AppendFrame(nil, &Commands{Stops: slices.Repeat([]Stop{{Task: TaskID{Job: randomSpec(40)}}}, 1000)})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(long) > frameChunkBytes, qt.IsTrue)
	var got Commands
	qt.Assert(t, ReadFrame(bufio.NewReader(bytes.NewReader(long)), &got), qt.IsNil)
	qt.Assert(t, got.Stops, qt.HasLen, 1000)

	a, b := connPair(t)
	qt.Assert(t, a.Send(&Hello{Entry: randomSpec(5000)}), qt.IsNil)
	qt.Assert(t, b.ReadFirst(&Hello{}), qt.ErrorMatches, ".*exceeds the limit of 4096")
}

// countingReader is a reader whose bytes end early. It notes the most bytes it was asked for.
type countingReader struct{ arriving, arrived, largest int }

func (g *countingReader) Read(p []byte) (int, error) {
	g.largest = max(g.largest, len(p))
	n := min(len(p), g.arriving-g.arrived)
	if n == 0 {
		return 0, io.EOF
	}
	g.arrived += n
	return n, nil
}
