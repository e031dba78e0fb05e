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

// direction is one way through a forwarder.
type direction int

const (
	toEntry direction = iota
	toAgent
)

// forwarder passes UDP packets on to an entry. It drops a direction of the
// flows that exist, for good, as an intermediary does that has lost its
// connection state; later flows work.
type forwarder struct {
	socket *net.UDPConn
	target *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*flow
	// forwarded counts the packets in both directions, and dropped those lost.
	forwarded, dropped atomic.Int64
}

type flow struct {
	socket *net.UDPConn
	broken [2]atomic.Bool
}

func newForwarder(t *testing.T, target string) *forwarder {
	f := &forwarder{flows: map[string]*flow{}}
	var err error
	f.target, err = net.ResolveUDPAddr("udp", target)
	qt.Assert(t, err, qt.IsNil)
	f.socket, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	var wg sync.WaitGroup
	wg.Go(func() { f.run(&wg) })
	t.Cleanup(func() {
		_ = f.socket.Close()
		f.mu.Lock()
		for _, l := range f.flows {
			_ = l.socket.Close()
		}
		f.mu.Unlock()
		wg.Wait()
	})
	return f
}

func (f *forwarder) run(wg *sync.WaitGroup) {
	b := make([]byte, 2048)
	for {
		n, from, err := f.socket.ReadFromUDP(b)
		if err != nil {
			return
		}
		f.mu.Lock()
		l := f.flows[from.String()]
		if l == nil {
			s, err := net.DialUDP("udp", nil, f.target)
			if err != nil {
				f.mu.Unlock()
				continue
			}
			l = &flow{socket: s}
			f.flows[from.String()] = l
			wg.Go(func() { f.back(l, from) })
		}
		f.mu.Unlock()
		if f.passes(l, toEntry) {
			_, _ = l.socket.Write(b[:n])
		}
	}
}

// back passes the packets of the entry to the agent.
func (f *forwarder) back(l *flow, to *net.UDPAddr) {
	b := make([]byte, 2048)
	for {
		n, err := l.socket.Read(b)
		if err != nil {
			return
		}
		if f.passes(l, toAgent) {
			_, _ = f.socket.WriteToUDP(b[:n], to)
		}
	}
}

func (f *forwarder) passes(l *flow, d direction) bool {
	if l.broken[d].Load() {
		f.dropped.Add(1)
		return false
	}
	f.forwarded.Add(1)
	return true
}

// lose drops a direction of the flows that exist and returns their number.
func (f *forwarder) lose(d direction) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.flows {
		l.broken[d].Store(true)
	}
	return len(f.flows)
}

// forwardTo makes the roster name the forwarder as the address of an entry, so
// that agents that start from now on connect through it.
func (c *cluster) forwardTo(p *process) *forwarder {
	f := newForwarder(c.t, p.settings["peer_address"].(string))
	ctx := context.Background()
	_, err := table.Update(ctx, c.platform, table.RowRoster, "", func(old []byte) ([]byte, error) {
		var r ownership.Roster
		if err := json.Unmarshal(old, &r); err != nil {
			return nil, err
		}
		r.Version++
		for i := range r.Members {
			if r.Members[i].Name == p.name {
				r.Members[i].PeerAddr = f.socket.LocalAddr().String()
			}
		}
		return json.Marshal(r)
	})
	qt.Assert(c.t, err, qt.IsNil)
	return f
}

// Guards against jobs that hang, fail or run twice when the connections between
// agents and an entry silently lose one direction under load.
func TestFlowsLoseOneDirection(t *testing.T) {
	t.Parallel()
	for name, d := range map[string]direction{"to entry": toEntry, "to agent": toAgent} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 6+uint64(d), 2, 0)
			f := c.forwardTo(c.entries[0])
			for range 3 {
				c.addAgent()
			}
			c.connected()
			l := c.load(12, 2, 60)
			time.Sleep(700 * time.Millisecond)
			before := f.lose(d)
			qt.Check(t, before >= 3, qt.IsTrue, qt.Commentf("%d flows", before))
			time.Sleep(6 * time.Second)
			for _, o := range l.finish() {
				if !o.complete() {
					t.Errorf("not complete: %v", o)
				}
				if limit := 6 * time.Second; o.took > limit || c.owner(o.key) == "e2" && o.took > promptly {
					t.Errorf("late: %v", o)
				}
			}
			qt.Check(t, f.dropped.Load() > 0, qt.IsTrue)
			c.verify()
		})
	}
}

// Guards against forwarded jobs that hang, fail or run twice, and against
// entries that remove each other, when the connections to an entry lose one
// direction: those of the other entry and those of the agents.
func TestPeerFlowsLoseOneDirection(t *testing.T) {
	t.Parallel()
	for name, d := range map[string]direction{"to entry": toEntry, "to agent": toAgent} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 20+uint64(d), 1, 0)
			f := c.forwardTo(c.entries[0])
			c.addEntry().start()
			for range 2 {
				c.addAgent()
			}
			c.connected()
			l := c.load(10, 2, 40)
			time.Sleep(2500 * time.Millisecond)
			before := f.lose(d)
			qt.Check(t, before >= 3, qt.IsTrue, qt.Commentf("%d flows", before))
			time.Sleep(8 * time.Second)
			for _, o := range l.finish() {
				if !o.complete() || o.took > 6*time.Second {
					t.Errorf("not complete or late: %v", o)
				}
			}
			for _, e := range c.entries {
				s, err := e.status()
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, s.Entries, qt.DeepEquals, []string{"e1", "e2"})
			}
			c.verify()
		})
	}
}

// Guards against agents that stay away from an entry after their idle
// connections have lost the direction to them, so that the entry has no workers.
func TestIdleFlowsLoseDirectionToAgent(t *testing.T) {
	c := newCluster(t, 8, 2, 0)
	f := c.forwardTo(c.entries[0])
	for range 3 {
		c.addAgent()
	}
	c.connected()
	time.Sleep(transport.ProbeAfter + transport.SilentAfter)
	f.lose(toAgent)
	// The entry finds out by this job, of which nothing arrives.
	o := c.insist(0, c.keyOf(c.entries[0]), 3, 20, 8*time.Second)
	if o.answer == nil || o.took > 6*time.Second {
		t.Errorf("no answer in time: %v", o)
	}
	for range 20 {
		if o := c.insist(0, c.keyOf(c.entries[1]), 3, 20, 8*time.Second); !o.complete() || o.took > promptly {
			t.Errorf("an unaffected job: %v", o)
		}
	}
	// The agents find out by their own probes.
	c.eventually("all agents are back", transport.IdleProbe+5*time.Second, func() bool {
		s, err := c.entries[0].status()
		return err == nil && s.Workers == 3
	})
	if o := c.insist(0, c.keyOf(c.entries[0]), 30, 20, 8*time.Second); !o.complete() || o.took > promptly {
		t.Errorf("the first job with new connections: %v", o)
	}
	c.verify()
}
