// Package dispatchd runs the decisions of package dispatch in an entry: it keeps
// the connections to agents, reads the directory and the configuration, and
// hands jobs and answers between callers and the core loop.
//
// Input: jobs, messages of agents, rows of the store. Output: answers, orders to
// agents. State: that of the core loop, which only its goroutine touches.
//
// Goroutines: core; one dialer an agent, which also reads; one sender a
// connection; two watchers of the store; one that asks other entries while the
// store is away.
package dispatchd

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/routes"
	"github.com/sesamelift/sesamelift/timing"
)

const (
	// eventRing bounds the events that wait for the core loop: more than an
	// entry gets in half a second of its heaviest load.
	eventRing = 2048
	// maxBatch bounds the events that are taken before orders go out.
	maxBatch = 64
	// tickInterval is the resolution of deadlines.
	tickInterval = 20 * time.Millisecond
	// idlePing is how often an agent without tasks of this entry is pinged.
	idlePing = time.Second
	// maxWaitingJobs bounds the jobs that wait: some seconds of a burst.
	maxWaitingJobs = 2000
	// drainQuiet is how long an entry that ends takes new jobs: the platform
	// sends new connections until it has missed two readiness checks, one second
	// apart.
	drainQuiet = 2800 * time.Millisecond
	// drainMargin is what is left of the grace period for the last answers, and
	// lastJobs how long before the end no job is taken any more.
	drainMargin = 400 * time.Millisecond
	lastJobs    = 1500 * time.Millisecond
)

// ErrStopped says that the core loop has ended.
var ErrStopped = errors.New("the entry has stopped")

// Options configure a Dispatcher.
type Options struct {
	Name        string
	Zone        string
	Incarnation uint64
	Timings     timing.Timings
	// RackSlowdown is how many times as long a task takes away from its data.
	RackSlowdown float64
	Store        directory.Store
	// ConfigTable and ConfigKey name the row with the configuration, and
	// DecodeConfig reads its value.
	ConfigTable  string
	ConfigKey    string
	DecodeConfig func([]byte) (*routes.Config, error)
	// DirectoryAddress is where this entry answers others, Seeds where others
	// may.
	DirectoryAddress string
	Seeds            []string
	// GracePeriod is the time between the signals to end and to kill.
	GracePeriod time.Duration
	// CloseIdle closes connections of callers that are idle, and each other one
	// after its answer.
	CloseIdle func()
	Log       *decisions.Log
	Metrics   tally.Scope
}

// Dispatcher is the running part of an entry. Its methods are safe for
// concurrent use.
type Dispatcher struct {
	o      Options
	routes routes.Holder
	events chan func(now time.Duration)
	ended  chan struct{}

	draining atomic.Bool
	refusing atomic.Bool
	// overloaded keeps the entry out of rotation, closing has connections closed
	// after their answer; both follow lag.
	overloaded atomic.Bool
	closing    atomic.Bool
	// submissions counts the calls of Submit in progress.
	submissions atomic.Int64

	known   knowledge
	metrics metrics

	// The rest belongs to the core loop.
	state   *dispatch.State
	agents  map[string]*agent
	waiters map[string][]chan *api.Verdict
	last    time.Duration
	lag     lagMeter
}

// New returns a dispatcher. Run starts it.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		o: o, events: make(chan func(time.Duration), eventRing), ended: make(chan struct{}),
		state: dispatch.New(dispatch.Options{
			LossWait: o.Timings.LossWait, RackSlowdown: o.RackSlowdown, Zone: o.Zone, Seed: o.Incarnation, Started: clock.Now(), MaxWaitingJobs: maxWaitingJobs,
		}),
		agents: map[string]*agent{}, waiters: map[string][]chan *api.Verdict{},
		known:   knowledge{members: map[string]directory.Member{}},
		metrics: newMetrics(o.Metrics),
	}
}

// Routes returns the configuration in force.
func (d *Dispatcher) Routes() *routes.Holder { return &d.routes }

// Ready says whether the entry takes new connections.
func (d *Dispatcher) Ready() bool {
	return !d.draining.Load() && !d.overloaded.Load() && d.routes.Current() != nil
}

// Closing says whether connections are to be closed after their answer.
func (d *Dispatcher) Closing() bool { return d.draining.Load() || d.closing.Load() }

