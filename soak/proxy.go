package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// tcpProxy is a loopback TCP proxy for one target address. It can delay or drop
// traffic.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	delay time.Duration
	// dropFromClient drops the data from the client, dropFromTarget the data from
	// the target. Neither closes a connection.
	dropFromClient, dropFromTarget bool
	conns                          map[net.Conn]bool
}

func newTCPProxy(target string) (*tcpProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &tcpProxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *tcpProxy) address() string { return p.listener.Addr().String() }

func (p *tcpProxy) setFaults(delay time.Duration, dropFromClient, dropFromTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.dropFromClient, p.dropFromTarget = delay, dropFromClient, dropFromTarget
}

// reset closes all connections with a TCP reset: without linger, unsent data is
// discarded.
func (p *tcpProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *tcpProxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *tcpProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *tcpProxy) serve(clientConn net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = clientConn.(*net.TCPConn).SetLinger(0)
		_ = clientConn.Close()
		return
	}
	p.mu.Lock()
	p.conns[clientConn], p.conns[target] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(target, clientConn, func() bool { return p.dropFromClient }) })
	wg.Go(func() { p.copy(clientConn, target, func() bool { return p.dropFromTarget }) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, clientConn)
	delete(p.conns, target)
	p.mu.Unlock()
}

// copy forwards one direction of a connection. Once data has been dropped, the rest
// of the stream is dropped as well, as on a path through a gateway that has lost the
// state of the connection.
func (p *tcpProxy) copy(to, from net.Conn, dropping func() bool) {
	defer func() { _ = to.Close() }()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		delay, drop := p.delay, dropping()
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !drop {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if drop && n > 0 {
			// The receiver could not parse the stream after the gap.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if err != nil {
			return
		}
	}
}
