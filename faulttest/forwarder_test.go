package faulttest

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/table"
	"github.com/sesamelift/sesamelift/transport"
)

// direction is a direction of the packets of a flow.
type direction int

const (
	toEntry direction = iota
	// toAgent is the direction from the entry to the agents and peers.
	toAgent
)

// udpProxy forwards UDP packets between agents or peers and an entry. It can drop one
// direction of all existing flows permanently, like a middlebox that has lost its
// connection state. Later flows work.
type udpProxy struct {
	socket *net.UDPConn
	target *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*flow
	// forwarded and dropped count the packets of both directions.
	forwarded, dropped atomic.Int64
}

type flow struct {
	socket   *net.UDPConn
	dropping [2]atomic.Bool
}

func newUDPProxy(t *testing.T, target string) *udpProxy {
	p := &udpProxy{flows: map[string]*flow{}}
	var err error
	p.target, err = net.ResolveUDPAddr("udp", target)
	qt.Assert(t, err, qt.IsNil)
	p.socket, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	var wg sync.WaitGroup
	wg.Go(func() { p.serve(&wg) })
	t.Cleanup(func() {
		_ = p.socket.Close()
		p.mu.Lock()
		for _, f := range p.flows {
			_ = f.socket.Close()
		}
		p.mu.Unlock()
		wg.Wait()
	})
	return p
}

func (p *udpProxy) serve(wg *sync.WaitGroup) {
	b := make([]byte, 2048)
	for {
		n, from, err := p.socket.ReadFromUDP(b)
		if err != nil {
			return
		}
		p.mu.Lock()
		f := p.flows[from.String()]
		if f == nil {
			s, err := net.DialUDP("udp", nil, p.target)
			if err != nil {
				p.mu.Unlock()
				continue
			}
			f = &flow{socket: s}
			p.flows[from.String()] = f
			wg.Go(func() { p.forwardReplies(f, from) })
		}
		p.mu.Unlock()
		if p.shouldForward(f, toEntry) {
			_, _ = f.socket.Write(b[:n])
		}
	}
}

// forwardReplies forwards the packets of the entry to the client of the flow.
func (p *udpProxy) forwardReplies(f *flow, to *net.UDPAddr) {
	b := make([]byte, 2048)
	for {
		n, err := f.socket.Read(b)
		if err != nil {
			return
		}
		if p.shouldForward(f, toAgent) {
			_, _ = p.socket.WriteToUDP(b[:n], to)
		}
	}
}

// shouldForward reports whether to forward a packet, and counts the packet as
// forwarded or dropped.
func (p *udpProxy) shouldForward(f *flow, d direction) bool {
	if f.dropping[d].Load() {
		p.dropped.Add(1)
		return false
	}
	p.forwarded.Add(1)
	return true
}

// dropDirection drops one direction of all existing flows and returns their
// number.
func (p *udpProxy) dropDirection(d direction) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.flows {
		f.dropping[d].Store(true)
	}
	return len(p.flows)
}

// insertProxy puts the address of a proxy into the roster in place of that of the
// entry. Agents and entries that start later connect through the proxy.
func (c *cluster) insertProxy(p *process) *udpProxy {
	proxy := newUDPProxy(c.t, p.settings["peer_address"].(string))
	ctx := context.Background()
	_, err := table.Update(ctx, c.platform, table.RowRoster, "", func(old []byte) ([]byte, error) {
		var r ownership.Roster
		if err := json.Unmarshal(old, &r); err != nil {
			return nil, err
		}
		r.Version++
		for i := range r.Members {
			if r.Members[i].Name == p.name {
				r.Members[i].PeerAddr = proxy.socket.LocalAddr().String()
			}
		}
		return json.Marshal(r)
	})
	qt.Assert(c.t, err, qt.IsNil)
	return proxy
}

