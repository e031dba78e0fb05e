package model

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/runner"
	"github.com/sesamelift/sesamelift/timing"
)

const (
	// warmUp is how long the processes run before the first job arrives. Times of the
	// scenario count from its end.
	warmUp = 5 * time.Second
	// finishPeriod is how long after the last job the run goes on at most.
	finishPeriod = 30 * time.Second
	// finishStep is the interval at which a run looks whether all jobs are answered.
	finishStep = 100 * time.Millisecond
	// maxLease is the longest lease that a worker grants.
	maxLease = 3 * time.Second
)

// jobRun is the state of a job.
type jobRun struct {
	spec    *jobSpec
	outcome Outcome
	// answeredAt is when the caller had the answer; 0 before.
	answeredAt time.Duration
	// entry is the entry to which the job was sent last; nil before.
	entry *entry
	// submissions counts the entries to which the job was sent.
	submissions int
	// running counts the runs of each task at the moment, to find double runs.
	running []int
}

// Outcome says how a job ended for its caller.
type Outcome uint8

// Values of Outcome.
const (
	// Open jobs have no answer yet.
	Open Outcome = iota
	OnTime
	Late
	Refused
	Failed
	// Left says that the caller cancelled the job.
	Left
)

// simulation is the state of one run.
type simulation struct {
	engine   engine
	scenario *Scenario
	seed     uint64
	policy   dispatch.Policy
	timings  timing.Timings
	entries  []*entry
	agents   []*agent
	// jobs holds the jobs by name, order in the order of their submission.
	jobs  map[string]*jobRun
	order []*jobRun
	// callers and faults draw what callers do and what faults hit.
	callers, faults *rand.Rand

	connections                                           runner.ConnID
	messages, starts, crossZoneBytes                      int64
	runsLost, runsStopped, runsFailed, runsDone, overlaps int
	wastedWork                                            time.Duration
	// entriesUp are the periods in which some entry accepted jobs.
	entriesUp []segment
}

// Run plays a scenario with the decisions that policy describes.
func Run(scenario *Scenario, seed uint64, policy dispatch.Policy) (*Result, error) {
	timings, err := timing.Derive(timing.Bounds{
		MaxLease: maxLease, MaxStopTime: maxStopTime, ResendAfter: milliseconds(scenario.Retries.ResendMS),
	})
	if err != nil {
		return nil, err
	}
	s := &simulation{
		scenario: scenario, seed: seed, policy: policy, timings: timings, jobs: map[string]*jobRun{},
		callers: newRandom(seed, callerStream), faults: newRandom(seed, faultStream),
	}
	s.createHosts()
	s.engine.runUntil(warmUp)
	s.scheduleEvents()
	for _, spec := range generateLoad(scenario, seed) {
		spec.shift(warmUp)
		r := &jobRun{spec: spec, running: make([]int, len(spec.work))}
		s.jobs[spec.id], s.order = r, append(s.order, r)
		s.engine.at(spec.sentAt, func(now time.Duration) { s.submit(now, r) })
		s.engine.at(spec.leavesAt, func(now time.Duration) { s.callerLeaves(now, r) })
	}
	end := warmUp + milliseconds(scenario.DurationMS)
	s.engine.runUntil(end)
	for s.engine.now < end+finishPeriod && s.hasOpenJobs() {
		s.engine.runUntil(s.engine.now + finishStep)
	}
	return s.result(), nil
}

func (s *simulation) hasOpenJobs() bool {
	return slices.ContainsFunc(s.order, func(r *jobRun) bool { return r.outcome == Open })
}

// shift moves the times of a job.
func (j *jobSpec) shift(by time.Duration) {
	j.sentAt, j.deadline, j.leavesAt, j.dueAt = j.sentAt+by, j.deadline+by, j.leavesAt+by, j.dueAt+by
}

func (s *simulation) createHosts() {
	for _, g := range s.scenario.Workers {
		for i := range g.Count {
			s.addWorker(0, g, i)
		}
	}
	for _, g := range s.scenario.Entries {
		for range g.Count {
			e := &entry{sim: s, index: len(s.entries), weight: g.Weight, uplink: hostLink{mbps: g.LinkMbps}, downlink: hostLink{mbps: g.LinkMbps}}
			e.process = process{engine: &s.engine, name: "entry-" + strconv.Itoa(len(s.entries)), zone: g.Zone, cores: g.Cores, slowdown: 1}
			e.flush = e.applyActions
			s.entries = append(s.entries, e)
			s.startEntry(0, e)
		}
	}
}

// addWorker adds the i-th worker of a group with its agent.
func (s *simulation) addWorker(now time.Duration, g WorkerGroup, i int) *agent {
	n := len(s.agents)
	a := &agent{sim: s, random: newRandom(s.seed, workerStream<<32+uint64(2*n))}
	a.process = process{engine: &s.engine, name: "agent-" + strconv.Itoa(n), zone: g.Zone, cores: g.AgentCores, slowdown: 1}
	a.flush = a.performActions
	a.worker = &worker{
		sim: s, agent: a, random: newRandom(s.seed, workerStream<<32+uint64(2*n+1)), speed: g.Speeds[i%len(g.Speeds)], slowdown: 1,
		capacity: link.Resources{MilliCPU: int64(1000 * g.Cores[i%len(g.Cores)]), MemoryMB: int64(g.MemoryMB)},
	}
	s.agents = append(s.agents, a)
	s.startAgent(now, a)
	s.startWorker(now, a.worker)
	return a
}

