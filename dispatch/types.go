// Package dispatch schedules those jobs of an entry that can safely be run
// again: it decides which jobs wait, which are refused, which worker gets which
// task, and when a task moves to another worker. It does no I/O and reads no
// clock: events and the current time go in, actions come out.
//
// Input: jobs, reports of agents, lost connections, time. Output: starts,
// stops, claims, answers, log lines. State: the jobs in progress and what agents have
// reported. An entry owns the jobs that it received; no other entry takes part
// in scheduling them. A task is started again only when its earlier attempt is
// known to have ended, or when the lease under which that attempt ran must have
// expired.
package dispatch

import (
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/interference"
	"github.com/sesamelift/sesamelift/link"
)

// Step is a group of identical tasks.
type Step struct {
	Tasks int
	Need  link.Resources
	// Estimate is the declared run time of a task on a worker of speed 1. It can
	// be wrong by a factor of two.
	Estimate time.Duration
	// DependsOn lists the indexes of the steps that must be done first. They are
	// lower than the step's own index.
	DependsOn []int
	// RequiredLabel is a label that the worker must have; empty means any worker.
	RequiredLabel string
	// DataRack is the label of the rack that holds the data. A task takes
	// Options.RackSlowdown times as long on a worker without it.
	DataRack string
	// MaxPerWorker limits the tasks of the step that are on one worker at the same
	// time; 0 means no limit.
	MaxPerWorker int
}

// Job is a job as submitted by its caller.
type Job struct {
	ID      string
	Queue   string
	Service string
	Spec    string
	Steps   []Step
	// ReceivedAt is when the head of the job's request arrived, later by the time in which
	// the entry waited for bytes that the caller had not sent, and Deadline is when the
	// caller stops waiting. Both are times of package clock.
	ReceivedAt time.Duration
	Deadline   time.Duration
	// Waited is the least time that the caller has waited before ReceivedAt, since it
	// submitted the job for the first time; 0 when it is not known to have waited.
	Waited time.Duration
	// Priority is the priority of the job's queue; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failures of one task after which the job
	// fails. Failures that are attributed to the worker are not counted.
	MaxAttempts int
	// A job is on time if it is answered within LatencyFactor times the declared run
	// time of its longest chain of steps, plus LatencyAllowance.
	LatencyFactor    float64
	LatencyAllowance time.Duration
}

// Answer is the final answer to a job.
type Answer struct {
	Job     string
	Verdict *api.Verdict
}

// Command holds the starts, stops and claims to send to one agent.
type Command struct {
	// Worker is the name of the agent, by which its worker is known here.
	Worker string
	// Inactive is link.Commands.Inactive. It is set in each command to an inactive worker.
	Inactive bool
	Starts   []link.Start
	Stops    []link.Stop
	Claims   []link.Claim
	// KnownSpeed and CountKinds are those of link.Commands.
	KnownSpeed *link.KnownSpeed
	CountKinds []string
}

// Actions are the effects that the caller of this package has to carry out.
type Actions struct {
	Commands []Command
	Answers  []Answer
	LogLines []decisions.Line
}

// Options configure a Scheduler.
type Options struct {
	// RestartDelay is how long attempts may still be running after the connection to
	// their agent was lost.
	RestartDelay time.Duration
	// RackSlowdown is the factor by which a task takes longer on a worker outside
	// the rack that holds its data.
	RackSlowdown float64
	// Zone is the availability zone of the entry.
	Zone string
	// Seed differs between entries, so that they rank equal workers differently.
	Seed uint64
	// StartedAt is when the entry started, on the clock of package clock.
	StartedAt time.Duration
	// MaxWaitingJobs limits the jobs with tasks that wait for a worker.
	MaxWaitingJobs int
	// MaxTasks limits the tasks of the jobs in progress, including what else the jobs hold
	// in units of TaskBytes; 0 means no limit. A job is accepted in any case while there is no
	// other.
	MaxTasks int
	// KeepApart lists kinds of tasks that are kept apart like those that are found to slow
	// each other down.
	KeepApart []interference.Pair
	// Policy weighs the decisions. The zero value stands for DefaultPolicy.
	Policy Policy
}

// Policy holds the weights of the scheduling decisions. Entries use DefaultPolicy;
// package model compares others with it.
type Policy struct {
	// LoadWeight is the relative cost added for a full worker, compared with an
	// idle one.
	LoadWeight float64
	// PreferenceWeight is the largest relative cost that worker.preference adds.
	PreferenceWeight float64
	// ZoneWeight is the relative cost added for a worker outside the entry's
	// availability zone.
	ZoneWeight float64
	// ScarceFreeShare is the free share of the capacity below which tasks with
	// enough time left go to slow workers, which leaves fast workers to tasks with
	// little time left.
	ScarceFreeShare float64
	// SlowWorkerMargin is the multiple of the predicted run time that must fit
	// into the time until the job is due before a task goes to a slow worker while
	// fast ones have free capacity.
	SlowWorkerMargin float64
	// OnTrackSlackShare is the share of its slack that a job may have waited and
	// still be expected on time. The slack is the time that a job can wait and be on
	// time if the fastest worker then runs it for as long as predicted.
	OnTrackSlackShare float64
	// LateJobReserveShare is the share of the capacity that late jobs leave free
	// in addition to the reserve for urgent jobs. Without it they would take the
	// capacity from jobs that arrive within their run time and can be on time.
	LateJobReserveShare float64
	// LateArrivalFreeShare is the free share of the capacity that is required to accept
	// a job that can't be on time any more when it arrives, because it waited for an
	// entry to start. Many such jobs arrive at once, just before those that can be on
	// time, which need about this share.
	LateArrivalFreeShare float64
	// RateMargin is the multiple of the present rate at which the work ahead of a job must be
	// too much for it to end before its cutoff, before it is refused for that. The rate grows
	// when other entries have less to do.
	RateMargin float64
	// SpareSpeedShare is the share of the lowest speed at which jobs of the active queues can
	// be on time below which the capacity of a worker goes to late jobs; 0 keeps it from them.
	SpareSpeedShare float64
	// UrgentReserveShare is the share of the capacity that is reserved for urgent
	// jobs. It is not divided among entries, since each one sees the capacity of all
	// workers.
	UrgentReserveShare float64
	// ActiveHeadroom is the free capacity that the active workers have together, as a
	// multiple of what the entry's own tasks need.
	ActiveHeadroom float64
	// MinMoveGain limits moves: a task is moved only if its remaining run time is at
	// least MinMoveGain times the predicted run time on the other worker, plus moveCost.
	MinMoveGain float64
	// ContentionWeight is the weight of the slowdown between kinds of tasks in the cost of
	// a worker; 0 leaves it out.
	ContentionWeight float64
}

