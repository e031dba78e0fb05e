package wire

//go:generate msgp -file messages.go -o messages_gen.go -tests=false -io=false

// The limit keeps a damaged length from allocating more than a frame can hold: the
// keys of the largest report.
//msgp:limit arrays:262144

//msgp:tuple Load Hello Welcome Start Result Settle Settled LoadReport Fence Record FenceAck RosterUpdate WorkerConfig Ping Pong Forward ForwardReply Handover HandoverAck InheritedRecord InheritedKey KeyReport Departure DepartureAck

// Protocol is the version of the message set. A process refuses connections from a
// peer with a different version.
const Protocol uint16 = 2

// Type identifies the type of a message in a frame.
type Type uint8

// Message types.
const (
	TypeHello Type = iota + 1
	TypeWelcome
	TypeStart
	TypeResult
	TypeSettle
	TypeSettled
	TypeLoadReport
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
	TypeDeparture
	TypeDepartureAck
)

// Outcome is how a start ended.
type Outcome uint8

// Outcomes of a start.
const (
	// OutcomeOK means that the task ran and Body holds its result.
	OutcomeOK Outcome = iota + 1
	// OutcomeFailed means that the task failed; Ran says whether it has run.
	OutcomeFailed
	// OutcomeBusy means that no slot was free, or that none became free before the
	// deadline. The agent keeps no record of the task, which may be started at
	// another agent.
	OutcomeBusy
	// OutcomeRefused means that the agent refuses the start, for example because it
	// is leaving, the owner is fenced, the key has expired, or the start was
	// addressed to another incarnation. Ran is RanMaybe if the agent has started the
	// task before, or if the key has expired and such a record may have been removed;
	// otherwise it is RanNo.
	OutcomeRefused
)

// State is the state of a task at an agent.
type State uint8

// States of a task in the ledger of an agent.
const (
	// StateClosed means that the task has not started at the agent and never will.
	StateClosed State = iota + 1
	// StateRunning means that the task has started and has no result yet.
	StateRunning
	// StateFinished means that the task has ended and its result is kept.
	StateFinished
	// StateResultDropped means that the task has finished and its result is no
	// longer kept.
	StateResultDropped
)

// Ran says whether a task has run. It is the one-byte form of api.Ran.
type Ran uint8

// Values of Ran.
const (
	RanNo Ran = iota + 1
	RanMaybe
	RanYes
)

// Class separates short tasks from long ones.
type Class uint8

// Classes of tasks, by observed run time.
const (
	ClassShort Class = iota
	ClassLong
)

// Key is the idempotency key of a job.
type Key = [16]byte

// Load is the state of the slots of an agent. It is part of Hello, Result, Settled
// and LoadReport.
type Load struct {
	Slots uint16
	// Running is the number of running tasks, of which RunningLong are long ones.
	Running     uint16
	RunningLong uint16
	// Held is the number of accepted starts that wait for a slot at the agent.
	Held uint16
	// Leaving says that the agent accepts no new starts.
	Leaving bool
	// ConfigVersion is the version of the configuration in effect at the agent.
	ConfigVersion uint64
}

// Hello is the first message of an agent or entry on a connection that it dials.
type Hello struct {
	Protocol uint16
	// Role is "agent" or "entry", the role that the certificate must carry.
	Role          string
	Name          string
	Incarnation   uint64
	Zone          string
	Services      []string
	Load          Load
	RosterVersion uint64
}

// Welcome is the reply to Hello.
type Welcome struct {
	Protocol      uint16
	Name          string
	Incarnation   uint64
	RosterVersion uint64
	ConfigVersion uint64
	// Refusal is the reason if the connection is refused, and empty otherwise.
	Refusal string
}

// Start asks an agent to run a task.
type Start struct {
	Key  Key
	Task uint16
	// Owner is the incarnation of the entry that sends the start.
	Owner uint64
	// Agent is the incarnation of the agent to which the start is addressed. Any
	// other incarnation refuses it.
	Agent uint64
	// Digest identifies the content of the submission. A start whose digest differs
	// from the recorded one is refused.
	Digest   uint64
	Service  string
	TaskType string
	Class    Class
	// TimeLeftMS is the time left until the deadline of the job, in milliseconds.
	TimeLeftMS uint32
	// Backlog is the number of tasks at the entry that wait for a slot.
	Backlog uint32
	// Trace is a W3C traceparent, or empty.
	Trace string
	Body  []byte
}

// ReasonLeaving is the Reason of a Result if the agent refused the start because it
// takes no new tasks: it shuts down, its worker is drained or in an evacuated zone, or
// its backend server leaves.
const ReasonLeaving = "leaving"

// Result is the reply to Start. It is sent when the task has ended or if the agent
// does not run it. A repeated Start of a task that is running or whose result was
// dropped is answered with Settled.
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
// first closes it permanently (StateClosed), so that it cannot start after the
// reply.
type Settle struct {
	Key Key
	// Task is the number of the task, or ledger.WholeKey to close the whole key.
	Task uint16
	// Owner is the incarnation of the entry that sends the request.
	Owner uint64
	// Stop asks the agent to stop the task if it runs.
	Stop bool
	// Watch asks the agent to send the Result of a running task over this
	// connection when the task ends. It is set if the task may have been started
	// over another connection.
	Watch bool
}