// Run runs the core loop and its helpers until ctx ends, and then drains: jobs in
// progress are completed, as far as the grace period allows.
func (d *Dispatcher) Run(ctx context.Context) {
	helpers, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { d.watchMembers(helpers) })
	wg.Go(func() { d.watchConfig(helpers) })
	wg.Go(func() { d.askPeers(helpers) })
	wg.Go(func() { d.core(helpers) })
	wg.Go(func() {
		directory.Enter(helpers, d.o.Store, directory.Member{Name: d.o.Name, Role: directory.RoleEntry, Directory: d.o.DirectoryAddress}, d.o.Log)
	})
	<-ctx.Done()
	d.drain()
	stop()
	wg.Wait()
}

// drain serves callers that the platform still sends, and then those on old
// connections, and ends once nobody waits for an answer.
func (d *Dispatcher) drain() {
	d.draining.Store(true)
	start := clock.Now()
	end := start + d.o.GracePeriod - drainMargin
	quiet := start + min(drainQuiet, d.o.GracePeriod/2)
	d.o.Log.Add(decisions.Info("draining", "jobs", d.submissions.Load()))
	closed := false
	for now := start; now < end; now = clock.Now() {
		if now >= quiet && !closed {
			closed = true
			d.o.CloseIdle()
		}
		// A job may arrive between the look at the counter and the refusal of
		// further ones, so that the counter is looked at again.
		if closed && d.submissions.Load() == 0 {
			d.refusing.Store(true)
			time.Sleep(tickInterval)
			if d.submissions.Load() == 0 {
				break
			}
			d.refusing.Store(false)
		}
		if now >= end-lastJobs {
			d.refusing.Store(true)
		}
		time.Sleep(tickInterval)
	}
	d.refusing.Store(true)
	d.o.Log.Add(decisions.Info("drained", "jobs_left", d.submissions.Load(), "took_ms", (clock.Now() - start).Milliseconds()))
}

