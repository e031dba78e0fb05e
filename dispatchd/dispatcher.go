// Package dispatchd runs the scheduler of package dispatch in an entry: it
// keeps the connections to agents, reads the directory and the configuration,
// and passes jobs and answers between callers and the event loop.
//
// Input: jobs, messages of agents, rows of the store. Output: answers,
// commands to agents. State: that of the event loop, which only its goroutine
// accesses.
//
// Goroutines: the event loop; one per agent, which connects and reads; one
// sender per connection; two watchers of the store; one that polls other
// entries while the store is unreachable, and one for each of them; one that
// registers the entry in the directory; one for each other entry that is asked
// about cancelled jobs.
package dispatchd

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/cancellation"
	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/interference"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/routes"
	"github.com/sesamelift/sesamelift/timing"
)

const (
	// eventQueueSize limits the events that wait for the event loop. It is more
	// than an entry receives in half a second at peak load.
	eventQueueSize = 2048
	// maxEventBatch limits the events that are handled before commands are sent, and
	// maxBatchTime the time in which they are handled.
	maxEventBatch = 64
	maxBatchTime  = 20 * time.Millisecond
	// noticeTime is the time allowed until the departure of a caller is noticed by a process
	// that runs.
	noticeTime = 60 * time.Millisecond
	// tickInterval is the interval of the event loop's ticks, and thereby the
	// resolution of deadlines.
	tickInterval = 20 * time.Millisecond
	// statsInterval is the interval at which metrics are brought up to date.
	statsInterval = time.Second
	// maxWaitingJobs limits the jobs with tasks that wait for a worker: the
	// arrivals of several seconds of a burst.
	maxWaitingJobs = 2000
	// startupWait is how long after the start of an entry requests wait for the
	// configuration. When all processes have started at once, no other entry could
	// serve them sooner.
	startupWait = 1500 * time.Millisecond
	// drainAcceptPeriod is how long a draining entry accepts new connections, at
	// most half of the grace period: the platform sends them until the entry has
	// failed two readiness checks, one second apart.
	drainAcceptPeriod = 2800 * time.Millisecond
	// callerCheckInterval is the time between two checks whether the caller of a job in
	// progress has gone. Its runs must have ended when it submits the job again.
	callerCheckInterval = 200 * time.Millisecond
	// drainMargin is the part of the grace period that is left after the drain for
	// the last answers. finalRefusePeriod is the part of the drain, at its end, in
	// which new jobs are refused.
	drainMargin       = 400 * time.Millisecond
	finalRefusePeriod = 1500 * time.Millisecond
	// finalAnswerPeriod is the part of the drain, at its end, in which requests that wait for
	// other entries are answered without them.
	finalAnswerPeriod = 200 * time.Millisecond
)

// ErrStopped is returned after the event loop has ended.
var ErrStopped = errors.New("the entry has stopped")

// Options configure a Dispatcher.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64
	Timings     timing.Timings
	// RackSlowdown is the factor by which a task takes longer on a worker outside
	// the rack that holds its data.
	RackSlowdown float64
	// KeepApart lists kinds of tasks that are kept apart, see dispatch.Options.
	KeepApart []interference.Pair
	Store     directory.Store
	// ConfigTable and ConfigKey name the row of Store with the configuration, and
	// DecodeConfig decodes its value.
	ConfigTable  string
	ConfigKey    string
	DecodeConfig func([]byte) (*routes.Config, error)
	// EvacuatedZone returns the zone that the row of ConfigTable with a key has evacuated.
	// ok is false if the row is of another kind, and the zone empty if the key names none.
	EvacuatedZone func(key string) (zone string, ok bool)
	// DirectoryAddress is the address at which this entry serves directory.Path to
	// other entries. Seeds are the addresses of entries to query even if they are
	// not in the directory.
	DirectoryAddress string
	Seeds            []string
	// GracePeriod is the time between the signal to terminate and the signal to
	// kill.
	GracePeriod time.Duration
	// CloseConnections closes connections of callers: idle ones at once, others after
	// their answer.
	CloseConnections func()
	// WorkBytes limits the memory for the jobs in progress; 0 means no limit.
	WorkBytes int64
	// MaxAnnounced limits the members that are kept although the store doesn't list them, since
	// each is dialed; 0 means the default.
	MaxAnnounced int
	Log          *decisions.Log
	Metrics      tally.Scope
}

