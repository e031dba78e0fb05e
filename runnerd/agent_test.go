package runnerd

import (
	"context"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/runner"
	"github.com/sesamelift/sesamelift/timing"
)

// scriptedWorker returns the given outcomes of start calls in order.
type scriptedWorker []runner.StartResult

func (w *scriptedWorker) Start(context.Context, runner.StartCall) (runner.StartResult, int64) {
	r := (*w)[0]
	*w = (*w)[1:]
	return r, 5
}

func (*scriptedWorker) Identify(context.Context, string) (int64, error) { return 0, nil }

func (*scriptedWorker) Stop(context.Context, runner.StopCall) bool { return false }

func (*scriptedWorker) Renew(context.Context, runner.RenewCall) (*runner.RenewReply, error) {
	return nil, nil
}

func repeated(r runner.StartResult, n int) scriptedWorker { return slices.Repeat(scriptedWorker{r}, n) }

// Guards against starting a task again although the first start, whose answer
// was lost, ran and ended before the repeated call.
func TestRejectedRetryLeavesTheStartUnanswered(t *testing.T) {
	for _, tc := range []struct {
		answers scriptedWorker
		want    runner.StartResult
		unused  int
	}{
		{scriptedWorker{runner.StartOK, runner.StartOK}, runner.StartOK, 1},
		{scriptedWorker{runner.StartOutdated, runner.StartOK}, runner.StartOutdated, 1},
		{scriptedWorker{runner.StartNoCapacity, runner.StartOK}, runner.StartNoCapacity, 1},
		{scriptedWorker{runner.StartUnanswered, runner.StartOK, runner.StartOK}, runner.StartOK, 1},
		{append(scriptedWorker{runner.StartUnanswered}, repeated(runner.StartOutdated, maxCallAttempts-1)...), runner.StartUnanswered, 0},
		{repeated(runner.StartUnanswered, maxCallAttempts), runner.StartUnanswered, 0},
		{scriptedWorker{runner.StartNotSent, runner.StartOK}, runner.StartNotSent, 1},
		{append(scriptedWorker{runner.StartUnanswered}, repeated(runner.StartNotSent, maxCallAttempts-1)...), runner.StartUnanswered, 0},
		{scriptedWorker{runner.StartNoConnection, runner.StartOK, runner.StartOK}, runner.StartOK, 1},
		{scriptedWorker{runner.StartNoConnection, runner.StartNoCapacity, runner.StartOK}, runner.StartNoCapacity, 1},
		{repeated(runner.StartNoConnection, maxCallAttempts), runner.StartNoConnection, 0},
		{append(scriptedWorker{runner.StartUnanswered}, repeated(runner.StartNoConnection, maxCallAttempts-1)...), runner.StartUnanswered, 0},
	} {
		worker := append(scriptedWorker{}, tc.answers...)
		a := &Agent{opts: Options{Worker: &worker}}
		got, _, unanswered := a.startWithRetries(context.Background(), runner.StartCall{CreatedAt: clock.SinceBoot(), ExpiresAt: clock.SinceBoot() + time.Minute})
		qt.Assert(t, got, qt.Equals, tc.want, qt.Commentf("%v", tc.answers))
		qt.Assert(t, unanswered, qt.Equals, tc.answers[0] == runner.StartUnanswered, qt.Commentf("%v", tc.answers))
		qt.Assert(t, worker, qt.HasLen, tc.unused)
	}
}

