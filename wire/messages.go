package wire

//go:generate msgp -file messages.go -o messages_gen.go -tests=false -io=false

//msgp:tuple Load Hello Welcome Start Result Settle Settled LoadReport Fence Record FenceAck RosterUpdate WorkerConfig Ping Pong Forward ForwardReply Handover HandoverAck

// Protocol is the version of the message set. A process refuses a peer with
// another one.
const Protocol uint16 = 1

// Type names a message type on the wire.
type Type uint8

// Message types.
const (
	TypeHello Type = iota + 1
	TypeWelcome
	TypeStart
	TypeResult
	TypeSettle
	TypeSettled
	TypeLoad
	TypeFence
	TypeFenceAck
	TypeWorkerConfig
	TypePing
	TypePong
	TypeForward
	TypeForwardReply
	TypeHandover
	TypeHandoverAck
	TypeRosterUpdate
)

// Outcome is how a start ended.
type Outcome uint8

// Outcomes of a start.
const (
	// OutcomeOK means that the task ran and Body holds its result.
	OutcomeOK Outcome = iota + 1
	// OutcomeFailed means that the task failed; Ran says whether it may have run.
	OutcomeFailed
	// OutcomeBusy means that no slot was free. The agent has no record of the
	// task, and it may start elsewhere.
	OutcomeBusy
	// OutcomeRefused means that the agent refuses the start: it is leaving, the
	// owner is fenced, the key expired, or the start was addressed to another
	// incarnation. Ran is RanNo unless the agent has a record.
	OutcomeRefused
)

// State is what an agent knows of a task.
type State uint8

// States of a task in the ledger of an agent.
const (
	// StateClosed means that the task has not started here and never will.
	StateClosed State = iota + 1
	// StateRunning means that the task has started and has no result yet.
	StateRunning
	// StateFinished means that the result is known.
	StateFinished
	// StateForgotten means that the task has finished and its result is no
	// longer kept.
	StateForgotten
)

// Ran mirrors api.Ran in one byte.
type Ran uint8

// Values of Ran.
const (
	RanNo Ran = iota + 1
	RanMaybe
	RanYes
)

// Class separates short tasks from long ones.
type Class uint8

// Classes of tasks by observed run time.
const (
	ClassShort Class = iota
	ClassLong
)

// Key is the idempotency key of a job.
type Key = [16]byte

// Load is the state of the slots of an agent. Every message of an agent
// carries it.
type Load struct {
	Slots       uint16
	Running     uint16
	RunningLong uint16
	Held        uint16
	// Leaving says that the agent takes no new starts.
	Leaving bool
	// ConfigVersion is the configuration in force at the agent.
	ConfigVersion uint64
}

// Hello is the first message of an agent or of an entry that dials.
type Hello struct {
	Protocol uint16
	// Role is "agent" or "entry".
	Role          string
	Name          string
	Incarnation   uint64
	Zone          string
	Services      []string
	Load          Load
	RosterVersion uint64
}

// Welcome answers Hello.
type Welcome struct {
	Protocol      uint16
	Name          string
	Incarnation   uint64
	RosterVersion uint64
	ConfigVersion uint64
	// Refusal is empty, or says why the connection is refused.
	Refusal string
}

// Start asks an agent to run a task.
type Start struct {
	Key   Key
	Task  uint16
	Owner uint64
	// Agent is the incarnation of the agent that is meant. Another incarnation
	// refuses the start.
	Agent    uint64
	Digest   uint64
	Service  string
	TaskType string
	Class    Class
	// TimeLeftMS is the time left until the deadline of the job, in milliseconds.
	TimeLeftMS uint32
	// Backlog is the number of tasks that wait at the entry for a slot.
	Backlog uint32
	// Trace is a W3C traceparent, or empty.
	Trace string
	Body  []byte
}

// Result ends a start.
type Result struct {
	Key     Key
	Task    uint16
	Outcome Outcome
	Ran     Ran
	Reason  string
	// RunTimeUS is the run time at the backend server, in microseconds.
	RunTimeUS uint64
	Load      Load
	Body      []byte
}

// Settle asks for the state of a task. If the task has not started, the agent
// closes it for good before it answers.
type Settle struct {
	Key   Key
	Task  uint16
	Owner uint64
	// Stop asks the agent to stop the task if it runs.
	Stop bool
	// Watch asks the agent to send the Result of a running task to this
	// connection when it ends. The new owner of a job uses it.
	Watch bool
}

// Settled answers Settle. For StateFinished, Result holds the result.
type Settled struct {
	Key    Key
	Task   uint16
	State  State
	Digest uint64
	Result Result
	Load   Load
}

// LoadReport tells an entry the load of an agent outside of a Result.
type LoadReport struct {
	Load     Load
	Services []string
}

// Fence asks an agent to adopt a roster that no longer holds an incarnation and
// to return the records of that incarnation's starts whose keys the asker owns
// under the roster.
type Fence struct {
	Incarnation   uint64
	RosterVersion uint64
	// Roster is the JSON form of the roster.
	Roster []byte
	// Asker is the name of the asking entry.
	Asker string
}

// Record is a task that an incarnation has started at an agent.
type Record struct {
	Key    Key
	Task   uint16
	Digest uint64
	State  State
}

// FenceAck answers Fence. The incarnation can start nothing more at this agent.
type FenceAck struct {
	Incarnation uint64
	// Agent is the incarnation of the agent.
	Agent         uint64
	RosterVersion uint64
	Records       []Record
}

// RosterUpdate carries a roster to an agent. The agent ignores an older version
// than the one it has.
type RosterUpdate struct {
	Version uint64
	// Roster is the JSON form of the roster.
	Roster []byte
}

// WorkerConfig is the part of the configuration that an agent needs.
type WorkerConfig struct {
	Version uint64
	Drain   bool
	// Services are the services that the worker may serve; empty means all that
	// its backend server announced.
	Services []string
}

// Ping asks for a Pong. It is sent when nothing arrived for a while although
// something should have.
type Ping struct {
	Seq           uint64
	RosterVersion uint64
	ConfigVersion uint64
}

// Pong answers Ping.
type Pong struct {
	Seq           uint64
	RosterVersion uint64
	ConfigVersion uint64
}

// Operations that an entry forwards to the owner of a key.
const (
	OpSubmit = "submit"
	OpGet    = "get"
	OpCancel = "cancel"
	// OpConfig asks a peer for the configuration in effect there, in the form of
	// its row. Key, Submission and the deadline are not used.
	OpConfig = "config"
)

// Forward carries a request to the owner of a key. It is idempotent by key.
type Forward struct {
	Op            string
	Key           Key
	RosterVersion uint64
	// Submission is the JSON form of the submission for OpSubmit.
	Submission []byte
	// TimeLeftMS is the time left until the deadline of the job, in milliseconds.
	TimeLeftMS uint32
	// Wait says whether to wait for the whole answer.
	Wait  bool
	Trace string
}

// ForwardReply answers Forward.
type ForwardReply struct {
	// NotOwner says that the receiver is not the owner under its roster, whose
	// version is RosterVersion; the sender looks again.
	NotOwner      bool
	RosterVersion uint64
	// Answer is the JSON form of the answer.
	Answer []byte
}

// Handover asks a live entry to adopt a roster and to name the keys that it
// still holds although the asker owns them under that roster.
type Handover struct {
	RosterVersion uint64
	// Roster is the JSON form of the roster row.
	Roster []byte
	Asker  string
}

// HandoverAck answers Handover.
type HandoverAck struct {
	Incarnation   uint64
	RosterVersion uint64
	Keys          []Key
}
