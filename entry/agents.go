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

// agentState is the state of an agent incarnation in the event loop. It is kept
// for jobs.SettleWait after the connection is lost.
type agentState struct {
	id           uint64
	worker, zone string
	services     []string
	load         wire.Load
	// conn is nil while the agent is lost.
	conn   *transport.Conn
	lostAt time.Time
	// pendingSettles is the number of Settle messages on conn that have not
	// been answered.
	pendingSettles int
	inFlight       map[taskID]inFlightTask
	// sentRosterVersion and sentConfigVersion are the versions that were sent
	// on conn.
	sentRosterVersion, sentConfigVersion uint64
}

// acceptLoop accepts and serves the connections of agents and of other entries.
func (e *Entry) acceptLoop(ctx context.Context) error {
	err := e.quicListener.Serve(ctx, func(p *transport.Pending) {
		if p.Hello.Role == transport.RoleAgent {
			e.serveAgent(ctx, p)
			return
		}
		e.peers.serveConn(ctx, p)
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serveAgent accepts an agent connection and passes its messages to the event
// loop.
func (e *Entry) serveAgent(ctx context.Context, p *transport.Pending) {
	version, ok := postAndWait(ctx, e, func(c *loopState) uint64 { return c.rosterVersion() })
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
	if !e.post(ctx, func(c *loopState) { c.agentConnected(a) }) {
		return
	}
	for {
		m, err := conn.Receive()
		if err != nil {
			e.post(ctx, func(c *loopState) { c.agentDisconnected(a, err) })
			return
		}
		select {
		case e.events <- event{agent: a, msg: m}:
		case <-ctx.Done():
			return
		}
	}
}

func (c *loopState) agentConnected(a *agentConn) {
	now, h := c.now(), a.hello
	if old, ok := c.agentByWorker[h.Name]; ok && old != a.id {
		// The worker's agent was restarted, so the ledger of its old
		// incarnation is lost.
		c.discardAgent(old)
	}
	c.agentByWorker[h.Name] = a.id
	ag := c.agents[a.id]
	if ag == nil {
		ag = &agentState{id: a.id, inFlight: map[taskID]inFlightTask{}}
		c.agents[a.id] = ag
	} else if ag.conn != nil {
		c.markAgentLost(ag, now)
	}
	ag.worker, ag.zone, ag.services, ag.load, ag.conn = h.Name, h.Zone, h.Services, h.Load, a.conn
	ag.pendingSettles, ag.sentRosterVersion, ag.sentConfigVersion = 0, h.RosterVersion, 0
	c.placement.AgentUp(placement.Agent{ID: a.id, Worker: h.Name, Zone: h.Zone, Services: h.Services, Load: h.Load}, now)
	c.e.log.WithField("worker", h.Name).WithField("agent", a.id).Info("agent connected")
	c.pushUpdates(ag)
	c.settleInFlight(ag)
	c.checkReady()
}

// settleInFlight settles the tasks whose state became unknown when the
// connection was lost, and stops the other tasks in flight.
func (c *loopState) settleInFlight(ag *agentState) {
	ag.conn.Expect(len(ag.inFlight))
	wanted := map[taskID]bool{}
	for _, a := range c.jobs.AgentBack(ag.id) {
		wanted[taskID{a.Key, a.Task}] = true
		c.settle(a)
	}
	for k := range ag.inFlight {
		if !wanted[k] {
			c.sendSettle(ag, k.key, k.task, true, false)
		}
	}
}

func (c *loopState) agentDisconnected(a *agentConn, cause error) {
	ag := c.agents[a.id]
	if ag == nil || ag.conn != a.conn {
		return
	}
	level := logrus.WarnLevel
	if ag.load.Leaving && len(ag.inFlight) == 0 {
		level = logrus.InfoLevel
	}
	c.e.log.WithField("worker", ag.worker).WithField("agent", a.id).WithError(cause).Log(level, "agent connection lost")
	c.e.metrics.agentsLost.Inc(1)
	c.markAgentLost(ag, c.now())
}

func (c *loopState) markAgentLost(ag *agentState, now time.Time) {
	ag.conn.Close(nil)
	ag.conn, ag.lostAt = nil, now
	c.placement.AgentDown(ag.id)
	c.jobs.AgentLost(ag.id, now)
}

// discardLostAgents discards the agents that did not reconnect within
// jobs.SettleWait.
func (c *loopState) discardLostAgents(now time.Time) {
	for id, ag := range c.agents {
		if ag.conn == nil && now.Sub(ag.lostAt) >= jobs.SettleWait {
			c.discardAgent(id)
		}
	}
}

func (c *loopState) discardAgent(id uint64) {
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
	for _, f := range ag.inFlight {
		if f.reserved {
			c.releaseSlot(id, f, now)
		}
	}
	delete(c.agents, id)
	if c.agentByWorker[ag.worker] == id {
		delete(c.agentByWorker, ag.worker)
	}
}

// handleMessage handles a message from an agent.
func (c *loopState) handleMessage(a *agentConn, m wire.Message) {
	ag := c.agents[a.id]
	if ag == nil {
		return
	}
	now := c.now()
	switch m := m.(type) {
	case *wire.Result:
		c.updateLoad(ag, m.Load, nil, now)
		c.removeInFlight(ag, taskID{m.Key, m.Task}, m.Outcome, m.RunTimeUS, now)
		c.trackFinished(m.Key, func() { c.requeue(c.jobs.Result(a.id, m)) })
	case *wire.Settled:
		c.handleSettled(ag, a, m, now)
	case *wire.LoadReport:
		c.e.metrics.loads.Inc(1)
		c.updateLoad(ag, m.Load, m.Services, now)
	}
}

func (c *loopState) updateLoad(ag *agentState, l wire.Load, services []string, now time.Time) {
	ag.load = l
	if services != nil {
		ag.services = services
	}
	c.placement.Report(ag.id, l, services, now)
}

func (c *loopState) handleSettled(ag *agentState, a *agentConn, m *wire.Settled, now time.Time) {
	// An agent also answers a repeated Start with a Settled, so that none may
	// be pending.
	if ag.conn == a.conn && ag.pendingSettles > 0 {
		ag.pendingSettles--
		a.conn.Expect(-1)
	}
	c.updateLoad(ag, m.Load, nil, now)
	if m.Task == ledger.WholeJob {
		c.handleKeyClosed(a.id, m)
		return
	}
	k := taskID{m.Key, m.Task}
	switch m.State {
	case wire.StateRunning:
		if _, ok := ag.inFlight[k]; !ok && c.jobs.Job(m.Key) != nil && ag.conn != nil {
			ag.inFlight[k] = inFlightTask{}
			ag.conn.Expect(1)
		}
	case wire.StateFinished:
		c.removeInFlight(ag, k, m.Result.Outcome, m.Result.RunTimeUS, now)
	default:
		c.removeInFlight(ag, k, 0, 0, now)
	}
	c.trackFinished(m.Key, func() { c.requeue(c.jobs.Settled(a.id, m)) })
}

// removeInFlight removes a task from the tasks in flight and frees its slot.
func (c *loopState) removeInFlight(ag *agentState, k taskID, o wire.Outcome, runTimeUS uint64, now time.Time) {
	f, ok := ag.inFlight[k]
	if !ok {
		return
	}
	delete(ag.inFlight, k)
	if ag.conn != nil {
		ag.conn.Expect(-1)
	}
	if f.reserved {
		d := placement.Done{Service: f.service, Type: f.typ, Class: f.class, Outcome: o, RunTime: time.Duration(runTimeUS) * time.Microsecond}
		c.placement.Done(ag.id, d, now)
	}
}

// pushUpdates sends the roster and the worker's part of the configuration if
// the agent does not have them yet. updateGauges calls it again for messages
// that could not be queued.
func (c *loopState) pushUpdates(ag *agentState) {
	if ag.conn == nil {
		return
	}
	if r := c.ownerState.Roster(); r != nil && ag.sentRosterVersion < r.Version {
		b, err := json.Marshal(r)
		if err == nil && ag.conn.Send(&wire.RosterUpdate{Version: r.Version, Roster: b}) == nil {
			ag.sentRosterVersion = r.Version
		}
	}
	if ag.sentConfigVersion >= c.config.Version {
		return
	}
	m := &wire.WorkerConfig{Version: c.config.Version}
	if w, ok := c.config.Worker(ag.worker); ok {
		m.Drain, m.Services = w.Drain, w.Services
	}
	if ag.conn.Send(m) == nil {
		ag.sentConfigVersion = c.config.Version
	}
}
