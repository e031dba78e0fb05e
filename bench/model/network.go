package model

import (
	"time"

	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/runner"
)

// Sizes of messages in bytes, as package link encodes them. Specs are compressed to
// about compressedShare of their size.
const (
	messageBytes    = 24
	startBytes      = 54
	taskBytes       = 24
	pairBytes       = 40
	kindBytes       = 10
	answerBytes     = 150
	requestBytes    = 400
	compressedShare = 0.55
)

// hostLink is the link of a host in one direction.
type hostLink struct {
	mbps      float64
	busyUntil time.Duration
}

// transmit returns when bytes that are ready to be sent at t have passed the link.
func (l *hostLink) transmit(t time.Duration, bytes int) time.Duration {
	l.busyUntil = max(l.busyUntil, t) + time.Duration(float64(bytes)*8/l.mbps*float64(time.Microsecond))
	return l.busyUntil
}

// conn is a connection from an entry to an agent.
type conn struct {
	id                     runner.ConnID
	entry                  *entry
	agent                  *agent
	entryEpoch, agentEpoch int
	// open says whether either end still uses the connection.
	entryOpen, agentOpen bool
	// held are the deliveries of messages that were sent while a cut was in effect.
	held []func(now time.Duration)
}

// cut reports whether no message passes between an entry and an agent.
func (s *simulation) cut(e *entry, a *agent) bool { return e.cutOff > 0 || a.cutOff > 0 }

// silent reports whether nothing answers at the host of a process, not even with a reset.
func silent(p *process, dark int) bool { return !p.alive && dark > 0 }

func (s *simulation) latency(a, b string) time.Duration {
	if a == b {
		return microseconds(s.scenario.Network.InZoneUS)
	}
	return microseconds(s.scenario.Network.CrossZoneUS)
}

// carry delivers a message over c at time t, or holds it during a cut.
func (s *simulation) carry(c *conn, t time.Duration, deliver func(now time.Duration)) {
	s.engine.at(t, func(now time.Duration) {
		if s.cut(c.entry, c.agent) {
			c.held = append(c.held, deliver)
			return
		}
		deliver(now)
	})
}

// releaseHeld delivers the messages that a cut has held, if it is over.
func (s *simulation) releaseHeld(now time.Duration) {
	for _, e := range s.entries {
		for _, l := range e.links {
			if l.conn != nil && len(l.conn.held) > 0 && !s.cut(e, l.agent) {
				held := l.conn.held
				l.conn.held = nil
				for _, deliver := range held {
					deliver(now)
				}
			}
		}
	}
}

// sendCommands sends a message of an entry. It departs when the work of the entry so far
// is done.
func (s *simulation) sendCommands(c *conn, m *link.Commands) {
	e, a := c.entry, c.agent
	e.spend(microseconds(s.scenario.Costs.EntryMessageUS))
	s.messages++
	bytes := messageBytes + len(m.Starts)*startBytes + (len(m.Stops)+len(m.Claims))*taskBytes
	var last string
	for i := range m.Starts {
		if job := m.Starts[i].Task.Job; job != last {
			last = job
			bytes += int(compressedShare * float64(s.jobs[job].spec.kind.SpecBytes))
		}
	}
	s.countBytes(e.zone, a.zone, bytes)
	s.carry(c, e.uplink.transmit(e.clock, bytes)+s.latency(e.zone, a.zone), func(now time.Duration) {
		if !s.agentReachable(now, c) {
			return
		}
		a.post(now, microseconds(s.scenario.Costs.AgentMessageUS), func(now time.Duration) {
			if c.agentOpen {
				a.state.HandleCommands(now, c.id, m)
			}
		})
	})
}

// sendReport sends a message of an agent.
func (s *simulation) sendReport(c *conn, r *link.Report) {
	e, a := c.entry, c.agent
	a.spend(microseconds(s.scenario.Costs.AgentMessageUS))
	s.messages++
	bytes := messageBytes + (len(r.Answers)+len(r.Ends)+len(r.Progress))*taskBytes + len(r.Pairs)*pairBytes + len(r.Running)*kindBytes
	s.countBytes(a.zone, e.zone, bytes)
	s.carry(c, a.clock+s.latency(a.zone, e.zone), func(now time.Duration) {
		now = e.downlink.transmit(now, bytes)
		s.engine.at(now, func(now time.Duration) {
			if !s.entryReachable(now, c) {
				return
			}
			e.post(now, microseconds(s.scenario.Costs.EntryMessageUS), func(now time.Duration) {
				if c.entryOpen {
					e.received(now, c, r)
				}
			})
		})
	})
}

func (s *simulation) countBytes(from, to string, bytes int) {
	if from != to {
		s.crossZoneBytes += int64(bytes)
	}
}

// agentReachable reports whether the agent's end of a connection is open. If not, the
// agent's host tells the entry, unless it is silent.
func (s *simulation) agentReachable(now time.Duration, c *conn) bool {
	if c.agentOpen && c.agent.epoch == c.agentEpoch {
		return true
	}
	if !silent(&c.agent.process, c.agent.dark) {
		s.tellEntry(now, c, "reset")
	}
	return false
}

// entryReachable is agentReachable for the entry's end.
func (s *simulation) entryReachable(now time.Duration, c *conn) bool {
	if c.entryOpen && c.entry.epoch == c.entryEpoch {
		return true
	}
	if !silent(&c.entry.process, c.entry.dark) {
		s.tellAgent(now, c, "reset")
	}
	return false
}

// tellEntry tells the entry's end that the agent's end is closed.
func (s *simulation) tellEntry(now time.Duration, c *conn, why string) {
	e := c.entry
	s.carry(c, now+s.latency(c.agent.zone, e.zone), func(now time.Duration) {
		if e.epoch != c.entryEpoch {
			return
		}
		e.post(now, microseconds(s.scenario.Costs.EntryMessageUS), func(now time.Duration) { e.connectionLost(now, c, why) })
	})
}

// tellAgent tells the agent's end that the entry's end is closed.
func (s *simulation) tellAgent(now time.Duration, c *conn, why string) {
	a := c.agent
	s.carry(c, now+s.latency(c.entry.zone, a.zone), func(now time.Duration) {
		if a.epoch != c.agentEpoch {
			return
		}
		a.post(now, microseconds(s.scenario.Costs.AgentMessageUS), func(now time.Duration) {
			if c.agentOpen {
				c.agentOpen = false
				delete(a.conns, c.id)
				a.state.EntryDisconnected(now, c.id, why)
			}
		})
	})
}
