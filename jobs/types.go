package jobs

import (
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	// SettleWait is how long a task may stay in an unknown state after the
	// connection to its agent was lost, before its job fails.
	SettleWait = 2 * time.Second
	// DefaultMaxKeys is the default of Options.MaxKeys. A load of 500 jobs/s needs
	// 165,000 keys, since a key is kept until it expires, 5.5 min after its creation.
	DefaultMaxKeys = 300_000
)

// Options holds the memory limits of a Table.
type Options struct {
	// MaxAnswerBytes bounds the total size of the results in complete answers, in
	// bytes. Beyond it the results of the oldest answers are dropped.
	MaxAnswerBytes int
	// MaxKeys bounds the total number of running jobs and final answers. Zero means
	// DefaultMaxKeys.
	MaxKeys int
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// Queue puts the task into the queue. It may start at any agent.
	Queue ActionKind = iota + 1
	// Settle sends a Settle message to the agent.
	Settle
	// Deliver delivers the answer and removes the waiting tasks of the job from the
	// queue.
	Deliver
)

// Action is what the entry must do after an event.
type Action struct {
	Kind ActionKind
	Key  api.Key
	Task uint16
	// Agent is the incarnation of the agent that a Settle is sent to.
	Agent uint64
	// Stop and Watch are the fields of the same name in the Settle message.
	Stop, Watch bool
	// Job and Answer are set for Deliver.
	Job    *Job
	Answer *api.Answer
}

// StartedTask is a task that an earlier owner of the key started.
type StartedTask struct {
	Task   uint16
	Agent  uint64
	Digest uint64
}

// JobSpec describes an accepted job for Table.Add.
type JobSpec struct {
	Key        api.Key
	Submission *api.Submission
	Digest     uint64
	Deadline   time.Time
	// Started lists the tasks that an earlier owner started. They are settled
	// instead of started.
	Started []StartedTask
	// RecordsLost reports that the tasks that are not in Started must not start: an
	// earlier owner may have started them, and the records of these starts may be
	// lost.
	RecordsLost bool
}

// Job is a job that has no verdict yet or has just received one.
type Job struct {
	Key        api.Key
	Submission *api.Submission
	Digest     uint64
	Deadline   time.Time
	Arrived    time.Time
	// Recovered reports that an earlier owner started tasks of the job.
	Recovered bool

	tasks    []task
	finished int // tasks with a result
	bytes    int // size of the task bodies and results
}

// Finished returns the number of tasks with a result.
func (j *Job) Finished() int { return j.finished }

type taskState uint8

const (
	taskWaiting taskState = iota
	taskStarted
	// taskUnknown means that the task was started, but the connection to its agent
	// was lost or the agent has not answered a Settle message yet.
	taskUnknown
	taskFinished
)

type task struct {
	state  taskState
	agent  uint64
	ran    api.Ran
	result []byte
}

// ranSoFar returns what a verdict given now reports as ran for the task. A task that
// was started and has no result may have run.
func (t *task) ranSoFar() api.Ran {
	switch t.state {
	case taskWaiting:
		return api.RanNo
	case taskFinished:
		return t.ran
	}
	return api.RanMaybe
}

// taskID identifies a task.
type taskID struct {
	key  wire.Key
	task uint16
}
