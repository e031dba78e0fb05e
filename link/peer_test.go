package link

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a message that is acted on although its sender has closed or reset the
// connection, and against a connection that is taken for ended because nothing, or more
// than one message, is waiting to be read.
func TestPeerGone(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(own, peer *net.TCPConn) error
		want bool
	}{
		"open":       {func(_, _ *net.TCPConn) error { return nil }, false},
		"closed":     {func(_, peer *net.TCPConn) error { return peer.Close() }, true},
		"half":       {func(_, peer *net.TCPConn) error { return peer.CloseWrite() }, true},
		"own closed": {func(own, _ *net.TCPConn) error { return own.Close() }, true},
		"reset": {func(_, peer *net.TCPConn) error {
			if err := DropUndelivered(peer); err != nil {
				return err
			}
			return peer.Close()
		}, true},
	} {
		for _, unread := range []string{"", "unread data"} {
			t.Run(name+" "+unread, func(t *testing.T) {
				c := qt.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				defer l.Close()
				peer, err := net.Dial("tcp", l.Addr().String())
				c.Assert(err, qt.IsNil)
				defer peer.Close()
				own, err := l.Accept()
				c.Assert(err, qt.IsNil)
				defer own.Close()
				_, err = peer.Write([]byte(unread))
				c.Assert(err, qt.IsNil)
				c.Assert(PeerGone(own.(*net.TCPConn)), qt.IsFalse)
				c.Assert(tc.end(own.(*net.TCPConn), peer.(*net.TCPConn)), qt.IsNil)
				for end := time.Now().Add(time.Second); tc.want && !PeerGone(own.(*net.TCPConn)) && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				c.Assert(PeerGone(own.(*net.TCPConn)), qt.Equals, tc.want)
			})
		}
	}
}
