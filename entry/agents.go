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
	// conn is nil after the connection is lost, until the agent reconnects.
	conn           *transport.Conn
	connectedAt    time.Time
	disconnectedAt time.Time
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
	version, ok := postAndWait(ctx, e, func(ls *loopState) uint64 { return ls.rosterVersion() })
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
	if !e.post(ctx, func(ls *loopState) { ls.agentConnected(a) }) {
		return
	}
	for {
		m, err := conn.Receive()
		if err != nil {
			e.post(ctx, func(ls *loopState) { ls.agentDisconnected(a, err) })
			return
		}
		select {
		case e.events <- event{agent: a, msg: m}:
		case <-ctx.Done():
			return
		}
	}
}

func (ls *loopState) agentConnected(a *agentConn) {
	now, h := ls.now(), a.hello
	if old, ok := ls.agentByWorker[h.Name]; ok && old != a.id {
		// The worker's agent was restarted, so the ledger of its old
		// incarnation is lost.
		ls.discardAgent(old)
	}
	ls.agentByWorker[h.Name] = a.id
	ag := ls.agents[a.id]
	if ag == nil {
		ag = &agentState{id: a.id, inFlight: map[taskID]inFlightTask{}}
		ls.agents[a.id] = ag
	} else if ag.conn != nil {
		ls.markAgentDisconnected(ag, now)
	}
	if ag.worker != h.Name && ls.agentByWorker[ag.worker] == a.id {
		// The agent has reconnected under another name.
		delete(ls.agentByWorker, ag.worker)
		delete(ls.workers, ag.worker)
		clear(ls.outlooks)
	}
	ag.worker, ag.zone, ag.services, ag.load, ag.conn, ag.connectedAt = h.Name, h.Zone, h.Services, h.Load, a.conn, now
	ag.pendingSettles, ag.sentRosterVersion, ag.sentConfigVersion = 0, h.RosterVersion, 0
	ls.placement.AgentConnected(placement.Agent{ID: a.id, Worker: h.Name, Zone: h.Zone, Services: h.Services, Load: h.Load}, now)
	ls.recordWorker(ag, now)
	ls.e.log.WithField("worker", h.Name).WithField("agent", a.id).Info("agent connected")
	ls.pushUpdates(ag)
	ls.settleInFlight(ag)
	ls.checkReady()
}

// settleInFlight settles the tasks whose state became unknown when the
// connection was lost, and stops the other tasks in flight, whose jobs have
// ended.
func (ls *loopState) settleInFlight(ag *agentState) {
	ag.conn.AddPendingReplies(len(ag.inFlight))
	settled := map[taskID]bool{}
	for _, a := range ls.jobs.AgentReconnected(ag.id) {
		settled[taskID{a.Key, a.Task}] = true
		ls.settle(a)
	}
	for k := range ag.inFlight {
		if !settled[k] {
			ls.sendSettle(ag, k.key, k.task, true, false)
		}
	}
}

func (ls *loopState) agentDisconnected(a *agentConn, cause error) {
	ag := ls.agents[a.id]
	if ag == nil || ag.conn != a.conn {
		return
	}
	level := logrus.WarnLevel
	if ag.load.Leaving && len(ag.inFlight) == 0 {
		level = logrus.InfoLevel
	}
	ls.e.log.WithField("worker", ag.worker).WithField("agent", a.id).WithError(cause).Log(level, "agent connection lost")
	ls.e.metrics.connectionsLost.Inc(1)
	ls.markAgentDisconnected(ag, ls.now())
}

func (ls *loopState) markAgentDisconnected(ag *agentState, now time.Time) {
	ag.conn.Close(nil)
	ag.conn, ag.disconnectedAt = nil, now
	ls.placement.AgentDisconnected(ag.id)
	ls.recordWorker(ag, now)
	ls.jobs.AgentDisconnected(ag.id, now)
}

// discardDisconnectedAgents discards the agents that did not reconnect within
// jobs.SettleWait.
func (ls *loopState) discardDisconnectedAgents(now time.Time) {
	for id, ag := range ls.agents {
		if ag.conn == nil && now.Sub(ag.disconnectedAt) >= jobs.SettleWait {
			ls.discardAgent(id)
		}
	}
}

func (ls *loopState) discardAgent(id uint64) {
	ag := ls.agents[id]
	if ag == nil {
		return
	}
	if ag.conn != nil {
		ag.conn.Close(nil)
		ls.placement.AgentDisconnected(id)
	}
	ls.apply(ls.jobs.AgentLost(id))
	now := ls.now()
	for _, f := range ag.inFlight {
		if f.reserved {
			ls.releaseSlot(id, f, now)
		}
	}
	delete(ls.agents, id)
	if ls.agentByWorker[ag.worker] == id {
		delete(ls.agentByWorker, ag.worker)
	}
}

