package bench

import (
	"context"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sesamelift/sesamelift/api"
)

// run is one execution of a scenario.
type run struct {
	opts     options
	scenario *scenario
	workload workload
	jobs     []job
	cluster  *cluster
	callers  *callers
	// faultAt is the time of the fault, from the start of the trace.
	faultAt time.Duration
	// allowedExecutions is the number of tasks that the faulted worker had run
	// when it should have stopped receiving tasks.
	allowedExecutions int
	// cpu is the processor time of this process while the callers ran.
	cpu time.Duration
}

// execute runs a workload. It returns when all jobs have been answered or given up
// and all entries, agents and backend servers have ended.
func execute(o options, s *scenario, w workload, log io.Writer) (*run, error) {
	r := &run{opts: o, scenario: s, workload: w, jobs: generate(w, capacity(), o.seed)}
	var err error
	if r.cluster, err = newCluster(o.policy, s.useProxies, log); err != nil {
		return nil, err
	}
	defer r.cluster.close()
	r.callers = newCallers(r.cluster.addresses(), r.cluster.tokens, r.jobs)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.callers.startTime = time.Now()
	for i := range r.jobs {
		r.jobs[i].key = api.NewKeyAt(r.callers.startTime, o.seed<<20+uint64(i))
	}
	r.faultAt = w.phases[0].duration + faultAfter
	var fault sync.WaitGroup
	if s.fault != nil {
		fault.Go(func() {
			if sleep(ctx, time.Until(r.callers.startTime.Add(r.faultAt))) {
				s.fault(ctx, r)
			}
		})
	}
	before := cpuTime()
	r.callers.run(ctx)
	r.cpu = cpuTime() - before
	cancel()
	fault.Wait()
	return r, nil
}

// measured returns the indexes of the jobs that arrive after the warm-up.
func (r *run) measured() []int {
	var out []int
	for i := range r.jobs {
		if r.jobs[i].phase > 0 {
			out = append(out, i)
		}
	}
	return out
}

func (r *run) outcome(i int) *outcome { return &r.callers.outcomes[i] }

func (r *run) complete(i int) bool {
	a := r.outcome(i).answer
	return a != nil && a.Verdict == api.Complete
}

// refused reports whether the job was refused and none of its tasks ran. A job
// that was admitted and missed its deadline in the queue counts as failed instead.
func (r *run) refused(i int) bool {
	o := r.outcome(i)
	return o.answer != nil && o.answer.Verdict == api.Failed && o.answer.Ran == api.RanNo &&
		o.answer.Reason != api.ReasonDeadlineExceeded && !o.cancelled
}

// executions returns how often the task ran, over all backend servers.
func (r *run) executions(i, task int) int {
	n := 0
	for _, w := range r.cluster.workers {
		n += w.executions.Count(taskIDOf(&r.jobs[i], task))
	}
	return n
}

// slowdown returns the response time divided by the run time of the job's longest
// task on a server of speed 1.
func (r *run) slowdown(i int) float64 {
	return float64(r.outcome(i).responseTime) / float64(slices.Max(r.jobs[i].work))
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// maxRSS returns the peak resident memory of this process in MiB.
func maxRSS() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Maxrss) / 1024
}
