// Package runnerd runs the state machine of package runner in an agent: it
// accepts connections from entries and makes the calls to the worker.
//
// Input: requests from entries, announcements of the worker. Output: calls to
// the worker, reports to entries. State: owned by the event loop; no other
// goroutine accesses it.
//
// Goroutines: the event loop; one that accepts connections; a reader and a
// sender per connection; a fixed number that renew leases; a fixed number that
// start and stop runs.
package runnerd

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/intake"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/runner"
	"github.com/sesamelift/sesamelift/timing"
)

const (
	// eventQueueSize bounds the events that wait for the event loop. It is more than
	// the number of events that a worker with 64 cores causes in a second.
	eventQueueSize = 1024
	// callQueueSize bounds the start calls, and the stop calls, that wait to be
	// made.
	callQueueSize = 512
	// maxEventBatch bounds the events that are handled before actions are carried
	// out.
	maxEventBatch = 64
	// maxCallAttempts bounds the attempts at one start or stop call. Repeating either
	// is safe while the worker is the same instance, since it identifies a run by its
	// task and attempt number.
	maxCallAttempts = 5
	// minCallInterval is the shortest time between two attempts at one call: a
	// worker that closes its connections fails each attempt at once.
	minCallInterval = 20 * time.Millisecond
	// renewConcurrency is how many renewals may be in flight. It must not be less
	// than the number that package runner keeps in flight at most.
	renewConcurrency = 3
	// callConcurrency is how many start calls may be in flight; half as many stop
	// calls may be. An unanswered call blocks its goroutine for the whole timeout.
	callConcurrency = 8
	// tickInterval is the resolution of lease and silence timeouts.
	tickInterval = 25 * time.Millisecond
	// helloTimeout bounds the wait for an entry's first message.
	helloTimeout = time.Second
	// identifyTimeout bounds the time in which the worker must have confirmed an
	// announcement. The sender waits for a second.
	identifyTimeout = 900 * time.Millisecond
)

// Errors of WorkerClient.
var (
	// ErrConnRefused means that nothing listens at the worker's address.
	ErrConnRefused = errors.New("nothing listens at the worker's address")
	// ErrConnClosed means that the worker closed the connection without an answer.
	ErrConnClosed = errors.New("the worker closed the connection before answering")
	// ErrOtherInstance means that the worker is not the instance that a call is for.
	ErrOtherInstance = errors.New("the worker is another instance")
)

// WorkerClient makes the agent's calls to its worker.
type WorkerClient interface {
	// Start starts a run. It also returns the worker's clock in milliseconds; 0
	// when there was no answer.
	Start(ctx context.Context, c runner.StartCall) (runner.StartResult, int64)
	// Identify asks the worker whether it is the instance id. It returns when that
	// instance started, in milliseconds, or ErrOtherInstance.
	Identify(ctx context.Context, id string) (born int64, err error)
	// Stop reports whether the worker acknowledged the stop.
	Stop(ctx context.Context, c runner.StopCall) bool
	// Renew renews the lease and returns the worker's lists. ErrConnRefused means
	// that the worker takes no calls, ErrConnClosed that the next call is likely to
	// fail at once as well.
	Renew(ctx context.Context, c runner.RenewCall) (*runner.RenewReply, error)
}

// Options configure an Agent.
type Options struct {
	Name        string
	Incarnation uint64
	LinkAddress string
	Timings     timing.Timings
	// MaxStopTime is the longest time that the worker takes to stop a run.
	MaxStopTime time.Duration
	// GracePeriod is the time between the signals to terminate and to kill the
	// agent.
	GracePeriod time.Duration
	Worker      WorkerClient
	// StoreAnnouncement is called with each runner.Actions.Worker, to store it. It
	// must not block.
	StoreAnnouncement func(runner.Announcement)
	// Guard bounds the connections of entries; nil for no bounds.
	Guard   *intake.Guard
	Log     *decisions.Log
	Metrics tally.Scope
}

