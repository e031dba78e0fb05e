package interleaving

import (
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/timing"
)

// Constants of package dispatchd.
const (
	entryTick      = 20 * ms
	welcomeTimeout = time.Second
)

// entryLink is what an entry knows of an agent.
type entryLink struct {
	agent    *agent
	conn     *end
	sequence uint64
	liveness timing.Liveness
	clock    timing.PeerClock
}

// entry is package dispatchd around the scheduler of package dispatch.
type entry struct {
	process
	w           *world
	scheduler   *dispatch.Scheduler
	links       map[string]*entryLink
	waiters     map[string][]*submission
	open        []*submission
	lastWake    time.Duration
	incarnation uint64
}

func (e *entry) begin() {
	e.incarnation++
	e.scheduler = dispatch.New(dispatch.Options{
		RestartDelay: e.w.timings.RestartDelay, RackSlowdown: 1, Zone: "z", Seed: e.incarnation*100 + uint64(e.name[1]), StartedAt: e.now, MaxWaitingJobs: 2000,
	})
	e.links, e.waiters, e.open, e.lastWake = map[string]*entryLink{}, map[string][]*submission{}, nil, e.now
	e.scheduler.SetEvacuated(e.now, e.w.evacuations, e.w.evacuatedZones())
	e.tick = func(time.Duration) {
		now := e.checkSuspension()
		e.pingAgents(now)
		e.scheduler.Tick(now)
	}
	e.flush, e.maxBatchTime = e.applyActions, 20*ms
	e.start(entryTick)
	for _, a := range e.w.agents {
		l := &entryLink{agent: a}
		e.links[a.name] = l
		lostAt := e.now
		e.run(e.between(0, 10*ms), func() { e.dial(l, lostAt) })
	}
}

func (e *entry) checkSuspension() time.Duration {
	now := e.now
	if gap := now - e.lastWake; gap > e.w.timings.MaxSuspension {
		e.scheduler.ProcessSuspended(now, gap)
	}
	e.lastWake = now
	return now
}

// dial connects to an agent and reads its reports, as dialLoop does.
func (e *entry) dial(l *entryLink, lostAt time.Duration) {
	timeout, _ := timing.Redial(e.now - lostAt)
	retry := func(lostAt time.Duration) {
		_, pause := timing.Redial(e.now - lostAt)
		e.run(pause, func() { e.dial(l, lostAt) })
	}
	blocked := func() bool {
		return e.w.cuts.blocked(e.name, l.agent.name, entrySide) || e.w.cuts.blocked(e.name, l.agent.name, agentSide)
	}
	if blocked() {
		e.run(timeout, func() { retry(lostAt) })
		return
	}
	if !l.agent.alive {
		e.run(2*latency, func() { retry(lostAt) })
		return
	}
	c := e.w.dial(e, l.agent)
	en := c.ends[entrySide]
	l.agent.accept(c.ends[agentSide])
	connected := false
	en.received = func(m any) {
		switch m := m.(type) {
		case nil:
			en.close()
			if connected {
				lostAt = e.now
				e.post(func(time.Duration) { e.connectionLost(e.checkSuspension(), l) })
			}
			retry(lostAt)
		case *link.Welcome:
			connected = true
			receivedAt := e.now
			e.post(func(time.Duration) {
				now := e.checkSuspension()
				l.conn, l.liveness = en, timing.Liveness{LastSent: now, LastReceived: now}
				l.clock.Observe(receivedAt, time.Duration(m.ClockMS)*ms)
				e.scheduler.AgentConnected(now, l.agent.name, m.Incarnation)
			})
		case *link.Report:
			receivedAt := e.now
			e.post(func(time.Duration) {
				now := e.checkSuspension()
				if l.conn == en {
					l.liveness.LastReceived = now
					l.clock.Observe(receivedAt, time.Duration(m.ClockMS)*ms)
					e.scheduler.AgentReported(now, l.agent.name, m)
				}
			})
		}
	}
	en.send(&link.Hello{Protocol: link.Protocol, Entry: e.name, Incarnation: e.incarnation})
	e.run(welcomeTimeout, func() {
		if !connected {
			en.close()
		}
	})
}

