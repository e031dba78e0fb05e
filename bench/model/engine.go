package model

import (
	"container/heap"
	"strconv"
	"time"
)

// path returns the path of a field in the scenario file.
func path(list string, index int, field string) string {
	return list + "[" + strconv.Itoa(index) + "]." + field
}

// event is something that happens at a time. Events of the same time happen in the order
// in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	do       func(now time.Duration)
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// engine is the simulated clock.
type engine struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64
	// unused holds events for use again: a run schedules millions.
	unused []*event
}

// at schedules do; a time in the past counts as now.
func (e *engine) at(t time.Duration, do func(now time.Duration)) {
	e.sequence++
	var next *event
	if n := len(e.unused); n > 0 {
		next, e.unused = e.unused[n-1], e.unused[:n-1]
	} else {
		next = new(event)
	}
	*next = event{max(t, e.now), e.sequence, do}
	heap.Push(&e.queue, next)
}

// runUntil carries out all events up to and including the time end.
func (e *engine) runUntil(end time.Duration) {
	for len(e.queue) > 0 && e.queue[0].at <= end {
		next := heap.Pop(&e.queue).(*event)
		do := next.do
		e.now = next.at
		*next = event{}
		e.unused = append(e.unused, next)
		do(e.now)
	}
	e.now = end
}

// maxBatch is the number of events that the event loops of entries and agents handle
// before they carry out the actions that follow.
const maxBatch = 64

// work is an event for a process and the processor time that it costs on a whole core.
type work struct {
	cost time.Duration
	do   func(now time.Duration)
}

// process is an event loop on a host with a share of a processor: events wait until
// earlier ones are done.
type process struct {
	engine *engine
	name   string
	zone   string
	cores  float64
	// slowdown divides the processor share.
	slowdown float64
	alive    bool
	// epoch counts the starts and ends. Events for an earlier epoch are dropped.
	epoch int
	inbox []work
	// clock is the time at which the work so far is done.
	clock     time.Duration
	scheduled bool
	used      time.Duration
	// flush carries out the actions that are due after a batch.
	flush func(now time.Duration)
}

// start begins a new epoch with an empty inbox.
func (p *process) start(now time.Duration) {
	p.alive, p.inbox, p.scheduled, p.clock = true, nil, false, now
	p.epoch++
}

func (p *process) end() {
	p.alive, p.inbox, p.scheduled = false, nil, false
	p.epoch++
}

// post adds an event to the inbox.
func (p *process) post(now, cost time.Duration, do func(now time.Duration)) {
	if !p.alive {
		return
	}
	p.inbox = append(p.inbox, work{cost, do})
	p.wake(now)
}

func (p *process) wake(now time.Duration) {
	if p.scheduled || len(p.inbox) == 0 {
		return
	}
	p.scheduled = true
	epoch := p.epoch
	p.engine.at(max(now, p.clock), func(now time.Duration) {
		if p.epoch != epoch {
			return
		}
		p.scheduled = false
		p.handleBatch(now)
		if p.epoch == epoch {
			p.wake(now)
		}
	})
}

func (p *process) handleBatch(now time.Duration) {
	n := min(len(p.inbox), maxBatch)
	batch := p.inbox[:n:n]
	p.inbox = p.inbox[n:]
	p.clock = now
	epoch := p.epoch
	for _, w := range batch {
		p.spend(w.cost)
		w.do(p.clock)
		if p.epoch != epoch {
			return
		}
	}
	p.flush(p.clock)
}

// spend adds processor time. What the process does next happens after it.
func (p *process) spend(cost time.Duration) {
	p.used += cost
	p.clock += time.Duration(float64(cost) * p.slowdown / p.cores)
}

// every posts an event at an interval as long as the process is in its present epoch.
func (p *process) every(now, interval, cost time.Duration, do func(now time.Duration)) {
	epoch := p.epoch
	queued := false
	var tick func(now time.Duration)
	tick = func(now time.Duration) {
		if p.epoch != epoch {
			return
		}
		// Like a time.Ticker, drop ticks that come before the last one was handled.
		if !queued {
			queued = true
			p.post(now, cost, func(now time.Duration) { queued = false; do(now) })
		}
		p.engine.at(now+interval, tick)
	}
	p.engine.at(now+interval, tick)
}