// Agent serves entries and controls the worker. Its methods are safe for
// concurrent use.
type Agent struct {
	opts     Options
	listener net.Listener
	events   chan func(now time.Duration)
	done     chan struct{}
	renewals chan runner.RenewCall
	starts   chan runner.StartCall
	stops    chan runner.StopCall
	metrics  metrics
	// workerBorn is runner.State.StartableBorn, for the goroutines that make calls.
	workerBorn atomic.Int64

	// The fields below are owned by the event loop.
	state      *runner.State
	conns      map[runner.ConnID]*link.Conn
	lastConnID runner.ConnID
	// evacuated and evacuationRefusals are what the metrics of the evacuated zone show.
	// evacuated is nil before the first update.
	evacuated          *bool
	evacuationRefusals int64
}

type metrics struct {
	starts, rejected, endReports, renewFailures tally.Counter
	// notSent counts the starts for which there was no connection to the worker instance that
	// they were for.
	notSent tally.Counter
	// commandAge is the time from link.Commands.AsOfMS until the message is handled.
	commandAge tally.Histogram
	// evacuated is 1 while the worker's zone is evacuated, evacuationRefusals counts the
	// starts that were refused for this reason.
	evacuated          tally.Gauge
	evacuationRefusals tally.Counter
}

// New opens the listener for entries. Call Run to start the agent.
func New(o Options) (*Agent, error) {
	l, err := link.ListenConfig().Listen(context.Background(), "tcp", o.LinkAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for entries")
	}
	if o.Guard != nil {
		l = o.Guard.ListenForEntries(l)
	}
	return &Agent{
		opts: o, listener: l, events: make(chan func(time.Duration), eventQueueSize), done: make(chan struct{}),
		renewals: make(chan runner.RenewCall, renewConcurrency), starts: make(chan runner.StartCall, callQueueSize), stops: make(chan runner.StopCall, callQueueSize),
		state: runner.New(clock.SinceBoot(), runner.Options{
			Lease: o.Timings.Lease, SilenceTimeout: o.Timings.SilenceTimeout, ReconnectGrace: o.Timings.ReconnectGrace, MaxStopTime: o.MaxStopTime,
		}),
		conns: map[runner.ConnID]*link.Conn{},
		metrics: metrics{
			starts: o.Metrics.Counter("run_starts_total"), rejected: o.Metrics.Counter("run_starts_rejected_total"),
			notSent:    o.Metrics.Counter("run_starts_not_sent_total"),
			endReports: o.Metrics.Counter("run_reports_total"), renewFailures: o.Metrics.Counter("lease_renewals_failed_total"),
			evacuated: o.Metrics.Gauge("zone_evacuated"), evacuationRefusals: o.Metrics.Counter("run_starts_refused_evacuated_total"),
			commandAge: o.Metrics.Histogram("command_age_seconds", tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 10)),
		},
	}, nil
}

// Addr returns the listen address for entries.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Run serves until ctx ends, and then drains: it waits for current runs to
// complete as long as the grace period allows.
func (a *Agent) Run(ctx context.Context) {
	loopCtx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { a.eventLoop(loopCtx) })
	for range renewConcurrency {
		wg.Go(func() { a.renewLoop(loopCtx) })
	}
	for range callConcurrency {
		wg.Go(func() { a.startLoop(loopCtx) })
	}
	for range callConcurrency / 2 {
		wg.Go(func() { a.stopLoop(loopCtx) })
	}
	go a.acceptLoop()
	<-ctx.Done()
	a.drain()
	stop()
	_ = a.listener.Close()
	wg.Wait()
}

func (a *Agent) drain() {
	a.enqueue(func(now time.Duration) { a.state.Drain(now) })
	end := clock.SinceBoot() + a.opts.GracePeriod - 2*a.opts.Timings.SilenceTimeout
	for clock.SinceBoot() < end {
		time.Sleep(tickInterval)
		runs := make(chan int, 1)
		a.enqueue(func(time.Duration) { runs <- a.state.Runs() })
		if <-runs == 0 {
			break
		}
	}
	a.opts.Log.Add(decisions.Info("drained"))
}

