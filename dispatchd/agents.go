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
)

const (
	// dialTimeout bounds a new connection to an agent.
	dialTimeout = time.Second
	// welcomeTimeout bounds the wait for the agent's first message.
	welcomeTimeout = time.Second
	// redialMin and redialMax bound the pause between two attempts. An agent that
	// is back within its lease can keep its runs.
	redialMin = 50 * time.Millisecond
	redialMax = 700 * time.Millisecond
	// redialSoon is how long after a loss an agent is dialed at redialMin.
	redialSoon = 2 * time.Second
)

// agent is the connection to an agent; the core loop owns it.
type agent struct {
	name     string
	address  string
	cancel   context.CancelFunc
	conn     *link.Conn
	sequence uint64
	sentAt   time.Duration
	heardAt  time.Duration
	// busy says whether tasks are in progress there.
	busy bool
}

func (a *agent) send(now time.Duration, o *link.Orders) {
	if a.conn == nil {
		return
	}
	a.sequence++
	o.Sequence = a.sequence
	a.sentAt = now
	// An error closes the connection, and its reader reports the loss.
	_ = a.conn.Send(o)
}

// setMembers takes over the agents of the directory.
func (d *Dispatcher) setMembers(members map[string]directory.Member) {
	for name, m := range members {
		if m.Role != directory.RoleAgent {
			continue
		}
		a := d.agents[name]
		if a != nil && a.address == m.Address {
			continue
		}
		if a != nil {
			a.cancel()
		}
		d.addAgent(m)
	}
	for name, a := range d.agents {
		if _, ok := members[name]; !ok && a.conn == nil {
			a.cancel()
			delete(d.agents, name)
			d.state.Forget(name)
		}
	}
}

func (d *Dispatcher) addAgent(m directory.Member) {
	ctx, cancel := context.WithCancel(context.Background())
	a := &agent{name: m.Name, address: m.Address, cancel: cancel}
	d.agents[m.Name] = a
	d.o.Log.Add(decisions.Info("agent found", "worker", m.Name, "address", m.Address))
	go d.dialLoop(ctx, a)
}

// dialLoop connects to an agent and reads its reports, again and again.
func (d *Dispatcher) dialLoop(ctx context.Context, a *agent) {
	lostAt := clock.Now()
	for ctx.Err() == nil {
		connected, err := d.serveAgent(ctx, a)
		if connected {
			lostAt = clock.Now()
			d.post(func(now time.Duration) { d.lost(now, a, err) })
		}
		delay := redialMin
		if clock.Now()-lostAt > redialSoon {
			delay = redialMax
		}
		if clock.Now()-lostAt > directory.UnreachableLimit {
			directory.RemoveMember(ctx, d.o.Store, a.name, d.o.Log)
			lostAt = clock.Now()
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
}

// serveAgent makes one connection and reads it until it breaks.
func (d *Dispatcher) serveAgent(ctx context.Context, a *agent) (connected bool, err error) {
	raw, err := link.Dialer(dialTimeout).DialContext(ctx, "tcp", a.address)
	if err != nil {
		return false, err
	}
	conn := link.NewConn(raw)
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	if err := welcome(conn, d.o.Name, d.o.Incarnation, a.name); err != nil {
		return false, err
	}
	d.post(func(now time.Duration) {
		a.conn, a.heardAt, a.sentAt = conn, now, now
		d.state.Connected(now, a.name)
	})
	for {
		var r link.Report
		if err := conn.Read(&r); err != nil {
			return true, err
		}
		d.post(func(now time.Duration) {
			if a.conn == conn {
				a.heardAt = now
				d.state.Reported(now, a.name, &r)
			}
		})
	}
}

func welcome(conn *link.Conn, entry string, incarnation uint64, agent string) error {
	if err := conn.Send(&link.Hello{Protocol: link.Protocol, Entry: entry, Incarnation: incarnation}); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(welcomeTimeout))
	var w link.Welcome
	if err := conn.Read(&w); err != nil {
		return err
	}
	switch {
	case w.Protocol != link.Protocol:
		return errors.Errorf("agent speaks protocol %d, expected %d", w.Protocol, link.Protocol)
	case w.Agent != agent:
		return errors.Errorf("agent %q answers at the address of %q", w.Agent, agent)
	}
	return conn.SetReadDeadline(time.Time{})
}

// lost takes note of a broken connection.
func (d *Dispatcher) lost(now time.Duration, a *agent, err error) {
	if a.conn == nil || d.agents[a.name] != a {
		return
	}
	a.conn = nil
	d.metrics.agentsLost.Inc(1)
	why := "closed"
	if err != nil && !errors.Is(err, net.ErrClosed) {
		why = err.Error()
	}
	d.state.Disconnected(now, a.name, why)
}

// pingAgents shows the agents that this entry lives, and gives up those that
// don't answer.
func (d *Dispatcher) pingAgents(now time.Duration) {
	for name, a := range d.agents {
		if a.conn == nil {
			continue
		}
		interval, silence := idlePing, idlePing+d.o.Timings.Silence
		if d.state.HasTasks(name) {
			interval, silence = d.o.Timings.Ping, d.o.Timings.Silence
			if !a.busy {
				// The time without tasks doesn't count as silence.
				a.busy, a.heardAt = true, max(a.heardAt, now-d.o.Timings.Ping)
			}
		} else {
			a.busy = false
		}
		if now-a.heardAt > silence {
			conn := a.conn
			d.lost(now, a, errors.Errorf("silent for %v", now-a.heardAt))
			conn.Close()
			continue
		}
		if now-a.sentAt >= interval {
			a.send(now, &link.Orders{Waiting: d.state.Waiting()})
		}
	}
}