// DefaultPolicy is the policy of entries.
var DefaultPolicy = Policy{
	// The noise of a speed that is learnt from ten tasks whose estimates are off by
	// 40%; smaller differences in predicted run time do not show which worker is faster.
	LoadWeight: 0.12,
	// Below the noise of learnt speeds.
	PreferenceWeight: 0.06,
	// Below LoadWeight, so that a nearly full worker of the entry's zone does not rank
	// before an idle one of another zone.
	ZoneWeight:           0.08,
	ScarceFreeShare:      0.35,
	SlowWorkerMargin:     1.3,
	OnTrackSlackShare:    0.5,
	LateJobReserveShare:  0.07,
	LateArrivalFreeShare: 0.5,
	RateMargin:           2,
	// The noise of learnt speeds, as for LoadWeight.
	SpareSpeedShare: 0.88,
	// 3.2 cores, or about one task, for every two workers of 32 cores.
	UrgentReserveShare: 0.05,
	ActiveHeadroom:     4,
	MinMoveGain:        1.4,
	ContentionWeight:   1,
}

// Limits and weights of the scheduling decisions.
const (
	// answerMargin is how long before the caller's deadline an answer is sent at
	// the latest: transmission to clients takes 1 to 3 ms.
	answerMargin = 20 * time.Millisecond
	// cutoffFactor sets the time after which an answer is of no use to the
	// caller, as a multiple of the time in which the job is on time. The users
	// specified this multiple.
	cutoffFactor = 3
	// defaultEstimate is the run time assumed for a step without an estimate.
	defaultEstimate = 200 * time.Millisecond
	// minSpeed keeps predicted run times finite for workers that make no
	// progress.
	minSpeed = 0.02
	// maxReportedSpeed limits the speed that a report can claim.
	maxReportedSpeed = 50
	// initialSpeed is the speed assumed for a worker that has not run any task
	// yet.
	initialSpeed = 1
	// highestPriority is the priority that is served before all others. Its jobs
	// are urgent, except those that are late and have not started. The other
	// priorities share the remaining capacity in order of the latest start of their
	// jobs: strict priority order would starve the lowest ones throughout an
	// overload.
	highestPriority = 0
	// urgentReservePeriod is how long after the last urgent job capacity stays
	// reserved for further ones: many times the interval between two of them
	// under load.
	urgentReservePeriod = 2 * time.Second
	// warmUpPeriod is how long after its start an entry refuses no job because of
	// its expected wait or in favour of other jobs: agents that restarted together
	// with the entry have yet to report their free capacity.
	warmUpPeriod = time.Second
	// refusalBackoff is how long a worker that refused a start gets no further
	// start: several round trips to another availability zone.
	refusalBackoff = 20 * time.Millisecond
	// moveCost is the time that the stop and the new start of a moved task take.
	moveCost = 60 * time.Millisecond
	// maxMoves limits how often a task is moved away from a slow worker.
	maxMoves = 2
	// stallTimeout is how long a task may show no progress before it counts as
	// stalled.
	stallTimeout = 250 * time.Millisecond
	// stopResendInterval is how long a stop may go unanswered before it is sent
	// again.
	stopResendInterval = 300 * time.Millisecond
	// failingWorkerRate is the failure rate at or above which a worker's
	// failures are attributed to the worker and not to the task.
	failingWorkerRate = 0.5
	// maxTaskFailures is the number of failures of one task after which its job
	// fails, even if all were attributed to workers.
	maxTaskFailures = 8
	// firstSubmissionPeriod is how long after a job whose caller had not waited the Waited
	// of other jobs in the queue is used. A queue in which all callers seem to have waited
	// has callers with little patience.
	firstSubmissionPeriod = 5 * time.Second
	// TaskBytes is the memory of a task in progress, with its share of the messages and log
	// lines that name it.
	TaskBytes = 512
	// stepBytes is the memory of a step without its tasks and strings.
	stepBytes = 192
	// maxLoggedTasks limits the tasks that a log line lists. The largest ordinary jobs have
	// 170; thousands would make the lines that wait to be written larger than all else.
	maxLoggedTasks = 200
	// answerRetention is how long answers are kept for repeated submissions, and
	// maxCachedAnswers is the largest number that is kept.
	answerRetention  = 15 * time.Second
	maxCachedAnswers = 4096
)
