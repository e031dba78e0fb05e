package bench

import (
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

const (
	// recoveryWindow is the resolution of the recovery time.
	recoveryWindow = 250 * time.Millisecond
	// recoveredSlowdownFactor is the factor by which the median slowdown of a window
	// may exceed the median before the fault. A window holds about 20 jobs, whose
	// median varies by about 20% at 80% load.
	recoveredSlowdownFactor = 1.5
)

// measureIdeal compares the response times of the complete jobs with those of the
// ideal dispatcher on the same trace.
func measureIdeal(r *run, rep *Report) {
	idealTimes := idealResponseTimes(r.jobs, speeds, slotsPerWorker)
	measuredHist, idealHist := newHistogram(), newHistogram()
	var ratios []float64
	for _, i := range r.measured() {
		if r.complete(i) {
			record(measuredHist, r.outcome(i).responseTime)
			record(idealHist, idealTimes[i])
			ratios = append(ratios, float64(r.outcome(i).responseTime)/float64(idealTimes[i]))
		}
	}
	if len(ratios) == 0 {
		return
	}
	slices.Sort(ratios)
	rep.ResponseOverIdealP50 = ptr(percentileMS(measuredHist, 50) / percentileMS(idealHist, 50))
	rep.ResponseOverIdealP99 = ptr(percentileMS(measuredHist, 99) / percentileMS(idealHist, 99))
	rep.JobRatioP50 = ptr(ratios[len(ratios)/2])
	rep.JobRatioP99 = ptr(ratios[len(ratios)*99/100])
}

// measureFault adds the number of tasks of failed and unanswered jobs, the recovery
// time, and the comparison with the ideal dispatcher, which is not subject to the
// fault.
func measureFault(r *run, rep *Report) {
	measureIdeal(r, rep)
	lost := 0
	for _, i := range r.measured() {
		if !r.complete(i) && !r.refused(i) && !r.outcome(i).cancelled {
			lost += len(r.jobs[i].work)
		}
	}
	rep.TasksLost = ptr(lost)
	rep.RecoveryMS = r.recovery(r.faultAt)
}

func measureBadWorker(r *run, rep *Report) {
	measureIdeal(r, rep)
	offered := 0
	for i := range r.jobs {
		if r.jobs[i].arrival >= r.faultAt+faultGracePeriod {
			offered += len(r.jobs[i].work)
		}
	}
	lost := r.cluster.workers[faultedWorker].executions.Total() - r.allowedExecutions
	rep.TasksLost = ptr(lost)
	rep.TasksLostShare = ptr(float64(lost) / float64(max(offered, 1)))
	rep.RecoveryMS = r.recovery(r.faultAt)
}

// measureLeave also counts as lost the tasks that the leaving backend server
// received after leaveGracePeriod.
func measureLeave(r *run, rep *Report) {
	measureFault(r, rep)
	rep.TasksLost = ptr(*rep.TasksLost + r.cluster.workers[faultedWorker].executions.Total() - r.allowedExecutions)
}

func measureCrest(r *run, rep *Report) {
	begin := r.workload.phases[0].duration + r.workload.phases[1].duration
	end := begin + r.workload.phases[2].duration
	var onTimeWork time.Duration
	for i := range r.jobs {
		o := r.outcome(i)
		at := r.jobs[i].arrival + o.responseTime
		if o.onTime(&r.jobs[i]) && at >= begin && at < end {
			onTimeWork += r.jobs[i].totalWork()
		}
	}
	rep.OnTimeOverCapacity = ptr(float64(onTimeWork) / (capacity() * float64(end-begin)))
	rep.RecoveryMS = r.recovery(end)
}

// measureMixed compares the short jobs with a run of only short jobs at the same
// load.
func measureMixed(r *run, rep *Report) {
	alone, err := execute(r.opts, r.scenario, shortWorkload(r.workload.phases[1].duration-2*time.Second), r.opts.log)
	if err != nil {
		r.cluster.log.WithError(err).Error("cannot run the short tasks alone for comparison")
		return
	}
	for i := range alone.jobs {
		alone.audit(i, rep)
	}
	if p99 := alone.shortP99(); p99 > 0 {
		rep.ShortP99OverAlone = ptr(r.shortP99() / p99)
	}
}

func (r *run) shortP99() float64 {
	h := newHistogram()
	for _, i := range r.measured() {
		if r.jobs[i].class == wire.ClassShort && r.complete(i) {
			record(h, r.outcome(i).responseTime)
		}
	}
	return percentileMS(h, 99)
}

// recovery returns the time from t to the end of the last disturbed window, in
// milliseconds. A window is disturbed if one of the jobs that arrived in it failed,
// was refused or got no answer, or if their median slowdown is above the threshold.
func (r *run) recovery(t time.Duration) *float64 {
	var before []float64
	windows := map[int][]int{}
	for _, i := range r.measured() {
		at := r.jobs[i].arrival
		if at >= t {
			windows[int((at-t)/recoveryWindow)] = append(windows[int((at-t)/recoveryWindow)], i)
		} else if r.complete(i) && r.jobs[i].phase == 1 {
			before = append(before, r.slowdown(i))
		}
	}
	threshold := median(before) * recoveredSlowdownFactor
	lastDisturbed := -1
	for n, jobs := range windows {
		var slowdowns []float64
		disturbed := false
		for _, i := range jobs {
			disturbed = disturbed || !r.complete(i) && !r.outcome(i).cancelled
			if r.complete(i) {
				slowdowns = append(slowdowns, r.slowdown(i))
			}
		}
		if disturbed || median(slowdowns) > threshold {
			lastDisturbed = max(lastDisturbed, n)
		}
	}
	return ptr(float64(time.Duration(lastDisturbed+1)*recoveryWindow) / float64(time.Millisecond))
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)/2]
}
