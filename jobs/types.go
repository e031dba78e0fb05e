package jobs

import (
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

const (
	// SettleWait is how long a started task may stay in an unknown state after
	// its agent was lost, before its job fails.
	SettleWait = 2 * time.Second
	// DefaultMaxKeys bounds the remembered keys. 500 jobs/s over the lifetime
	// of a key are 165,000 keys.
	DefaultMaxKeys = 300_000
)

// Options bounds the memory of a Table.
type Options struct {
	// MaxAnswerBytes bounds the results of finished answers, in bytes.
	MaxAnswerBytes int
	// MaxKeys bounds jobs, answers and tombstones together; zero means
	// DefaultMaxKeys.
	MaxKeys int
}

// Kind is the kind of an Action.
type Kind uint8

// Kinds of actions.
const (
	// Queue puts the task into the queue; it may start at any agent.
	Queue Kind = iota + 1
	// Settle sends a Settle message to the agent.
	Settle
	// Done delivers the answer and drops the waiting tasks of the job.
	Done
)

// Action is what the entry must do after an event.
type Action struct {
	Kind Kind
	Key  api.Key
	Task uint16
	// Agent is the incarnation that a Settle goes to.
	Agent       uint64
	Stop, Watch bool
	// Job and Answer are set for Done.
	Job    *Job
	Answer *api.Answer
}

// Started is a task that an earlier owner of the key started.
type Started struct {
	Task   uint16
	Agent  uint64
	Digest uint64
}

// New describes a job that is accepted.
type New struct {
	Key        api.Key
	Submission *api.Submission
	Digest     uint64
	Deadline   time.Time
	// Started lists the tasks to settle instead of starting them.
	Started []Started
	// Unknown says that tasks that are not in Started may have run and must not
	// start.
	Unknown bool
}

// Job is a job that has no verdict yet, or has just received it.
type Job struct {
	Key        api.Key
	Submission *api.Submission
	Digest     uint64
	Deadline   time.Time
	Arrived    time.Time
	// Recovered says that an earlier owner started tasks of the job.
	Recovered bool

	tasks    []task
	finished int
	bytes    int
	done     bool
}

// Finished returns the number of tasks with a result.
func (j *Job) Finished() int { return j.finished }

type state uint8

const (
	waiting state = iota
	started
	// unknown is a started task whose agent was lost or has not answered a
	// Settle yet.
	unknown
	finished
)

type task struct {
	state  state
	agent  uint64
	ran    api.Ran
	result []byte
}

// mayHaveRun returns whether the task counts as run in a verdict given now. A
// task that is started and has no result may have run.
func (t *task) mayHaveRun() api.Ran {
	switch t.state {
	case waiting:
		return api.RanNo
	case finished:
		return t.ran
	}
	return api.RanMaybe
}

// ref names a task.
type ref struct {
	key  wire.Key
	task uint16
}