// Dispatcher connects the scheduler of an entry with its agents, callers and
// the store. Its methods are safe for concurrent use.
type Dispatcher struct {
	opts Options
	// startedAt is when the entry started, on the clock of package clock.
	startedAt time.Duration
	routes    routes.Holder
	events    chan event
	// departures are the events that callers have gone. They are handled before others: the
	// caller may submit the job elsewhere, and runs go on while the agents hear of this entry.
	departures chan event
	stopped    chan struct{}

	// queuedSubmissions counts the submissions of each job that wait for the event loop.
	queuedMu          sync.Mutex
	queuedSubmissions map[string]int

	draining atomic.Bool
	// refusing makes Submit refuse all jobs.
	refusing atomic.Bool
	// overloaded keeps the entry out of rotation, and closeConns says that
	// connections are closed after their answer. Both are derived from lag.
	overloaded atomic.Bool
	closeConns atomic.Bool
	// submissions counts the calls of Submit in progress, otherRequests the other requests of
	// callers. ending is closed when the drain is nearly over.
	submissions, otherRequests atomic.Int64
	ending                     chan struct{}

	cache directoryCache
	// evacuationsMu is held while evacuated zones are put in effect, until the event loop has
	// been passed them.
	evacuationsMu sync.Mutex
	// rejected holds the entries of the directory that can't be used.
	rejected directory.Rejected
	// rejectedEvacuations holds the keys of rows that name no zone.
	rejectedEvacuations directory.Rejected
	metrics             metrics

	// inquirer asks other entries about jobs that callers cancel here.
	inquirer inquirer
	// cancelledComplete says that this entry has learnt which jobs were cancelled before its
	// start, as far as other entries knew. cancelledLearnt is closed then.
	cancelledComplete atomic.Bool
	cancelledLearnt   chan struct{}

	// The fields below are accessed by the event loop only.
	scheduler *dispatch.Scheduler
	agents    map[string]*agent
	// waiters holds, by job, the channels on which calls of Submit wait.
	waiters map[string][]chan *api.Verdict
	// cancelledJobs are the jobs that callers have cancelled lately. They aren't started again.
	cancelledJobs *cancellation.Recent
	// cancelledUnseen are those that no entry ran when the caller cancelled them: their request
	// may be on its way. They are kept apart, since callers can name any job.
	cancelledUnseen *cancellation.Recent
	// lastWake is when the event loop last ran. The process last stood still from
	// stoodStillFrom until stoodStillUntil.
	lastWake                        time.Duration
	stoodStillFrom, stoodStillUntil time.Duration
	lag                             lagMeter
	// recorded is the state that was last recorded for the metrics, at statsAt.
	statsAt  time.Duration
	recorded dispatch.Stats
}

// event is an event of the event loop. handle gets the time at which it is handled.
type event struct {
	postedAt time.Duration
	handle   func(now time.Duration)
}

func newEvent(handle func(now time.Duration)) event { return event{clock.SinceBoot(), handle} }

// New returns a dispatcher, which does nothing until Run is called.
func New(o Options) *Dispatcher {
	startedAt := clock.SinceBoot()
	return &Dispatcher{
		opts: o, startedAt: startedAt, events: make(chan event, eventQueueSize), queuedSubmissions: map[string]int{},
		departures: make(chan event, eventQueueSize), stopped: make(chan struct{}), ending: make(chan struct{}), cancelledLearnt: make(chan struct{}),
		scheduler: dispatch.New(dispatch.Options{
			RestartDelay: o.Timings.RestartDelay, RackSlowdown: o.RackSlowdown, KeepApart: o.KeepApart, Zone: o.Zone, Seed: o.Incarnation, StartedAt: startedAt, MaxWaitingJobs: maxWaitingJobs, MaxTasks: int(o.WorkBytes / dispatch.TaskBytes),
		}),
		agents: map[string]*agent{}, waiters: map[string][]chan *api.Verdict{},
		cache:   directoryCache{members: map[string]directory.Member{}, announced: map[string]time.Time{}, unlisted: map[string]struct{}{}, changedAt: map[string]uint64{}, changed: make(chan struct{}), peerRevisions: map[string]string{}, membersReadFailing: true, configReadFailing: true},
		metrics: newMetrics(o.Metrics), inquirer: newInquirer(o.Timings.CancelTimeout), cancelledJobs: cancellation.NewRecent(), cancelledUnseen: cancellation.NewRecent(),
	}
}