// Settled is the reply to Settle. Result is set for StateFinished. State is 0 if the
// agent does not know the state and could not close the task.
type Settled struct {
	Key    Key
	Task   uint16
	State  State
	Digest uint64
	Result Result
	Load   Load
}

// LoadReport carries the load of an agent to an entry when no other message does.
type LoadReport struct {
	Load     Load
	Services []string
}

// Fence asks an agent to adopt a roster that no longer contains an incarnation of
// an entry, and to return the records of that incarnation's starts and of closed
// jobs, limited to keys that the requester owns under the roster.
type Fence struct {
	// Incarnation is the incarnation of the entry that the roster no longer contains.
	Incarnation   uint64
	RosterVersion uint64
	// Roster is the JSON form of the roster.
	Roster []byte
	// Requester is the name of the requesting entry.
	Requester string
}

// Record describes a task that the fenced incarnation has started at an agent, or a
// key that was closed as a whole; Task is then ledger.WholeKey.
type Record struct {
	Key    Key
	Task   uint16
	Digest uint64
	State  State
}

// FenceAck is the reply to Fence. After it the agent accepts no further starts
// from the incarnation.
type FenceAck struct {
	Incarnation uint64
	// Agent is the incarnation of the agent.
	Agent         uint64
	RosterVersion uint64
	Records       []Record
}

// RosterUpdate carries a roster to an agent. The agent ignores it if it already has
// this version or a newer one.
type RosterUpdate struct {
	Version uint64
	// Roster is the JSON form of the roster.
	Roster []byte
}

// WorkerConfig carries the part of the configuration that applies to an agent.
type WorkerConfig struct {
	Version uint64
	// Drain says that the worker gets no new tasks, because it is drained or its zone
	// is evacuated.
	Drain bool
	// Services lists the services that the worker may serve. Empty means all that
	// its backend server announced.
	Services []string
}

// Ping requests a Pong, to detect a lost connection. It is sent when expected
// messages do not arrive, and on idle connections. Between entries the two messages
// also carry the versions of the roster and the configuration.
type Ping struct {
	Seq           uint64
	RosterVersion uint64
	ConfigVersion uint64
}

// Pong is the reply to Ping.
type Pong struct {
	Seq           uint64
	RosterVersion uint64
	ConfigVersion uint64
}

// Operations of a Forward.
const (
	OpSubmit = "submit"
	OpGet    = "get"
	OpCancel = "cancel"
	// OpConfig asks a peer for its configuration in effect, which the reply holds in
	// the encoding of the configuration row. Key, Submission and TimeLeftMS are not
	// used.
	OpConfig = "config"
)

// Forward carries a request to the owner of a key. It can be repeated safely with the
// same key.
type Forward struct {
	// Op is one of OpSubmit, OpGet, OpCancel and OpConfig.
	Op            string
	Key           Key
	RosterVersion uint64
	// Submission is the JSON form of the submission for OpSubmit.
	Submission []byte
	// TimeLeftMS is the time left until the deadline of the job, in milliseconds.
	TimeLeftMS uint32
	// Wait asks the owner to reply only when the answer is complete.
	Wait  bool
	Trace string
}

// ForwardReply is the reply to Forward.
type ForwardReply struct {
	// NotOwner says that the receiver is not the owner under its roster, whose
	// version is RosterVersion. The sender then looks up the owner again.
	NotOwner      bool
	RosterVersion uint64
	// Answer is the JSON form of the answer.
	Answer []byte
}

// Handover asks a running entry to adopt a roster and to return the keys that it
// still holds although the requester owns them under that roster.
type Handover struct {
	RosterVersion uint64
	// Roster is the JSON form of the roster.
	Roster    []byte
	Requester string
}

// HandoverAck is the reply to Handover.
type HandoverAck struct {
	Incarnation   uint64
	RosterVersion uint64
	Report        KeyReport
}

// KeyReport lists what an entry knows of the keys that another entry owns.
type KeyReport struct {
	// Held are the keys in the job table of the reporting entry.
	Held []Key
	// Inherited are further keys, of which earlier owners may have started tasks.
	Inherited []InheritedKey
	// CompleteVersions are the roster versions at which the reporting entry knew of
	// every key that it owned and of which earlier owners may have started tasks.
	CompleteVersions []uint64
}

// InheritedKey is a key of an earlier owner.
type InheritedKey struct {
	Key Key
	// Holder is the incarnation that held the key, or 0 if only Records are known.
	Holder  uint64
	Records []InheritedRecord
}

// InheritedRecord is a Record with the agent that returned it.
type InheritedRecord struct {
	Task   uint16
	Worker string
	// Agent is the incarnation of the agent.
	Agent  uint64
	Digest uint64
	State  State
}

// Departure is what an entry that has left the roster by itself sends to each
// member, once it can start nothing any more.
type Departure struct {
	Incarnation   uint64
	RosterVersion uint64
	// Roster is the JSON form of a roster without the entry.
	Roster []byte
	// Report is about the keys that the receiver owns under Roster.
	Report KeyReport
}

// DepartureAck is the reply to Departure.
type DepartureAck struct {
	RosterVersion uint64
}
