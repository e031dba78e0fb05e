// Package runner implements the agent's decisions about its worker: which
// starts it accepts, when it renews the worker's lease, and which runs it
// stops. It does no I/O and reads no clock: package runnerd passes in events
// with the current time and carries out the returned actions.
//
// A run is the execution of one attempt of a task on the worker. The worker stops
// runs whose lease has expired; the agent renews the lease of all runs at once.
//
// Input: requests from entries, announcements and answers of the worker, time.
// Output: calls to the worker, reports to entries, log lines. State: the runs
// on the worker and the entry that each belongs to.
//
// Only the agent tracks the worker's free capacity. It runs work only for
// entries that are connected and send messages: the caller of a silent or
// disconnected entry may have submitted the same job again through another
// entry.
package runner

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

// ConnID identifies a connection from an entry.
type ConnID uint64

// Announcement describes a worker, as announced by the worker itself. Agents
// store it under these field names.
type Announcement struct {
	// ID and Born identify a worker instance; both change when the worker restarts.
	// Born is its start time in milliseconds.
	ID   string
	Born int64
	// Sequence increases with each announcement of one worker instance.
	Sequence uint64
	Service  string
	Zone     string
	Capacity link.Resources
	Labels   []string
	Draining bool
	// Leaves is the minimum time until a draining worker stops; 0 when unknown.
	Leaves time.Duration
}

// sameKind reports whether a and b are of the same worker instance, which offers the same
// to the same tasks.
func (a *Announcement) sameKind(b *Announcement) bool {
	return a.ID == b.ID && a.Born == b.Born && a.Service == b.Service && a.Zone == b.Zone && a.Capacity == b.Capacity &&
		slices.Equal(a.Labels, b.Labels)
}

// Upper bounds of the resources of a worker, far above any real one. Sums over
// thousands of workers stay within 64 bits.
const (
	maxMilliCPU = link.MaxCapacity
	maxMemoryMB = link.MaxCapacity
	maxGPU      = 1 << 30
	// maxLeaves bounds Announcement.Leaves.
	maxLeaves = 24 * time.Hour
)

// Validate checks that the announcement describes a usable worker: it may come from
// another writer and have any content.
func (a *Announcement) Validate() error {
	c := a.Capacity
	switch {
	case a.ID == "":
		return errors.New("announcement has no worker instance")
	case a.Service == "":
		return errors.Errorf("announcement of %.40q has no service", a.ID)
	case c.MilliCPU <= 0 || c.MilliCPU > maxMilliCPU || c.MemoryMB < 0 || c.MemoryMB > maxMemoryMB || c.GPU < 0 || c.GPU > maxGPU:
		return errors.Errorf("announcement of %.40q has the capacity %+v", a.ID, c)
	case a.Leaves < 0 || a.Leaves > maxLeaves:
		return errors.Errorf("announcement of %.40q leaves in %v", a.ID, a.Leaves)
	}
	return nil
}

// AnnouncementResult says what became of an announcement.
type AnnouncementResult uint8

// Values of AnnouncementResult.
const (
	// AnnouncementAccepted means that the announcement is in effect.
	AnnouncementAccepted AnnouncementResult = iota
	// AnnouncementIgnored means that the announcement is outdated.
	AnnouncementIgnored
	// AnnouncementUnidentified means that the announcement names an instance that is not
	// known yet. The worker has to be asked whether it is that instance, and its answer
	// passed to State.WorkerIdentified.
	AnnouncementUnidentified
)

// ListedRun is a run in the worker's list of current runs.
type ListedRun struct {
	Task    link.TaskID
	Attempt uint32
	// Percent is the completed share of the work, 0 to 100.
	Percent uint8
}

// ListedEnd is a run in the worker's list of ended runs.
type ListedEnd struct {
	// Number increases with each run that ends on one worker instance.
	Number  uint64
	Task    link.TaskID
	Attempt uint32
	// Outcome is one of the values of link.End.Outcome.
	Outcome uint8
}

// RenewReply is the worker's response to a renewal. Running and Ended are the
// worker's lists of current and of recently ended runs.
type RenewReply struct {
	// Clock is the worker's clock in milliseconds; Born is as in Announcement.
	Clock   int64
	Born    int64
	Running []ListedRun
	Ended   []ListedEnd
	// Unreadable describes the rows of the lists that can't be read and are left out;
	// empty if there are none.
	Unreadable string
}

// StartResult is the outcome of a start call.
type StartResult uint8