func (e *entry) connectionLost(now time.Duration, l *entryLink) {
	if l.conn != nil {
		l.conn = nil
		e.scheduler.AgentDisconnected(now, l.agent.name, "lost")
	}
}

func (e *entry) pingAgents(now time.Duration) {
	for _, a := range e.w.agents {
		l := e.links[a.name]
		if l.conn == nil {
			continue
		}
		active := e.scheduler.Active(a.name)
		ping, lost := l.liveness.Check(now, e.scheduler.HasTasks(a.name), active, e.w.timings)
		if lost {
			c := l.conn
			e.connectionLost(now, l)
			c.close()
			continue
		}
		if ping {
			e.send(now, l, &link.Commands{Waiting: e.scheduler.HasWaitingJobs(), Inactive: !active, Evacuation: e.scheduler.Evacuation(a.name)})
		}
	}
}

func (e *entry) send(now time.Duration, l *entryLink, c *link.Commands) {
	if l.conn == nil {
		return
	}
	l.sequence++
	c.Sequence, c.AsOfMS = l.sequence, l.clock.At(now).Milliseconds()
	l.liveness.LastSent = now
	l.conn.send(c)
}

func (e *entry) applyActions() {
	now := e.checkSuspension()
	out := e.scheduler.TakeActions(now)
	for i := range out.Commands {
		c := &out.Commands[i]
		for j := range c.Starts {
			e.w.starts[startKey{e.name + ">" + c.Worker, runKey{c.Starts[j].Task, c.Starts[j].Attempt}}] = startInfo{entry: e.name, sentAt: now}
			e.w.note(c.Starts[j].Task.Job, e.name, "start of %v attempt %d sent to %s", c.Starts[j].Task, c.Starts[j].Attempt, c.Worker)
		}
		e.send(now, e.links[c.Worker], &link.Commands{
			Starts: c.Starts, Stops: c.Stops, Claims: c.Claims, Waiting: e.scheduler.HasWaitingJobs(), Inactive: c.Inactive, Evacuation: e.scheduler.Evacuation(c.Worker), KnownSpeed: c.KnownSpeed, CountKinds: c.CountKinds,
		})
	}
	for _, answer := range out.Answers {
		for _, s := range e.waiters[answer.Job] {
			e.answer(s, answer.Verdict)
		}
		delete(e.waiters, answer.Job)
	}
	e.w.log(e.name, out.LogLines)
}

// submission is one request of a caller.
type submission struct {
	job   *job
	entry *entry
	epoch int
	// ended says that the caller waits no more, gone that the entry's host has heard of it.
	ended, gone bool
}

// arrive handles a request that has reached the host of the entry.
func (e *entry) arrive(s *submission) {
	s.epoch = e.epoch
	e.open = append(e.open, s)
	e.run(0, func() {
		receivedAt := e.now
		e.post(func(time.Duration) {
			now := e.checkSuspension()
			if s.gone {
				return
			}
			j := s.job.submission(receivedAt)
			if v := e.scheduler.Submit(now, j); v != nil {
				e.answer(s, v)
				return
			}
			e.waiters[j.ID] = append(e.waiters[j.ID], s)
		})
	})
}

// callerGone handles the end of a caller's connection at the host of the entry.
func (e *entry) callerGone(s *submission) {
	s.gone = true
	e.run(0, func() {
		e.postUrgent(func(time.Duration) {
			now := e.checkSuspension()
			id := s.job.id
			e.waiters[id] = slices.DeleteFunc(e.waiters[id], func(o *submission) bool { return o == s })
			if len(e.waiters[id]) > 0 {
				return
			}
			delete(e.waiters, id)
			e.scheduler.Cancel(now, id, "the caller has gone")
		})
	})
}

func (e *entry) answer(s *submission, v *api.Verdict) {
	e.run(0, func() {
		e.open = slices.DeleteFunc(e.open, func(o *submission) bool { return o == s })
		e.w.deliverAnswer(s, v)
	})
}

func (e *entry) kill() {
	for _, c := range e.w.conns {
		if en := c.ends[entrySide]; en.p == &e.process && en.epoch == e.epoch {
			en.close()
		}
	}
	for _, s := range e.open {
		e.w.broken(s)
	}
	e.end()
}