func (a *Agent) eventLoop(ctx context.Context) {
	defer close(a.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, c := range a.conns {
				c.Close()
			}
			return
		case event := <-a.events:
			event(clock.SinceBoot())
			for n := 0; n < maxEventBatch && len(a.events) > 0; n++ {
				// Each event gets its own time: an answer counts from when it was handled,
				// not from the start of the batch. Otherwise a list of runs that was
				// requested in between would seem to be newer than a start that it preceded.
				(<-a.events)(clock.SinceBoot())
			}
		case <-ticker.C:
			a.state.Tick(clock.SinceBoot())
		}
		a.performActions()
	}
}

// performActions carries out the pending actions of the state.
func (a *Agent) performActions() {
	now := clock.SinceBoot()
	out := a.state.TakeActions(now)
	a.workerBorn.Store(a.state.StartableBorn())
	a.recordEvacuation()
	for _, c := range out.Starts {
		select {
		case a.starts <- c:
		default:
			a.state.StartDone(now, c, runner.StartNotCalled, 0)
		}
	}
	for _, c := range out.Stops {
		select {
		case a.stops <- c:
		default:
			// The state retries a stop that isn't acknowledged.
			a.opts.Log.Add(decisions.Warn("stop call delayed: the call queue is full", "job", c.Task.Job))
		}
	}
	if out.Renew != nil {
		a.renewals <- *out.Renew
	}
	if out.Worker != nil {
		a.opts.StoreAnnouncement(*out.Worker)
	}
	for _, id := range out.CloseConns {
		if c := a.conns[id]; c != nil {
			c.Close()
			delete(a.conns, id)
		}
	}
	for i := range out.Reports {
		r := &out.Reports[i]
		a.metrics.endReports.Inc(int64(len(r.Report.Ends)))
		if c := a.conns[r.Conn]; c != nil {
			// On an error the connection closes, and its reader reports the loss.
			_ = c.Send(&r.Report)
		}
	}
	a.opts.Log.Add(out.LogLines...)
}

// recordEvacuation updates the metrics of the evacuated zone if they have changed.
func (a *Agent) recordEvacuation() {
	evacuated, refusals := a.state.Evacuated()
	if refusals != a.evacuationRefusals {
		a.metrics.evacuationRefusals.Inc(refusals - a.evacuationRefusals)
		a.evacuationRefusals = refusals
	}
	if a.evacuated != nil && *a.evacuated == evacuated {
		return
	}
	shown := evacuated
	a.evacuated = &shown
	value := 0.0
	if evacuated {
		value = 1
	}
	a.metrics.evacuated.Update(value)
}

// enqueue passes an event to the event loop. It returns false if the event loop
// has ended.
func (a *Agent) enqueue(f func(now time.Duration)) bool {
	select {
	case a.events <- f:
		return true
	case <-a.done:
		return false
	}
}

func (a *Agent) renewLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-a.renewals:
			sentAt := clock.SinceBoot()
			reply, err := a.opts.Worker.Renew(ctx, c)
			a.enqueue(func(now time.Duration) {
				if err != nil {
					a.metrics.renewFailures.Inc(1)
					a.state.RenewFailed(now, sentAt, err.Error(), renewFailure(err))
					return
				}
				a.state.Renewed(now, sentAt, reply)
			})
		}
	}
}

func renewFailure(err error) runner.RenewFailure {
	switch {
	case errors.Is(err, ErrConnRefused):
		return runner.RenewConnRefused
	case errors.Is(err, ErrConnClosed):
		return runner.RenewConnClosed
	}
	return runner.RenewUnanswered
}

