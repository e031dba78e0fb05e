package link

//go:generate msgp -file messages.go -o messages_gen.go -tests=false -io=false

//msgp:tuple Hello Welcome TaskID Resources Start Stop Claim Orders StartAnswer End Progress WorkerState Report

// Protocol is the version of the message set. A process refuses a peer with
// another one.
const Protocol uint16 = 1

// Hello opens a connection; the entry sends it.
type Hello struct {
	Protocol uint16
	// Entry is the name of the entry; Incarnation is new at each start of it.
	Entry       string
	Incarnation uint64
}

// Welcome answers a Hello; the agent sends it.
type Welcome struct {
	Protocol    uint16
	Agent       string
	Incarnation uint64
}

// TaskID names a task of a job.
type TaskID struct {
	Job   string
	Step  uint16
	Index uint16
}

// Resources are amounts of what a worker has and a task takes.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64
	MemoryMB int64
	GPU      int64
}

// Start asks the agent to start a task.
type Start struct {
	Task TaskID
	// Attempt numbers the starts of a task; a worker takes only rising numbers.
	Attempt uint32
	Need    Resources
	// EstimateMS is the declared run time, in milliseconds.
	EstimateMS int64
	Spec       string
}

// Stop asks the agent to stop an attempt.
type Stop struct {
	Task    TaskID
	Attempt uint32
}

// Claim says that the entry believes an attempt to be in progress at the agent.
// It is sent after a lost connection, and answered with a StartAnswer.
type Claim struct {
	Task       TaskID
	Attempt    uint32
	Need       Resources
	EstimateMS int64
}

// Orders is what an entry sends. Without content it only shows that the entry
// lives, and asks for a Report.
type Orders struct {
	Sequence uint64
	Claims   []Claim
	Stops    []Stop
	Starts   []Start
	// Waiting says that tasks wait for room: the agent reports when it has some.
	Waiting bool
}

// Values of StartAnswer.Result.
const (
	// Started says that the attempt is in progress.
	Started uint8 = iota
	// Busy says that there was no room. The attempt hasn't run.
	Busy
	// Refused says that the worker takes no work now. The attempt hasn't run.
	Refused
	// Outdated says that the worker has seen an attempt of a higher or the same
	// number. This one hasn't run.
	Outdated
	// Closed says that the start had no answer, and that the attempt doesn't run
	// and won't.
	Closed
	// Unknown answers a Claim: the agent knows nothing of the attempt, because it
	// has restarted since. It may run until its lease ends.
	Unknown
)

// StartAnswer answers a Start or a Claim.
type StartAnswer struct {
	Task    TaskID
	Attempt uint32
	Result  uint8
}

// Values of End.How.
const (
	// Done is the one success.
	Done uint8 = iota
	// Failed says that the task or its worker failed.
	Failed
	// Stopped says that the attempt was stopped on request.
	Stopped
	// Lapsed says that the lease of the worker's tasks ran out.
	Lapsed
	// Vanished says that the worker restarted or left.
	Vanished
)

// End says how an attempt ended.
type End struct {
	Task    TaskID
	Attempt uint32
	How     uint8
	// RanMS is the time from the start to the end, in milliseconds.
	RanMS int64
}

// Progress says how far an attempt is.
type Progress struct {
	Task    TaskID
	Attempt uint32
	// Percent is the share of the task's work that is done, 0 to 100.
	Percent uint8
	// RemainingMS is the time that the rest takes at the rate last seen, in
	// milliseconds; -1 when no progress was seen.
	RemainingMS int64
}

// WorkerState describes the worker of an agent.
type WorkerState struct {
	// ID names one life of the worker.
	ID       string
	Service  string
	Zone     string
	Capacity Resources
	Labels   []string
}

// Report is what an agent sends. Answers and Ends are in the order in which they
// came about.
type Report struct {
	// Sequence is that of the last Orders taken into account.
	Sequence uint64
	Answers  []StartAnswer
	Ends     []End
	Progress []Progress
	// Worker is set in the first report of a connection and when it changes.
	Worker *WorkerState
	// Accepting is false while the worker drains, is unknown or doesn't answer.
	Accepting bool
	// Free is what is left of the capacity after all starts up to Sequence.
	Free Resources
	// Speed is the declared run time of tasks over the measured one.
	Speed float32
	// FailShare is the share of recent ends that were failures, 0 to 1.
	FailShare float32
}
