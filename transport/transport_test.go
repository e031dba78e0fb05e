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

type connPair struct {
	server, client *Conn
	proxy          *lossyProxy
}

// newConnPair connects a client to a server through a UDP proxy that can drop packets.
func newConnPair(t *testing.T) connPair {
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
	proxy := newLossyProxy(t, l.Addr())
	client, w, err := Dial(context.Background(), proxy.addr(), agent, &wire.Hello{Role: RoleAgent, Name: "w1"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.Name, qt.Equals, "e1")
	server := <-servers
	t.Cleanup(func() { client.Close(nil); server.Close(nil) })
	return connPair{server, client, proxy}
}

// lossyProxy forwards UDP packets between one client and a server, and drops all
// of them while drop is set.
type lossyProxy struct {
	clientSide, serverSide *net.UDPConn
	client                 atomic.Pointer[net.UDPAddr]
	drop                   atomic.Bool
}

func newLossyProxy(t *testing.T, server string) *lossyProxy {
	t.Helper()
	sa, err := net.ResolveUDPAddr("udp", server)
	qt.Assert(t, err, qt.IsNil)
	clientSide, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	serverSide, err := net.DialUDP("udp", nil, sa)
	qt.Assert(t, err, qt.IsNil)
	p := &lossyProxy{clientSide: clientSide, serverSide: serverSide}
	t.Cleanup(func() { _ = clientSide.Close(); _ = serverSide.Close() })
	go p.toServer()
	go p.toClient()
	return p
}

func (p *lossyProxy) addr() string { return p.clientSide.LocalAddr().String() }

func (p *lossyProxy) toServer() {
	b := make([]byte, 65536)
	for {
		n, a, err := p.clientSide.ReadFromUDP(b)
		if err != nil {
			return
		}
		p.client.Store(a)
		if !p.drop.Load() {
			_, _ = p.serverSide.Write(b[:n])
		}
	}
}

func (p *lossyProxy) toClient() {
	b := make([]byte, 65536)
	for {
		n, err := p.serverSide.Read(b)
		if err != nil {
			return
		}
		if a := p.client.Load(); a != nil && !p.drop.Load() {
			_, _ = p.clientSide.WriteToUDP(b[:n], a)
		}
	}
}

// Guards against lost or reordered messages on a working connection.
func TestMessagesArriveInOrder(t *testing.T) {
	p := newConnPair(t)
	const n = 500
	go func() {
		for i := range n {
			for p.client.Send(&wire.Settle{Task: uint16(i)}) == ErrSendQueueFull {
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

// Guards against replies that are delivered to the wrong request.
func TestCallReturnsItsOwnReply(t *testing.T) {
	p := newConnPair(t)
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

// Guards against a connection that stays open although the path no longer
// delivers packets, for example after a NAT device has lost its state.
func TestUnresponsiveConnectionIsClosed(t *testing.T) {
	p := newConnPair(t)
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
	p.client.AddPendingReplies(1)
	time.Sleep(ProbeDelay + ProbeTimeout + 500*time.Millisecond)
	qt.Assert(t, p.client.Err(), qt.IsNil, qt.Commentf("the connection was closed although the peer answers probes"))
	p.proxy.drop.Store(true)
	select {
	case <-p.client.Done():
		qt.Assert(t, p.client.Err(), qt.Equals, ErrPeerUnresponsive)
	case <-time.After(2 * (ProbeDelay + ProbeTimeout)):
		t.Fatal("the connection is still open after an unanswered probe")
	}
}

// Guards against an idle connection that stays open on the dialing side although
// the path no longer delivers packets, and against closing an idle connection that
// works.
func TestIdleConnectionIsProbed(t *testing.T) {
	p := newConnPair(t)
	for _, c := range []*Conn{p.client, p.server} {
		go func() { _, _ = c.Receive() }()
	}
	p.client.prober.watchIdle(100 * time.Millisecond)
	time.Sleep(ProbeTimeout + time.Second)
	qt.Assert(t, p.client.Err(), qt.IsNil)
	p.proxy.drop.Store(true)
	select {
	case <-p.client.Done():
	case <-time.After(2 * ProbeTimeout):
		t.Fatal("the idle connection is still open after an unanswered probe")
	}
	qt.Assert(t, p.client.Err(), qt.Equals, ErrPeerUnresponsive)
}

// Guards against accepting a process that claims the role of an entry but has the
// certificate of an agent.
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
