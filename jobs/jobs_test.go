package jobs

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

var t0 = time.UnixMilli(1_800_000_000_000)

const (
	agentA = uint64(1)
	agentB = uint64(2)
	digest = uint64(77)
)

func submission(tasks int) *api.Submission {
	s := &api.Submission{Service: "s", Type: "t", Team: "kiln", Idempotent: true}
	for range tasks {
		s.Tasks = append(s.Tasks, json.RawMessage(`{}`))
	}
	return s
}

func key(seed uint64) api.Key { return api.NewKeyAt(t0, seed) }

func newJob(seed uint64, tasks int) JobSpec {
	return JobSpec{Key: key(seed), Submission: submission(tasks), Digest: digest, Deadline: t0.Add(10 * time.Second)}
}

func result(k api.Key, task uint16, o wire.Outcome, ran wire.Ran) *wire.Result {
	return &wire.Result{Key: k, Task: task, Outcome: o, Ran: ran, Reason: "broken", Body: []byte(fmt.Sprintf(`{"task":%d}`, task))}
}

func okResult(k api.Key, task uint16) *wire.Result {
	return result(k, task, wire.OutcomeOK, wire.RanYes)
}

// Guards against a wrong verdict, a wrong value of ran, and work that continues
// after the verdict. Each row uses a job of two tasks.
func TestVerdicts(t *testing.T) {
	k := key(1)
	start := func(tb *Table, task uint16, agent uint64) { tb.Start(k, task, agent) }
	rows := []struct {
		name    string
		steps   func(tb *Table) []Action
		verdict api.Outcome
		ran     api.Ran
		reason  api.Reason
		stops   int
	}{
		{"complete", func(tb *Table) []Action {
			start(tb, 0, agentA)
			start(tb, 1, agentB)
			tb.Result(agentB, okResult(k, 1))
			return tb.Result(agentA, okResult(k, 0))
		}, api.Complete, api.RanYes, api.ReasonOK, 0},
		{"result from an agent without the task is ignored", func(tb *Table) []Action {
			start(tb, 0, agentA)
			return tb.Result(agentB, okResult(k, 0))
		}, "", "", "", 0},
		{"late result from an agent that the task was taken from is ignored", func(tb *Table) []Action {
			start(tb, 0, agentA)
			tb.AgentDisconnected(agentA, t0)
			tb.Settled(agentA, &wire.Settled{Key: k, State: wire.StateClosed})
			start(tb, 0, agentB)
			return tb.Result(agentA, okResult(k, 0))
		}, "", "", "", 0},
		{"cancelled while waiting", func(tb *Table) []Action {
			return tb.Fail(k, api.ReasonCancelled, "")
		}, api.Failed, api.RanNo, api.ReasonCancelled, 0},
		{"cancelled while a start is outstanding", func(tb *Table) []Action {
			start(tb, 0, agentA)
			return tb.Fail(k, api.ReasonCancelled, "")
		}, api.Failed, api.RanMaybe, api.ReasonCancelled, 1},
		{"cancelled after a busy agent", func(tb *Table) []Action {
			start(tb, 0, agentA)
			tb.Result(agentA, result(k, 0, wire.OutcomeBusy, wire.RanNo))
			return tb.Fail(k, api.ReasonCancelled, "")
		}, api.Failed, api.RanNo, api.ReasonCancelled, 0},
		{"deadline after one result", func(tb *Table) []Action {
			start(tb, 0, agentA)
			start(tb, 1, agentB)
			tb.Result(agentA, okResult(k, 0))
			return tb.Tick(t0.Add(10 * time.Second))
		}, api.Failed, api.RanYes, api.ReasonDeadlineExceeded, 1},
		{"one task failed", func(tb *Table) []Action {
			start(tb, 0, agentA)
			start(tb, 1, agentB)
			return tb.Result(agentA, result(k, 0, wire.OutcomeFailed, wire.RanNo))
		}, api.Failed, api.RanMaybe, api.ReasonTaskFailed, 1},
		{"agent sees the deadline first", func(tb *Table) []Action {
			start(tb, 0, agentA)
			r := result(k, 0, wire.OutcomeFailed, wire.RanMaybe)
			r.Reason = "deadline"
			return tb.Result(agentA, r)
		}, api.Failed, api.RanMaybe, api.ReasonDeadlineExceeded, 0},
		{"the only start failed before it ran", func(tb *Table) []Action {
			start(tb, 0, agentA)
			return tb.Result(agentA, result(k, 0, wire.OutcomeFailed, wire.RanNo))
		}, api.Failed, api.RanNo, api.ReasonTaskFailed, 0},
		{"oversized result", func(tb *Table) []Action {
			start(tb, 0, agentA)
			r := okResult(k, 0)
			r.Body = []byte(`"` + strings.Repeat("x", api.MaxResultBytes) + `"`)
			return tb.Result(agentA, r)
		}, api.Failed, api.RanYes, api.ReasonResultTooLarge, 0},
		{"result that is not JSON", func(tb *Table) []Action {
			start(tb, 0, agentA)
			r := okResult(k, 0)
			r.Body = []byte(`{`)
			return tb.Result(agentA, r)
		}, api.Failed, api.RanYes, api.ReasonTaskFailed, 0},
		{"agent does not reconnect", func(tb *Table) []Action {
			start(tb, 0, agentA)
			tb.AgentDisconnected(agentA, t0)
			return tb.Tick(t0.Add(SettleWait))
		}, api.Failed, api.RanMaybe, api.ReasonTaskInDoubt, 1},
		{"agent reconnects and still runs the task", func(tb *Table) []Action {
			start(tb, 0, agentA)
			tb.AgentDisconnected(agentA, t0)
			tb.AgentReconnected(agentA)
			tb.Settled(agentA, &wire.Settled{Key: k, State: wire.StateRunning, Digest: digest})
			return tb.Tick(t0.Add(2 * SettleWait))
		}, "", "", "", 0},
		{"agent replaced by another incarnation", func(tb *Table) []Action {
			start(tb, 0, agentA)
			tb.AgentDisconnected(agentA, t0)
			return tb.AgentLost(agentA)
		}, api.Failed, api.RanMaybe, api.ReasonTaskInDoubt, 1},
		{"result dropped by the agent", func(tb *Table) []Action {
			start(tb, 0, agentA)
			return tb.Settled(agentA, &wire.Settled{Key: k, State: wire.StateResultDropped, Digest: digest})
		}, api.Failed, api.RanYes, api.ReasonResultsDropped, 0},
		{"agent does not know the state", func(tb *Table) []Action {
			start(tb, 0, agentA)
			return tb.Settled(agentA, &wire.Settled{Key: k})
		}, api.Failed, api.RanMaybe, api.ReasonTaskInDoubt, 0},
		{"agent ran another submission", func(tb *Table) []Action {
			start(tb, 0, agentA)
			return tb.Settled(agentA, &wire.Settled{Key: k, State: wire.StateRunning, Digest: digest + 1})
		}, api.Failed, api.RanMaybe, api.ReasonKeyConflict, 0},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			tb := NewTable(Options{MaxAnswerBytes: 1 << 20})
			tb.Add(newJob(1, 2), t0)
			a, stops := verdictOf(r.steps(tb))
			if r.verdict == "" {
				qt.Assert(t, a, qt.IsNil)
				qt.Assert(t, tb.Running(), qt.Equals, 1)
				return
			}
			qt.Assert(t, a, qt.IsNotNil)
			qt.Assert(t, []any{a.Verdict, a.Ran, a.Reason, stops}, qt.DeepEquals, []any{r.verdict, r.ran, r.reason, r.stops})
			qt.Assert(t, len(a.Results) > 0, qt.Equals, r.verdict == api.Complete)
			qt.Assert(t, tb.Fail(k, api.ReasonCancelled, ""), qt.HasLen, 0, qt.Commentf("a second verdict"))
			qt.Assert(t, tb.Start(k, 1, agentA), qt.IsNil, qt.Commentf("a start after the verdict"))
			qt.Assert(t, []int{tb.Running(), tb.RunningBytes(), len(tb.tasksByAgent)}, qt.DeepEquals, []int{0, 0, 0})
		})
	}
}