func (s *simulation) clientLatency() time.Duration {
	return microseconds(s.scenario.Network.ClientUS)
}

// inRotation reports whether the load balancer sends connections to an entry.
func (s *simulation) inRotation(now time.Duration, e *entry) bool {
	if e.alive && !e.draining {
		return true
	}
	return now-e.downSince < milliseconds(s.scenario.Network.RotationMS)
}

// pickEntry returns the entry to which the load balancer sends a caller of a zone; nil if
// it has none. Entries of the zone come first.
func (s *simulation) pickEntry(now time.Duration, zone string) *entry {
	var candidates, elsewhere []*entry
	for _, e := range s.entries {
		switch {
		case !s.inRotation(now, e):
		case e.zone == zone:
			candidates = append(candidates, e)
		default:
			elsewhere = append(elsewhere, e)
		}
	}
	if len(candidates) == 0 {
		candidates = elsewhere
	}
	if len(candidates) == 0 {
		return nil
	}
	for i := range s.scenario.Events {
		ev := &s.scenario.Events[i]
		if ev.Kind == hotEntry && ev.active(now-warmUp) && s.callers.Float64() < ev.Share {
			return candidates[0]
		}
	}
	return s.pickByWeight(candidates)
}

// pickByWeight returns one of the entries, with a probability in proportion to its weight.
func (s *simulation) pickByWeight(entries []*entry) *entry {
	if !slices.ContainsFunc(entries, func(e *entry) bool { return e.weight != entries[0].weight }) {
		return entries[s.callers.IntN(len(entries))]
	}
	total := 0.0
	for _, e := range entries {
		total += e.weight
	}
	at := s.callers.Float64() * total
	for _, e := range entries {
		if at -= e.weight; at < 0 {
			return e
		}
	}
	return entries[len(entries)-1]
}

// submit sends a job to an entry.
func (s *simulation) submit(now time.Duration, r *jobRun) {
	if r.outcome != Open {
		return
	}
	e := s.pickEntry(now, r.spec.zone)
	if e == nil || !e.alive {
		s.resend(now, r)
		return
	}
	r.submissions++
	r.entry = e
	epoch := e.epoch
	arrives := e.downlink.transmit(now+s.clientLatency(), requestBytes+r.spec.kind.SpecBytes)
	s.engine.at(arrives, func(now time.Duration) {
		if e.epoch != epoch {
			s.connectionBroken(now, r, e.dark > 0)
			return
		}
		e.post(now, microseconds(s.scenario.Costs.EntryJobUS), func(handledAt time.Duration) {
			if r.outcome == Open {
				e.submit(handledAt, now, r)
			}
		})
	})
}

// connectionBroken handles a connection that ended without an answer. The caller notices
// unless the host is silent.
func (s *simulation) connectionBroken(now time.Duration, r *jobRun, silent bool) {
	if !silent {
		s.resend(now+s.clientLatency(), r)
	}
}

func (s *simulation) resend(now time.Duration, r *jobRun) {
	s.engine.at(now+milliseconds(s.scenario.Retries.ResendMS), func(now time.Duration) { s.submit(now, r) })
}

// answered handles an answer that reaches the caller at time t.
func (s *simulation) answered(t time.Duration, r *jobRun, v *api.Verdict) {
	s.engine.at(t, func(now time.Duration) {
		if r.outcome != Open {
			return
		}
		if v.Ran == api.RanNo && v.RetryAfter > 0 && s.callers.Float64() < s.scenario.Retries.ReturnShare {
			s.engine.at(now+v.RetryAfter, func(now time.Duration) { s.submit(now, r) })
			return
		}
		r.answeredAt = now
		switch {
		case v.Outcome == api.Complete && now <= r.spec.dueAt:
			r.outcome = OnTime
		case v.Outcome == api.Complete:
			r.outcome = Late
		case v.Ran == api.RanNo:
			r.outcome = Refused
		default:
			r.outcome = Failed
		}
	})
}

// callerLeaves ends the wait of a caller.
func (s *simulation) callerLeaves(now time.Duration, r *jobRun) {
	if r.outcome != Open {
		return
	}
	r.outcome = Failed
	if r.spec.cancels {
		r.outcome = Left
	}
	for _, e := range s.entries {
		if e.alive && e.jobs[r.spec.id] == r {
			e.post(now+s.clientLatency(), 0, func(now time.Duration) { e.leave(now, r) })
		}
	}
}

// runStarted and runEnded keep account of the runs on workers.
func (s *simulation) runStarted(now time.Duration, j *jobRun, c runner.StartCall) {
	j.running[c.Task.Index]++
	if j.running[c.Task.Index] > 1 {
		s.overlaps++
	}
}

func (s *simulation) runEnded(now time.Duration, w *worker, r *workerRun, outcome uint8) {
	s.jobs[r.id.task.Job].running[r.id.task.Index]--
	switch outcome {
	case link.Done:
		s.runsDone++
		return
	case link.Failed:
		s.runsFailed++
	default:
		s.runsStopped++
	}
	left := max(r.remaining-float64(now-r.updatedAt)*w.runRate(r), 0)
	s.wastedWork += time.Duration((r.total - left) * float64(r.need.MilliCPU) / 1000)
}
