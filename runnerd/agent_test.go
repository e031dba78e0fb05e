package runnerd

import (
	"context"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

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
	} {
		worker := append(scriptedWorker{}, tc.answers...)
		got, _ := startWithRetries(context.Background(), &worker, runner.StartCall{})
		qt.Assert(t, got, qt.Equals, tc.want, qt.Commentf("%v", tc.answers))
		qt.Assert(t, worker, qt.HasLen, tc.unused)
	}
}