func verdictOf(actions []Action) (a *api.Answer, stops int) {
	for _, x := range actions {
		if x.Kind == Deliver {
			a = x.Answer
		}
		if x.Kind == Settle && x.Stop {
			stops++
		}
	}
	return a, stops
}

// Guards against a second start of a task while its state is unknown.
func TestUnknownTaskIsNotStarted(t *testing.T) {
	tb := NewTable(Options{})
	tb.Add(newJob(1, 1), t0)
	qt.Assert(t, tb.Start(key(1), 0, agentA), qt.IsNotNil)
	qt.Assert(t, tb.Start(key(1), 0, agentB), qt.IsNil)
	tb.AgentDisconnected(agentA, t0)
	qt.Assert(t, tb.Start(key(1), 0, agentB), qt.IsNil)
	tb.Settled(agentA, &wire.Settled{Key: key(1), State: wire.StateClosed})
	qt.Assert(t, tb.Start(key(1), 0, agentB), qt.IsNotNil)
}

// Guards against a wrong answer of Check for a key that is finished, refused,
// expired or from the future, and against ran: no where a later copy of the
// submission could run.
func TestKeys(t *testing.T) {
	sub := submission(1)
	finish := func(tb *Table) {
		tb.Add(newJob(1, 1), t0)
		tb.Start(key(1), 0, agentA)
		tb.Result(agentA, okResult(key(1), 0))
	}
	refuse := func(tb *Table) { tb.Refuse(key(1), sub, digest, api.Refuse(api.ReasonOverload, ""), t0) }
	expiry := t0.Add(api.KeyLifetime + api.ClockSkew)
	rows := []struct {
		name   string
		before func(tb *Table)
		o      Options
		key    api.Key
		digest uint64
		at     time.Time
		reason api.Reason
		ran    api.Ran
	}{
		{"finished", finish, Options{MaxAnswerBytes: 100}, key(1), digest, t0, api.ReasonOK, api.RanYes},
		{"finished and dropped", finish, Options{MaxAnswerBytes: 1}, key(1), digest, t0, api.ReasonResultsDropped, api.RanYes},
		{"finished, different content", finish, Options{MaxAnswerBytes: 100}, key(1), digest + 1, t0, api.ReasonKeyConflict, api.RanNo},
		{"dropped, different content", finish, Options{MaxAnswerBytes: 1}, key(1), digest + 1, t0, api.ReasonKeyConflict, api.RanNo},
		{"refused", refuse, Options{}, key(1), digest, t0.Add(time.Minute), api.ReasonOverload, api.RanNo},
		{"refused, table full", refuse, Options{MaxKeys: 1}, key(1), digest, t0, api.ReasonOverload, api.RanNo},
		{"expired", refuse, Options{}, key(1), digest, expiry.Add(2 * time.Second), api.ReasonKeyExpired, api.RanMaybe},
		{"expired, never seen", func(*Table) {}, Options{}, key(2), digest, expiry, api.ReasonKeyExpired, api.RanMaybe},
		{"from the future", func(*Table) {}, Options{}, api.NewKeyAt(t0.Add(time.Minute), 1), digest, t0, api.ReasonKeyFromFuture, api.RanNo},
		{"from the far future", func(*Table) {}, Options{}, api.NewKeyAt(t0.Add(time.Hour), 1), digest, t0, api.ReasonKeyFromFuture, api.RanMaybe},
		{"from the future, table full", refuse, Options{MaxKeys: 1}, api.NewKeyAt(t0.Add(time.Minute), 1), digest, t0, api.ReasonKeyFromFuture, api.RanMaybe},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			tb := NewTable(r.o)
			r.before(tb)
			tb.Tick(r.at)
			a := tb.Check(r.key, sub, r.digest, r.at)
			qt.Assert(t, a, qt.IsNotNil)
			qt.Assert(t, []any{a.Reason, a.Ran}, qt.DeepEquals, []any{r.reason, r.ran})
		})
	}
}

