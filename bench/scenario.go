package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sesamelift/sesamelift/standin"
)

const (
	// warmUpDuration lets the entries learn the run times. Its jobs are not
	// measured.
	warmUpDuration = 1500 * time.Millisecond
	warmUpLoad     = 0.5
	// Long tasks need a longer warm-up, at low load.
	mixedWarmUpDuration = 5 * time.Second
	mixedWarmUpLoad     = 0.2
	steadyLoad          = 0.8
	crestLoad           = 2.0
	// faultAfter is the time of the fault, from the start of the measured part.
	faultAfter = 2 * time.Second
	// faultGracePeriod is how long the entries may take to detect a failing worker.
	// The limit on the tasks that it may still receive applies afterwards, so only
	// those tasks are counted.
	faultGracePeriod = time.Second
	// leaveGracePeriod is how long a backend server may still receive tasks after
	// it has announced that it leaves.
	leaveGracePeriod  = 2 * time.Second
	outageDuration    = 4 * time.Second
	cancelShare       = 0.6
	cancelWaves       = 3
	cancelInterval    = time.Second
	crestDuration     = 10 * time.Second
	preCrestDuration  = 1500 * time.Millisecond
	postCrestDuration = 3 * time.Second
	faultedWorker     = 9 // index of the fastest worker
	// crestDeadline is long enough for most stragglers, whose median run time is
	// 1.2 s on a server of speed 1.
	crestDeadline   = 4 * time.Second
	defaultDeadline = 10 * time.Second
)

// scenario is a workload, an optional fault and the figures to report.
type scenario struct {
	name  string
	about string
	// duration is the default duration of the measured part.
	duration time.Duration
	workload func(duration time.Duration) workload
	// useProxies puts proxies in front of the entries, so that entries can be cut
	// off. The proxies add latency to each message.
	useProxies bool
	// fault injects the fault into the running cluster; nil means none.
	fault func(ctx context.Context, r *run)
	// measure adds the figures specific to the scenario; nil means none.
	measure func(r *run, rep *Report)
}

func steadyWorkload(duration time.Duration) workload {
	return workload{
		phases: []phase{{warmUpDuration, warmUpLoad}, {duration, steadyLoad}},
		median: 120 * time.Millisecond, sigma: 0.6, stragglerShare: 0.005, deadline: defaultDeadline,
	}
}

func crestWorkload(time.Duration) workload {
	w := steadyWorkload(0)
	w.phases = []phase{{warmUpDuration, warmUpLoad}, {preCrestDuration, steadyLoad}, {crestDuration, crestLoad}, {postCrestDuration, steadyLoad}}
	w.deadline = crestDeadline
	return w
}

// shortWorkload is the workload of short tasks that mixedWorkload is compared with.
func shortWorkload(duration time.Duration) workload {
	w := steadyWorkload(duration)
	w.median, w.sigma, w.stragglerShare = 15*time.Millisecond, 0.3, 0
	return w
}

func mixedWorkload(duration time.Duration) workload {
	w := shortWorkload(duration)
	// The first long tasks end after about 1.5 s. Until then the run time of their
	// type is unknown, and long tasks are admitted in the wrong class.
	w.phases[0] = phase{mixedWarmUpDuration, mixedWarmUpLoad}
	w.longShare, w.deadline = 0.1, 30*time.Second
	return w
}

var scenarios = []scenario{
	{name: "steady", about: "80% load", duration: 12 * time.Second, workload: steadyWorkload, measure: measureIdeal},
	{name: "crest", about: "twice the capacity for 10 s", duration: crestDuration, workload: crestWorkload, measure: measureCrest},
	{name: "mixed", about: "10% of the tasks are 100 times longer", duration: 6 * time.Second, workload: mixedWorkload, measure: measureMixed},
	{
		name: "badworker", about: "one of 11 workers fails every task", duration: 10 * time.Second, workload: steadyWorkload,
		fault: func(ctx context.Context, r *run) {
			w := r.cluster.workers[faultedWorker]
			w.backend.SetFaults(standin.BackendFaults{FailAll: true})
			if sleep(ctx, faultGracePeriod) {
				r.allowedExecutions = w.executions.Total()
			}
		},
		measure: measureBadWorker,
	},
	{
		name: "leave", about: "a backend server announces that it leaves", duration: 10 * time.Second, workload: steadyWorkload,
		fault: func(ctx context.Context, r *run) {
			w := r.cluster.workers[faultedWorker]
			w.leave()
			if sleep(ctx, leaveGracePeriod) {
				r.allowedExecutions = w.executions.Total()
			}
		},
		measure: measureLeave,
	},
	{
		name: "kill-agent", about: "an agent and its backend server crash", duration: 10 * time.Second, workload: steadyWorkload,
		fault:   func(_ context.Context, r *run) { r.cluster.workers[faultedWorker].kill() },
		measure: measureFault,
	},
	{
		name: "kill-entry", about: "an entry is cut off from everything", duration: 12 * time.Second, workload: steadyWorkload,
		useProxies: true,
		fault:      func(_ context.Context, r *run) { r.cluster.entries[0].isolate() },
		measure:    measureFault,
	},
	{
		name: "silent", about: "packets on the open connections of an entry to agents and peers are lost, new connections work",
		duration: 10 * time.Second, workload: steadyWorkload, useProxies: true,
		fault:   func(_ context.Context, r *run) { r.cluster.entries[0].peerProxy.dropExistingFlows() },
		measure: measureFault,
	},
	{
		name: "outage", about: "the platform is unavailable for 4 s", duration: 10 * time.Second, workload: steadyWorkload,
		fault: func(ctx context.Context, r *run) {
			p := r.cluster.platform
			p.SetFaults(standin.PlatformFaults{Unavailable: true})
			defer p.SetFaults(standin.PlatformFaults{})
			sleep(ctx, outageDuration)
		},
		measure: measureFault,
	},
	{
		name: "cancelwave", about: "60% of the jobs in progress are cancelled, three times", duration: 10 * time.Second, workload: steadyWorkload,
		fault: cancelWave, measure: measureFault,
	},
}

// cancelWave cancels a random part of the jobs in progress, cancelWaves times.
func cancelWave(ctx context.Context, r *run) {
	random := rand.New(rand.NewPCG(r.opts.seed, 2))
	for range cancelWaves {
		for _, i := range r.callers.outstandingJobs() {
			if random.Float64() < cancelShare {
				go r.callers.cancel(ctx, i)
			}
		}
		if !sleep(ctx, cancelInterval) {
			return
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