// Guards against a start call that is repeated, or made late, and so reaches the worker
// after its restart: the task may have been started elsewhere by then.
func TestStartCallsEndWithTheWorkerInstance(t *testing.T) {
	const born = 7
	for name, tc := range map[string]struct {
		bornAtFirst, bornAfterACall int64
		queued, lease               time.Duration
		want                        runner.StartResult
		calls                       int
	}{
		"restarted before the call":     {8, 8, 0, time.Minute, runner.StartNotCalled, 0},
		"restarted during the call":     {7, 8, 0, time.Minute, runner.StartUnanswered, 1},
		"held up before the call":       {7, 7, runner.MaxEventGap, time.Minute, runner.StartNotCalled, 0},
		"lease expired before the call": {7, 7, 0, -time.Second, runner.StartNotCalled, 0},
		"lease expires during the call": {7, 7, 0, 300 * time.Millisecond, runner.StartUnanswered, 1},
	} {
		t.Run(name, func(t *testing.T) {
			worker := repeated(runner.StartUnanswered, maxCallAttempts)
			a := &Agent{}
			a.workerBorn.Store(tc.bornAtFirst)
			a.opts.Worker = &restartingWorker{scriptedWorker: &worker, afterCall: func() {
				a.workerBorn.Store(tc.bornAfterACall)
				if tc.lease < time.Second {
					time.Sleep(tc.lease)
				}
			}}
			got, _, _ := a.startWithRetries(context.Background(), runner.StartCall{
				WorkerBorn: born, CreatedAt: clock.SinceBoot() - tc.queued, ExpiresAt: clock.SinceBoot() + tc.lease,
			})
			qt.Assert(t, got, qt.Equals, tc.want)
			qt.Assert(t, worker, qt.HasLen, maxCallAttempts-tc.calls)
		})
	}
}

// restartingWorker calls afterCall after each start call.
type restartingWorker struct {
	*scriptedWorker
	afterCall func()
}

func (w *restartingWorker) Start(ctx context.Context, c runner.StartCall) (runner.StartResult, int64) {
	defer w.afterCall()
	return w.scriptedWorker.Start(ctx, c)
}

// idleWorker is a worker without runs that accepts every start and counts them.
type idleWorker struct {
	scriptedWorker
	born             int64
	starts, renewals atomic.Int64
}

func (w *idleWorker) Start(context.Context, runner.StartCall) (runner.StartResult, int64) {
	w.starts.Add(1)
	return runner.StartOK, 5
}

func (w *idleWorker) Identify(context.Context, string) (int64, error) { return w.born, nil }

// Renew answers the first call at once. Later ones wait for the end of a run, which doesn't
// come.
func (w *idleWorker) Renew(ctx context.Context, _ runner.RenewCall) (*runner.RenewReply, error) {
	if w.renewals.Add(1) > 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &runner.RenewReply{Clock: 5, Born: w.born}, nil
}

// startTestAgent runs an agent, whose worker has announced itself, until the test ends.
func startTestAgent(c *qt.C, worker WorkerClient) *Agent {
	log := logrus.New()
	log.SetOutput(io.Discard)
	a, err := New(Options{
		Name: "a1", Incarnation: 1, LinkAddress: "127.0.0.1:0", MaxStopTime: 50 * time.Millisecond, Worker: worker,
		Timings:           timing.Timings{Lease: 800 * time.Millisecond, SilenceTimeout: 500 * time.Millisecond, ReconnectGrace: 250 * time.Millisecond},
		StoreAnnouncement: func(runner.Announcement) {}, Log: decisions.New(logrus.NewEntry(log)), Metrics: tally.NoopScope,
	})
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { a.Run(ctx); close(done) }()
	c.Cleanup(func() { stop(); <-done })
	c.Assert(a.WorkerAnnounced(ctx, runner.Announcement{
		ID: "w1", Born: 7, Sequence: 1, Service: "s", Capacity: link.Resources{MilliCPU: 4000, MemoryMB: 1000},
	}), qt.IsTrue)
	return a
}