// Guards against memory that is not released when keys expire, and against keys
// that are deleted before they expire.
func TestExpiredKeysAreDeleted(t *testing.T) {
	tb := NewTable(Options{MaxAnswerBytes: 1 << 20})
	for i := range uint64(50) {
		tb.Add(newJob(i, 1), t0)
		tb.Start(key(i), 0, agentA)
		tb.Result(agentA, okResult(key(i), 0))
	}
	tb.Tick(t0.Add(api.KeyLifetime + api.ClockSkew - time.Second))
	qt.Assert(t, len(tb.records), qt.Equals, 50)
	tb.Tick(t0.Add(api.KeyLifetime + api.ClockSkew + 2*time.Second))
	qt.Assert(t, []int{len(tb.records), len(tb.keysByExpiry), tb.answerBytes, len(tb.answerOrder)}, qt.DeepEquals, []int{0, 0, 0, 0})
}

// Guards against three faults of a job of which an earlier owner has started tasks:
// these tasks start again, the job is accepted with different content, or tasks
// start although the record of an earlier start may be lost.
func TestRecovery(t *testing.T) {
	rows := []struct {
		name           string
		started        []StartedTask
		recordsLost    bool
		settle, queued int
		reason         api.Reason
		ran            api.Ran
	}{
		{"two of three started", []StartedTask{{0, agentA, digest}, {2, agentB, digest}}, false, 2, 1, "", ""},
		{"all started, a ledger is lost", []StartedTask{{0, agentA, digest}, {1, agentA, digest}, {2, agentB, digest}}, true, 3, 0, "", ""},
		{"a ledger is lost", []StartedTask{{0, agentA, digest}}, true, 1, 0, api.ReasonTaskInDoubt, api.RanMaybe},
		{"different content", []StartedTask{{0, agentA, digest + 1}}, false, 0, 0, api.ReasonKeyConflict, api.RanNo},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			tb := NewTable(Options{})
			spec := newJob(1, 3)
			spec.Started, spec.RecordsLost = r.started, r.recordsLost
			settle, queued := 0, 0
			actions := tb.Add(spec, t0)
			for _, a := range actions {
				switch a.Kind {
				case Settle:
					settle++
				case Queue:
					queued++
				}
			}
			qt.Assert(t, []int{settle, queued}, qt.DeepEquals, []int{r.settle, r.queued})
			if a, _ := verdictOf(actions); r.reason != "" {
				qt.Assert(t, []any{a.Reason, a.Ran}, qt.DeepEquals, []any{r.reason, r.ran})
			}
		})
	}
}
