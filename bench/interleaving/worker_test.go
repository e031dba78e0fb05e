package interleaving

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/runner"
)

const (
	maxHold           = 1000 // in milliseconds
	maxStopTime       = 50 * ms
	heartbeatInterval = 500 * ms
	workerCapacity    = 4000
	taskNeed          = 1000
	bornBase          = 1_000_000
)

// labelSets are the labels that workers may have. Their first elements are those that the
// workers have at the start.
var labelSets = [][]string{{"a"}, {"b"}, {"a", "b"}, nil}

type runKey struct {
	task    link.TaskID
	attempt uint32
}

type workerRun struct {
	runKey
	total     time.Duration
	startedAt time.Duration
	stopping  bool
	// listed says whether the run is in the list of current runs while it is being stopped.
	listed bool
	// late says that the start was carried out without an answer and late, formerLife that
	// the call was made while an earlier instance ran.
	late, formerLife bool
	startInfo
}

// startInfo says when the start of a run was decided, sent and handled.
type startInfo struct {
	entry           string
	sentAt, handled time.Duration
}

type hold struct {
	lastSeen uint64
	reply    func(r *runner.RenewReply)
	closed   func()
	answered bool
}

// worker is a worker as described on the page PROTOCOL.md.
type worker struct {
	w         *world
	agent     *agent
	alive     bool
	life      int
	id        string
	labels    []string
	capacity  int64
	leavesAt  time.Duration
	born      int64
	startedAt time.Duration
	// rate and offset define the worker's clock.
	rate     float64
	offset   int64
	runs     map[runKey]*workerRun
	highest  map[link.TaskID]uint32
	ended    []runner.ListedEnd
	ends     uint64
	lease    int64
	holds    []*hold
	sequence uint64
	// backlog holds the calls on connections that the next instance accepts.
	backlog []func()
	// lossy is the share of calls that are disturbed while the fault is in effect.
	lossy float64
	// bornShift is the step of the clock that gives born.
	bornShift int64
	// execLate and execFormer are set while a call is carried out late.
	execLate, execFormer bool
}

func (k *worker) clock() int64 {
	return k.offset + int64(float64(k.w.now-k.startedAt)*k.rate/float64(ms))
}

func (k *worker) start(newID bool) {
	k.life++
	k.alive = true
	if newID || k.id == "" {
		k.id = k.agent.name + "-" + strconv.Itoa(k.life)
	}
	k.startedAt, k.born = k.w.now, bornBase+k.w.now.Milliseconds()+k.bornShift
	k.rate, k.offset = 0.98+0.02*k.w.random.Float64(), k.w.random.Int64N(5000)
	k.runs, k.highest = map[runKey]*workerRun{}, map[link.TaskID]uint32{}
	k.ended, k.ends, k.lease, k.holds, k.sequence, k.leavesAt = nil, 0, 0, nil, 0, 0
	life, waiting := k.life, k.backlog
	k.backlog = nil
	k.w.after(0, func() {
		for _, exec := range waiting {
			if k.alive && k.life == life {
				k.execLate, k.execFormer = true, true
				exec()
				k.execLate, k.execFormer = false, false
			}
		}
	})
	var beat func()
	beat = func() {
		if !k.alive || k.life != life {
			return
		}
		k.announce()
		k.w.after(heartbeatInterval, beat)
	}
	k.w.after(k.w.between(0, 5*ms), beat)
	k.w.note("", k.agent.name, "worker starts id=%s born=%d life=%d labels=%v capacity=%d", k.id, k.born, k.life, k.labels, k.capacity)
}

// announce sends a heartbeat to the agent.
func (k *worker) announce() {
	k.sequence++
	a := runner.Announcement{
		ID: k.id, Born: k.born, Sequence: k.sequence, Service: "s", Zone: k.zone(), Capacity: link.Resources{MilliCPU: k.capacity}, Labels: k.labels,
		Draining: k.leavesAt > 0, Leaves: max(k.leavesAt-k.w.now, 0),
	}
	k.w.after(latency, func() { k.agent.announced(a) })
}

func (k *worker) crash() {
	if !k.alive {
		return
	}
	k.w.note("", k.agent.name, "worker crashes life=%d runs=%d", k.life, len(k.runs))
	for _, r := range k.sortedRuns() {
		delete(k.runs, r.runKey)
		k.w.ended(k, r, "crash")
	}
	k.alive = false
	for _, h := range k.holds {
		if !h.answered {
			h.answered = true
			h.closed()
		}
	}
	k.holds = nil
}

