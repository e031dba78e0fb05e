package abusetest

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sesamelift/sesamelift/link"
)

const (
	// writeBytes is the size of a write. It is small enough for progress to show.
	writeBytes = 16 << 10
	// pieceBytes is the size of a piece of a body that is sent piece by piece.
	pieceBytes = 8 << 10
	// longHeadBytes exceeds the 64 KiB, with 4 KiB of tolerance, that servers of the
	// platform's programs allowed before the work of docs/hard-load.md, unfinishedHeadBytes
	// is below.
	longHeadBytes       = 72 << 10
	unfinishedHeadBytes = 60000
	// wholeEvery is the share of connections that send a body to its end: one in wholeEvery.
	wholeEvery = 8
	// shortBodyBytes is where bodies in one-byte chunks stop, in bytes. It exceeds
	// the 16 KiB above which an unfinished request counts as large.
	shortBodyBytes = 20000
	// heartbeatBytes is the limit of a heartbeat and of a frame.
	heartbeatBytes = 4 << 20
)

// abuser is one connection of an abusive client.
type abuser struct {
	conn     net.Conn
	instance *instance
	// number is unique among the connections of a test.
	number int
	// written counts the bytes that all connections of a test have written.
	written *atomic.Int64
}

// send reports whether the peer has accepted all bytes.
func (a *abuser) send(b []byte) bool {
	for len(b) > 0 {
		n, err := a.conn.Write(b[:min(len(b), writeBytes)])
		a.written.Add(int64(n))
		if err != nil {
			return false
		}
		b = b[n:]
	}
	return true
}

// end returns where the connection stops within n bytes: most stop one byte short.
func (a *abuser) end(n int) int {
	if a.number%wholeEvery == 0 {
		return n
	}
	return n - 1
}

// requestHead returns a request's head with another header field.
func (a *abuser) requestHead(field string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n\r\n", a.instance.path(a.number), hostName, a.instance.fields(a.number), field)
}

// kind is a kind of abusive client. Its connections stay open after write has returned.
type kind struct {
	name        string
	connections int
	write       func(a *abuser)
}

var (
	longHead, unfinishedHead = headLines(longHeadBytes), headLines(unfinishedHeadBytes)
	moreFields               = bytes.Repeat([]byte("Field: value\r\n"), 1000)
	emptyLines               = bytes.Repeat([]byte("\r\n"), writeBytes/2)
	firstFrame               = make([]byte, heartbeatBytes)
)

// The connections of kinds that hold descriptors exceed maxDescriptors. 300 bodies of
// 250,000 bytes, or 40 of 4 MiB, need more memory than memoryMB when each is held whole.
var httpKinds = []kind{
	{"head over the limit", 700, func(a *abuser) {
		if a.send(longHead) {
			a.send([]byte("\r\n"))
		}
	}},
	{"head without end", 700, func(a *abuser) {
		for ok := a.send(longHead); ok; ok = a.send(moreFields) {
		}
	}},
	{"unfinished head", 700, func(a *abuser) { a.send(unfinishedHead) }},
	{"empty lines", 700, func(a *abuser) {
		for a.send(emptyLines) {
		}
	}},
	{"body in one piece", 300, func(a *abuser) {
		body := a.instance.body
		a.send(append(a.requestHead(fmt.Sprintf("Content-Length: %d", len(body))), body[:a.end(len(body))]...))
	}},
	{"body in pieces", 300, func(a *abuser) {
		body := a.instance.body
		ok := a.send(a.requestHead(fmt.Sprintf("Content-Length: %d", len(body))))
		for rest := body[:a.end(len(body))]; ok && len(rest) > 0; time.Sleep(time.Millisecond) {
			n := min(len(rest), pieceBytes)
			ok, rest = a.send(rest[:n]), rest[n:]
		}
	}},
	{"body in large chunks", 300, func(a *abuser) {
		encoded := a.instance.largeChunks
		if a.send(a.requestHead("Transfer-Encoding: chunked")) {
			a.send(encoded[:a.end(len(encoded))])
		}
	}},
	{"body in one-byte chunks", 150, func(a *abuser) {
		encoded := a.instance.smallChunks
		if a.end(len(encoded)) < len(encoded) {
			encoded = encoded[:shortBodyBytes*len("1\r\nx\r\n")]
		}
		if a.send(a.requestHead("Transfer-Encoding: chunked")) {
			a.send(encoded)
		}
	}},
}

var heartbeatKind = kind{"heartbeat of 4 MiB", 40, func(a *abuser) {
	body := append(bytes.Clone(a.instance.body), bytes.Repeat([]byte(" "), heartbeatBytes-len(a.instance.body))...)
	if a.send(a.requestHead(fmt.Sprintf("Content-Length: %d", heartbeatBytes))) {
		a.send(body[:a.end(len(body))])
	}
}}

var linkKinds = []kind{
	{"no hello", 700, func(*abuser) {}},
	{"frame of 4 MiB declared", 700, func(a *abuser) { a.send([]byte{0, 0x40, 0, 0, 0}) }},
	{"first frame of 4 MiB", 40, func(a *abuser) {
		if a.send([]byte{0, 0x40, 0, 0}) {
			a.send(firstFrame[:a.end(len(firstFrame))])
		}
	}},
	{"frame of 4 MiB declared after hello", 300, func(a *abuser) {
		hello, err := link.AppendFrame(nil, &link.Hello{Protocol: link.Protocol, Entry: fmt.Sprintf("e%d", a.number), Incarnation: uint64(a.number)})
		if err == nil && a.send(hello) {
			a.send([]byte{0, 0x40, 0, 0, 0})
		}
	}},
}

// headLines returns at least n bytes of a head that has not ended.
func headLines(n int) []byte {
	head := []byte("GET / HTTP/1.1\r\nHost: " + hostName + "\r\n")
	for i := 0; len(head) < n; i++ {
		head = fmt.Appendf(head, "Field-%d: %s\r\n", i, strings.Repeat("x", 200))
	}
	return head
}

// chunks encodes a body in chunks of n bytes, with the last chunk and the end.
func chunks(body []byte, n int) []byte {
	var encoded []byte
	for chunk := range slices.Chunk(body, n) {
		encoded = append(strconv.AppendInt(encoded, int64(len(chunk)), 16), "\r\n"...)
		encoded = append(append(encoded, chunk...), "\r\n"...)
	}
	return append(encoded, "0\r\n\r\n"...)
}
