package model

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/runner"
)

const (
	// callLatency is the time between an agent and its worker in one direction.
	callLatency = 100 * time.Microsecond
	// announceInterval is how often a worker announces itself.
	announceInterval = 1500 * time.Millisecond
	// renewTimeoutMargin, maxCallAttempts and minCallInterval are as in packages
	// platform and runnerd.
	renewTimeoutMargin = 40 * time.Millisecond
	maxCallAttempts    = 5
	minCallInterval    = 20 * time.Millisecond
)

// agent is a simulated agent around the real state machine, with its worker.
type agent struct {
	process
	sim    *simulation
	state  *runner.State
	conns  map[runner.ConnID]*conn
	worker *worker
	random *rand.Rand
	// cutOff counts the cuts between the agent and all entries, dark the power losses.
	cutOff, dark int
	draining     bool
	// removed is set when the worker has left for good.
	removed bool
	// stored is the announcement in the store.
	stored *runner.Announcement
}

func (s *simulation) startAgent(now time.Duration, a *agent) {
	a.start(now)
	a.draining = false
	a.state = runner.New(now, runner.Options{
		Lease: s.timings.Lease, SilenceTimeout: s.timings.SilenceTimeout, ReconnectGrace: s.timings.ReconnectGrace, MaxStopTime: maxStopTime,
	})
	a.conns = map[runner.ConnID]*conn{}
	a.every(now, agentTick, microseconds(s.scenario.Costs.TickUS), func(now time.Duration) { a.state.Tick(now) })
	if a.stored != nil {
		epoch, stored := a.epoch, *a.stored
		s.engine.at(now+milliseconds(s.scenario.Network.DiscoveryMS), func(now time.Duration) {
			if a.epoch == epoch {
				a.post(now, 0, func(now time.Duration) { a.state.RestoreWorker(now, stored) })
			}
		})
	}
	a.post(now, 0, func(time.Duration) {})
}

// endAgent ends the process of an agent.
func (s *simulation) endAgent(now time.Duration, a *agent) {
	if !a.alive {
		return
	}
	for _, c := range a.sortedConns() {
		c.agentOpen = false
		if a.dark == 0 {
			s.tellEntry(now, c, "reset")
		}
	}
	a.end()
}

func (a *agent) sortedConns() []*conn {
	conns := make([]*conn, 0, len(a.conns))
	for _, c := range a.conns {
		conns = append(conns, c)
	}
	slices.SortFunc(conns, func(x, y *conn) int { return cmp.Compare(x.id, y.id) })
	return conns
}

// drainAgent ends an agent gracefully and calls ended when it has ended.
func (s *simulation) drainAgent(now time.Duration, a *agent, ended func(now time.Duration)) {
	a.draining = true
	a.post(now, 0, func(now time.Duration) { a.state.Drain(now) })
	epoch := a.epoch
	var check func(now time.Duration)
	check = func(now time.Duration) {
		switch {
		case a.epoch != epoch:
		case a.state.Runs() == 0:
			s.endAgent(now, a)
			ended(now)
		default:
			s.engine.at(now+agentTick, check)
		}
	}
	s.engine.at(now+agentTick, check)
}

// announce passes an announcement of the worker to the agent.
func (a *agent) announce(now time.Duration, announcement runner.Announcement) {
	a.post(now, microseconds(a.sim.scenario.Costs.AgentCallUS), func(now time.Duration) {
		if a.state.WorkerAnnounced(now, announcement) == runner.AnnouncementUnidentified {
			a.state.WorkerIdentified(now, announcement, true, announcement.Born)
		}
	})
}

// performActions carries out what the state machine decided.
func (a *agent) performActions(now time.Duration) {
	out := a.state.TakeActions(now)
	callCost := microseconds(a.sim.scenario.Costs.AgentCallUS)
	for _, c := range out.Starts {
		a.spend(callCost)
		a.start1(a.clock, c, 1)
	}
	for _, c := range out.Stops {
		a.spend(callCost)
		a.stop(a.clock, c, 1)
	}
	if out.Renew != nil {
		a.spend(callCost)
		a.renew(a.clock, *out.Renew)
	}
	if out.Worker != nil {
		a.stored = out.Worker
	}
	for _, id := range out.CloseConns {
		if c := a.conns[id]; c != nil {
			c.agentOpen = false
			delete(a.conns, id)
			a.sim.tellEntry(a.clock, c, "closed")
		}
	}
	for i := range out.Reports {
		if c := a.conns[out.Reports[i].Conn]; c != nil {
			a.sim.sendReport(c, &out.Reports[i].Report)
		}
	}
}