// Guards against jobs that hang, fail or run twice when the packets of one
// direction are lost, without an error, on all connections between agents and an
// entry under load.
func TestFlowsLoseOneDirection(t *testing.T) {
	t.Parallel()
	for name, d := range map[string]direction{"to entry": toEntry, "to agent": toAgent} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 6+uint64(d), 2, 0)
			proxy := c.insertProxy(c.entries[0])
			for range 3 {
				c.addAgent()
			}
			c.waitConnected()
			l := c.startLoad(12, 2, 60)
			time.Sleep(700 * time.Millisecond)
			flows := proxy.dropDirection(d)
			qt.Check(t, flows >= 3, qt.IsTrue, qt.Commentf("%d flows", flows))
			time.Sleep(6 * time.Second)
			for _, o := range l.stop() {
				if !o.complete() {
					t.Errorf("not complete: %v", o)
				}
				if limit := 6 * time.Second; o.elapsed > limit || c.owner(o.key) == "e2" && o.elapsed > unaffectedLimit {
					t.Errorf("answer was late: %v", o)
				}
			}
			qt.Check(t, proxy.dropped.Load() > 0, qt.IsTrue)
			c.verifyExecutions()
		})
	}
}

// Guards against forwarded jobs that hang, fail or run twice, and against entries
// that remove each other from the roster, when the packets of one direction are lost
// on all connections to an entry, from the other entry and from the agents.
func TestPeerFlowsLoseOneDirection(t *testing.T) {
	t.Parallel()
	for name, d := range map[string]direction{"to entry": toEntry, "to agent": toAgent} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 20+uint64(d), 1, 0)
			proxy := c.insertProxy(c.entries[0])
			c.addEntry().start()
			for range 2 {
				c.addAgent()
			}
			c.waitConnected()
			l := c.startLoad(10, 2, 40)
			time.Sleep(2500 * time.Millisecond)
			flows := proxy.dropDirection(d)
			qt.Check(t, flows >= 3, qt.IsTrue, qt.Commentf("%d flows", flows))
			time.Sleep(8 * time.Second)
			for _, o := range l.stop() {
				if !o.complete() || o.elapsed > 6*time.Second {
					t.Errorf("not complete or late: %v", o)
				}
			}
			for _, e := range c.entries {
				s, err := e.status()
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, s.Entries, qt.DeepEquals, []string{"e1", "e2"})
			}
			c.verifyExecutions()
		})
	}
}

// Guards against an entry that stays without workers because the agents do not
// reconnect after packets to them are lost on their idle connections.
func TestIdleFlowsLoseDirectionToAgent(t *testing.T) {
	c := newCluster(t, 8, 2, 0)
	proxy := c.insertProxy(c.entries[0])
	for range 3 {
		c.addAgent()
	}
	c.waitConnected()
	time.Sleep(transport.ProbeDelay + transport.ProbeTimeout)
	proxy.dropDirection(toAgent)
	// The entry detects the loss through this job, whose starts do not arrive.
	o := c.submitAcrossOwnerChanges(0, c.keyOwnedBy(c.entries[0]), 3, 20, 8*time.Second)
	if o.answer == nil || o.elapsed > 6*time.Second {
		t.Errorf("job was not answered in time: %v", o)
	}
	for range 20 {
		if o := c.submitAcrossOwnerChanges(0, c.keyOwnedBy(c.entries[1]), 3, 20, 8*time.Second); !o.complete() || o.elapsed > unaffectedLimit {
			t.Errorf("a job of the other entry failed or was delayed: %v", o)
		}
	}
	// The agents detect the loss through their own probes.
	c.eventually("all agents are connected again", transport.IdleProbeInterval+5*time.Second, func() bool {
		s, err := c.entries[0].status()
		return err == nil && s.Workers == 3
	})
	if o := c.submitAcrossOwnerChanges(0, c.keyOwnedBy(c.entries[0]), 30, 20, 8*time.Second); !o.complete() || o.elapsed > unaffectedLimit {
		t.Errorf("the first job after the agents reconnected failed or was delayed: %v", o)
	}
	c.verifyExecutions()
}