// connectEntry connects an entry to an agent, waits until the agent accepts starts, and
// returns the state of the worker that it reports.
func connectEntry(c *qt.C, a *Agent) (*link.Conn, *link.WorkerState) {
	tcp, err := net.Dial("tcp", a.Addr())
	c.Assert(err, qt.IsNil)
	c.Assert(link.DropUndelivered(tcp), qt.IsNil)
	entry := link.NewConn(tcp)
	c.Cleanup(entry.Close)
	c.Assert(entry.Send(&link.Hello{Protocol: link.Protocol, Entry: "e1", Incarnation: 1}), qt.IsNil)
	c.Assert(entry.Read(&link.Welcome{}), qt.IsNil)
	c.Assert(tcp.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	// The agent may tell of its worker before it accepts starts for it.
	var worker *link.WorkerState
	for accepting := false; worker == nil || !accepting; {
		var report link.Report
		c.Assert(entry.Read(&report), qt.IsNil)
		accepting = report.Accepting
		if report.Worker != nil {
			worker = report.Worker
		}
	}
	return entry, worker
}

func testStart(worker *link.WorkerState) link.Start {
	return link.Start{
		Task: link.TaskID{Job: "j"}, Attempt: 1, Need: link.Resources{MilliCPU: 100}, EstimateMS: 50, DueMS: 100, WorkerRevision: worker.Revision,
	}
}

// Guards against a start that a busy agent makes after its entry has ended the connection:
// the entry may have started the task elsewhere by then.
func TestStartOfAnEndedConnectionIsNotMade(t *testing.T) {
	for name, reset := range map[string]bool{"connection open": false, "connection reset": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			worker := &idleWorker{born: 7}
			a := startTestAgent(c, worker)
			entry, state := connectEntry(c, a)
			handling, busy := make(chan struct{}), make(chan struct{})
			a.enqueue(func(time.Duration) { close(handling); <-busy })
			<-handling
			c.Assert(entry.Send(&link.Commands{Sequence: 1, AsOfMS: clock.SinceBoot().Milliseconds(), Starts: []link.Start{testStart(state)}}), qt.IsNil)
			for len(a.events) == 0 {
				time.Sleep(time.Millisecond)
			}
			// The agent handles the end of the connection in a later batch of events.
			for range maxEventBatch {
				a.enqueue(func(time.Duration) {})
			}
			if reset {
				entry.Close()
			}
			time.Sleep(20 * time.Millisecond)
			close(busy)
			_, _ = await(context.Background(), a, func(time.Duration) bool { return true })
			if reset {
				// A start that is made in spite of the reset needs less than this.
				time.Sleep(100 * time.Millisecond)
				c.Assert(worker.starts.Load(), qt.Equals, int64(0))
				return
			}
			for end := time.Now().Add(5 * time.Second); worker.starts.Load() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			c.Assert(worker.starts.Load(), qt.Equals, int64(1))
		})
	}
}

// Guards against a task that runs twice because a run is taken for ended: the start call
// is answered while the event loop handles a batch of events, and a list of runs that was
// requested in that time, before the start, doesn't have the run.
func TestListRequestedBeforeAStartDuringABatch(t *testing.T) {
	c := qt.New(t)
	worker := &blockingWorker{idleWorker: idleWorker{born: 7}, calls: make(chan runner.StartCall, 1), release: make(chan struct{})}
	a := startTestAgent(c, worker)
	c.Cleanup(func() { close(worker.release) })
	entry, state := connectEntry(c, a)
	c.Assert(entry.Send(&link.Commands{Sequence: 1, AsOfMS: clock.SinceBoot().Milliseconds(), Starts: []link.Start{testStart(state)}}), qt.IsNil)
	var call runner.StartCall
	select {
	case call = <-worker.calls:
	case <-time.After(5 * time.Second):
		c.Fatal("the agent made no start call within 5 s")
	}

	handling, busy := make(chan struct{}), make(chan struct{})
	a.enqueue(func(time.Duration) { close(handling); <-busy })
	<-handling
	time.Sleep(5 * time.Millisecond)
	requestedAt := clock.SinceBoot()
	time.Sleep(5 * time.Millisecond)
	a.enqueue(func(now time.Duration) { a.state.StartDone(now, call, runner.StartOK, 5) })
	a.enqueue(func(now time.Duration) { a.state.Renewed(now, requestedAt, &runner.RenewReply{Clock: 5, Born: 7}) })
	runs := make(chan int, 1)
	a.enqueue(func(time.Duration) { runs <- a.state.Runs() })
	close(busy)
	c.Assert(<-runs, qt.Equals, 1)
}

// blockingWorker answers start calls only when release is closed.
type blockingWorker struct {
	idleWorker
	calls   chan runner.StartCall
	release chan struct{}
}

func (w *blockingWorker) Start(_ context.Context, call runner.StartCall) (runner.StartResult, int64) {
	w.calls <- call
	<-w.release
	return runner.StartOK, 5
}
