package transport

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/wire"
)

type pair struct {
	server, client *Conn
	cut            *cutter
}

// newPair connects a client to a server through a forwarding socket that can
// drop packets.
func newPair(t *testing.T) pair {
	t.Helper()
	dir := t.TempDir()
	qt.Assert(t, WriteDevCertificates(dir), qt.IsNil)
	entry, err := LoadCredentials(DevFiles(dir, RoleEntry))
	qt.Assert(t, err, qt.IsNil)
	agent, err := LoadCredentials(DevFiles(dir, RoleAgent))
	qt.Assert(t, err, qt.IsNil)
	l, err := Listen("127.0.0.1:0", entry)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	servers := make(chan *Conn, 1)
	go func() {
		_ = l.Serve(context.Background(), func(p *Pending) {
			c, err := p.Accept(&wire.Welcome{Name: "e1"})
			if err == nil {
				servers <- c
			}
		})
	}()
	cut := newCutter(t, l.Addr())
	client, w, err := Dial(context.Background(), cut.addr(), agent, &wire.Hello{Role: RoleAgent, Name: "w1"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.Name, qt.Equals, "e1")
	server := <-servers
	t.Cleanup(func() { client.Close(nil); server.Close(nil) })
	return pair{server, client, cut}
}

// cutter forwards UDP packets between one client and a server.
type cutter struct {
	front, back *net.UDPConn
	client      atomic.Pointer[net.UDPAddr]
	drop        atomic.Bool
}

func newCutter(t *testing.T, server string) *cutter {
	t.Helper()
	sa, err := net.ResolveUDPAddr("udp", server)
	qt.Assert(t, err, qt.IsNil)
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	back, err := net.DialUDP("udp", nil, sa)
	qt.Assert(t, err, qt.IsNil)
	c := &cutter{front: front, back: back}
	t.Cleanup(func() { _ = front.Close(); _ = back.Close() })
	go c.forward()
	go c.backward()
	return c
}

func (c *cutter) addr() string { return c.front.LocalAddr().String() }

func (c *cutter) forward() {
	b := make([]byte, 65536)
	for {
		n, a, err := c.front.ReadFromUDP(b)
		if err != nil {
			return
		}
		c.client.Store(a)
		if !c.drop.Load() {
			_, _ = c.back.Write(b[:n])
		}
	}
}

func (c *cutter) backward() {
	b := make([]byte, 65536)
	for {
		n, err := c.back.Read(b)
		if err != nil {
			return
		}
		if a := c.client.Load(); a != nil && !c.drop.Load() {
			_, _ = c.front.WriteToUDP(b[:n], a)
		}
	}
}

// Guards against lost or reordered messages on a working connection.
func TestMessagesArriveInOrder(t *testing.T) {
	p := newPair(t)
	const n = 500
	go func() {
		for i := range n {
			for p.client.Send(&wire.Settle{Task: uint16(i)}) == ErrRingFull {
				time.Sleep(time.Millisecond)
			}
		}
	}()
	for i := range n {
		m, err := p.server.Receive()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, m.(*wire.Settle).Task, qt.Equals, uint16(i))
	}
}

// Guards against a reply that reaches another request.
func TestCallReturnsItsOwnReply(t *testing.T) {
	p := newPair(t)
	go p.server.ServeCalls(func(_ context.Context, m wire.Message) wire.Message {
		return &wire.HandoverAck{RosterVersion: m.(*wire.Handover).RosterVersion}
	})
	errs := make(chan error, 20)
	for i := range 20 {
		go func() {
			m, err := p.client.Call(context.Background(), &wire.Handover{RosterVersion: uint64(i)})
			if err == nil && m.(*wire.HandoverAck).RosterVersion != uint64(i) {
				t.Errorf("request %d got the reply %+v", i, m)
			}
			errs <- err
		}()
	}
	for range 20 {
		qt.Assert(t, <-errs, qt.IsNil)
	}
}

// Guards against a connection that stays open for good after something between
// the ends has lost track of it.
func TestSilentConnectionIsClosed(t *testing.T) {
	p := newPair(t)
	go func() {
		for {
			if _, err := p.client.Receive(); err != nil {
				return
			}
		}
	}()
	go func() {
		for {
			if _, err := p.server.Receive(); err != nil {
				return
			}
		}
	}()
	p.client.Expect(1)
	time.Sleep(ProbeAfter + SilentAfter + 500*time.Millisecond)
	qt.Assert(t, p.client.Err(), qt.IsNil, qt.Commentf("a peer that answers probes is not silent"))
	p.cut.drop.Store(true)
	select {
	case <-p.client.Done():
		qt.Assert(t, p.client.Err(), qt.Equals, ErrSilent)
	case <-time.After(2 * (ProbeAfter + SilentAfter)):
		t.Fatal("the silent connection is still open")
	}
}

// Guards against an idle connection that stays open at the end that dialed it
// after the path has lost it, and against one that is closed while it works.
func TestIdleConnectionIsProbed(t *testing.T) {
	p := newPair(t)
	for _, c := range []*Conn{p.client, p.server} {
		go func() { _, _ = c.Receive() }()
	}
	p.client.probe.watchIdle(100 * time.Millisecond)
	time.Sleep(SilentAfter + time.Second)
	qt.Assert(t, p.client.Err(), qt.IsNil)
	p.cut.drop.Store(true)
	select {
	case <-p.client.Done():
	case <-time.After(2 * SilentAfter):
		t.Fatal("the connection is still open")
	}
	qt.Assert(t, p.client.Err(), qt.Equals, ErrSilent)
}

// Guards against an agent certificate that is used to pose as an entry.
func TestRoleIsChecked(t *testing.T) {
	dir := t.TempDir()
	qt.Assert(t, WriteDevCertificates(dir), qt.IsNil)
	agent, err := LoadCredentials(DevFiles(dir, RoleAgent))
	qt.Assert(t, err, qt.IsNil)
	entry, err := LoadCredentials(DevFiles(dir, RoleEntry))
	qt.Assert(t, err, qt.IsNil)
	l, err := Listen("127.0.0.1:0", entry)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go func() { _ = l.Serve(context.Background(), func(p *Pending) { _, _ = p.Accept(&wire.Welcome{}) }) }()
	_, _, err = Dial(context.Background(), l.Addr(), agent, &wire.Hello{Role: RoleEntry})
	qt.Assert(t, err, qt.ErrorMatches, `.*certificate does not carry the role "entry"`)
}