func (ls *loopState) handleMessage(a *agentConn, m wire.Message) {
	ag := ls.agents[a.id]
	if ag == nil {
		return
	}
	now := ls.now()
	switch m := m.(type) {
	case *wire.Result:
		ls.updateLoad(ag, m.Load, nil, now)
		outcome := m.Outcome
		if outcome == wire.OutcomeRefused && m.Reason == wire.ReasonLeaving {
			// The worker has not failed. Counted as failures, refusals of a drain or an
			// evacuation could eject it when it takes tasks again.
			outcome = 0
		}
		ls.removeInFlight(ag, taskID{m.Key, m.Task}, outcome, m.RunTimeUS, now)
		ls.trackFinished(m.Key, func() { ls.applyWithRetryBudget(ls.jobs.Result(a.id, m)) })
	case *wire.Settled:
		ls.handleSettled(ag, a, m, now)
	case *wire.LoadReport:
		ls.e.metrics.loadReports.Inc(1)
		ls.updateLoad(ag, m.Load, m.Services, now)
	}
}

func (ls *loopState) updateLoad(ag *agentState, l wire.Load, services []string, now time.Time) {
	ag.load = l
	if services != nil {
		ag.services = services
		ls.checkReady()
	}
	ls.placement.UpdateLoad(ag.id, l, services, now)
	ls.recordWorker(ag, now)
}

func (ls *loopState) handleSettled(ag *agentState, a *agentConn, m *wire.Settled, now time.Time) {
	// An agent also answers a repeated Start with a Settled, so there may be no
	// pending Settle.
	if ag.conn == a.conn && ag.pendingSettles > 0 {
		ag.pendingSettles--
		a.conn.AddPendingReplies(-1)
	}
	ls.updateLoad(ag, m.Load, nil, now)
	if m.Task == ledger.WholeKey {
		ls.handleCloseReply(a.id, m)
		return
	}
	k := taskID{m.Key, m.Task}
	switch m.State {
	case wire.StateRunning:
		if _, ok := ag.inFlight[k]; !ok && ls.jobs.Job(m.Key) != nil && ag.conn != nil {
			ag.inFlight[k] = inFlightTask{}
			ag.conn.AddPendingReplies(1)
		}
	case wire.StateFinished:
		ls.removeInFlight(ag, k, m.Result.Outcome, m.Result.RunTimeUS, now)
	default:
		ls.removeInFlight(ag, k, 0, 0, now)
	}
	ls.trackFinished(m.Key, func() { ls.applyWithRetryBudget(ls.jobs.Settled(a.id, m)) })
}

// removeInFlight removes a task from the tasks in flight and frees its slot.
func (ls *loopState) removeInFlight(ag *agentState, k taskID, o wire.Outcome, runTimeUS uint64, now time.Time) {
	f, ok := ag.inFlight[k]
	if !ok {
		return
	}
	delete(ag.inFlight, k)
	if ag.conn != nil {
		ag.conn.AddPendingReplies(-1)
	}
	if f.reserved {
		d := placement.TaskEnd{Service: f.service, Type: f.typ, Class: f.class, Outcome: o, RunTime: time.Duration(runTimeUS) * time.Microsecond}
		ls.placement.TaskEnded(ag.id, d, now)
	}
}

// pushUpdates sends the roster and the worker's part of the configuration if
// the agent does not have them yet. updateGauges repeats the call, so that a
// message that did not fit in the send queue is sent later.
func (ls *loopState) pushUpdates(ag *agentState) {
	if ag.conn == nil {
		return
	}
	if r := ls.resolver.Roster(); r != nil && ag.sentRosterVersion < r.Version {
		b, err := json.Marshal(r)
		if err == nil && ag.conn.Send(&wire.RosterUpdate{Version: r.Version, Roster: b}) == nil {
			ag.sentRosterVersion = r.Version
		}
	}
	if ag.sentConfigVersion >= ls.config.Version {
		return
	}
	m := &wire.WorkerConfig{Version: ls.config.Version, Drain: ls.config.Evacuated(ag.zone)}
	if w, ok := ls.config.Worker(ag.worker); ok {
		m.Drain, m.Services = m.Drain || w.Drain, w.Services
	}
	if ag.conn.Send(m) == nil {
		ag.sentConfigVersion = ls.config.Version
	}
}