// AwaitConfiguration waits until there is a configuration, for as long as an entry that
// has just started may take to read it, or until ctx ends.
func (d *Dispatcher) AwaitConfiguration(ctx context.Context) {
	d.submissions.Add(1)
	defer d.submissions.Add(-1)
	timer := time.NewTimer(startupWait - (clock.SinceBoot() - d.startedAt))
	defer timer.Stop()
	select {
	case <-d.routes.Available():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Routes returns the holder of the configuration in effect.
func (d *Dispatcher) Routes() *routes.Holder { return &d.routes }

// Ready reports whether the entry accepts new connections: it has a
// configuration and is neither draining nor overloaded.
func (d *Dispatcher) Ready() bool {
	return !d.draining.Load() && !d.overloaded.Load() && d.routes.Current() != nil
}

// CloseAfterResponse reports whether connections are to be closed after their
// response.
func (d *Dispatcher) CloseAfterResponse() bool { return d.draining.Load() || d.closeConns.Load() }

// Run runs the event loop and its helper goroutines until ctx ends, and then
// drains: jobs in progress are completed as far as the grace period allows.
func (d *Dispatcher) Run(ctx context.Context) {
	helperCtx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { d.watchMembers(helperCtx) })
	wg.Go(func() { d.watchConfig(helperCtx) })
	wg.Go(func() { d.pollPeers(helperCtx) })
	wg.Go(func() { d.learnCancelled(helperCtx) })
	wg.Go(func() { d.eventLoop(helperCtx) })
	wg.Go(func() {
		directory.Register(helperCtx, d.opts.Store, directory.Member{Name: d.opts.Name, Role: directory.RoleEntry, Directory: d.opts.DirectoryAddress}, d.opts.Seeds, d.opts.Timings.StoreAttemptInterval, d.opts.Log)
	})
	<-ctx.Done()
	d.drain()
	stop()
	wg.Wait()
}

// drain serves new connections until the platform sends no more, then closes
// idle connections, and returns once no caller waits for an answer or the grace
// period is nearly over.
func (d *Dispatcher) drain() {
	d.draining.Store(true)
	start := clock.SinceBoot()
	end := start + d.opts.GracePeriod - drainMargin
	closeAt := start + min(drainAcceptPeriod, d.opts.GracePeriod/2)
	d.opts.Log.Add(decisions.Info("draining", "jobs", d.submissions.Load()))
	closed, ending := false, false
	for now := start; now < end; now = clock.SinceBoot() {
		if now >= closeAt && !closed {
			closed = true
			d.opts.CloseConnections()
		}
		// A request may arrive after they were counted and before further jobs are
		// refused, so they are counted again.
		if closed && d.requestsInProgress() == 0 {
			d.refusing.Store(true)
			time.Sleep(tickInterval)
			if d.requestsInProgress() == 0 {
				break
			}
			d.refusing.Store(false)
		}
		if now >= end-finalRefusePeriod {
			d.refusing.Store(true)
		}
		if now >= end-finalAnswerPeriod && !ending {
			ending = true
			close(d.ending)
		}
		time.Sleep(tickInterval)
	}
	d.refusing.Store(true)
	d.opts.Log.Add(decisions.Info("drained", "jobs_left", d.submissions.Load(), "took_ms", (clock.SinceBoot() - start).Milliseconds()))
}

// BeginRequest counts a request of a caller that isn't a submission, and returns the function
// that ends it. An entry that drains waits for the answers to such requests.
func (d *Dispatcher) BeginRequest() (end func()) {
	d.otherRequests.Add(1)
	return func() { d.otherRequests.Add(-1) }
}

func (d *Dispatcher) requestsInProgress() int64 { return d.submissions.Load() + d.otherRequests.Load() }

// eventLoop handles events and ticks. Only its goroutine accesses the scheduler.
func (d *Dispatcher) eventLoop(ctx context.Context) {
	defer close(d.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	d.lastWake = clock.SinceBoot()
	for {
		select {
		case <-ctx.Done():
			d.shutdown()
			return
		case e := <-d.departures:
			d.handle(e)
		case e := <-d.events:
			d.handle(e)
			began := d.lastWake
			for n := 0; n < maxEventBatch && len(d.events) > 0 && len(d.departures) == 0 && d.lastWake-began < maxBatchTime; n++ {
				d.handle(<-d.events)
			}
		case <-ticker.C:
			now := d.checkSuspension()
			d.updateRotation(now)
			d.pingAgents(now)
			d.scheduler.Tick(now)
			d.recordStats(now)
		}
		d.applyActions()
	}
}

// handle handles an event. Each event gets its own time: the wait after the loss of a
// connection must not begin before the loss.
func (d *Dispatcher) handle(e event) {
	now := d.checkSuspension()
	d.metrics.eventWait.RecordDuration(now - e.postedAt)
	e.handle(now)
}

// recordStats passes the state of the scheduler to the metrics.
func (d *Dispatcher) recordStats(now time.Duration) {
	if now-d.statsAt < statsInterval {
		return
	}
	stats := d.scheduler.Stats()
	d.metrics.recordStats(stats, d.recorded, d.lag.mean)
	d.statsAt, d.recorded = now, stats
}

// checkSuspension returns the time, and tells the scheduler if the process was
// suspended for longer than Timings.MaxSuspension.
func (d *Dispatcher) checkSuspension() time.Duration {
	now := clock.SinceBoot()
	gap := now - d.lastWake
	if gap > d.opts.Timings.MaxSuspension {
		d.scheduler.ProcessSuspended(now, gap)
	}
	if gap > noticeTime {
		d.stoodStillFrom, d.stoodStillUntil = d.lastWake, now
	}
	d.lastWake = now
	return now
}

// callersKnownAt returns the latest time, up to now, at which the departures of callers are
// known. After a standstill of the process they are noticed only in a while.
func (d *Dispatcher) callersKnownAt(now time.Duration) time.Duration {
	if now-d.stoodStillUntil < noticeTime {
		return min(now, d.stoodStillFrom)
	}
	return now
}

// updateRotation takes the entry out of rotation while the event loop lags, and
// back in afterwards.
func (d *Dispatcher) updateRotation(now time.Duration) {
	if d.lag.tick(now, tickInterval) {
		line := decisions.Info("event loop lag normal, entry back in rotation", "lag_ms", d.lag.mean.Milliseconds())
		if d.lag.overloaded() {
			line = decisions.Warn("event loop lag too high, entry leaves rotation", "lag_ms", d.lag.mean.Milliseconds(), "jobs", d.submissions.Load())
		}
		d.opts.Log.Add(line)
		d.overloaded.Store(d.lag.overloaded())
	}
	d.closeConns.Store(d.lag.closeAfterResponse(now))
}

// shutdown cancels the remaining jobs and closes the connections to agents.
func (d *Dispatcher) shutdown() {
	for id := range d.waiters {
		d.scheduler.Cancel(clock.SinceBoot(), id, "the entry ends")
	}
	d.applyActions()
	for _, a := range d.agents {
		a.cancel()
	}
}

// applyActions carries out the actions of the scheduler.
func (d *Dispatcher) applyActions() {
	// Starts are withdrawn that were placed before a suspension, or for a caller that has gone.
	for len(d.departures) > 0 {
		d.handle(<-d.departures)
	}
	now := d.checkSuspension()
	out := d.scheduler.TakeActions(now)
	var packer link.SpecPacker
	for i := range out.Commands {
		c := &out.Commands[i]
		a := d.agents[c.Worker]
		if a == nil {
			continue
		}
		d.metrics.starts.Inc(int64(len(c.Starts)))
		d.metrics.stops.Inc(int64(len(c.Stops)))
		commands := &link.Commands{Starts: c.Starts, Stops: c.Stops, Claims: c.Claims, Waiting: d.scheduler.HasWaitingJobs(), Inactive: c.Inactive, Evacuation: d.scheduler.Evacuation(c.Worker), KnownSpeed: c.KnownSpeed, CountKinds: c.CountKinds}
		if err := packer.Pack(commands); err != nil {
			// The connection would be out of step with the scheduler; its loss puts the
			// starts right.
			d.opts.Log.Add(decisions.Warn("cannot encode starts, closing the connection", "worker", c.Worker, "error", err.Error()))
			if a.conn != nil {
				a.conn.Close()
			}
			continue
		}
		a.send(now, d.callersKnownAt(now), commands)
	}
	for _, answer := range out.Answers {
		for _, waiter := range d.waiters[answer.Job] {
			waiter <- answer.Verdict
		}
		delete(d.waiters, answer.Job)
	}
	d.opts.Log.Add(out.LogLines...)
}

// call runs f in the event loop and waits for it.
func (d *Dispatcher) call(ctx context.Context, f func(now time.Duration)) error {
	done := make(chan struct{})
	select {
	case d.events <- newEvent(func(now time.Duration) { f(now); close(done) }):
	case <-d.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-d.stopped:
		return ErrStopped
	}
}

// post queues an event for the event loop and does not wait until it is handled.
func (d *Dispatcher) post(f func(now time.Duration)) {
	select {
	case d.events <- newEvent(f):
	case <-d.stopped:
	}
}

// postDeparture queues an event that a caller has gone.
func (d *Dispatcher) postDeparture(f func(now time.Duration)) {
	select {
	case d.departures <- newEvent(f):
	case <-d.stopped:
	}
}

// Submit runs a job and returns its verdict. If ctx ends first, the caller has
// disconnected and the job is cancelled, unless another caller waits for it. callerGone
// reports whether that has happened although ctx may not have ended yet; it is called before
// the job is accepted and while it is in progress, because the caller may have sent the job to
// another entry by then. It must be safe for concurrent use.
func (d *Dispatcher) Submit(ctx context.Context, job dispatch.Job, callerGone func() bool) *api.Verdict {
	// The call is counted before it reads refusing, so that drain either waits
	// for the job or the job is refused.
	d.submissions.Add(1)
	defer d.submissions.Add(-1)
	v := d.submit(ctx, job, callerGone)
	d.metrics.recordAnswer(v, clock.SinceBoot()-job.ReceivedAt)
	return v
}

func (d *Dispatcher) submit(ctx context.Context, job dispatch.Job, callerGone func() bool) *api.Verdict {
	if d.refusing.Load() {
		return d.refuse(job, api.ReasonDraining, "the entry is ending")
	}
	// Counted before it waits, so that Knows tells of it.
	d.countQueued(job.ID, 1)
	d.awaitCancelled(ctx)
	answer := make(chan *api.Verdict, 1)
	submitted := newEvent(func(now time.Duration) {
		d.countQueued(job.ID, -1)
		if callerGone() {
			d.cancelUnlessAwaited(now, job.ID)
			answer <- d.refuse(job, api.ReasonCancelled, "the caller has gone before the job was accepted")
			return
		}
		if d.cancelledJobs.Contains(now, job.ID) || d.cancelledUnseen.Contains(now, job.ID) {
			// The request has arrived again, or late.
			d.opts.Log.Add(decisions.Info("job refused", "job", job.ID, "queue", job.Queue, "reason", cancelledMessage))
			answer <- api.Fail(api.RanMaybe, api.ReasonCancelledByCaller, cancelledMessage)
			return
		}
		if v := d.scheduler.Submit(now, job); v != nil {
			answer <- v
			return
		}
		d.waiters[job.ID] = append(d.waiters[job.ID], answer)
	})
	select {
	case d.events <- submitted:
	case <-d.stopped:
		return d.refuse(job, api.ReasonDraining, "the entry is ending")
	default:
		d.countQueued(job.ID, -1)
		return d.refuse(job, api.ReasonOverload, "the entry is overloaded")
	}
	check := time.NewTicker(callerCheckInterval)
	defer check.Stop()
	for {
		select {
		case v := <-answer:
			return v
		case <-d.stopped:
			return finalAnswer(answer)
		case <-ctx.Done():
		case <-check.C:
			// The server that ends ctx doesn't read on once a further request has arrived.
			if !callerGone() {
				continue
			}
		}
		d.postDeparture(func(now time.Duration) { d.removeWaiter(now, job.ID, answer) })
		return api.Fail(api.RanMaybe, api.ReasonCancelled, "the caller has gone")
	}
}

// finalAnswer returns the answer that the event loop gave when it ended, if any.
func finalAnswer(answer chan *api.Verdict) *api.Verdict {
	select {
	case v := <-answer:
		return v
	default:
		return api.Fail(api.RanMaybe, api.ReasonDraining, "the entry has ended")
	}
}

func (d *Dispatcher) refuse(job dispatch.Job, reason api.Reason, message string) *api.Verdict {
	d.opts.Log.Add(decisions.Info("job refused", "job", job.ID, "queue", job.Queue, "reason", message))
	v := api.Refuse(reason, message)
	v.RetryAfter = time.Second
	return v
}

// removeWaiter removes the channel of a call of Submit that waits for a job, and
// cancels the job if no other call waits for it.
func (d *Dispatcher) removeWaiter(now time.Duration, id string, answer chan *api.Verdict) {
	remaining := d.waiters[id][:0:0]
	for _, waiter := range d.waiters[id] {
		if waiter != answer {
			remaining = append(remaining, waiter)
		}
	}
	d.waiters[id] = remaining
	d.cancelUnlessAwaited(now, id)
}

// cancelUnlessAwaited cancels a job for which no call of Submit waits.
func (d *Dispatcher) cancelUnlessAwaited(now time.Duration, id string) {
	if len(d.waiters[id]) > 0 || d.countQueued(id, 0) > 0 {
		return
	}
	delete(d.waiters, id)
	d.scheduler.Cancel(now, id, "the caller has gone")
}

// countQueued adds n to the submissions of a job that wait for the event loop, and returns
// their number.
func (d *Dispatcher) countQueued(id string, n int) int {
	d.queuedMu.Lock()
	defer d.queuedMu.Unlock()
	if d.queuedSubmissions[id] += n; d.queuedSubmissions[id] == 0 {
		delete(d.queuedSubmissions, id)
	}
	return d.queuedSubmissions[id]
}

// Find reports whether a job is in progress at this entry and whether a task of
// it is known to have started. The error is ErrStopped or that of ctx.
func (d *Dispatcher) Find(ctx context.Context, id string) (known, started bool, err error) {
	err = d.call(ctx, func(time.Duration) { known, started = d.scheduler.Find(id) })
	return known, started, err
}

// Knows reports whether a job may have run or may be about to run at this entry. If that
// can't be told, because the entry has ended or ctx ends, it returns true.
func (d *Dispatcher) Knows(ctx context.Context, id string) bool {
	if d.countQueued(id, 0) > 0 {
		return true
	}
	known := true
	// A submission leaves the queue in the same event in which the scheduler gets it.
	if err := d.call(ctx, func(now time.Duration) { known = d.countQueued(id, 0) > 0 || d.scheduler.Knows(now, id) }); err != nil {
		return true
	}
	return known
}

// CountNotStarted returns the number of jobs of a queue of which no task is known
// to have started. The error is ErrStopped or that of ctx.
func (d *Dispatcher) CountNotStarted(ctx context.Context, queue string) (n int, err error) {
	err = d.call(ctx, func(time.Duration) { n = d.scheduler.CountNotStarted(queue) })
	return n, err
}

// LogRefusal logs a job that was refused before it reached the event loop.
func (d *Dispatcher) LogRefusal(id, queue, reason string) {
	d.opts.Log.Add(decisions.Info("job refused", "job", id, "queue", queue, "reason", reason))
}
