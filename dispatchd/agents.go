package dispatchd

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/timing"
)

// welcomeTimeout limits the wait for the agent's first message.
const welcomeTimeout = time.Second

// agent is an agent of the directory and the connection to it. Only the event
// loop accesses it, except for name and address, which do not change.
type agent struct {
	name    string
	address string
	// cancel ends dialLoop.
	cancel context.CancelFunc
	// conn is nil while the agent is disconnected.
	conn *link.Conn
	// sequence is that of the last commands, heard that of the last ones which the agent has
	// handled.
	sequence, heard uint64
	liveness        timing.Liveness
	// clock is the clock of the agent's process.
	clock timing.PeerClock
}

// reported records a report that reflects the commands up to sequence. It is no sign of life
// if the agent has handled none of the commands sent since the one before.
func (a *agent) reported(now time.Duration, sequence uint64, hasTasks bool) {
	if !hasTasks || sequence == a.sequence || sequence > a.heard {
		a.liveness.LastReceived = now
	}
	a.heard = max(a.heard, sequence)
}

func (a *agent) send(now, asOf time.Duration, c *link.Commands) {
	if a.conn == nil {
		return
	}
	a.sequence++
	c.Sequence, c.AsOfMS = a.sequence, a.clock.At(asOf).Milliseconds()
	a.liveness.LastSent = now
	// An error closes the connection, and the goroutine that reads it reports the
	// loss.
	_ = a.conn.Send(c)
}

// updateAgents connects to the agents of the directory, and removes those that
// are neither listed nor connected.
func (d *Dispatcher) updateAgents(now time.Duration, members map[string]directory.Member) {
	for name, m := range members {
		if m.Role != directory.RoleAgent {
			continue
		}
		a := d.agents[name]
		if a != nil && a.address == m.Address {
			continue
		}
		if a != nil {
			d.connectionLost(now, a, errors.Errorf("the agent's address changed from %s to %s", a.address, m.Address))
			a.cancel()
		}
		d.addAgent(m)
	}
	for name, a := range d.agents {
		if _, ok := members[name]; !ok && a.conn == nil {
			a.cancel()
			delete(d.agents, name)
			d.scheduler.RemoveAgent(name)
		}
	}
}

func (d *Dispatcher) addAgent(m directory.Member) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &agent{name: m.Name, address: m.Address, cancel: cancel}
	d.agents[m.Name] = a
	d.opts.Log.Add(decisions.Info("agent discovered", "worker", m.Name, "address", m.Address))
	go d.dialLoop(ctx, a)
}

// dialLoop connects to an agent and reads its reports until ctx ends,
// reconnecting as needed. It removes the agent from the directory after it has
// been unreachable for directory.UnreachableTimeout.
func (d *Dispatcher) dialLoop(ctx context.Context, a *agent) {
	lostAt := clock.SinceBoot()
	for ctx.Err() == nil {
		timeout, _ := timing.Redial(clock.SinceBoot() - lostAt)
		connected, err := d.serveAgent(ctx, a, timeout)
		if connected {
			lostAt = clock.SinceBoot()
			d.post(func(now time.Duration) { d.connectionLost(now, a, err) })
		}
		_, pause := timing.Redial(clock.SinceBoot() - lostAt)
		if clock.SinceBoot()-lostAt > directory.UnreachableTimeout {
			directory.RemoveMember(ctx, d.opts.Store, a.name, d.opts.Log)
			lostAt = clock.SinceBoot()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// serveAgent opens one connection within a time, and reads it until it fails. connected
// reports whether the handshake succeeded.
func (d *Dispatcher) serveAgent(ctx context.Context, a *agent, dialTimeout time.Duration) (connected bool, err error) {
	raw, err := link.Dialer(dialTimeout).DialContext(ctx, "tcp", a.address)
	if err != nil {
		return false, err
	}
	if err := link.DropUndelivered(raw); err != nil {
		_ = raw.Close()
		return false, err
	}
	conn := link.NewConn(raw)
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	welcome, agentClock, err := handshake(conn, d.opts.Name, d.opts.Incarnation, a.name)
	if err != nil {
		return false, err
	}
	d.post(func(now time.Duration) {
		if d.agents[a.name] != a {
			// The agent was removed, or has another address, since the dial began.
			conn.Close()
			return
		}
		a.conn, a.clock, a.liveness = conn, agentClock, timing.Liveness{LastSent: now, LastReceived: now}
		a.sequence, a.heard = 0, 0
		d.scheduler.AgentConnected(now, a.name, welcome.Incarnation)
	})
	for {
		var r link.Report
		if err := conn.Read(&r); err != nil {
			return true, err
		}
		receivedAt := clock.SinceBoot()
		d.post(func(now time.Duration) {
			if a.conn == conn && d.agents[a.name] == a {
				a.reported(now, r.Sequence, d.scheduler.HasTasks(a.name))
				a.clock.Observe(receivedAt, time.Duration(r.ClockMS)*time.Millisecond)
				d.scheduler.AgentReported(now, a.name, &r)
			}
		})
	}
}

// handshake exchanges the first messages with an agent, and returns its message and its clock.
func handshake(conn *link.Conn, entry string, incarnation uint64, agent string) (w link.Welcome, agentClock timing.PeerClock, err error) {
	if err := conn.Send(&link.Hello{Protocol: link.Protocol, Entry: entry, Incarnation: incarnation}); err != nil {
		return w, agentClock, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(welcomeTimeout))
	if err := conn.ReadFirst(&w); err != nil {
		return w, agentClock, err
	}
	agentClock.Observe(clock.SinceBoot(), time.Duration(w.ClockMS)*time.Millisecond)
	switch {
	case w.Protocol != link.Protocol:
		return w, agentClock, errors.Errorf("agent uses protocol version %d, want %d", w.Protocol, link.Protocol)
	case w.Agent != agent:
		return w, agentClock, errors.Errorf("got agent %q at the address of agent %q", w.Agent, agent)
	}
	return w, agentClock, conn.SetReadDeadline(time.Time{})
}

// connectionLost records the loss of the connection to an agent.
func (d *Dispatcher) connectionLost(now time.Duration, a *agent, err error) {
	if a.conn == nil || d.agents[a.name] != a {
		return
	}
	a.conn = nil
	d.metrics.connectionsLost.Inc(1)
	cause := "closed"
	if err != nil && !errors.Is(err, net.ErrClosed) {
		cause = err.Error()
	}
	d.scheduler.AgentDisconnected(now, a.name, cause)
}

// pingAgents pings agents to which nothing was sent for an interval, and closes
// connections on which nothing was received in time.
func (d *Dispatcher) pingAgents(now time.Duration) {
	for name, a := range d.agents {
		if a.conn == nil {
			continue
		}
		active := d.scheduler.Active(name)
		ping, lost := a.liveness.Check(now, d.scheduler.HasTasks(name), active, d.opts.Timings)
		if lost {
			conn := a.conn
			d.connectionLost(now, a, errors.Errorf("silent for %v", now-a.liveness.LastReceived))
			conn.Close()
			continue
		}
		if ping {
			a.send(now, d.callersKnownAt(now), &link.Commands{Waiting: d.scheduler.HasWaitingJobs(), Inactive: !active, Evacuation: d.scheduler.Evacuation(name)})
		}
	}
}