// Values of StartResult.
const (
	// StartOK means that the worker has the run.
	StartOK StartResult = iota
	// StartNoCapacity, StartOutdated and StartRefused mean that the worker rejected
	// the run: for lack of capacity, because it has seen the same or a higher
	// attempt number, or for another reason.
	StartNoCapacity
	StartOutdated
	StartRefused
	// StartLeaseExpired means that the lease in the call had already expired.
	StartLeaseExpired
	// StartUnanswered means that the outcome is unknown.
	StartUnanswered
	// StartNotSent means that the worker can't have got the call: nothing listens, or another
	// instance answers.
	StartNotSent
	// StartNotCalled means that the call was not made. It tells nothing of the worker.
	StartNotCalled
	// StartNoConnection means that the call was not sent, because the worker has answered on
	// no connection in time.
	StartNoConnection
)

// StartCall starts a run on the worker.
type StartCall struct {
	Task    link.TaskID
	Attempt uint32
	Spec    string
	// LeaseUntil is on the worker's clock, in milliseconds.
	LeaseUntil int64
	// WorkerID and WorkerBorn identify the worker instance that the call is for. The
	// worker compares only the ID, which a restarted worker may share with the instance
	// before it, so that the call must not be made over a connection that another instance
	// may read.
	WorkerID   string
	WorkerBorn int64
	Need       link.Resources
	// CreatedAt is when the call was issued, by the agent's clock. It must not be made for the
	// first time MaxEventGap or more after that: the worker may have restarted unnoticed.
	CreatedAt time.Duration
	// ExpiresAt is when the lease in the call has expired by the agent's clock. The call
	// must not be made any more from then on: a worker that has restarted meanwhile has
	// another clock, by which it can't tell.
	ExpiresAt time.Duration
	Timeout   time.Duration
	// Unanswered is set, once the call has been made, if an attempt at it had no answer,
	// also if a later one had. That attempt may be carried out seconds later.
	Unanswered bool
}

// StopCall stops a run on the worker.
type StopCall struct {
	Task    link.TaskID
	Attempt uint32
	// WorkerID and WorkerBorn are as in StartCall.
	WorkerID   string
	WorkerBorn int64
	Timeout    time.Duration
}

// RenewCall renews the lease of all runs and requests the worker's lists.
type RenewCall struct {
	// LeaseUntil is on the worker's clock, in milliseconds; 0 requests the lists
	// without renewing the lease.
	LeaseUntil int64
	// LastEndNumber is the highest ListedEnd.Number that was processed. The worker forgets
	// the ends up to it.
	LastEndNumber uint64
	// WorkerBorn identifies the worker instance that the call is for; 0 for any instance. No
	// other one must get it: LeaseUntil and LastEndNumber would be of another clock and of
	// other runs there.
	WorkerBorn int64
	// MaxWait is how long the worker may hold the request until a run ends.
	MaxWait time.Duration
}

// RenewFailure is the reason why a renewal failed.
type RenewFailure uint8

// Values of RenewFailure.
const (
	// RenewUnanswered means that the call timed out or had no usable response.
	RenewUnanswered RenewFailure = iota
	// RenewConnClosed means that the worker closed the connection; runs may
	// continue.
	RenewConnClosed
	// RenewConnRefused means that nothing listens at the worker's address. It gets no
	// starts; its runs may continue, as those of a worker do that is shutting down.
	RenewConnRefused
)

// Report is a report to send to one entry.
type Report struct {
	Conn   ConnID
	Report link.Report
}

// Actions are what package runnerd has to carry out.
type Actions struct {
	Starts  []StartCall
	Stops   []StopCall
	Renew   *RenewCall
	Reports []Report
	// Worker is set on the first announcement of a worker instance and when it
	// starts or stops draining. It is to be stored, so that the agent can restore it
	// after a restart.
	Worker *Announcement
	// CloseConns lists the connections to close.
	CloseConns []ConnID
	LogLines   []decisions.Line
}

// Options configure a State.
type Options struct {
	// Lease is how long runs continue without a renewal.
	Lease time.Duration
	// SilenceTimeout is how long an entry may be silent before its runs are
	// stopped.
	SilenceTimeout time.Duration
	// ReconnectGrace is how long the runs of a lost connection continue, so that
	// the entry can reconnect.
	ReconnectGrace time.Duration
	// MaxStopTime is the longest time that the worker takes to stop a run.
	MaxStopTime time.Duration
}

// MaxEventGap is the time without an event, before the first try of a start call, or between
// two of its tries, from which on the process counts as held up for so long that the worker may have restarted unnoticed.
// Events are 25 ms apart at most, tries 70 ms.
const MaxEventGap = 250 * time.Millisecond

