package link

//go:generate msgp -file messages.go -o messages_gen.go -tests=false -io=false

// The limit keeps a damaged length from allocating more than a frame can hold.
//msgp:limit arrays:16384

//msgp:tuple Hello Welcome TaskID Resources Start Stop Claim Evacuation KnownSpeed Commands Spec StartAnswer End Progress WorkerState Pair KindCount Report

// Protocol is the version of the message set. A process rejects connections from
// a peer with a different version.
const Protocol uint16 = 7

// Hello is the first message of a connection. The entry sends it.
type Hello struct {
	Protocol uint16
	// Entry is the name of the entry.
	Entry string
	// Incarnation is a random number that identifies an instance of the entry's
	// process.
	Incarnation uint64
}

// Welcome is the agent's reply to a Hello.
type Welcome struct {
	Protocol uint16
	// Agent is the name of the agent.
	Agent string
	// Incarnation is a random number that identifies an instance of the agent's
	// process.
	Incarnation uint64
	// ClockMS is the agent's clock when it sent the message, in milliseconds.
	ClockMS int64
}

// TaskID identifies a task by its job, the step of the job and the task's index
// in the step.
type TaskID struct {
	Job   string
	Step  uint16
	Index uint16
}

// Resources is the amount of each resource that a worker has or a task needs.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64
	MemoryMB int64
	GPU      int64
}

// Start asks the agent to start a task.
type Start struct {
	Task TaskID
	// Attempt numbers the starts of a task. A worker accepts a start only if its
	// number is higher than all earlier ones of the task.
	Attempt uint32
	Need    Resources
	// EstimateMS is the declared run time of the task, in milliseconds.
	EstimateMS int64
	// WorkerRevision is that of the WorkerState for which the task was placed. The agent
	// refuses the start if the worker is another one now.
	WorkerRevision uint64
	// DueMS is the time that is left until the task must be done for its job to be on
	// time, in milliseconds. It is negative if the job is late already.
	DueMS int64
	// Kind is the kind of the task, the name of its queue.
	Kind string
	// Spec is passed to the worker unchanged. On the wire, SpecIndex stands for it, the
	// index of the spec in Commands.Specs.
	Spec      string `msg:"-"`
	SpecIndex uint16
}

// Spec is the encoded spec of one or more starts.
type Spec struct {
	// Compressed says that Data is a Zstandard frame.
	Compressed bool
	Data       []byte
}

// Stop asks the agent to stop an attempt. The agent answers with an End if it has
// recorded the end of the attempt, and with NotRunning if it has no such attempt.
type Stop struct {
	Task    TaskID
	Attempt uint32
}

// Claim names an attempt that the entry assumes to be in progress at the agent. The
// entry sends it when it reconnects after a lost connection. The agent answers with
// an End if it has recorded the end of the attempt, and with a StartAnswer otherwise.
type Claim struct {
	Task       TaskID
	Attempt    uint32
	Need       Resources
	EstimateMS int64
	DueMS      int64
	Kind       string
}

// Evacuation tells an agent whether the operator has the availability zone of its worker
// evacuated.
type Evacuation struct {
	// Version is the version of the store at which the entry read it; 0 if it has not. The
	// state with the highest version counts, whichever entry it comes from.
	Version   uint64
	Evacuated bool
	// WorkerRevision is that of the WorkerState with the zone. The agent ignores the state
	// if its worker has changed since.
	WorkerRevision uint64
}

// KnownSpeed is the long-term speed of a worker that an earlier process of its agent has
// reported to an entry.
type KnownSpeed struct {
	// WorkerID and Born identify the worker instance.
	WorkerID string
	Born     int64
	Speed    float32
	// AgeMS is the time since the report, in milliseconds, at the time of Commands.AsOfMS.
	AgeMS int64
}

// Commands is the message that an entry sends to an agent. Without claims, stops and
// starts it is a ping, which asks for a Report unless the agent has just sent one.
type Commands struct {
	Sequence uint64
	// AsOfMS dates the message in milliseconds of the agent's clock: the entry had the
	// connection then, and knew which callers had gone. The message may arrive much later.
	AsOfMS int64
	Claims []Claim
	Stops  []Stop
	Starts []Start
	// Specs holds the specs of Starts, each once. It is set and used while a message is
	// encoded and decoded only.
	Specs []Spec
	// Waiting says that the entry has tasks that wait for free capacity. The agent
	// then sends a Report when its free CPU grows, but not when only its free memory
	// or GPU does.
	Waiting bool
	// Inactive says that the entry starts no tasks at this worker at present. The agent
	// then reports only changes of the worker and of whether it accepts tasks.
	Inactive   bool
	Evacuation Evacuation
	// KnownSpeed is set in the first message to an agent that has restarted, if the entry
	// knows the speed of its worker from the time before.
	KnownSpeed *KnownSpeed
	// CountKinds lists kinds that the agent is to include in Report.Running of this connection.
	// It is set in the first message of a connection; without it, the list stays in effect.
	CountKinds []string
}

