// Package runnerd runs the decisions of package runner in an agent: it takes
// connections from entries and makes the calls to the worker.
//
// Input: orders of entries, announcements of the worker. Output: calls to the
// worker, reports. State: that of the core loop, which only its goroutine
// touches.
//
// Goroutines: core; one acceptor; a reader and a sender a connection; one that
// renews leases; a fixed number that start and stop runs.
package runnerd

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/runner"
	"github.com/sesamelift/sesamelift/timing"
)

const (
	// eventRing bounds the events that wait for the core loop: more than a worker
	// of 64 cores brings about in a second.
	eventRing = 1024
	// orderRing bounds the calls that wait for a caller.
	orderRing = 512
	// maxBatch bounds the events that are taken before actions are carried out.
	maxBatch = 64
	// orderTries bounds the calls for one start or stop. Both may be repeated: the
	// worker knows a run by its attempt.
	orderTries = 5
	// orderInterval is the shortest time between two calls for one order: a worker
	// that closes its connections leaves each call unanswered at once.
	orderInterval = 20 * time.Millisecond
	// renewers is how many renewals may be under way.
	renewers = 3
	// callers is how many calls to the worker are made at once; an unanswered one
	// takes its caller for the whole time-out.
	callers = 8
	// tickInterval is the resolution of leases and silence.
	tickInterval = 25 * time.Millisecond
	// helloTimeout bounds the wait for an entry's first message.
	helloTimeout = time.Second
)

// Errors of a renewal.
var (
	// ErrNoWorker says that nothing listens at the worker's address.
	ErrNoWorker = errors.New("nothing listens at the worker's address")
	// ErrBroken says that the worker closed the connection without an answer.
	ErrBroken = errors.New("the worker closed the connection")
)

// Worker makes calls to the worker.
type Worker interface {
	// Start starts a run. It also returns the worker's clock in milliseconds, 0
	// when there was no answer.
	Start(ctx context.Context, c runner.StartCall) (runner.StartResult, int64)
	// Stop reports whether the worker acknowledged the stop.
	Stop(ctx context.Context, c runner.StopCall) bool
	// Renew renews the lease. ErrNoWorker says that nothing can be running,
	// ErrBroken that the next call would fail as fast.
	Renew(ctx context.Context, c runner.RenewCall) (*runner.Lists, error)
}

// Options configure an Agent.
type Options struct {
	Name        string
	Incarnation uint64
	LinkAddress string
	Timings     timing.Timings
	// StopTime is the longest time that the worker takes to stop a run.
	StopTime time.Duration
	// GracePeriod is the time between the signals to end and to kill.
	GracePeriod time.Duration
	Worker      Worker
	// Remember takes each change of the worker. It must not block.
	Remember func(runner.Announcement)
	Log      *decisions.Log
	Metrics  tally.Scope
}

// Agent is the running part of an agent. Its methods are safe for concurrent
// use.
type Agent struct {
	o        Options
	listener net.Listener
	events   chan func(now time.Duration)
	ended    chan struct{}
	renewals chan runner.RenewCall
	starts   chan runner.StartCall
	stops    chan runner.StopCall
	metrics  metrics

	// The rest belongs to the core loop.
	state *runner.State
	conns map[runner.Peer]*link.Conn
	peers runner.Peer
}

type metrics struct {
	starts, rejected, ends, renewFailures tally.Counter
}

// New listens for entries. Run starts the agent.
func New(o Options) (*Agent, error) {
	l, err := link.ListenConfig().Listen(context.Background(), "tcp", o.LinkAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for entries")
	}
	return &Agent{
		o: o, listener: l, events: make(chan func(time.Duration), eventRing), ended: make(chan struct{}),
		renewals: make(chan runner.RenewCall, renewers), starts: make(chan runner.StartCall, orderRing), stops: make(chan runner.StopCall, orderRing),
		state: runner.New(clock.Now(), runner.Options{
			Agent: o.Name, Lease: o.Timings.Lease, Silence: o.Timings.Silence, Grace: o.Timings.Grace, StopTime: o.StopTime,
		}),
		conns: map[runner.Peer]*link.Conn{},
		metrics: metrics{
			starts: o.Metrics.Counter("run_starts_total"), rejected: o.Metrics.Counter("run_starts_rejected_total"),
			ends: o.Metrics.Counter("run_reports_total"), renewFailures: o.Metrics.Counter("lease_renewals_failed_total"),
		},
	}, nil
}

