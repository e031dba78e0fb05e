package bench

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/table"
)

// addressRewriter replaces the addresses of entries by those of the proxies in front
// of them. It is safe for concurrent use.
type addressRewriter struct {
	mu           sync.Mutex
	replacements map[string]string
}

func (a *addressRewriter) add(from, to string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.replacements[from] = to
}

func (a *addressRewriter) rewrite(value []byte) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	for from, to := range a.replacements {
		value = bytes.ReplaceAll(value, []byte(`"`+from+`"`), []byte(`"`+to+`"`))
	}
	return value
}

// entryPlatform is the platform as one entry sees it. It puts the addresses of the
// proxies into the rosters that the entry writes, and can be made unavailable for
// this entry only.
type entryPlatform struct {
	table.Platform
	addresses   *addressRewriter
	unavailable atomic.Bool
}

func (g *entryPlatform) makeUnavailable() { g.unavailable.Store(true) }

// Get implements table.Table.
func (g *entryPlatform) Get(ctx context.Context, key string) (table.Row, error) {
	if g.unavailable.Load() {
		return table.Row{}, table.ErrUnavailable
	}
	return g.Platform.Get(ctx, key)
}

// List implements table.Table.
func (g *entryPlatform) List(ctx context.Context, prefix string) ([]table.Row, error) {
	if g.unavailable.Load() {
		return nil, table.ErrUnavailable
	}
	return g.Platform.List(ctx, prefix)
}

// CompareAndSet implements table.Table.
func (g *entryPlatform) CompareAndSet(ctx context.Context, key string, want uint64, value []byte) (table.Row, error) {
	if g.unavailable.Load() {
		return table.Row{}, table.ErrUnavailable
	}
	if key == table.RowRoster {
		value = g.addresses.rewrite(value)
	}
	return g.Platform.CompareAndSet(ctx, key, want, value)
}

// Delete implements table.Table.
func (g *entryPlatform) Delete(ctx context.Context, key string, want uint64) error {
	if g.unavailable.Load() {
		return table.ErrUnavailable
	}
	return g.Platform.Delete(ctx, key, want)
}

// tcpProxy forwards TCP connections to a target until it is closed.
type tcpProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

func newTCPProxy(target string) (*tcpProxy, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	r := &tcpProxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

func (r *tcpProxy) addr() string { return r.listener.Addr().String() }

func (r *tcpProxy) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil || !r.track(in, out) {
			_ = in.Close()
			continue
		}
		go r.forward(in, out)
		go r.forward(out, in)
	}
}

func (r *tcpProxy) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	for _, c := range conns {
		r.conns[c] = true
	}
	return true
}

func (r *tcpProxy) forward(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, from)
	delete(r.conns, to)
}

// close closes the listener and all connections, as the end of the process would.
func (r *tcpProxy) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
}

// udpProxy forwards UDP packets between clients and a server. Each client has its
// own socket towards the server.
type udpProxy struct {
	clientConn *net.UDPConn
	target     *net.UDPAddr
	mu         sync.Mutex
	flows      map[string]*flow
	closed     bool
}

type flow struct {
	serverConn *net.UDPConn
	// dropping drops all packets of the flow.
	dropping atomic.Bool
}

// packetBufferSize is enough for the largest UDP payload.
const packetBufferSize = 64 << 10

func newUDPProxy(target string) (*udpProxy, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, errors.Wrap(err, "resolve address of the entry")
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	r := &udpProxy{clientConn: front, target: addr, flows: map[string]*flow{}}
	go r.serve()
	return r, nil
}

func (r *udpProxy) addr() string { return r.clientConn.LocalAddr().String() }

func (r *udpProxy) serve() {
	buf := make([]byte, packetBufferSize)
	for {
		n, client, err := r.clientConn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if f := r.flowFor(client); f != nil && !f.dropping.Load() {
			_, _ = f.serverConn.Write(buf[:n])
		}
	}
}

func (r *udpProxy) flowFor(client *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	clientAddr := client.String()
	if f := r.flows[clientAddr]; f != nil || r.closed {
		return f
	}
	back, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	f := &flow{serverConn: back}
	r.flows[clientAddr] = f
	go r.forwardReplies(f, client)
	return f
}

func (r *udpProxy) forwardReplies(f *flow, client *net.UDPAddr) {
	buf := make([]byte, packetBufferSize)
	for {
		n, err := f.serverConn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // the port of the server is closed for now
			continue
		}
		if !f.dropping.Load() {
			_, _ = r.clientConn.WriteToUDP(buf[:n], client)
		}
	}
}

// dropExistingFlows drops the packets of all existing flows, but not those of
// later ones.
func (r *udpProxy) dropExistingFlows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.dropping.Store(true)
	}
}

// dropAll drops the packets of all existing flows and accepts no new flows.
func (r *udpProxy) dropAll() {
	r.dropExistingFlows()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

func (r *udpProxy) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.clientConn.Close()
	for _, f := range r.flows {
		_ = f.serverConn.Close()
	}
}
