package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a loopback proxy in front of one address.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	delay time.Duration
	// silent drops what comes from the caller, mute what comes from the target,
	// both without closing anything.
	silent, mute bool
	conns        map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, conns: map[net.Conn]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) set(delay time.Duration, silent, mute bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay, k.silent, k.mute = delay, silent, mute
}

// reset closes all connections; unread data makes it a reset.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (k *link) close() {
	_ = k.listener.Close()
	k.reset()
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(caller net.Conn) {
	target, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		_ = caller.(*net.TCPConn).SetLinger(0)
		_ = caller.Close()
		return
	}
	k.mu.Lock()
	k.conns[caller], k.conns[target] = true, true
	k.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { k.copy(target, caller, func() bool { return k.silent }) })
	wg.Go(func() { k.copy(caller, target, func() bool { return k.mute }) })
	wg.Wait()
	k.mu.Lock()
	delete(k.conns, caller)
	delete(k.conns, target)
	k.mu.Unlock()
}

// copy forwards one direction. What is dropped while the direction is cut is
// lost, as on a path whose state was forgotten.
func (k *link) copy(to, from net.Conn, cut func() bool) {
	defer func() { _ = to.Close() }()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		k.mu.Lock()
		delay, drop := k.delay, cut()
		k.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !drop {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if drop && n > 0 {
			// The rest of the stream makes no sense without this part.
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if err != nil {
			return
		}
	}
}
