package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sesamelift/sesamelift/standin"
)

const (
	// warmUp lets the entries learn run times. Its jobs are not measured.
	warmUp     = 1500 * time.Millisecond
	warmUpLoad = 0.5
	// Long tasks need a longer warm-up at low load.
	mixedWarmUp     = 5 * time.Second
	mixedWarmUpLoad = 0.2
	steadyLoad      = 0.8
	crestLoad       = 2.0
	// faultAfter is when a fault happens, from the start of the measured part.
	faultAfter = 2 * time.Second
	// settleTime is how long after a fault its direct victims are not counted:
	// the target for a bad worker starts at one second.
	settleTime = time.Second
	// leaveTime is how long after the announcement a leaving backend server may
	// still get work.
	leaveTime   = 2 * time.Second
	outageTime  = 4 * time.Second
	cancelShare = 0.6
	cancelWaves = 3
	cancelPause = time.Second
	crestLength = 10 * time.Second
	beforeCrest = 1500 * time.Millisecond
	afterCrest  = 3 * time.Second
	victim      = 9 // the fastest worker
	// crestDeadline leaves room for most stragglers, which run 1.2 s or more.
	crestDeadline = 4 * time.Second
	deadline      = 10 * time.Second
)

// scenario is a load with a fault and what it measures.
type scenario struct {
	name  string
	about string
	// length is the default length of the measured part.
	length   time.Duration
	workload func(length time.Duration) workload
	// relays puts relays between the entries and everything else, so that they
	// can be cut off. They cost time on each message.
	relays bool
	// fault acts on the running cluster; nil means none.
	fault func(ctx context.Context, r *run)
	// measure adds the figures that only this scenario has; nil means none.
	measure func(r *run, rep *Report)
}

func standard(length time.Duration) workload {
	return workload{
		phases: []phase{{warmUp, warmUpLoad}, {length, steadyLoad}},
		median: 120 * time.Millisecond, sigma: 0.6, stragglers: 0.005, deadline: deadline,
	}
}

func crest(time.Duration) workload {
	w := standard(0)
	w.phases = []phase{{warmUp, warmUpLoad}, {beforeCrest, steadyLoad}, {crestLength, crestLoad}, {afterCrest, steadyLoad}}
	w.deadline = crestDeadline
	return w
}

// short is the load of short tasks that mixed is compared with.
func short(length time.Duration) workload {
	w := standard(length)
	w.median, w.sigma, w.stragglers = 15*time.Millisecond, 0.3, 0
	return w
}

func mixed(length time.Duration) workload {
	w := short(length)
	// The first long tasks end after about 1.5 s; only then is their type known,
	// and what was admitted before has the wrong class.
	w.phases[0] = phase{mixedWarmUp, mixedWarmUpLoad}
	w.long, w.deadline = 0.1, 30*time.Second
	return w
}

var scenarios = []scenario{
	{name: "steady", about: "80% load", length: 12 * time.Second, workload: standard, measure: measureIdeal},
	{name: "crest", about: "twice the capacity for 10 s", length: crestLength, workload: crest, measure: measureCrest},
	{name: "mixed", about: "10% of the tasks are 100 times longer", length: 6 * time.Second, workload: mixed, measure: measureMixed},
	{
		name: "badworker", about: "one of 11 workers fails every task", length: 10 * time.Second, workload: standard,
		fault: func(ctx context.Context, r *run) {
			w := r.cluster.workers[victim]
			w.backend.SetFaults(standin.BackendFaults{FailAll: true})
			if sleep(ctx, settleTime) {
				r.victimRuns = w.runs.Total()
			}
		},
		measure: measureBadWorker,
	},
	{
		name: "leave", about: "a backend server announces that it leaves", length: 10 * time.Second, workload: standard,
		fault: func(ctx context.Context, r *run) {
			w := r.cluster.workers[victim]
			w.leave()
			if sleep(ctx, leaveTime) {
				r.victimRuns = w.runs.Total()
			}
		},
		measure: measureLeave,
	},
	{
		name: "kill-agent", about: "an agent and its backend server crash", length: 10 * time.Second, workload: standard,
		fault:   func(_ context.Context, r *run) { r.cluster.workers[victim].kill() },
		measure: measureFault,
	},
	{
		name: "kill-entry", about: "an entry is cut off from everything", length: 12 * time.Second, workload: standard,
		relays:  true,
		fault:   func(_ context.Context, r *run) { r.cluster.nodes[0].kill() },
		measure: measureFault,
	},
	{
		name: "silent", about: "open connections of an entry to agents and peers stop working, new ones work",
		length: 10 * time.Second, workload: standard, relays: true,
		fault:   func(_ context.Context, r *run) { r.cluster.nodes[0].peers.silence() },
		measure: measureFault,
	},
	{
		name: "outage", about: "the platform is unavailable for 4 s", length: 10 * time.Second, workload: standard,
		fault: func(ctx context.Context, r *run) {
			p := r.cluster.platform
			p.SetFaults(standin.PlatformFaults{Unavailable: true})
			defer p.SetFaults(standin.PlatformFaults{})
			sleep(ctx, outageTime)
		},
		measure: measureFault,
	},
	{
		name: "cancelwave", about: "60% of the jobs in progress are cancelled, three times", length: 10 * time.Second, workload: standard,
		fault: cancelWave, measure: measureFault,
	},
}

func cancelWave(ctx context.Context, r *run) {
	random := rand.New(rand.NewPCG(r.o.seed, 2))
	for range cancelWaves {
		for _, i := range r.callers.inProgress() {
			if random.Float64() < cancelShare {
				go r.callers.cancel(ctx, i)
			}
		}
		if !sleep(ctx, cancelPause) {
			return
		}
	}
}

// sleep waits and returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