// Values of StartAnswer.Result.
const (
	// Started says that the attempt is in progress.
	Started uint8 = iota
	// Busy says that the worker lacked free capacity, that the lease in the start
	// call had expired, or that an earlier attempt of the task has not ended. This
	// attempt has not run.
	Busy
	// Refused says that the worker accepts no tasks at present, or that the start was too
	// long under way. The attempt has not run.
	Refused
	// Outdated says that the worker has seen an attempt of the task with the same
	// or a higher number. This attempt has not run.
	Outdated
	// NotRunning says that the attempt is not running and will not run. The agent
	// has no record that its start was confirmed, but it may have run before.
	NotRunning
	// Unknown answers a Claim for an attempt of which the agent has no record, if
	// the agent has restarted recently. The attempt may run until its lease expires.
	Unknown
)

// StartAnswer answers a Start or a Claim, or a Stop of an attempt that the agent
// neither runs nor has on record as ended.
type StartAnswer struct {
	Task    TaskID
	Attempt uint32
	Result  uint8
}

// Values of End.Outcome.
const (
	// Done says that the task succeeded.
	Done uint8 = iota
	// Failed says that the task or its worker failed.
	Failed
	// Stopped says that the attempt was stopped on request.
	Stopped
	// LeaseExpired says that the lease of the worker's tasks expired.
	LeaseExpired
	// WorkerLost says that the worker restarted, or no longer lists the attempt.
	WorkerLost
)

// End reports how an attempt ended.
type End struct {
	Task    TaskID
	Attempt uint32
	Outcome uint8
	// RanMS is the run time of the attempt, in milliseconds.
	RanMS int64
}

// Progress reports the progress of an attempt that will not be done when it is due, that
// makes no progress, or whose worker leaves.
type Progress struct {
	Task    TaskID
	Attempt uint32
	// Percent is the share of the task's work that is done, 0 to 100.
	Percent uint8
	// RemainingMS is the estimated time to the end at the most recent rate of
	// progress, in milliseconds, or -1 while no progress has been observed.
	RemainingMS int64
	// IdleMS is how long the attempt has made no progress, in milliseconds.
	IdleMS int64
}

// WorkerState describes the worker of an agent.
type WorkerState struct {
	// Revision is a number that the agent increases whenever its worker restarts or
	// changes in one of the other fields. It starts anew with the agent's process, and is
	// valid on one connection.
	Revision uint64
	// ID and Born identify the worker instance. A worker may restart under its ID.
	ID       string
	Born     int64
	Service  string
	Zone     string
	Capacity Resources
	Labels   []string
}

// Pair holds sums of which entries estimate how much longer tasks of a kind run beside
// tasks of a neighbor kind, see package interference. Sums of an agent replace its earlier
// ones of the pair.
type Pair struct {
	Kind, Neighbor            string
	XX, XY, Residual, Freedom float32
}

// KindCount is the number of tasks of a kind that run on the worker, for all entries.
type KindCount struct {
	Kind  string
	Count uint16
}

// Report is the message that an agent sends to an entry. Answers and Ends are each
// in the order of the events that they report.
type Report struct {
	// Sequence is the sequence number of the last Commands that the report reflects.
	Sequence uint64
	// ClockMS is the agent's clock when it made the report, in milliseconds.
	ClockMS  int64
	Answers  []StartAnswer
	Ends     []End
	Progress []Progress
	// Worker is set in the first report of a connection and when it changes.
	Worker *WorkerState
	// Accepting is false while the worker drains, is unknown or does not answer.
	Accepting bool
	// Free is the capacity that is left for further starts after all starts up to
	// Sequence. It is zero while a worker that fails often must not get a further
	// task, and while the need of one of its runs is unknown.
	Free Resources
	// Speed is the ratio of the declared to the measured run time of tasks, so a
	// higher value means a faster worker.
	Speed float32
	// LeavesMS is how long a worker that drains stays at least, in milliseconds when the
	// report is made; 0 if that is unknown or the worker doesn't drain.
	LeavesMS int64
	// FailureRate is the exponentially decayed failure rate of the worker's runs, 0
	// to 1. It also counts starts that the worker left unanswered. A failure of the
	// same job as the previous failure is not counted.
	FailureRate float32
	// Pairs are pairs of kinds whose sums have changed. It is empty unless tasks seem to
	// slow each other down.
	Pairs []Pair
	// Running lists the kinds of which tasks run on the worker, as far as they seem to slow
	// down others or to be slowed down, or the entry has asked for them.
	Running []KindCount
	// LongTermSpeed is the average of Speed over several seconds. It is 0 while the agent has
	// measured no run of the worker since it started, so that Speed is only assumed.
	LongTermSpeed float32
}
