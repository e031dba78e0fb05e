package model

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/timing"
)

const (
	// service is the one service of the model.
	service = "service"
	// entryTick and agentTick are the intervals of the event loops, as in packages
	// dispatchd and runnerd.
	entryTick = 20 * time.Millisecond
	agentTick = 25 * time.Millisecond
	// maxWaitingJobs limits the jobs that wait at an entry, as in package dispatchd.
	maxWaitingJobs = 2000
	// drainPeriod is how long an entry that ends gracefully accepts connections.
	drainPeriod = 2800 * time.Millisecond
)

// entryLink is what an entry knows of an agent.
type entryLink struct {
	agent *agent
	// conn is nil while there is no connection.
	conn     *conn
	dialing  bool
	lostAt   time.Duration
	sequence uint64
	liveness timing.Liveness
}

// entry is a simulated entry around the real scheduler.
type entry struct {
	process
	sim   *simulation
	index int
	// weight is EntryGroup.Weight.
	weight    float64
	scheduler *dispatch.Scheduler
	// links holds the agents in the order in which they became known; byName finds them.
	links  []*entryLink
	byName map[string]*entryLink
	// jobs are the jobs in progress.
	jobs             map[string]*jobRun
	uplink, downlink hostLink
	draining         bool
	// cutOff counts the cuts between the entry and all agents, dark the power losses.
	cutOff, dark int
	// downSince is when the entry last began to refuse connections; inRotation uses it.
	downSince time.Duration
	// waitingSum is the sum over all ticks of the jobs that wait while callers submit jobs.
	waitingSum int
}

// startEntry starts the process of an entry. It knows all agents after a while.
func (s *simulation) startEntry(now time.Duration, e *entry) {
	e.start(now)
	e.draining = false
	e.scheduler = dispatch.New(dispatch.Options{
		RestartDelay: s.timings.RestartDelay, RackSlowdown: 1, Zone: e.zone, Seed: s.seed<<16 + uint64(e.index)<<8 + uint64(e.epoch),
		StartedAt: now, MaxWaitingJobs: maxWaitingJobs, Policy: s.policy,
	})
	e.links, e.byName, e.jobs = nil, map[string]*entryLink{}, map[string]*jobRun{}
	s.noteEntries(now)
	e.every(now, entryTick, microseconds(s.scenario.Costs.TickUS), e.tick)
	epoch := e.epoch
	s.engine.at(now+milliseconds(s.scenario.Network.DiscoveryMS), func(now time.Duration) {
		if e.epoch == epoch {
			e.discover(now)
		}
	})
}

// discover connects to the agents that the entry doesn't know yet.
func (e *entry) discover(now time.Duration) {
	for _, a := range e.sim.agents {
		if e.byName[a.name] == nil && !a.removed {
			l := &entryLink{agent: a, lostAt: now}
			e.links, e.byName[a.name] = append(e.links, l), l
			e.dial(now, l)
		}
	}
}

// dial tries to connect to an agent.
func (e *entry) dial(now time.Duration, l *entryLink) {
	if l.conn != nil || l.dialing || l.agent.removed {
		return
	}
	l.dialing = true
	timeout, _ := timing.Redial(now - l.lostAt)
	s, a, epoch := e.sim, l.agent, e.epoch
	roundTrip := 2 * s.latency(e.zone, a.zone)
	if s.cut(e, a) || silent(&a.process, a.dark) {
		e.redial(now+timeout, l)
		return
	}
	e.sim.engine.at(now+roundTrip+roundTrip/2, func(now time.Duration) {
		if e.epoch != epoch {
			return
		}
		if !a.alive || a.draining || s.cut(e, a) {
			e.redial(now+roundTrip/2, l)
			return
		}
		s.connections++
		c := &conn{id: s.connections, entry: e, agent: a, entryEpoch: epoch, agentEpoch: a.epoch, agentOpen: true}
		a.post(now, microseconds(s.scenario.Costs.AgentMessageUS), func(now time.Duration) {
			a.conns[c.id] = c
			a.state.EntryConnected(now, c.id, link.Hello{Protocol: link.Protocol, Entry: e.name, Incarnation: uint64(epoch)})
			s.carry(c, a.clock+s.latency(e.zone, a.zone), func(now time.Duration) {
				if e.epoch != epoch {
					s.entryReachable(now, c)
					return
				}
				c.entryOpen = true
				e.post(now, microseconds(s.scenario.Costs.EntryMessageUS), func(now time.Duration) {
					l.conn, l.dialing = c, false
					l.liveness = timing.Liveness{LastSent: now, LastReceived: now}
					e.scheduler.AgentConnected(now, a.name, uint64(c.agentEpoch))
				})
			})
		})
		// A connection whose welcome doesn't arrive is given up.
		s.engine.at(now+timeout, func(now time.Duration) {
			if e.epoch == epoch && !c.entryOpen {
				e.redial(now, l)
			}
		})
	})
}

