package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

// job is a job of the trace.
type job struct {
	key  api.Key
	at   time.Duration // from the start of the run
	team string
	typ  string
	// work holds the run time of each task on a server of speed 1.
	work     []time.Duration
	deadline time.Duration
	class    wire.Class
	phase    int
}

// total returns the work of all tasks.
func (j *job) total() time.Duration {
	var sum time.Duration
	for _, w := range j.work {
		sum += w
	}
	return sum
}

// phase is a part of a trace with constant load.
type phase struct {
	length time.Duration
	// load is the offered work relative to the capacity.
	load float64
}

// workload describes a trace.
type workload struct {
	phases []phase
	// median and sigma shape the log-normal run times of short tasks, which end
	// between minWork and maxWork.
	median time.Duration
	sigma  float64
	// stragglers is the share of tasks that run stragglerFactor times longer.
	stragglers float64
	// long is the share of tasks that are longFactor times longer. They come in
	// jobs of their own type.
	long     float64
	deadline time.Duration
}

const (
	minWork         = 5 * time.Millisecond
	maxWork         = time.Second
	stragglerFactor = 10
	longFactor      = 100
	// sizeExponent shapes the job sizes from 1 to api.MaxTasks: 59% of the jobs
	// have at most 3 tasks, the mean is 10.3.
	sizeExponent = 0.6
	// maxLongTasks bounds the jobs of long tasks.
	maxLongTasks = 4
	shortType    = "grain-count"
	longType     = "press-readiness"
)

var teams = []string{"kiln", "pods", "press"}

// generate returns the jobs of a workload in order of arrival. The work offered
// in each phase equals its load to within one job; arrivals are uniform, as in a
// Poisson process with a known number of events.
func generate(w workload, capacity float64, seed uint64) []job {
	r := rand.New(rand.NewPCG(seed, 1))
	var jobs []job
	var start time.Duration
	for p, ph := range w.phases {
		left := time.Duration(ph.load * capacity * float64(ph.length))
		var part []job
		for left > 0 {
			j := w.job(r)
			j.at = start + time.Duration(r.Float64()*float64(ph.length))
			j.phase = p
			left -= j.total()
			part = append(part, j)
		}
		slices.SortFunc(part, func(a, b job) int { return int(a.at - b.at) })
		jobs = append(jobs, part...)
		start += ph.length
	}
	return jobs
}

func (w *workload) job(r *rand.Rand) job {
	j := job{team: teams[r.IntN(len(teams))], typ: shortType, deadline: w.deadline}
	n := jobSize(r)
	// The share of tasks is longShare; jobs of long tasks are smaller.
	if w.long > 0 && r.Float64() < longJobShare(w.long) {
		j.typ, j.class = longType, wire.ClassLong
		n = 1 + r.IntN(maxLongTasks)
	}
	for range n {
		d := w.task(r)
		if j.class == wire.ClassLong {
			d *= longFactor
		}
		j.work = append(j.work, d)
	}
	return j
}

func (w *workload) task(r *rand.Rand) time.Duration {
	d := time.Duration(float64(w.median) * math.Exp(w.sigma*r.NormFloat64()))
	d = min(max(d, minWork), maxWork)
	if r.Float64() < w.stragglers {
		d *= stragglerFactor
	}
	return d
}

// jobSize draws from a Pareto distribution bounded to 1 to api.MaxTasks.
func jobSize(r *rand.Rand) int {
	tail := 1 - math.Pow(api.MaxTasks, -sizeExponent)
	return min(int(math.Pow(1-r.Float64()*tail, -1/sizeExponent)), api.MaxTasks)
}

// meanJobSize is the mean of jobSize, from 100,000 draws.
const meanJobSize = 10.3

// longJobShare turns a share of tasks into a share of jobs.
func longJobShare(tasks float64) float64 {
	mean := (1 + maxLongTasks) / 2.0
	return tasks * meanJobSize / (mean*(1-tasks) + tasks*meanJobSize)
}