func (a *Agent) startLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-a.starts:
			result, workerClock, unanswered := a.startWithRetries(ctx, c)
			c.Unanswered = unanswered
			a.metrics.starts.Inc(1)
			if result != runner.StartOK {
				a.metrics.rejected.Inc(1)
			}
			if result == runner.StartNotSent || result == runner.StartNoConnection {
				a.metrics.notSent.Inc(1)
			}
			a.enqueue(func(now time.Duration) { a.state.StartDone(now, c, result, workerClock) })
		}
	}
}

// startWithRetries repeats a start call that has no answer, or for which there is no
// connection, as long as the worker is known to be the instance that the call is for, and the
// lease in the call has not expired. After a pause of runner.MaxEventGap, also before the first
// call, the worker may have restarted unnoticed. The rejection of a repeated call counts as no
// answer, since it doesn't tell the outcome of the first one: its run may have ended already, or
// may still start. unanswered reports whether an attempt had no answer.
func (a *Agent) startWithRetries(ctx context.Context, c runner.StartCall) (result runner.StartResult, workerClock int64, unanswered bool) {
	result = runner.StartNotCalled
	if clock.SinceBoot()-c.CreatedAt >= runner.MaxEventGap {
		return result, 0, false
	}
	for n := 0; n < maxCallAttempts && a.workerBorn.Load() == c.WorkerBorn && clock.SinceBoot() < c.ExpiresAt; n++ {
		calledAt, began := time.Now(), clock.SinceBoot()
		answer, clockOfAnswer := a.opts.Worker.Start(ctx, c)
		switch {
		case answer == runner.StartOK:
			return answer, clockOfAnswer, unanswered
		case answer == runner.StartUnanswered:
			result, unanswered = runner.StartUnanswered, true
		case unanswered:
		case answer == runner.StartNoConnection:
			result = answer
		default:
			return answer, clockOfAnswer, false
		}
		waitForRetry(calledAt)
		if clock.SinceBoot()-began >= runner.MaxEventGap {
			break
		}
	}
	return result, 0, unanswered
}

// waitForRetry waits until a call whose last attempt began at calledAt may be
// repeated.
func waitForRetry(calledAt time.Time) { time.Sleep(minCallInterval - time.Since(calledAt)) }

func (a *Agent) stopLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-a.stops:
			ok := false
			for n := 0; n < maxCallAttempts && !ok; n++ {
				calledAt := time.Now()
				if ok = a.opts.Worker.Stop(ctx, c); !ok {
					waitForRetry(calledAt)
				}
			}
			a.enqueue(func(now time.Duration) { a.state.StopDone(now, c, ok) })
		}
	}
}

func (a *Agent) acceptLoop() {
	for {
		conn, err := a.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.opts.Log.Add(decisions.Warn("accepting a connection failed", "error", err.Error()))
			time.Sleep(tickInterval)
			continue
		}
		go a.serveEntry(conn)
	}
}