// start1 makes one attempt of a start call at time t. Unanswered calls are repeated.
func (a *agent) start1(t time.Duration, c runner.StartCall, attempt int) {
	epoch := a.epoch
	done := func(t time.Duration, result runner.StartResult, clock int64) {
		a.sim.engine.at(t, func(now time.Duration) {
			if a.epoch == epoch {
				a.post(now, 0, func(now time.Duration) { a.state.StartDone(now, c, result, clock) })
			}
		})
	}
	a.sim.engine.at(t+callLatency, func(now time.Duration) {
		if !a.worker.alive && !a.worker.silent {
			done(now+callLatency, runner.StartNotSent, 0)
			return
		}
		result, answered := runner.StartUnanswered, false
		if a.worker.alive {
			result = a.worker.startRun(now, c)
			answered = a.random.Float64() >= a.worker.lossShare
		}
		switch {
		case answered && (result == runner.StartOK || attempt == 1):
			done(now+callLatency, result, a.worker.clock(now))
		case answered, attempt == maxCallAttempts:
			done(now+callLatency, runner.StartUnanswered, 0)
		default:
			a.sim.engine.at(t+max(c.Timeout, minCallInterval), func(now time.Duration) {
				if a.epoch == epoch {
					a.start1(now, c, attempt+1)
				}
			})
		}
	})
}

func (a *agent) stop(t time.Duration, c runner.StopCall, attempt int) {
	epoch := a.epoch
	a.sim.engine.at(t+callLatency, func(now time.Duration) {
		answered := false
		if a.worker.alive {
			a.worker.stopRun(now, c)
			answered = a.random.Float64() >= a.worker.lossShare
		}
		if !answered && attempt < maxCallAttempts {
			a.sim.engine.at(t+max(c.Timeout, minCallInterval), func(now time.Duration) {
				if a.epoch == epoch {
					a.stop(now, c, attempt+1)
				}
			})
			return
		}
		a.sim.engine.at(now+callLatency, func(now time.Duration) {
			if a.epoch == epoch {
				a.post(now, 0, func(now time.Duration) { a.state.StopDone(now, c, answered) })
			}
		})
	})
}

func (a *agent) renew(sentAt time.Duration, c runner.RenewCall) {
	epoch := a.epoch
	cost := microseconds(a.sim.scenario.Costs.AgentCallUS)
	failed := func(t time.Duration, why string, failure runner.RenewFailure) {
		a.sim.engine.at(t, func(now time.Duration) {
			if a.epoch == epoch {
				a.post(now, cost, func(now time.Duration) { a.state.RenewFailed(now, sentAt, why, failure) })
			}
		})
	}
	timeout := sentAt + c.MaxWait + renewTimeoutMargin
	a.sim.engine.at(sentAt+callLatency, func(now time.Duration) {
		switch w := a.worker; {
		case !w.alive && !w.silent:
			failed(now+callLatency, "connection refused", runner.RenewConnRefused)
		case !w.alive || a.random.Float64() < w.lossShare:
			failed(timeout, "timeout", runner.RenewUnanswered)
		default:
			answered := false
			w.renew(now, c, func(now time.Duration, reply *runner.RenewReply) {
				answered = true
				a.sim.engine.at(now+callLatency, func(now time.Duration) {
					if a.epoch == epoch {
						a.post(now, cost, func(now time.Duration) { a.state.Renewed(now, sentAt, reply) })
					}
				})
			})
			a.sim.engine.at(timeout, func(now time.Duration) {
				// The worker has ended meanwhile.
				if !answered {
					answered = true
					failed(now, "timeout", runner.RenewUnanswered)
				}
			})
		}
	})
}

// reportedEnd converts the outcome of a run.
func reportedEnd(failed bool) uint8 {
	if failed {
		return link.Failed
	}
	return link.Done
}
