package runnerd

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/runner"
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
	} {
		worker := append(scriptedWorker{}, tc.answers...)
		a := &Agent{opts: Options{Worker: &worker}}
		got, _ := a.startWithRetries(context.Background(), runner.StartCall{ExpiresAt: clock.SinceBoot() + time.Minute})
		qt.Assert(t, got, qt.Equals, tc.want, qt.Commentf("%v", tc.answers))
		qt.Assert(t, worker, qt.HasLen, tc.unused)
	}
}

// Guards against a start call that is repeated, or made late, and so reaches the worker
// after its restart: the task may have been started elsewhere by then.
func TestStartCallsEndWithTheWorkerInstance(t *testing.T) {
	const born = 7
	for name, tc := range map[string]struct {
		bornAtFirst, bornAfterACall int64
		lease                       time.Duration
		want                        runner.StartResult
		calls                       int
	}{
		"restarted before the call":     {8, 8, time.Minute, runner.StartNotSent, 0},
		"restarted during the call":     {7, 8, time.Minute, runner.StartUnanswered, 1},
		"lease expired before the call": {7, 7, -time.Second, runner.StartNotSent, 0},
		"lease expires during the call": {7, 7, 300 * time.Millisecond, runner.StartUnanswered, 1},
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
			got, _ := a.startWithRetries(context.Background(), runner.StartCall{WorkerBorn: born, ExpiresAt: clock.SinceBoot() + tc.lease})
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
