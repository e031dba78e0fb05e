package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/sesamelift/sesamelift/wire"
)

const (
	// alpn is the protocol name for the ALPN extension of TLS.
	alpn = "sesamelift/1"
	// handshakeTimeout bounds the QUIC handshake and the exchange of Hello and
	// Welcome.
	handshakeTimeout = 3 * time.Second
	// keepAlive is the interval of QUIC keep-alives, which keep NAT bindings open on
	// idle connections. It is longer than IdleProbeInterval, so that a connection
	// whose probes do this already sends no keep-alives.
	keepAlive   = 25 * time.Second
	idleTimeout = 60 * time.Second
	// Receive windows, in bytes. They bound the memory of a connection.
	initialStreamWindow = 64 << 10
	maxStreamWindow     = 4 << 20
	// maxConcurrentCalls bounds the concurrent requests of a peer. Each job that
	// is forwarded to its owner occupies one until it is answered.
	maxConcurrentCalls = 4096
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: 2 * initialStreamWindow,
		MaxConnectionReceiveWindow:     2 * maxStreamWindow,
		MaxIncomingStreams:             maxConcurrentCalls,
		MaxIncomingUniStreams:          -1,
		// Path MTU discovery raised the traffic of 100 idle connections from 0.3 to
		// 6.9 KB/s in each direction over their first 40 s.
		DisablePathMTUDiscovery: true,
	}
}

// RefusedError reports that the peer refused a connection, and its reason.
type RefusedError struct{ Message string }

// Error implements error.
func (e *RefusedError) Error() string { return "peer refused the connection: " + e.Message }

// Dial connects to an entry at addr, a host and UDP port, and exchanges Hello and
// Welcome. It sets hello.Protocol. It uses a new local port, since a NAT or
// firewall on the path may have lost its state for the previous one. The error
// wraps a RefusedError if the entry refuses the connection.
func Dial(ctx context.Context, addr string, creds *Credentials, hello *wire.Hello) (*Conn, *wire.Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	q, err := quic.DialAddr(ctx, addr, creds.clientConfig(), quicConfig())
	if err != nil {
		return nil, nil, errors.Wrapf(err, "dial %s", addr)
	}
	c, w, err := exchangeHello(ctx, q, hello)
	if err != nil {
		_ = q.CloseWithError(0, "")
		return nil, nil, errors.Wrapf(err, "exchange Hello with %s", addr)
	}
	return c, w, nil
}

func exchangeHello(ctx context.Context, q *quic.Conn, hello *wire.Hello) (*Conn, *wire.Welcome, error) {
	s, err := q.OpenStreamSync(ctx)
	if err != nil {
		return nil, nil, err
	}
	hello.Protocol = wire.Protocol
	if err := writeFrame(s, hello); err != nil {
		return nil, nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = s.SetReadDeadline(deadline)
	r := bufio.NewReaderSize(s, readBufferBytes)
	m, err := wire.ReadFrame(r)
	if err != nil {
		return nil, nil, err
	}
	w, ok := m.(*wire.Welcome)
	if !ok {
		return nil, nil, errors.Errorf("got message type %d instead of a Welcome", m.MessageType())
	}
	if w.Refusal != "" {
		return nil, nil, &RefusedError{w.Refusal}
	}
	_ = s.SetReadDeadline(time.Time{})
	c := newConn(q, s, r)
	c.prober.watchIdle(IdleProbeInterval)
	return c, w, nil
}

// Listener accepts connections from agents and entries.
type Listener struct {
	quic      *quic.Listener
	transport *quic.Transport
	udp       *net.UDPConn
}

// Listen listens on addr, an IP address and UDP port.
func Listen(addr string, creds *Credentials) (*Listener, error) {
	ua, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve UDP address %q", addr)
	}
	udp, err := net.ListenUDP("udp", ua)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	t := &quic.Transport{Conn: udp}
	l, err := t.Listen(creds.serverConfig(), quicConfig())
	if err != nil {
		_ = udp.Close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	return &Listener{quic: l, transport: t, udp: udp}, nil
}

// Addr returns the local address of the listener.
func (l *Listener) Addr() string { return l.udp.LocalAddr().String() }

// Close stops accepting connections and closes all that were accepted.
func (l *Listener) Close() error {
	_ = l.quic.Close()
	_ = l.transport.Close()
	return l.udp.Close()
}

// Pending is an incoming connection whose Hello has arrived and that has not yet
// been accepted or refused.
type Pending struct {
	Hello  *wire.Hello
	quic   *quic.Conn
	stream *quic.Stream
	reader *bufio.Reader
}

// Serve accepts connections until the listener closes or ctx ends. Once a valid
// Hello has arrived on a connection, it calls h in a new goroutine, and h must accept
// or refuse the connection. It returns nil when ctx ends.
func (l *Listener) Serve(ctx context.Context, h func(*Pending)) error {
	for {
		q, err := l.quic.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		go func() {
			p, err := receiveHello(ctx, q)
			if err != nil {
				_ = q.CloseWithError(1, "no valid hello")
				return
			}
			// Refuse closes the connection after a delay, so that the peer gets the reason.
			if err := p.check(q.ConnectionState().TLS); err != nil {
				_ = p.Refuse(err.Error())
				return
			}
			h(p)
		}()
	}
}

func receiveHello(ctx context.Context, q *quic.Conn) (*Pending, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	s, err := q.AcceptStream(ctx)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	_ = s.SetReadDeadline(deadline)
	r := bufio.NewReaderSize(s, readBufferBytes)
	m, err := wire.ReadFrame(r)
	if err != nil {
		return nil, err
	}
	_ = s.SetReadDeadline(time.Time{})
	hello, ok := m.(*wire.Hello)
	if !ok {
		return nil, errors.Errorf("got message type %d instead of a Hello", m.MessageType())
	}
	return &Pending{Hello: hello, quic: q, stream: s, reader: r}, nil
}

func (p *Pending) check(state tls.ConnectionState) error {
	if p.Hello.Protocol != wire.Protocol {
		return errors.Errorf("protocol %d, this process speaks %d", p.Hello.Protocol, wire.Protocol)
	}
	return checkRole(state, p.Hello.Role)
}

// Accept sets w.Protocol, replies with w and returns the connection.
func (p *Pending) Accept(w *wire.Welcome) (*Conn, error) {
	w.Protocol = wire.Protocol
	if err := writeFrame(p.stream, w); err != nil {
		return nil, err
	}
	return newConn(p.quic, p.stream, p.reader), nil
}

// refuseCloseDelay is the time given to a refusal to reach the peer before the
// connection closes.
const refuseCloseDelay = 200 * time.Millisecond

// Refuse replies with the reason and closes the connection after refuseCloseDelay.
func (p *Pending) Refuse(reason string) error {
	err := writeFrame(p.stream, &wire.Welcome{Protocol: wire.Protocol, Refusal: reason})
	time.AfterFunc(refuseCloseDelay, func() { _ = p.quic.CloseWithError(2, "refused") })
	return err
}
