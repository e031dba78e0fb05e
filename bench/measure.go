package bench

import (
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

const (
	// window is the resolution of the recovery time.
	window = 250 * time.Millisecond
	// normalFactor is by how much the median slowdown of a window may exceed the
	// one before the fault. A window holds about 20 jobs, whose median varies by
	// about 20% at 80% load.
	normalFactor = 1.5
)

// measureIdeal compares the complete jobs with the ideal on the same trace.
func measureIdeal(r *run, rep *Report) {
	best := ideal(r.jobs, speeds, slotsPerWorker)
	measured, perfect := newHistogram(), newHistogram()
	var ratios []float64
	for _, i := range r.measured() {
		if r.complete(i) {
			record(measured, r.outcome(i).response)
			record(perfect, best[i])
			ratios = append(ratios, float64(r.outcome(i).response)/float64(best[i]))
		}
	}
	if len(ratios) == 0 {
		return
	}
	slices.Sort(ratios)
	rep.ResponseOverIdealP50 = ptr(millis(measured, 50) / millis(perfect, 50))
	rep.ResponseOverIdealP99 = ptr(millis(measured, 99) / millis(perfect, 99))
	rep.JobRatioP50 = ptr(ratios[len(ratios)/2])
	rep.JobRatioP99 = ptr(ratios[len(ratios)*99/100])
}

// measureFault adds the comparison with the ideal, which does not know of the
// fault, the tasks of failed jobs and the time until response is normal.
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
		if r.jobs[i].at >= r.faultAt+settleTime {
			offered += len(r.jobs[i].work)
		}
	}
	lost := r.cluster.workers[victim].runs.Total() - r.victimRuns
	rep.TasksLost = ptr(lost)
	rep.TasksLostShare = ptr(float64(lost) / float64(max(offered, 1)))
	rep.RecoveryMS = r.recovery(r.faultAt)
}

// measureLeave counts as lost what the leaving backend server got too late.
func measureLeave(r *run, rep *Report) {
	measureFault(r, rep)
	rep.TasksLost = ptr(*rep.TasksLost + r.cluster.workers[victim].runs.Total() - r.victimRuns)
}

func measureCrest(r *run, rep *Report) {
	begin := r.load.phases[0].length + r.load.phases[1].length
	end := begin + r.load.phases[2].length
	var done time.Duration
	for i := range r.jobs {
		o := r.outcome(i)
		at := r.jobs[i].at + o.response
		if o.onTime(&r.jobs[i]) && at >= begin && at < end {
			done += r.jobs[i].total()
		}
	}
	rep.OnTimeOverCapacity = ptr(float64(done) / (capacity() * float64(end-begin)))
	rep.RecoveryMS = r.recovery(end)
}

// measureMixed compares the short jobs with a run of short jobs alone at the
// same load.
func measureMixed(r *run, rep *Report) {
	alone, err := execute(r.o, r.scenario, short(r.load.phases[1].length-2*time.Second), r.o.log)
	if err != nil {
		r.cluster.log.WithError(err).Error("the run of short tasks alone failed")
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
			record(h, r.outcome(i).response)
		}
	}
	return millis(h, 99)
}

// recovery returns the time from t to the end of the last window in which a job
// failed or was refused or the median slowdown was not normal, in milliseconds.
func (r *run) recovery(t time.Duration) *float64 {
	var before []float64
	windows := map[int][]int{}
	for _, i := range r.measured() {
		at := r.jobs[i].at
		if at >= t {
			windows[int((at-t)/window)] = append(windows[int((at-t)/window)], i)
		} else if r.complete(i) && r.jobs[i].phase == 1 {
			before = append(before, r.slowdown(i))
		}
	}
	normal := median(before) * normalFactor
	last := -1
	for n, jobs := range windows {
		var slow []float64
		bad := false
		for _, i := range jobs {
			bad = bad || !r.complete(i) && !r.outcome(i).cancelled
			if r.complete(i) {
				slow = append(slow, r.slowdown(i))
			}
		}
		if bad || median(slow) > normal {
			last = max(last, n)
		}
	}
	return ptr(float64(time.Duration(last+1)*window) / float64(time.Millisecond))
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)/2]
}
