// Package dispatch decides what an entry does with jobs that may be run again:
// which job waits, which is refused, which worker gets which task, and when a
// task moves to another worker. It is pure: events and the time go in, actions
// come out.
//
// Input: jobs, reports of agents, lost connections, time. Output: starts, stops,
// answers, log lines. State: the jobs in progress and what agents have reported.
// An entry owns the jobs that it received; no other entry takes part. A task is
// started again only when its earlier attempt is known to have ended, or when
// the lease under which it ran must have run out.
package dispatch

import (
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// Step is a number of like tasks.
type Step struct {
	Tasks int
	Need  link.Resources
	// Estimate is the declared run time of a task; off by a factor of two at
	// times.
	Estimate time.Duration
	// After lists the steps that must be done first.
	After []int
	// RequiredLabel is a label that the worker must have.
	RequiredLabel string
	// DataRack is the label of the rack that holds the data; elsewhere a task
	// takes longer.
	DataRack string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no bound.
	MaxPerWorker int
}

// Job is a job as its caller submitted it.
type Job struct {
	ID      string
	Queue   string
	Service string
	Spec    string
	Steps   []Step
	// Arrived is when the entry had read the job, Deadline when the caller stops
	// waiting; both on the clock of package clock.
	Arrived  time.Duration
	Deadline time.Duration
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail before its job has failed.
	MaxAttempts int
	// A job is on time within Stretch times the length of its longest chain of
	// steps, and Allowance.
	Stretch   float64
	Allowance time.Duration
}

// Answer is the final answer to a job.
type Answer struct {
	Job     string
	Verdict *api.Verdict
}

// Order is what one agent is told.
type Order struct {
	Worker string
	Starts []link.Start
	Stops  []link.Stop
	Claims []link.Claim
}

// Actions are what the caller of the package has to do.
type Actions struct {
	Orders  []Order
	Answers []Answer
	Lines   []decisions.Line
}

// Options are the bounds that the decisions rest on.
type Options struct {
	// LossWait is how long after a connection to an agent was lost its attempts
	// may still be running.
	LossWait time.Duration
	// RackSlowdown is how many times as long a task takes away from its data.
	RackSlowdown float64
	// Zone is the availability zone of the entry.
	Zone string
	// Seed differs between entries.
	Seed uint64
	// Started is when the entry started.
	Started time.Duration
	// MaxWaitingJobs bounds the jobs that wait for their first start.
	MaxWaitingJobs int
}

// Limits and weights of the decisions.
const (
	// answerMargin is how long before the caller's deadline an answer is sent:
	// the way to clients takes 1 to 3 ms.
	answerMargin = 20 * time.Millisecond
	// lateFactor bounds the time after which an answer helps nobody, as a
	// multiple of the time in which a job is on time (the users' measure).
	lateFactor = 3
	// defaultEstimate stands in for a step without an estimate.
	defaultEstimate = 200 * time.Millisecond
	// minSpeed keeps predictions finite for workers that stand still.
	minSpeed = 0.02
	// unknownSpeed is assumed of a worker that hasn't run anything yet.
	unknownSpeed = 1
	// similarCost is the share by which predicted run times may differ without
	// telling workers apart: the noise of a speed learnt from ten tasks whose
	// estimates are off by 40%.
	similarCost = 0.12
	// preferenceWeight is the largest difference that an entry's own preference
	// makes between workers; below the noise of learnt speeds.
	preferenceWeight = 0.06
	// zoneWeight is by how much a worker in another availability zone ranks behind
	// an equal one: below similarCost, so that a nearly full worker of the own zone
	// doesn't come before an idle one of another.
	zoneWeight = 0.08
	// scarceShare is the free share of the capacity below which tasks that bear
	// it go to slow workers, to leave fast ones to tasks that don't.
	scarceShare = 0.35
	// slowWorkerMargin is how many times its predicted run time must fit before
	// a task goes to a slow worker while fast ones have room.
	slowWorkerMargin = 1.3
	// mostUrgent is the priority that comes before all others. The others share
	// what is left by their latest start: strict order would starve the last
	// ones throughout an overload.
	mostUrgent = 0
	// onTrackShare is the share of a job's slack that it may have waited and still
	// be expected on time.
	onTrackShare = 0.5
	// spareShare is the free share of the capacity above which late jobs are
	// started. Below it they would take the room of jobs that arrive within their
	// run time and can be on time.
	spareShare = 0.07
	// reserveShare is the free share of the capacity that is left to urgent jobs:
	// one task in two workers of 32 cores, of which every entry sees all.
	reserveShare = 0.05
	// urgentMemory is how long after the last urgent job room is kept for others:
	// many times the time between two of them under load.
	urgentMemory = 2 * time.Second
	// warmUp is how long after its start an entry refuses no job for want of room:
	// agents that restarted at the same time are about to have some.
	warmUp = time.Second
	// refusalPause is how long a worker that refused a start gets no other: some
	// round trips to other zones.
	refusalPause = 20 * time.Millisecond
	// maxMoves bounds how often a task is moved away from a slow worker.
	maxMoves = 2
	// moveGain is the factor by which a move must shorten the rest of a task, and
	// moveCost what it takes to stop and start.
	moveGain = 1.4
	moveCost = 60 * time.Millisecond
	// stallTime is how long a task may show no progress before it counts as
	// standing still.
	stallTime = 250 * time.Millisecond
	// stopTimeout is how long a stop may go unanswered before it is sent again.
	stopTimeout = 300 * time.Millisecond
	// failingShare is the share of failed ends above which a failure is laid to
	// the worker and not to the task.
	failingShare = 0.5
	// maxFailures ends a job whose failures were all laid to workers.
	maxFailures = 8
	// finishedKept is how long answers are kept for repeated submissions, and
	// maxFinished how many.
	finishedKept = 15 * time.Second
	maxFinished  = 4096
)
