package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesamelift/sesamelift/jobs"
	"github.com/sesamelift/sesamelift/ledger"
	"github.com/sesamelift/sesamelift/placement"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

// agentState is what the core loop knows of an agent incarnation. It outlives
// the connection by jobs.SettleWait.
type agentState struct {
	id           uint64
	worker, zone string
	services     []string
	load         wire.Load
	// conn is nil while the agent is lost.
	conn   *transport.Conn
	lostAt time.Time
	// settles is the number of Settle messages on conn without an answer.
	settles int
	flights map[flightKey]flight
	// roster and config are the versions that were sent on conn.
	roster, config uint64
}

// acceptLoop serves the connections of agents and of other entries.
func (e *Entry) acceptLoop(ctx context.Context) error {
	err := e.listener.Serve(ctx, func(p *transport.Pending) {
		if p.Hello.Role == transport.RoleAgent {
			e.serveAgent(ctx, p)
			return
		}
		e.peers.serve(ctx, p)
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serveAgent is the reader loop of one agent connection.
func (e *Entry) serveAgent(ctx context.Context, p *transport.Pending) {
	version, ok := ask(ctx, e, func(c *core) uint64 { return c.rosterVersion() })
	if !ok {
		return
	}
	if version == 0 {
		_ = p.Refuse("the entry is not ready")
		return
	}
	conn, err := p.Accept(&wire.Welcome{
		Name: e.self.Name, Incarnation: e.self.Incarnation, RosterVersion: version, ConfigVersion: e.configVersion(),
	})
	if err != nil {
		return
	}
	a := &agentConn{id: p.Hello.Incarnation, hello: p.Hello, conn: conn}
	defer conn.Close(nil)
	stop := context.AfterFunc(ctx, func() { conn.Close(nil) })
	defer stop()
	if !e.post(ctx, func(c *core) { c.agentUp(a) }) {
		return
	}
	for {
		m, err := conn.Receive()
		if err != nil {
			e.post(ctx, func(c *core) { c.agentDown(a, err) })
			return
		}
		select {
		case e.events <- event{agent: a, msg: m}:
		case <-ctx.Done():
			return
		}
	}
}

func (c *core) agentUp(a *agentConn) {
	now, h := c.now(), a.hello
	if old, ok := c.workers[h.Name]; ok && old != a.id {
		// The worker's agent was restarted: its ledger is gone.
		c.agentGone(old)
	}
	c.workers[h.Name] = a.id
	ag := c.agents[a.id]
	if ag == nil {
		ag = &agentState{id: a.id, flights: map[flightKey]flight{}}
		c.agents[a.id] = ag
	} else if ag.conn != nil {
		c.lose(ag, now)
	}
	ag.worker, ag.zone, ag.services, ag.load, ag.conn = h.Name, h.Zone, h.Services, h.Load, a.conn
	ag.settles, ag.roster, ag.config = 0, h.RosterVersion, 0
	c.placement.AgentUp(placement.Agent{ID: a.id, Worker: h.Name, Zone: h.Zone, Services: h.Services, Load: h.Load}, now)
	c.e.log.WithField("worker", h.Name).WithField("agent", a.id).Info("agent connected")
	c.push(ag)
	c.resume(ag)
	c.checkReady()
}

// resume settles the tasks whose state became unknown with the connection.
func (c *core) resume(ag *agentState) {
	ag.conn.Expect(len(ag.flights))
	wanted := map[flightKey]bool{}
	for _, a := range c.jobs.AgentBack(ag.id) {
		wanted[flightKey{a.Key, a.Task}] = true
		c.settle(a)
	}
	for k := range ag.flights {
		if !wanted[k] {
			c.sendSettle(ag, k.key, k.task, true, false)
		}
	}
}

func (c *core) agentDown(a *agentConn, cause error) {
	ag := c.agents[a.id]
	if ag == nil || ag.conn != a.conn {
		return
	}
	level := logrus.WarnLevel
	if ag.load.Leaving && len(ag.flights) == 0 {
		level = logrus.InfoLevel
	}
	c.e.log.WithField("worker", ag.worker).WithField("agent", a.id).WithError(cause).Log(level, "agent connection is lost")
	c.e.metrics.agentsLost.Inc(1)
	c.lose(ag, c.now())
}

func (c *core) lose(ag *agentState, now time.Time) {
	ag.conn.Close(nil)
	ag.conn, ag.lostAt = nil, now
	c.placement.AgentDown(ag.id)
	c.jobs.AgentLost(ag.id, now)
}

// dropLost gives up agents that did not return in time.
func (c *core) dropLost(now time.Time) {
	for id, ag := range c.agents {
		if ag.conn == nil && now.Sub(ag.lostAt) >= jobs.SettleWait {
			c.agentGone(id)
		}
	}
}

func (c *core) agentGone(id uint64) {
	ag := c.agents[id]
	if ag == nil {
		return
	}
	if ag.conn != nil {
		ag.conn.Close(nil)
		c.placement.AgentDown(id)
	}
	c.apply(c.jobs.AgentGone(id))
	now := c.now()
	for _, f := range ag.flights {
		if f.reserved {
			c.unreserve(id, f, now)
		}
	}
	delete(c.agents, id)
	if c.workers[ag.worker] == id {
		delete(c.workers, ag.worker)
	}
}

// message handles a message of an agent.
func (c *core) message(a *agentConn, m wire.Message) {
	ag := c.agents[a.id]
	if ag == nil {
		return
	}
	now := c.now()
	switch m := m.(type) {
	case *wire.Result:
		c.report(ag, m.Load, nil, now)
		c.land(ag, flightKey{m.Key, m.Task}, m.Outcome, m.RunTimeUS, now)
		c.progress(m.Key, func() { c.again(c.jobs.Result(a.id, m)) })
	case *wire.Settled:
		c.settled(ag, a, m, now)
	case *wire.LoadReport:
		c.e.metrics.loads.Inc(1)
		c.report(ag, m.Load, m.Services, now)
	}
}

func (c *core) report(ag *agentState, l wire.Load, services []string, now time.Time) {
	ag.load = l
	if services != nil {
		ag.services = services
	}
	c.placement.Report(ag.id, l, services, now)
}

func (c *core) settled(ag *agentState, a *agentConn, m *wire.Settled, now time.Time) {
	// An agent also answers a repeated Start with a Settled.
	if ag.conn == a.conn && ag.settles > 0 {
		ag.settles--
		a.conn.Expect(-1)
	}
	c.report(ag, m.Load, nil, now)
	if m.Task == ledger.WholeJob {
		c.closed(a.id, m)
		return
	}
	k := flightKey{m.Key, m.Task}
	switch m.State {
	case wire.StateRunning:
		if _, ok := ag.flights[k]; !ok && c.jobs.Job(m.Key) != nil && ag.conn != nil {
			ag.flights[k] = flight{}
			ag.conn.Expect(1)
		}
	case wire.StateFinished:
		c.land(ag, k, m.Result.Outcome, m.Result.RunTimeUS, now)
	default:
		c.land(ag, k, 0, 0, now)
	}
	c.progress(m.Key, func() { c.again(c.jobs.Settled(a.id, m)) })
}

// land ends a flight and frees its slot.
func (c *core) land(ag *agentState, k flightKey, o wire.Outcome, runTimeUS uint64, now time.Time) {
	f, ok := ag.flights[k]
	if !ok {
		return
	}
	delete(ag.flights, k)
	if ag.conn != nil {
		ag.conn.Expect(-1)
	}
	if f.reserved {
		d := placement.Done{Service: f.service, Type: f.typ, Class: f.class, Outcome: o, RunTime: time.Duration(runTimeUS) * time.Microsecond}
		c.placement.Done(ag.id, d, now)
	}
}

// push sends the roster and the worker's part of the configuration, unless the
// agent has them. It runs again until the messages have found room.
func (c *core) push(ag *agentState) {
	if ag.conn == nil {
		return
	}
	if r := c.own.Roster(); r != nil && ag.roster < r.Version {
		b, err := json.Marshal(r)
		if err == nil && ag.conn.Send(&wire.RosterUpdate{Version: r.Version, Roster: b}) == nil {
			ag.roster = r.Version
		}
	}
	if ag.config >= c.config.Version {
		return
	}
	m := &wire.WorkerConfig{Version: c.config.Version}
	if w, ok := c.config.Worker(ag.worker); ok {
		m.Drain, m.Services = w.Drain, w.Services
	}
	if ag.conn.Send(m) == nil {
		ag.config = c.config.Version
	}
}
