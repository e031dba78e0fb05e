package bench

import (
	"container/heap"
	"time"

	"github.com/sesamelift/sesamelift/queue"
	"github.com/sesamelift/sesamelift/wire"
)

// ideal computes the response time of each job when one queue knows every slot
// without delay and gives each task to the fastest free one. The order of the
// queue is that of the product, so that the comparison shows what distribution
// and delay cost.
func ideal(jobs []job, speeds []float64, slots int) []time.Duration {
	m := &idealRun{jobs: jobs, speeds: speeds, free: make([]int, len(speeds)), responses: make([]time.Duration, len(jobs))}
	for i := range m.free {
		m.free[i] = slots
	}
	m.left = make([]int, len(jobs))
	m.queue = queue.New(queue.Options{MaxTasks: 1 << 30})
	for next := 0; next < len(jobs) || len(m.ends) > 0; {
		if len(m.ends) == 0 || next < len(jobs) && jobs[next].at <= m.ends[0].at {
			m.arrive(next)
			next++
		} else {
			m.end(heap.Pop(&m.ends).(end))
		}
		m.fill()
	}
	return m.responses
}

type idealRun struct {
	jobs      []job
	speeds    []float64
	free      []int
	left      []int
	responses []time.Duration
	queue     *queue.Queue
	ends      ends
	now       time.Duration
}

// start is an arbitrary origin of time for the queue.
var start = time.Unix(0, 0)

func idealKey(i int) wire.Key { return wire.Key{0: byte(i >> 16), 1: byte(i >> 8), 2: byte(i)} }

func (m *idealRun) arrive(i int) {
	j := &m.jobs[i]
	m.now, m.left[i] = j.at, len(j.work)
	tasks := make([]uint16, len(j.work))
	for t := range tasks {
		tasks[t] = uint16(t)
	}
	m.queue.Add(queue.Job{
		Key: idealKey(i), Team: j.team, Class: j.class, Arrived: start.Add(j.at), Tasks: len(tasks),
	}, tasks...)
}

func (m *idealRun) end(e end) {
	m.now = e.at
	m.free[e.server]++
	m.queue.Finished(idealKey(e.job))
	if m.left[e.job]--; m.left[e.job] == 0 {
		m.responses[e.job] = e.at - m.jobs[e.job].at
	}
}

// fill starts waiting tasks on the fastest free servers.
func (m *idealRun) fill() {
	for {
		best := -1
		for i, n := range m.free {
			if n > 0 && (best < 0 || m.speeds[i] > m.speeds[best]) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		k, task, ok := m.queue.Next(start.Add(m.now), func(string, wire.Class) bool { return true })
		if !ok {
			return
		}
		i := int(k[0])<<16 | int(k[1])<<8 | int(k[2])
		m.free[best]--
		run := time.Duration(float64(m.jobs[i].work[task]) / m.speeds[best])
		heap.Push(&m.ends, end{at: m.now + run, job: i, server: best})
	}
}

type end struct {
	at          time.Duration
	job, server int
}

// ends implements heap.Interface, earliest first.
type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
