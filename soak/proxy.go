package soak

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// holdPollInterval is how often a proxy that holds data checks whether the cut has ended.
const holdPollInterval = 2 * time.Millisecond

// tcpProxy is a loopback TCP proxy for one target address. It can delay, drop or hold
// traffic.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	delay time.Duration
	// dropFromClient drops the data from the client, dropFromTarget the data from
	// the target. Neither closes a connection.
	dropFromClient, dropFromTarget bool
	// holdFromClient and holdFromTarget keep the data until the hold ends, as a short cut
	// does: TCP repeats it unless its sender has reset the connection. The reset itself is
	// held as well, unless passResets is set.
	holdFromClient, holdFromTarget bool
	passResets                     bool
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

func (p *tcpProxy) setHold(fromClient, fromTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdFromClient, p.holdFromTarget = fromClient, fromTarget
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
	wg.Go(func() { p.copy(target, clientConn, &p.dropFromClient, &p.holdFromClient) })
	wg.Go(func() { p.copy(clientConn, target, &p.dropFromTarget, &p.holdFromTarget) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, clientConn)
	delete(p.conns, target)
	p.mu.Unlock()
}

// copy forwards one direction of a connection. Once data has been dropped, the rest
// of the stream is dropped as well, as on a path through a gateway that has lost the
// state of the connection.
func (p *tcpProxy) copy(to, from net.Conn, dropping, holding *bool) {
	defer func() { _ = to.Close() }()
	b := make([]byte, 32<<10)
	var held []byte
	for {
		var deadline time.Time
		if len(held) > 0 {
			deadline = time.Now().Add(holdPollInterval)
		}
		_ = from.SetReadDeadline(deadline)
		n, err := from.Read(b)
		p.mu.Lock()
		delay, drop, hold := p.delay, *dropping, *holding
		p.mu.Unlock()
		held = append(held, b[:n]...)
		switch {
		case errors.Is(err, syscall.ECONNRESET):
			if !p.passResets {
				p.awaitHoldEnd(holding)
			}
			_ = to.(*net.TCPConn).SetLinger(0)
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			err = nil
		}
		if drop && n > 0 {
			// The receiver could not parse the stream after the gap.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if hold && err == nil {
			continue
		}
		p.awaitHoldEnd(holding)
		time.Sleep(delay)
		if len(held) > 0 {
			if _, err := to.Write(held); err != nil {
				return
			}
			held = held[:0]
		}
		if err != nil {
			return
		}
	}
}

func (p *tcpProxy) awaitHoldEnd(holding *bool) {
	for {
		p.mu.Lock()
		hold := *holding
		p.mu.Unlock()
		if !hold {
			return
		}
		time.Sleep(holdPollInterval)
	}
}