// core is the only goroutine that touches the state.
func (d *Dispatcher) core(ctx context.Context) {
	defer close(d.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	d.last = clock.Now()
	for {
		select {
		case <-ctx.Done():
			d.end()
			return
		case event := <-d.events:
			now := d.wake()
			event(now)
			for n := 0; n < maxBatch && len(d.events) > 0; n++ {
				(<-d.events)(now)
			}
		case <-ticker.C:
			now := d.wake()
			d.watchLag(now)
			d.pingAgents(now)
			d.state.Tick(now)
		}
		d.perform()
	}
}

// wake returns the time, and looks for a time in which the process didn't run.
func (d *Dispatcher) wake() time.Duration {
	now := clock.Now()
	if gap := now - d.last; gap > d.o.Timings.Stale {
		d.state.Suspended(now, gap)
	}
	d.last = now
	return now
}

// watchLag leaves rotation while the core loop runs late, and returns to it.
func (d *Dispatcher) watchLag(now time.Duration) {
	if d.lag.tick(now, tickInterval) {
		line := decisions.Info("back in rotation", "lag_ms", d.lag.mean.Milliseconds())
		if d.lag.overloaded() {
			line = decisions.Warn("too slow for the load, leaving rotation", "lag_ms", d.lag.mean.Milliseconds(), "jobs", d.submissions.Load())
		}
		d.o.Log.Add(line)
		d.overloaded.Store(d.lag.overloaded())
	}
	d.closing.Store(d.lag.closing(now))
}

// end answers what is left when the process ends.
func (d *Dispatcher) end() {
	for id := range d.waiters {
		d.state.Cancel(clock.Now(), id, "the entry ends")
	}
	d.perform()
	for _, a := range d.agents {
		a.cancel()
	}
}

// perform carries out the actions of the state.
func (d *Dispatcher) perform() {
	now := clock.Now()
	out := d.state.Take(now)
	for i := range out.Orders {
		o := &out.Orders[i]
		if a := d.agents[o.Worker]; a != nil {
			d.metrics.starts.Inc(int64(len(o.Starts)))
			d.metrics.stops.Inc(int64(len(o.Stops)))
			a.send(now, &link.Orders{Starts: o.Starts, Stops: o.Stops, Claims: o.Claims, Waiting: d.state.Waiting()})
		}
	}
	for _, answer := range out.Answers {
		for _, w := range d.waiters[answer.Job] {
			w <- answer.Verdict
		}
		delete(d.waiters, answer.Job)
	}
	d.o.Log.Add(out.Lines...)
}

// do runs f in the core loop and waits for it.
func (d *Dispatcher) do(ctx context.Context, f func(now time.Duration)) error {
	done := make(chan struct{})
	event := func(now time.Duration) { f(now); close(done) }
	select {
	case d.events <- event:
	case <-d.ended:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-d.ended:
		return ErrStopped
	}
}

// post hands an event to the core loop.
func (d *Dispatcher) post(f func(now time.Duration)) {
	select {
	case d.events <- f:
	case <-d.ended:
	}
}

// Submit runs a job and returns its verdict. When ctx ends first, the caller has
// gone and the job is cancelled.
func (d *Dispatcher) Submit(ctx context.Context, job dispatch.Job) *api.Verdict {
	// Counted before it looks whether the entry is ending, so that the drain
	// either waits for the job or the job is refused.
	d.submissions.Add(1)
	defer d.submissions.Add(-1)
	v := d.submit(ctx, job)
	d.metrics.answered(v, clock.Now()-job.Arrived)
	return v
}

func (d *Dispatcher) submit(ctx context.Context, job dispatch.Job) *api.Verdict {
	if d.refusing.Load() {
		return d.refuse(job, api.ReasonDraining, "the entry is ending")
	}
	answer := make(chan *api.Verdict, 1)
	event := func(now time.Duration) {
		if v := d.state.Submit(now, job); v != nil {
			answer <- v
			return
		}
		d.waiters[job.ID] = append(d.waiters[job.ID], answer)
	}
	select {
	case d.events <- event:
	case <-d.ended:
		return d.refuse(job, api.ReasonDraining, "the entry is ending")
	default:
		return d.refuse(job, api.ReasonOverload, "the entry is overloaded")
	}
	select {
	case v := <-answer:
		return v
	case <-d.ended:
		return lastAnswer(answer)
	case <-ctx.Done():
		d.post(func(now time.Duration) { d.leave(now, job.ID, answer) })
		return api.Fail(api.RanMaybe, api.ReasonCancelled, "the caller has gone")
	}
}

// lastAnswer takes the answer that the core loop gave when it ended, if any.
func lastAnswer(answer chan *api.Verdict) *api.Verdict {
	select {
	case v := <-answer:
		return v
	default:
		return api.Fail(api.RanMaybe, api.ReasonDraining, "the entry has ended")
	}
}

func (d *Dispatcher) refuse(job dispatch.Job, reason api.Reason, message string) *api.Verdict {
	d.o.Log.Add(decisions.Info("job refused", "job", job.ID, "queue", job.Queue, "reason", message))
	v := api.Refuse(reason, message)
	v.RetryAfter = time.Second
	return v
}

// leave takes back a caller's wait, and cancels the job if nobody else waits.
func (d *Dispatcher) leave(now time.Duration, id string, answer chan *api.Verdict) {
	rest := d.waiters[id][:0:0]
	for _, w := range d.waiters[id] {
		if w != answer {
			rest = append(rest, w)
		}
	}
	if len(rest) > 0 {
		d.waiters[id] = rest
		return
	}
	delete(d.waiters, id)
	d.state.Cancel(now, id, "the caller has gone")
}

// Cancel ends a job and reports whether it was in progress here.
func (d *Dispatcher) Cancel(ctx context.Context, id string) (known bool, err error) {
	err = d.do(ctx, func(now time.Duration) { known = d.state.Cancel(now, id, "cancelled by its caller") })
	return known, err
}

// Find says whether a job is in progress here and whether a task of it has
// started.
func (d *Dispatcher) Find(ctx context.Context, id string) (known, started bool, err error) {
	err = d.do(ctx, func(time.Duration) { known, started = d.state.Find(id) })
	return known, started, err
}

// NotStarted returns the number of jobs of a queue of which no task has started.
func (d *Dispatcher) NotStarted(ctx context.Context, queue string) (n int, err error) {
	err = d.do(ctx, func(time.Duration) { n = d.state.NotStarted(queue) })
	return n, err
}

// Refused logs a job that was refused before it reached the core loop.
func (d *Dispatcher) Refused(id, queue, reason string) {
	d.o.Log.Add(decisions.Info("job refused", "job", id, "queue", queue, "reason", reason))
}
