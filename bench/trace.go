package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

// job is one job of a trace.
type job struct {
	key         api.Key
	arrival     time.Duration // from the start of the trace
	team        string
	requestType string
	// work is the run time of each task on a server of speed 1.
	work     []time.Duration
	deadline time.Duration
	class    wire.Class
	phase    int
}

func (j *job) totalWork() time.Duration {
	var sum time.Duration
	for _, w := range j.work {
		sum += w
	}
	return sum
}

// phase is a part of a trace with constant load.
type phase struct {
	duration time.Duration
	// load is the offered work relative to the capacity.
	load float64
}

// workload holds the parameters of a trace.
type workload struct {
	phases []phase
	// median and sigma are the parameters of the log-normal run times of tasks,
	// which are limited to minWork and maxWork before any other factor applies.
	median time.Duration
	sigma  float64
	// stragglerShare is the share of tasks that run stragglerFactor times as long.
	stragglerShare float64
	// longShare is the share of tasks that run longFactor times as long. They are in jobs
	// of a separate request type.
	longShare float64
	deadline  time.Duration
}

const (
	minWork         = 5 * time.Millisecond
	maxWork         = time.Second
	stragglerFactor = 10
	longFactor      = 100
	// sizeExponent is the exponent of the bounded Pareto distribution of job sizes:
	// 59% of the jobs have at most 3 tasks, the mean is 10.3.
	sizeExponent = 0.6
	// maxLongTasks is the maximum number of tasks of a job of long tasks.
	maxLongTasks = 4
	shortType    = "grain-count"
	longType     = "press-readiness"
)

var teams = []string{"kiln", "pods", "press"}

// generate returns the jobs of a workload in order of arrival. The work offered
// in each phase equals its load to within one job. Arrival times are uniform within
// a phase, as in a Poisson process conditioned on the number of events.
func generate(w workload, capacity float64, seed uint64) []job {
	r := rand.New(rand.NewPCG(seed, 1))
	var jobs []job
	var start time.Duration
	for p, ph := range w.phases {
		remaining := time.Duration(ph.load * capacity * float64(ph.duration))
		var phaseJobs []job
		for remaining > 0 {
			j := w.drawJob(r)
			j.arrival = start + time.Duration(r.Float64()*float64(ph.duration))
			j.phase = p
			remaining -= j.totalWork()
			phaseJobs = append(phaseJobs, j)
		}
		slices.SortFunc(phaseJobs, func(a, b job) int { return int(a.arrival - b.arrival) })
		jobs = append(jobs, phaseJobs...)
		start += ph.duration
	}
	return jobs
}

func (w *workload) drawJob(r *rand.Rand) job {
	j := job{team: teams[r.IntN(len(teams))], requestType: shortType, deadline: w.deadline}
	n := drawJobSize(r)
	// w.longShare is a share of tasks; longJobShare converts it to a share of jobs.
	if w.longShare > 0 && r.Float64() < longJobShare(w.longShare) {
		j.requestType, j.class = longType, wire.ClassLong
		n = 1 + r.IntN(maxLongTasks)
	}
	for range n {
		d := w.drawRunTime(r)
		if j.class == wire.ClassLong {
			d *= longFactor
		}
		j.work = append(j.work, d)
	}
	return j
}

func (w *workload) drawRunTime(r *rand.Rand) time.Duration {
	d := time.Duration(float64(w.median) * math.Exp(w.sigma*r.NormFloat64()))
	d = min(max(d, minWork), maxWork)
	if r.Float64() < w.stragglerShare {
		d *= stragglerFactor
	}
	return d
}

// drawJobSize draws a job size from a Pareto distribution bounded by 1 and
// api.MaxTasks.
func drawJobSize(r *rand.Rand) int {
	cdfAtMax := 1 - math.Pow(api.MaxTasks, -sizeExponent)
	return min(int(math.Pow(1-r.Float64()*cdfAtMax, -1/sizeExponent)), api.MaxTasks)
}

// meanJobSize is the mean of drawJobSize over 100,000 draws.
const meanJobSize = 10.3

// longJobShare converts a share of tasks into a share of jobs.
func longJobShare(taskShare float64) float64 {
	meanLongJobSize := (1 + maxLongTasks) / 2.0
	return taskShare * meanJobSize / (meanLongJobSize*(1-taskShare) + taskShare*meanJobSize)
}