const (
	// clockDrift is the fraction by which the worker's clock may run slower than
	// the agent's. The platform guarantees this bound.
	clockDrift = 0.02
	// busyRenewWait is how long the worker may hold a renewal until a run ends,
	// while there are runs. It is less than half the time after which an entry
	// considers a task without progress stalled.
	busyRenewWait = 100 * time.Millisecond
	// While the worker leaves some calls unanswered, renewals don't wait for a run
	// to end. They are sent every lossyRenewInterval, with up to maxLossyRenewals in
	// flight, since the agent learns of an end only from an answered renewal.
	lossyRenewInterval = 20 * time.Millisecond
	maxLossyRenewals   = 3
	// normalCallTimeout bounds a start or stop call; the worker is on the same
	// host and answers within a few milliseconds. lossyCallTimeout applies while
	// the worker leaves some calls unanswered. Even on a slow host, an answered call
	// takes less than that.
	normalCallTimeout = 50 * time.Millisecond
	lossyCallTimeout  = 20 * time.Millisecond
	// lossyPeriod is how long after a failed renewal a reachable worker counts as
	// lossy, that is, as leaving some calls unanswered.
	lossyPeriod = 3 * time.Second
	// unreachableAfter is how long a worker may leave all renewals unanswered and
	// still get starts.
	unreachableAfter = 300 * time.Millisecond
	// closedRenewThreshold is the number of consecutive failed renewals from which
	// on a closed connection makes the worker unreachable. It exceeds the number of
	// renewals in flight, all of which fail at once when all connections are reset.
	closedRenewThreshold = maxLossyRenewals + 1
	// closedRenewDelay is the delay before the next renewal from the second
	// consecutive failure on, if the connection was closed.
	closedRenewDelay = 20 * time.Millisecond
	// minRenewBackoff and maxRenewBackoff bound the delay between renewals of an
	// unreachable worker. When it is back, it announces itself and is then contacted
	// at once.
	minRenewBackoff = 50 * time.Millisecond
	maxRenewBackoff = 200 * time.Millisecond
	// idleRenewWait is how long the worker may hold a renewal while there are no
	// runs.
	idleRenewWait = 250 * time.Millisecond
	// limitedRenewWait is how long the worker may hold a renewal while the lease is not
	// extended in full, because runs wait for a claim or for the answer to a stop. The
	// other runs need a renewal soon after that. It also applies while runs may begin that
	// a former life of the agent has asked for.
	limitedRenewWait = 20 * time.Millisecond
	// adoptedRunGrace is how long a restarted agent keeps runs that it found on
	// the worker and that no entry has claimed: entries redial a lost agent every
	// 50 ms. The resource need of an unclaimed run is unknown, so nothing else can
	// start until it is claimed or has ended.
	adoptedRunGrace = 150 * time.Millisecond
	// startConfirmTimeout is the time after an unanswered start call at which its
	// run is stopped, unless the worker has listed it by then.
	startConfirmTimeout = busyRenewWait + 30*time.Millisecond
	// unansweredStartRetention is how long a start call without an answer may still be
	// carried out. The platform says that it may be seconds later.
	unansweredStartRetention = 15 * time.Second
	// stopRetryInterval is the time between two stop calls for one run,
	// unreachableStopRetryInterval the same while the worker is unreachable.
	stopRetryInterval            = 60 * time.Millisecond
	unreachableStopRetryInterval = 250 * time.Millisecond
	// minReportInterval is the minimum time between a report to an entry and the
	// next one that only tells of a change of free CPU or speed, and reportThreshold
	// the relative change that triggers it. A change of the worker, or of whether it
	// accepts starts, is reported at once. The interval is at least
	// reportIntervalPerEntry times the number of entries, so that the agent's traffic
	// doesn't grow with that number. Entries with waiting tasks are told of any
	// growth of the free CPU after minReportInterval.
	minReportInterval      = 40 * time.Millisecond
	reportIntervalPerEntry = 10 * time.Millisecond
	reportThreshold        = 0.1
	// recentReportAge is the age up to which a report also serves as the answer to
	// a ping: about half the interval between two pings, and an eighth of the
	// silence after which an entry considers the agent lost.
	recentReportAge = 60 * time.Millisecond
	// progressInterval is the minimum time between two progress reports on a task.
	progressInterval = 90 * time.Millisecond
	// stallReportAge is how long a run may make no progress before its entry is told. It
	// is less than the time after which entries consider a task stalled.
	stallReportAge = 200 * time.Millisecond
	// endRetention is how long ends are kept, to be reported to entries that
	// reconnect.
	endRetention = 3 * time.Second
	// failureWeight is the weight of the latest outcome in the failure rate; three
	// consecutive failures of different jobs raise it above one half.
	failureWeight = 0.25
	// failureDecayTime is the time constant of the exponential decay of the
	// failure rate: the time in which it falls to about a third.
	failureDecayTime = 2 * time.Second
	// suspectThreshold is the failure rate above which a worker is suspect, and gets
	// one task at a time.
	suspectThreshold = 0.5
	// probeInterval is the minimum time between two starts on a suspect worker.
	probeInterval = 300 * time.Millisecond
)