// Addr returns the address for entries.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// Run serves until ctx ends, and then drains: runs in progress are completed, as
// far as the grace period allows.
func (a *Agent) Run(ctx context.Context) {
	helpers, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { a.core(helpers) })
	for range renewers {
		wg.Go(func() { a.renewLoop(helpers) })
	}
	for range callers {
		wg.Go(func() { a.startLoop(helpers) })
	}
	for range callers / 2 {
		wg.Go(func() { a.stopLoop(helpers) })
	}
	go a.acceptLoop()
	<-ctx.Done()
	a.drain()
	stop()
	_ = a.listener.Close()
	wg.Wait()
}

func (a *Agent) drain() {
	a.post(func(now time.Duration) { a.state.Drain(now) })
	end := clock.Now() + a.o.GracePeriod - 2*a.o.Timings.Silence
	for clock.Now() < end {
		time.Sleep(tickInterval)
		runs := make(chan int, 1)
		a.post(func(time.Duration) { runs <- a.state.Runs() })
		if <-runs == 0 {
			break
		}
	}
	a.o.Log.Add(decisions.Info("drained"))
}

func (a *Agent) core(ctx context.Context) {
	defer close(a.ended)
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
			now := clock.Now()
			event(now)
			for n := 0; n < maxBatch && len(a.events) > 0; n++ {
				(<-a.events)(now)
			}
		case <-ticker.C:
			a.state.Tick(clock.Now())
		}
		a.perform()
	}
}

// perform carries out the actions of the state.
func (a *Agent) perform() {
	now := clock.Now()
	out := a.state.Take(now)
	for _, c := range out.Starts {
		select {
		case a.starts <- c:
		default:
			// The call was never made, so that the worker has nothing of it.
			a.state.StartDone(now, c, runner.StartNoRoom, 0)
		}
	}
	for _, c := range out.Stops {
		select {
		case a.stops <- c:
		default:
			// The state sends a stop again that isn't acknowledged.
			a.o.Log.Add(decisions.Warn("stop is delayed, too many calls to the worker wait", "job", c.Task.Job))
		}
	}
	if out.Renew != nil {
		a.renewals <- *out.Renew
	}
	if out.Worker != nil {
		a.o.Remember(*out.Worker)
	}
	for _, id := range out.Drop {
		if c := a.conns[id]; c != nil {
			c.Close()
			delete(a.conns, id)
		}
	}
	for i := range out.Reports {
		r := &out.Reports[i]
		a.metrics.ends.Inc(int64(len(r.Report.Ends)))
		if c := a.conns[r.Peer]; c != nil {
			// An error closes the connection, and its reader reports the loss.
			_ = c.Send(&r.Report)
		}
	}
	a.o.Log.Add(out.Lines...)
}

func (a *Agent) post(f func(now time.Duration)) bool {
	select {
	case a.events <- f:
		return true
	case <-a.ended:
		return false
	}
}

func (a *Agent) renewLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-a.renewals:
			sentAt := clock.Now()
			lists, err := a.o.Worker.Renew(ctx, c)
			a.post(func(now time.Duration) {
				if err != nil {
					a.metrics.renewFailures.Inc(1)
					a.state.RenewFailed(now, sentAt, err.Error(), renewFault(err))
					return
				}
				a.state.Renewed(now, sentAt, lists)
			})
		}
	}
}

func renewFault(err error) runner.RenewFault {
	switch {
	case errors.Is(err, ErrNoWorker):
		return runner.RenewNoListener
	case errors.Is(err, ErrBroken):
		return runner.RenewBroken
	}
	return runner.RenewUnanswered
}

