package bench

import (
	"container/heap"
	"time"

	"github.com/sesamelift/sesamelift/queue"
	"github.com/sesamelift/sesamelift/wire"
)

// idealResponseTimes returns the response time of each job under an ideal
// dispatcher: a single queue that sees the state of every slot without delay and
// starts each task on the fastest free one. It orders tasks as the queue of an entry does, so
// the comparison shows the cost of distribution and delay.
func idealResponseTimes(jobs []job, speeds []float64, slots int) []time.Duration {
	sim := &idealSimulation{jobs: jobs, speeds: speeds, freeSlots: make([]int, len(speeds)), responseTimes: make([]time.Duration, len(jobs))}
	for i := range sim.freeSlots {
		sim.freeSlots[i] = slots
	}
	sim.remaining = make([]int, len(jobs))
	sim.queue = queue.New(queue.Options{MaxTasks: 1 << 30})
	for next := 0; next < len(jobs) || len(sim.completions) > 0; {
		if len(sim.completions) == 0 || next < len(jobs) && jobs[next].arrival <= sim.completions[0].at {
			sim.arrive(next)
			next++
		} else {
			sim.complete(heap.Pop(&sim.completions).(completion))
		}
		sim.dispatch()
	}
	return sim.responseTimes
}

type idealSimulation struct {
	jobs          []job
	speeds        []float64
	freeSlots     []int
	remaining     []int
	responseTimes []time.Duration
	queue         *queue.Queue
	completions   completionHeap
	now           time.Duration
}

// epoch is an arbitrary time origin for the queue.
var epoch = time.Unix(0, 0)

// idealKey returns a key that contains the index of a job.
func idealKey(i int) wire.Key { return wire.Key{0: byte(i >> 16), 1: byte(i >> 8), 2: byte(i)} }

func (sim *idealSimulation) arrive(i int) {
	j := &sim.jobs[i]
	sim.now, sim.remaining[i] = j.arrival, len(j.work)
	tasks := make([]uint16, len(j.work))
	for t := range tasks {
		tasks[t] = uint16(t)
	}
	sim.queue.Add(queue.Job{
		Key: idealKey(i), Team: j.team, Class: j.class, Arrived: epoch.Add(j.arrival), Tasks: len(tasks),
	}, tasks...)
}

func (sim *idealSimulation) complete(c completion) {
	sim.now = c.at
	sim.freeSlots[c.server]++
	sim.queue.TaskEnded(idealKey(c.job))
	if sim.remaining[c.job]--; sim.remaining[c.job] == 0 {
		sim.responseTimes[c.job] = c.at - sim.jobs[c.job].arrival
	}
}

// dispatch starts queued tasks on the fastest free servers.
func (sim *idealSimulation) dispatch() {
	for {
		fastest := -1
		for i, n := range sim.freeSlots {
			if n > 0 && (fastest < 0 || sim.speeds[i] > sim.speeds[fastest]) {
				fastest = i
			}
		}
		if fastest < 0 {
			return
		}
		k, task, ok := sim.queue.Next(epoch.Add(sim.now), func(string, wire.Class) bool { return true })
		if !ok {
			return
		}
		i := int(k[0])<<16 | int(k[1])<<8 | int(k[2])
		sim.freeSlots[fastest]--
		runTime := time.Duration(float64(sim.jobs[i].work[task]) / sim.speeds[fastest])
		heap.Push(&sim.completions, completion{at: sim.now + runTime, job: i, server: fastest})
	}
}

type completion struct {
	at          time.Duration
	job, server int
}

// completionHeap implements heap.Interface, with the earliest completion first.
type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
