package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/standin"
)

// Report holds the figures of a run. Figures that a scenario does not have are
// nil.
type Report struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// Tasks and Jobs are those offered after the warm-up.
	Tasks          int     `json:"tasks"`
	Jobs           int     `json:"jobs"`
	OfferedPerS    float64 `json:"offered_per_s"`
	CapacityPerS   float64 `json:"capacity_per_s"`
	ResponseP50MS  float64 `json:"response_p50_ms"`
	ResponseP99MS  float64 `json:"response_p99_ms"`
	JobsComplete   int     `json:"jobs_complete"`
	JobsFailed     int     `json:"jobs_failed"`
	JobsCancelled  int     `json:"jobs_cancelled"`
	JobsUnanswered int     `json:"jobs_unanswered"`

	// ResponseOverIdeal are percentiles of the responses divided by the same
	// percentiles of the ideal responses; JobRatio are percentiles of the ratio
	// of each job.
	ResponseOverIdealP50  *float64 `json:"response_over_ideal_p50,omitempty"`
	ResponseOverIdealP99  *float64 `json:"response_over_ideal_p99,omitempty"`
	JobRatioP50           *float64 `json:"job_ratio_p50,omitempty"`
	JobRatioP99           *float64 `json:"job_ratio_p99,omitempty"`
	WastedMessagesPerTask float64  `json:"wasted_messages_per_task"`
	// OnTimeOverCapacity is the work of jobs answered on time in the crest,
	// relative to the work that all slots can do.
	OnTimeOverCapacity *float64 `json:"on_time_over_capacity,omitempty"`
	Refusals           int      `json:"refusals"`
	RefusalP99MS       *float64 `json:"refusal_p99_ms,omitempty"`
	RecoveryMS         *float64 `json:"recovery_ms,omitempty"`
	ShortP99OverAlone  *float64 `json:"short_p99_over_alone,omitempty"`
	// TasksLost are the tasks that a failing or leaving worker got after it
	// should have got none; for other faults, the tasks of the failed jobs.
	TasksLost      *int     `json:"tasks_lost,omitempty"`
	TasksLostShare *float64 `json:"tasks_lost_share,omitempty"`

	DoubleStarts   int `json:"double_starts"`
	PartialAnswers int `json:"partial_answers"`
	FalseNotRun    int `json:"false_not_run"`
	// CPUUSPerTask covers callers, backend servers and the load itself.
	CPUUSPerTask float64 `json:"cpu_us_per_task"`
	MaxRSSMB     float64 `json:"max_rss_mb"`
	// Reasons counts the failed jobs by reason.
	Reasons map[api.Reason]int `json:"reasons,omitempty"`
}

// Correct reports whether nothing happened that must never happen.
func (r *Report) Correct() bool {
	return r.DoubleStarts == 0 && r.PartialAnswers == 0 && r.FalseNotRun == 0
}

// report computes the figures that all scenarios have.
func (r *run) report() *Report {
	rep := &Report{Scenario: r.scenario.name, Policy: r.o.policy, Seed: r.o.seed, Reasons: map[api.Reason]int{}}
	response := newHistogram()
	refusal := newHistogram()
	all := 0
	for i := range r.jobs {
		all += len(r.jobs[i].work)
		r.audit(i, rep)
	}
	for _, i := range r.measured() {
		rep.Jobs++
		rep.Tasks += len(r.jobs[i].work)
		r.count(i, rep)
		if r.complete(i) {
			record(response, r.outcome(i).response)
		}
		if r.refused(i) {
			record(refusal, r.outcome(i).response)
		}
	}
	rep.ResponseP50MS, rep.ResponseP99MS = millis(response, 50), millis(response, 99)
	if rep.Refusals > 0 {
		rep.RefusalP99MS = ptr(millis(refusal, 99))
	}
	var length, work time.Duration
	for _, p := range r.load.phases[1:] {
		length += p.length
	}
	for i := range r.jobs {
		work += r.jobs[i].total()
	}
	rep.OfferedPerS = float64(rep.Tasks) / length.Seconds()
	rep.CapacityPerS = capacity() / (work.Seconds() / float64(all))
	rep.WastedMessagesPerTask = r.wasted(all)
	rep.CPUUSPerTask = float64(r.cpu.Microseconds()) / float64(all)
	rep.MaxRSSMB = maxRSS()
	if r.scenario.measure != nil {
		r.scenario.measure(r, rep)
	}
	return rep
}

// count counts the outcome of a measured job.
func (r *run) count(i int, rep *Report) {
	o := r.outcome(i)
	switch {
	case o.answer == nil:
		rep.JobsUnanswered++
		return
	case o.answer.Verdict == api.Complete:
		rep.JobsComplete++
		return
	case o.cancelled:
		rep.JobsCancelled++
	case r.refused(i):
		rep.Refusals++
	default:
		rep.JobsFailed++
	}
	rep.Reasons[o.answer.Reason]++
}

// audit checks one job against what the backend servers counted.
func (r *run) audit(i int, rep *Report) {
	o, ran, missing := r.outcome(i), 0, 0
	for t := range r.jobs[i].work {
		n := r.executions(i, t)
		ran += n
		rep.DoubleStarts += max(n-1, 0)
		if n == 0 {
			missing++
		}
	}
	if o.wrong != "" || r.complete(i) && missing > 0 {
		r.cluster.log.Errorf("job %s: wrong answer: %q, %d tasks without an execution", r.jobs[i].key, o.wrong, missing)
		rep.PartialAnswers++
	}
	if o.answer != nil && o.answer.Ran == api.RanNo && ran > 0 {
		r.cluster.log.Errorf("job %s: answered %q, but %d tasks ran", r.jobs[i].key, o.answer.Reason, ran)
		rep.FalseNotRun++
	}
}

// wasted returns the messages beyond one start and one result per task. Probes
// of quiet connections are not counted.
func (r *run) wasted(tasks int) float64 {
	var starts, busy, ended, other int64
	for _, n := range r.cluster.nodes {
		starts += counter(n.metrics, "task_starts_total")
		other += 2*counter(n.metrics, "settle_messages_total") + counter(n.metrics, "load_messages_total")
		other += 2 * counter(n.metrics, "fence_messages_total")
	}
	for _, w := range r.cluster.workers {
		busy += counter(w.metrics, "starts_busy_total")
		ended += counter(w.metrics, "tasks_ended_total")
	}
	// A start that did not run, and its answer, are both overhead.
	if extra := starts - ended; extra > 0 {
		other += 2 * extra
	}
	return float64(other) / float64(tasks)
}

func executionOf(j *job, task int) standin.Execution {
	return standin.Execution{Key: j.key, Task: uint16(task)}
}

// newHistogram returns a histogram of times from 1 µs to 10 min with 3 digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(max(d.Microseconds(), 1)) }

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

func ptr[T any](v T) *T { return &v }