// redial dials after the pause that follows an attempt that failed at t.
func (e *entry) redial(t time.Duration, l *entryLink) {
	epoch := e.epoch
	_, pause := timing.Redial(t - l.lostAt)
	e.sim.engine.at(t+pause, func(now time.Duration) {
		if e.epoch == epoch {
			l.dialing = false
			e.dial(now, l)
		}
	})
}

// connectionLost records the end of a connection, and dials anew.
func (e *entry) connectionLost(now time.Duration, c *conn, why string) {
	l := e.byName[c.agent.name]
	if !c.entryOpen || l == nil || l.conn != c {
		return
	}
	c.entryOpen = false
	l.conn, l.lostAt = nil, now
	e.scheduler.AgentDisconnected(now, l.agent.name, why)
	e.redial(now, l)
}

// received handles a report of an agent.
func (e *entry) received(now time.Duration, c *conn, r *link.Report) {
	l := e.byName[c.agent.name]
	if l == nil || l.conn != c {
		return
	}
	l.liveness.LastReceived = now
	e.scheduler.AgentReported(now, l.agent.name, r)
}

func (e *entry) tick(now time.Duration) {
	for _, l := range e.links {
		if l.conn == nil {
			continue
		}
		active := e.scheduler.Active(l.agent.name)
		ping, lost := l.liveness.Check(now, e.scheduler.HasTasks(l.agent.name), active, e.sim.timings)
		switch {
		case lost:
			c := l.conn
			e.connectionLost(now, c, "silent")
			e.sim.tellAgent(now, c, "closed")
		case ping:
			e.send(now, l, &link.Commands{Waiting: e.scheduler.HasWaitingJobs(), Inactive: !active})
		}
	}
	e.scheduler.Tick(now)
	if s := e.sim; now >= warmUp && now < warmUp+milliseconds(s.scenario.DurationMS) {
		e.waitingSum += e.scheduler.Stats().WaitingJobs
	}
}

func (e *entry) send(now time.Duration, l *entryLink, m *link.Commands) {
	l.sequence++
	m.Sequence, m.AsOfMS = l.sequence, now.Milliseconds()
	l.liveness.LastSent = now
	e.sim.sendCommands(l.conn, m)
}

// applyActions carries out what the scheduler decided.
func (e *entry) applyActions(now time.Duration) {
	out := e.scheduler.TakeActions(now)
	for i := range out.Commands {
		c := &out.Commands[i]
		e.sim.starts += int64(len(c.Starts))
		if l := e.byName[c.Worker]; l != nil && l.conn != nil {
			e.send(now, l, &link.Commands{Starts: c.Starts, Stops: c.Stops, Claims: c.Claims, Waiting: e.scheduler.HasWaitingJobs(), Inactive: c.Inactive, KnownSpeed: c.KnownSpeed, CountKinds: c.CountKinds})
		}
	}
	for _, answer := range out.Answers {
		e.answer(answer.Job, answer.Verdict)
	}
}

// answer sends the answer to the caller of a job.
func (e *entry) answer(id string, v *api.Verdict) {
	r := e.jobs[id]
	if r == nil {
		return
	}
	delete(e.jobs, id)
	e.sim.answered(e.uplink.transmit(e.clock, answerBytes)+e.sim.clientLatency(), r, v)
}

// submit handles a job that has arrived.
func (e *entry) submit(now, arrivedAt time.Duration, r *jobRun) {
	e.jobs[r.spec.id] = r
	if v := e.scheduler.Submit(now, r.spec.submission(arrivedAt)); v != nil {
		e.answer(r.spec.id, v)
	}
}

// leave handles a caller that has disconnected.
func (e *entry) leave(now time.Duration, r *jobRun) {
	if e.jobs[r.spec.id] == r {
		delete(e.jobs, r.spec.id)
		e.scheduler.Cancel(now, r.spec.id, "the caller has gone")
	}
}

// endEntry ends the process of an entry. Its peers are told unless it went dark.
func (s *simulation) endEntry(now time.Duration, e *entry) {
	if !e.alive {
		return
	}
	for _, l := range e.links {
		if c := l.conn; c != nil {
			c.entryOpen = false
			if e.dark == 0 {
				s.tellAgent(now, c, "reset")
			}
		}
	}
	e.downSince = now
	e.end()
	s.noteEntries(now)
	ids := make([]string, 0, len(e.jobs))
	for id := range e.jobs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, cmp.Compare[string])
	for _, id := range ids {
		s.connectionBroken(now, e.jobs[id], e.dark > 0)
	}
	e.jobs = nil
}

// drainEntry ends an entry gracefully and calls ended when it has ended.
func (s *simulation) drainEntry(now time.Duration, e *entry, ended func(now time.Duration)) {
	e.draining, e.downSince = true, now
	s.noteEntries(now)
	epoch := e.epoch
	var check func(now time.Duration)
	check = func(now time.Duration) {
		switch {
		case e.epoch != epoch:
		case len(e.jobs) == 0:
			s.endEntry(now, e)
			ended(now)
		default:
			s.engine.at(now+entryTick, check)
		}
	}
	s.engine.at(now+drainPeriod, check)
}
