package runnerd

import (
	"context"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/runner"
)

// answers gives the outcomes of the calls in turn.
type answers []runner.StartResult

func (a *answers) Start(context.Context, runner.StartCall) (runner.StartResult, int64) {
	r := (*a)[0]
	*a = (*a)[1:]
	return r, 5
}

func (*answers) Stop(context.Context, runner.StopCall) bool { return false }

func (*answers) Renew(context.Context, runner.RenewCall) (*runner.Lists, error) { return nil, nil }

func repeated(r runner.StartResult, n int) answers { return slices.Repeat(answers{r}, n) }

// Guards against a task that is started again although its first start, whose
// answer was lost, ran and ended before the repetition.
func TestRejectedRepetitionLeavesTheStartInDoubt(t *testing.T) {
	for _, tc := range []struct {
		answers answers
		want    runner.StartResult
		left    int
	}{
		{answers{runner.StartOK, runner.StartOK}, runner.StartOK, 1},
		{answers{runner.StartOutdated, runner.StartOK}, runner.StartOutdated, 1},
		{answers{runner.StartNoRoom, runner.StartOK}, runner.StartNoRoom, 1},
		{answers{runner.StartUnanswered, runner.StartOK, runner.StartOK}, runner.StartOK, 1},
		{append(answers{runner.StartUnanswered}, repeated(runner.StartOutdated, orderTries-1)...), runner.StartUnanswered, 0},
		{repeated(runner.StartUnanswered, orderTries), runner.StartUnanswered, 0},
	} {
		list := append(answers{}, tc.answers...)
		got, _ := startRepeated(context.Background(), &list, runner.StartCall{})
		qt.Assert(t, got, qt.Equals, tc.want, qt.Commentf("%v", tc.answers))
		qt.Assert(t, list, qt.HasLen, tc.left)
	}
}
