package dispatch

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/link"
)

// Limits of a job. The numbers of a job come from its caller, and are added and multiplied
// from its admission on. Within these limits, the results stay within 64 bits.
const (
	// MaxJobTasks bounds the tasks of a job.
	MaxJobTasks = 4096
	// MaxNeed bounds what a task needs of one resource, in the unit of that resource.
	MaxNeed = link.MaxNeed
	// MaxEstimate bounds Step.Estimate.
	MaxEstimate = time.Hour
	// MaxDeadline bounds the time between Job.ReceivedAt and Job.Deadline.
	MaxDeadline = 24 * time.Hour
	// MaxLatencyFactor bounds Job.LatencyFactor, MaxLatencyAllowance the size of
	// Job.LatencyAllowance.
	MaxLatencyFactor    = 100
	MaxLatencyAllowance = 1e12 * time.Millisecond
)

// Validate returns an error that says what is wrong if the job exceeds the limits, or has a
// number that makes no sense. Submit refuses such a job.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].Validate(i); err != nil {
			return err
		}
		// Each count is within the limit, so that the sum doesn't overflow.
		if tasks += j.Steps[i].Tasks; tasks > MaxJobTasks {
			return errors.Errorf("the job has more than %d tasks", MaxJobTasks)
		}
	}
	switch {
	// Written so that NaN is refused.
	case !(j.LatencyFactor >= 0 && j.LatencyFactor <= MaxLatencyFactor):
		return errors.Errorf("the latency factor %v isn't from 0 to %d", j.LatencyFactor, MaxLatencyFactor)
	case j.LatencyAllowance < -MaxLatencyAllowance || j.LatencyAllowance > MaxLatencyAllowance:
		return errors.Errorf("the latency allowance %v exceeds %v", j.LatencyAllowance, MaxLatencyAllowance)
	case j.Deadline > j.ReceivedAt+MaxDeadline:
		return errors.Errorf("the deadline is more than %v after the arrival of the job", MaxDeadline)
	}
	return nil
}

// Validate is Job.Validate for the step with the given index.
func (st *Step) Validate(index int) error {
	need := st.Need
	switch {
	case st.Tasks < 1 || need.MilliCPU < 0 || need.MemoryMB < 0 || need.GPU < 0 || st.Estimate < 0:
		return errors.Errorf("step %d has a count below 1, a negative resource or a negative estimate", index)
	case st.Tasks > MaxJobTasks:
		return errors.Errorf("step %d has more than %d tasks", index, MaxJobTasks)
	case max(need.MilliCPU, need.MemoryMB, need.GPU) > MaxNeed || st.Estimate > MaxEstimate:
		return errors.Errorf("step %d has a resource above %d or an estimate above %v", index, int64(MaxNeed), MaxEstimate)
	case st.MaxPerWorker < 0:
		return errors.Errorf("step %d has a negative limit of tasks per worker", index)
	}
	for _, dep := range st.DependsOn {
		if dep < 0 || dep >= index {
			return errors.Errorf("step %d comes after step %d, which isn't an earlier one", index, dep)
		}
	}
	if len(st.DependsOn) > index {
		return errors.Errorf("step %d comes after %d steps, and there are %d before it", index, len(st.DependsOn), index)
	}
	return nil
}