func (k *worker) sortedRuns() []*workerRun {
	runs := make([]*workerRun, 0, len(k.runs))
	for _, r := range k.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *workerRun) int {
		return cmp.Or(strings.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.attempt, b.attempt))
	})
	return runs
}

// extend takes over the deadline of a call.
func (k *worker) extend(deadline int64) {
	if deadline > 0 {
		k.lease = max(k.lease, min(deadline, k.clock()+maxHold))
	}
}

// checkLease ends all runs once the lease has expired.
func (k *worker) checkLease() {
	life, lease := k.life, k.lease
	k.w.after(time.Duration(float64(lease-k.offset)*float64(ms)/k.rate)-(k.w.now-k.startedAt)+ms, func() {
		if !k.alive || k.life != life || len(k.runs) == 0 || k.lease > lease {
			return
		}
		for _, r := range k.sortedRuns() {
			k.finish(r, link.LeaseExpired)
		}
	})
}

func (k *worker) startRun(c runner.StartCall) (runner.StartResult, int64) {
	key := runKey{c.Task, c.Attempt}
	switch {
	case c.WorkerID != k.id:
		return runner.StartRefused, 0
	case c.LeaseUntil < k.clock():
		return runner.StartLeaseExpired, k.clock()
	}
	k.extend(c.LeaseUntil)
	defer k.checkLease()
	if r := k.runs[key]; r != nil && !r.stopping {
		return runner.StartOK, k.clock()
	}
	if k.highest[c.Task] >= c.Attempt {
		return runner.StartOutdated, k.clock()
	}
	r := &workerRun{
		runKey: key, startedAt: k.w.now, total: k.w.jobs[c.Task.Job].work[c.Task.Index],
		late: k.execLate, formerLife: k.execFormer, startInfo: k.w.starts[startKey{k.agent.name, key}],
	}
	k.runs[key] = r
	k.w.started(k, r)
	life := k.life
	k.w.after(r.total, func() {
		if k.alive && k.life == life && k.runs[key] == r && !r.stopping {
			k.finish(r, link.Done)
		}
	})
	return runner.StartOK, k.clock()
}

func (k *worker) stopRun(c runner.StopCall) bool {
	if c.WorkerID != k.id && c.WorkerID != "" {
		return false
	}
	k.highest[c.Task] = max(k.highest[c.Task], c.Attempt)
	r := k.runs[runKey{c.Task, c.Attempt}]
	if r == nil || r.stopping {
		return true
	}
	r.stopping, r.listed = true, k.w.listStopping
	life := k.life
	k.w.note(c.Task.Job, k.agent.name, "worker stops %v attempt %d", c.Task, c.Attempt)
	k.w.after(k.w.between(0, maxStopTime), func() {
		if k.alive && k.life == life && k.runs[r.runKey] == r {
			k.finish(r, link.Stopped)
		}
	})
	return true
}

var outcomes = []string{"done", "failed", "stopped", "lapsed", "lost"}

func (k *worker) finish(r *workerRun, outcome uint8) {
	delete(k.runs, r.runKey)
	k.highest[r.task] = max(k.highest[r.task], r.attempt)
	k.ends++
	k.ended = append(k.ended, runner.ListedEnd{Number: k.ends, Task: r.task, Attempt: r.attempt, Outcome: outcome})
	k.w.ended(k, r, outcomes[outcome])
	holds := k.holds
	k.holds = nil
	for _, h := range holds {
		k.answer(h)
	}
}

func (k *worker) renew(c runner.RenewCall, h *hold) {
	k.extend(c.LeaseUntil)
	if len(k.runs) > 0 {
		k.checkLease()
	}
	if k.ends > c.LastEndNumber || c.MaxWait == 0 {
		k.answer(h)
		return
	}
	k.holds = append(k.holds, h)
	life := k.life
	k.w.after(c.MaxWait, func() {
		if k.alive && k.life == life {
			k.answer(h)
		}
	})
}

func (k *worker) answer(h *hold) {
	if h.answered {
		return
	}
	h.answered = true
	reply := &runner.RenewReply{Clock: k.clock(), Born: k.born}
	for _, r := range k.sortedRuns() {
		if r.stopping && !r.listed {
			continue
		}
		percent := min(99, 100*(k.w.now-r.startedAt)/r.total)
		reply.Running = append(reply.Running, runner.ListedRun{Task: r.task, Attempt: r.attempt, Percent: uint8(percent)})
	}
	for _, e := range k.ended {
		if e.Number > h.lastSeen {
			reply.Ended = append(reply.Ended, e)
		}
	}
	h.reply(reply)
}
