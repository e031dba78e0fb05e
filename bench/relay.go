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

// aliases replaces addresses of entries by those of the relays in front of them.
// Safe for concurrent use.
type aliases struct {
	mu    sync.Mutex
	names map[string]string
}

func (a *aliases) add(from, to string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.names[from] = to
}

func (a *aliases) apply(value []byte) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	for from, to := range a.names {
		value = bytes.ReplaceAll(value, []byte(`"`+from+`"`), []byte(`"`+to+`"`))
	}
	return value
}

// gate is the platform as one entry sees it. Rosters that it writes name the
// relays; when it is shut, the platform is unavailable for this entry.
type gate struct {
	table.Platform
	aliases *aliases
	closed  atomic.Bool
}

func (g *gate) shut() { g.closed.Store(true) }

// Get implements table.Table.
func (g *gate) Get(ctx context.Context, key string) (table.Row, error) {
	if g.closed.Load() {
		return table.Row{}, table.ErrUnavailable
	}
	return g.Platform.Get(ctx, key)
}

// List implements table.Table.
func (g *gate) List(ctx context.Context, prefix string) ([]table.Row, error) {
	if g.closed.Load() {
		return nil, table.ErrUnavailable
	}
	return g.Platform.List(ctx, prefix)
}

// CompareAndSet implements table.Table.
func (g *gate) CompareAndSet(ctx context.Context, key string, want uint64, value []byte) (table.Row, error) {
	if g.closed.Load() {
		return table.Row{}, table.ErrUnavailable
	}
	if key == table.RowRoster {
		value = g.aliases.apply(value)
	}
	return g.Platform.CompareAndSet(ctx, key, want, value)
}

// Delete implements table.Table.
func (g *gate) Delete(ctx context.Context, key string, want uint64) error {
	if g.closed.Load() {
		return table.ErrUnavailable
	}
	return g.Platform.Delete(ctx, key, want)
}

// streamRelay passes TCP connections on until it is cut.
type streamRelay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    map[net.Conn]bool
	dead     bool
}

func newStreamRelay(target string) (*streamRelay, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	r := &streamRelay{listener: l, target: target, conns: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

func (r *streamRelay) addr() string { return r.listener.Addr().String() }

func (r *streamRelay) serve() {
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
		go r.pass(in, out)
		go r.pass(out, in)
	}
}

func (r *streamRelay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		return false
	}
	for _, c := range conns {
		r.conns[c] = true
	}
	return true
}

func (r *streamRelay) pass(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, from)
	delete(r.conns, to)
}

// cut closes the listener and all connections, as the end of the process does.
func (r *streamRelay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead = true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
}

// packetRelay passes UDP packets between clients and a server. Each client has a
// port of its own towards the server.
type packetRelay struct {
	front  *net.UDPConn
	target *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*flow
	dead   bool
}

type flow struct {
	back *net.UDPConn
	// silent drops all packets of the flow.
	silent atomic.Bool
}

// packetBuffer holds the largest UDP payload that QUIC sends.
const packetBuffer = 64 << 10

func newPacketRelay(target string) (*packetRelay, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, errors.Wrap(err, "address of the entry")
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	r := &packetRelay{front: front, target: addr, flows: map[string]*flow{}}
	go r.serve()
	return r, nil
}

func (r *packetRelay) addr() string { return r.front.LocalAddr().String() }

func (r *packetRelay) serve() {
	buf := make([]byte, packetBuffer)
	for {
		n, client, err := r.front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if f := r.flow(client); f != nil && !f.silent.Load() {
			_, _ = f.back.Write(buf[:n])
		}
	}
}

func (r *packetRelay) flow(client *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := client.String()
	if f := r.flows[name]; f != nil || r.dead {
		return f
	}
	back, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	f := &flow{back: back}
	r.flows[name] = f
	go r.answer(f, client)
	return f
}

func (r *packetRelay) answer(f *flow, client *net.UDPAddr) {
	buf := make([]byte, packetBuffer)
	for {
		n, err := f.back.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // the server's port is closed for now
			continue
		}
		if !f.silent.Load() {
			_, _ = r.front.WriteToUDP(buf[:n], client)
		}
	}
}

// silence drops the packets of all flows that exist now. New ones work.
func (r *packetRelay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.silent.Store(true)
	}
}

// cut drops all packets from now on.
func (r *packetRelay) cut() {
	r.silence()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead = true
}

func (r *packetRelay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead = true
	_ = r.front.Close()
	for _, f := range r.flows {
		_ = f.back.Close()
	}
}
