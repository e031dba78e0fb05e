// Package runner decides what an agent does with its worker: which starts it
// accepts, when it renews the lease of what runs, and which runs it stops. It is
// pure: events and the time go in, actions come out.
//
// Input: orders of entries, announcements and answers of the worker, time.
// Output: calls to the worker, reports to entries, log lines. State: what runs on
// the worker, and for whom.
//
// The agent is the only judge of the worker's room. It runs work only for
// entries that it hears from: an entry that is silent or gone may have been
// replaced, for its caller, by another one that starts the same job anew.
package runner

import (
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// Peer numbers the connections from entries.
type Peer uint64

// Announcement is what a worker says of itself.
type Announcement struct {
	// ID and Born name one life of the worker; Born is a time in milliseconds.
	ID   string
	Born int64
	// Sequence rises with each announcement of one life.
	Sequence uint64
	Service  string
	Zone     string
	Capacity link.Resources
	Labels   []string
	Draining bool
	// Leaves is the time that is left while it drains; 0 when it isn't known.
	Leaves time.Duration
}

// Running is a run that the worker lists.
type Running struct {
	Task    link.TaskID
	Attempt uint32
	// Percent of the work that is done.
	Percent uint8
}

// Ended is the end of a run that the worker lists.
type Ended struct {
	// Number rises with each end of one life of the worker.
	Number  uint64
	Task    link.TaskID
	Attempt uint32
	// How is one of link's kinds of ends.
	How uint8
}

// Lists is the worker's answer to a renewal.
type Lists struct {
	// Clock is the worker's clock in milliseconds, Born as in Announcement.
	Clock   int64
	Born    int64
	Running []Running
	Ended   []Ended
}

// StartResult is the outcome of a start call.
type StartResult uint8

// Outcomes of a start call.
const (
	// StartOK says that the run is there.
	StartOK StartResult = iota
	// StartNoRoom, StartOutdated and StartRefused say that it isn't, and why.
	StartNoRoom
	StartOutdated
	StartRefused
	// StartLate says that the lease named in the call had passed.
	StartLate
	// StartUnanswered says that nothing is known.
	StartUnanswered
)

// StartCall starts a run on the worker.
type StartCall struct {
	Task    link.TaskID
	Attempt uint32
	Spec    string
	// LeaseUntil is on the worker's clock, in milliseconds.
	LeaseUntil int64
	// Life is the ID of the worker's life that is meant.
	Life string
	// Patience bounds the wait for the answer.
	Patience time.Duration
}

// StopCall stops a run on the worker.
type StopCall struct {
	Task     link.TaskID
	Attempt  uint32
	Life     string
	Patience time.Duration
}

// RenewCall renews the lease of everything that runs, and asks for the lists.
type RenewCall struct {
	// LeaseUntil is on the worker's clock, in milliseconds; 0 renews nothing.
	LeaseUntil int64
	// Seen is the number of the last end that was taken into account.
	Seen uint64
	// Wait is how long the worker waits for an end before it answers.
	Wait time.Duration
}

// RenewFault says why a renewal had no answer.
type RenewFault uint8

// Faults of a renewal.
const (
	// RenewUnanswered says that the wait for the answer ended.
	RenewUnanswered RenewFault = iota
	// RenewBroken says that the worker closed the connection; runs may go on.
	RenewBroken
	// RenewNoListener says that nothing listens at the worker's address, so that
	// nothing runs there.
	RenewNoListener
)

// Report is a report to one entry.
type Report struct {
	Peer   Peer
	Report link.Report
}

// Actions are what the caller of the package has to do.
type Actions struct {
	Starts  []StartCall
	Stops   []StopCall
	Renew   *RenewCall
	Reports []Report
	// Worker is set when the worker has changed, to be kept for the next life of
	// the agent.
	Worker *Announcement
	// Drop lists the connections to close.
	Drop  []Peer
	Lines []decisions.Line
}

// Options are the bounds that the decisions rest on.
type Options struct {
	// Agent is the name of the agent.
	Agent string
	// Lease is how long runs go on without a renewal.
	Lease time.Duration
	// Silence is how long an entry may be silent before its runs are stopped.
	Silence time.Duration
	// Grace is how long the runs of a broken connection go on.
	Grace time.Duration
	// StopTime is how long the worker takes to stop a run.
	StopTime time.Duration
}

const (
	// clockDrift is how much slower the worker's clock may be (the platform's
	// bound).
	clockDrift = 0.02
	// renewWait is how long a renewal waits for an end while something runs: a
	// third of what it takes to see that a task stands still.
	renewWait = 100 * time.Millisecond
	// lossyStagger is the time between two renewals while the worker leaves calls
	// unanswered, and lossyRenewals how many may be under way: an end is only heard
	// of by one that is answered, so that they don't wait for an end but follow
	// each other closely.
	lossyStagger  = 20 * time.Millisecond
	lossyRenewals = 3
	// orderPatience bounds a start or stop call; the worker is on the same host
	// and answers within a few milliseconds. lossyPatience is the same while the
	// worker leaves calls unanswered: an agent whose host is slow still takes less.
	orderPatience = 50 * time.Millisecond
	lossyPatience = 20 * time.Millisecond
	// lossyMemory is how long a worker counts as leaving calls unanswered.
	lossyMemory = 3 * time.Second
	// unreachableAfter is how long a worker may answer nothing and still get
	// starts.
	unreachableAfter = 300 * time.Millisecond
	// maxBroken is how many renewals in a row may end with a broken connection and
	// the worker still get starts: a reset of all connections breaks those that are
	// under way.
	maxBroken = lossyRenewals + 1
	// brokenPause is the pause after the second of them.
	brokenPause = 20 * time.Millisecond
	// minLostPause and maxLostPause bound the pause between two renewals of a
	// worker that doesn't answer; it announces itself when it is back.
	minLostPause = 50 * time.Millisecond
	maxLostPause = 200 * time.Millisecond
	// idleWait is the same while nothing runs.
	idleWait = 250 * time.Millisecond
	// adoptionGrace is how long runs that a restarted agent finds are left to be
	// claimed: entries dial an agent that they have lost every 50 ms. Until then
	// the size of the runs isn't known, and nothing else can start.
	adoptionGrace = 150 * time.Millisecond
	// lookTime is when a run whose start had no answer must have been listed.
	lookTime = renewWait + 30*time.Millisecond
	// stopRetry is the time between two stop calls for one run, lostStopRetry the
	// same while the worker doesn't answer.
	stopRetry     = 60 * time.Millisecond
	lostStopRetry = 250 * time.Millisecond
	// pushInterval bounds how often an entry is told of changes that it didn't
	// ask for, and pushShare how much of the capacity must have changed. Entries
	// whose tasks don't wait for room hear less often the more entries there are:
	// pushSpacing apart on average, so that what an agent sends doesn't grow with
	// their number.
	pushInterval = 40 * time.Millisecond
	pushSpacing  = 10 * time.Millisecond
	pushShare    = 0.15
	// recentReport is the age up to which a report answers a ping: half of the
	// time between two pings, an eighth of the silence after which an entry gives
	// the agent up.
	recentReport = 60 * time.Millisecond
	// progressInterval is the time between two reports on the progress of a task.
	progressInterval = 90 * time.Millisecond
	// endsKept is how long ends are kept for entries that connect again.
	endsKept = 3 * time.Second
	// failureWeight is the weight of the last end in the share of failures;
	// three failures in a row of different jobs pass a half.
	failureWeight = 0.25
	// failureMemory is the time in which the share of failures falls to a third.
	failureMemory = 2 * time.Second
	// suspectShare is the share of failures above which a worker gets one task
	// at a time.
	suspectShare = 0.5
	// probeInterval is the time between two tasks of a suspect worker.
	probeInterval = 300 * time.Millisecond
)