func (a *Agent) startLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-a.starts:
			result, workerClock := startRepeated(ctx, a.o.Worker, c)
			a.metrics.starts.Inc(1)
			if result != runner.StartOK {
				a.metrics.rejected.Inc(1)
			}
			a.post(func(now time.Duration) { a.state.StartDone(now, c, result, workerClock) })
		}
	}
}

// startRepeated repeats a start that has no answer. A rejection of a repetition
// says nothing of the call before: its run may have ended already, or may still
// come.
func startRepeated(ctx context.Context, w Worker, c runner.StartCall) (runner.StartResult, int64) {
	called := time.Now()
	result, workerClock := w.Start(ctx, c)
	for n := 1; n < orderTries && result == runner.StartUnanswered; n++ {
		called = nextCall(called)
		if result, workerClock = w.Start(ctx, c); result != runner.StartOK {
			result = runner.StartUnanswered
		}
	}
	return result, workerClock
}

// nextCall waits until an order whose last call began at called may be repeated,
// and returns the time.
func nextCall(called time.Time) time.Time {
	time.Sleep(orderInterval - time.Since(called))
	return time.Now()
}

func (a *Agent) stopLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-a.stops:
			called := time.Now()
			ok := a.o.Worker.Stop(ctx, c)
			for n := 1; n < orderTries && !ok; n++ {
				called = nextCall(called)
				ok = a.o.Worker.Stop(ctx, c)
			}
			a.post(func(now time.Duration) { a.state.StopDone(now, c, ok) })
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
			a.o.Log.Add(decisions.Warn("connection can't be accepted", "error", err.Error()))
			time.Sleep(tickInterval)
			continue
		}
		go a.serveEntry(link.NewConn(conn))
	}
}

func (a *Agent) serveEntry(conn *link.Conn) {
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	var h link.Hello
	if err := conn.Read(&h); err != nil || h.Protocol != link.Protocol {
		a.o.Log.Add(decisions.Warn("connection without a usable first message", "protocol", h.Protocol))
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	if conn.Send(&link.Welcome{Protocol: link.Protocol, Agent: a.o.Name, Incarnation: a.o.Incarnation}) != nil {
		return
	}
	id := make(chan runner.Peer, 1)
	a.post(func(now time.Duration) {
		a.peers++
		a.conns[a.peers] = conn
		a.state.EntryUp(now, a.peers, h)
		id <- a.peers
	})
	peer, ok := <-orEnded(id, a.ended)
	if !ok {
		return
	}
	for {
		var o link.Orders
		if err := conn.Read(&o); err != nil {
			a.post(func(now time.Duration) {
				a.state.EntryDown(now, peer, err.Error())
				delete(a.conns, peer)
			})
			return
		}
		a.post(func(now time.Duration) { a.state.Orders(now, peer, &o) })
	}
}

// orEnded returns a channel that gives the value, or is closed when the core
// loop has ended.
func orEnded(id chan runner.Peer, ended chan struct{}) chan runner.Peer {
	out := make(chan runner.Peer, 1)
	select {
	case v := <-id:
		out <- v
	case <-ended:
		close(out)
	}
	return out
}

// Announced takes an announcement of the worker and waits until the agent goes
// by it. It returns false if the agent is ending or has no use for it.
func (a *Agent) Announced(ctx context.Context, an runner.Announcement) bool {
	used := make(chan bool, 1)
	a.post(func(now time.Duration) { used <- a.state.Announced(now, an) })
	select {
	case ok := <-used:
		return ok
	case <-a.ended:
	case <-ctx.Done():
	}
	return false
}

// Recalled takes what the worker said of itself before the agent restarted.
func (a *Agent) Recalled(an runner.Announcement) {
	a.post(func(now time.Duration) { a.state.Recalled(now, an) })
}

// Left takes note that the worker has ended.
func (a *Agent) Left(ctx context.Context, id string) bool {
	return a.post(func(now time.Duration) { a.state.Left(now, id) })
}

// UnreadableAnnouncement logs an announcement that can't be used.
func (a *Agent) UnreadableAnnouncement(id string, err error) {
	a.o.Log.Add(decisions.Warn("announcement can't be used, the last one stays in force", "life", id, "error", err.Error()))
}