func (a *Agent) serveEntry(raw net.Conn) {
	conn := link.NewConn(raw)
	defer conn.Close()
	// bounded is nil without Options.Guard.
	bounded, _ := raw.(*intake.Conn)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	var h link.Hello
	if err := conn.ReadFirst(&h); err != nil || h.Protocol != link.Protocol {
		if bounded != nil {
			bounded.NotGreeted(int(h.Protocol))
		}
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	if bounded != nil {
		bounded.Greeted(conn.Buffered())
	}
	if conn.Send(&link.Welcome{Protocol: link.Protocol, Agent: a.opts.Name, Incarnation: a.opts.Incarnation, ClockMS: clock.SinceBoot().Milliseconds()}) != nil {
		return
	}
	id := make(chan runner.ConnID, 1)
	a.enqueue(func(now time.Duration) {
		a.lastConnID++
		a.conns[a.lastConnID] = conn
		a.state.EntryConnected(now, a.lastConnID, h)
		id <- a.lastConnID
	})
	connID, ok := <-receiveOrDone(id, a.done)
	if !ok {
		return
	}
	for {
		var c link.Commands
		if err := conn.Read(&c); err != nil {
			a.enqueue(func(now time.Duration) {
				a.state.EntryDisconnected(now, connID, err.Error())
				delete(a.conns, connID)
			})
			return
		}
		if bounded != nil {
			bounded.Received(conn.Buffered())
		}
		a.enqueue(func(now time.Duration) {
			// The messages of a connection that has ended are handled before its end. Once
			// the entry has lost the connection, it starts the tasks elsewhere.
			if len(c.Starts) > 0 && conn.PeerGone() {
				a.opts.Log.Add(decisions.Warn("starts dropped: their entry has ended the connection", "starts", len(c.Starts)))
				c.Starts = nil
			}
			a.metrics.commandAge.RecordDuration(now - time.Duration(c.AsOfMS)*time.Millisecond)
			a.state.HandleCommands(now, connID, &c)
		})
	}
}

// receiveOrDone returns a channel that yields the value of id, or is closed
// when the event loop has ended.
func receiveOrDone(id chan runner.ConnID, done chan struct{}) chan runner.ConnID {
	out := make(chan runner.ConnID, 1)
	select {
	case v := <-id:
		out <- v
	case <-done:
		close(out)
	}
	return out
}

// WorkerAnnounced handles an announcement of the worker and waits until it is in
// effect. It returns false if the announcement is outdated, does not come from the
// worker, the worker does not answer, ctx ends or the agent is shutting down.
func (a *Agent) WorkerAnnounced(ctx context.Context, an runner.Announcement) bool {
	result, ok := await(ctx, a, func(now time.Duration) runner.AnnouncementResult { return a.state.WorkerAnnounced(now, an) })
	if !ok || result != runner.AnnouncementUnidentified {
		return ok && result == runner.AnnouncementAccepted
	}
	isInstance, born, err := a.identify(ctx, an.ID)
	if err != nil {
		a.opts.Log.Add(decisions.Warn("an announcement has no effect: the worker does not confirm it", "life", an.ID, "born", an.Born, "error", err.Error()))
		return false
	}
	accepted, ok := await(ctx, a, func(now time.Duration) bool { return a.state.WorkerIdentified(now, an, isInstance, born) })
	return ok && accepted
}

// identify asks the worker whether it is the instance id until it has answered, at most
// for identifyTimeout.
func (a *Agent) identify(ctx context.Context, id string) (isInstance bool, born int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	for {
		calledAt := time.Now()
		born, err = a.opts.Worker.Identify(ctx, id)
		if errors.Is(err, ErrOtherInstance) {
			return false, 0, nil
		}
		if err == nil || ctx.Err() != nil {
			return err == nil, born, err
		}
		waitForRetry(calledAt)
	}
}

// await runs f in the event loop of the agent and returns its result. ok is false if ctx
// ends or the agent is shutting down.
func await[T any](ctx context.Context, a *Agent, f func(now time.Duration) T) (result T, ok bool) {
	done := make(chan T, 1)
	a.enqueue(func(now time.Duration) { done <- f(now) })
	select {
	case result = <-done:
		return result, true
	case <-a.done:
	case <-ctx.Done():
	}
	return result, false
}

// RestoreWorker sets the announcement that was stored before the agent
// restarted. It takes effect once the worker turns out to be the same instance.
func (a *Agent) RestoreWorker(an runner.Announcement) {
	a.enqueue(func(now time.Duration) { a.state.RestoreWorker(now, an) })
}

// WorkerLeft handles the shutdown of the worker instance id. It returns false if
// the agent is shutting down.
func (a *Agent) WorkerLeft(ctx context.Context, id string) bool {
	return a.enqueue(func(now time.Duration) { a.state.WorkerLeft(now, id) })
}

// InvalidAnnouncement logs that an announcement of the worker instance id can't
// be decoded.
func (a *Agent) InvalidAnnouncement(id string, err error) {
	a.opts.Log.Add(decisions.Warn("ignored an invalid worker announcement; the previous one stays in effect", "life", id, "error", err.Error()))
}
