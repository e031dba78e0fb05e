package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/ledger"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/standin"
	"github.com/sesamelift/sesamelift/table"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/wire"
)

// Guards against a start whose task does not run, or whose result is lost or changed
// on the way to the entry.
func TestStartRunsTaskAndReturnsResult(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	k := env.newKey()
	env.entry.start(k, 3, `{"a":1}`)
	m := next[*wire.Result](env.entry)
	qt.Assert(t, m.Reason, qt.Equals, "")
	qt.Assert(t, m.Outcome, qt.Equals, wire.OutcomeOK)
	qt.Assert(t, m.Ran, qt.Equals, wire.RanYes)
	qt.Assert(t, m.Key, qt.Equals, wire.Key(k))
	qt.Assert(t, string(m.Body), qt.Equals, `{"a":1}`)
	qt.Assert(t, m.Load, qt.Equals, wire.Load{Slots: 2})
}

// Guards against a second execution of a task whose start is repeated while it
// runs and after it has ended.
func TestDuplicateStartExecutesOnce(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	k := env.newKey()
	env.entry.start(k, 0, `"wait"`)
	env.entry.start(k, 0, `"wait"`)
	qt.Assert(t, next[*wire.Settled](env.entry).State, qt.Equals, wire.StateRunning)
	close(env.backend.release)
	qt.Assert(t, next[*wire.Result](env.entry).Outcome, qt.Equals, wire.OutcomeOK)
	env.entry.start(k, 0, `"wait"`)
	m := next[*wire.Result](env.entry)
	qt.Assert(t, m.Outcome, qt.Equals, wire.OutcomeOK)
	qt.Assert(t, string(m.Body), qt.Equals, `"wait"`)
	tasks, maxPerTask := env.backend.executions()
	qt.Assert(t, tasks, qt.Equals, 1)
	qt.Assert(t, maxPerTask, qt.Equals, 1)
}

// Guards against an agent that accepts work before it is registered, and against a
// registration that is written twice or not at all when the platform's reply is
// lost.
func TestAgentWaitsForPlatform(t *testing.T) {
	env := newTestEnv(t)
	env.putRow(table.PrefixAgents+"w1", ownership.Registration{Worker: "w1", Incarnation: 7})
	env.platform.SetFaults(standin.PlatformFaults{Unavailable: true})
	env.startAgent()
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, len(env.entry.hellos), qt.Equals, 0)
	res, err := http.Get("http://" + env.agent.AnnounceAddr() + "/readyz")
	qt.Assert(t, err, qt.IsNil)
	_ = res.Body.Close()
	qt.Assert(t, res.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	before := env.platform.Counts().Writes
	env.platform.SetFaults(standin.PlatformFaults{LoseReplies: 1})
	h := env.entry.waitConnected()
	reg := env.registration()
	qt.Assert(t, reg.Incarnation, qt.Equals, h.Incarnation)
	qt.Assert(t, reg.ReplacedAt.IsZero(), qt.IsFalse)
	qt.Assert(t, env.platform.Counts().Writes-before, qt.Equals, 1)
	env.stop()
	qt.Assert(t, <-env.runErr, qt.IsNil)
	qt.Assert(t, env.registration().LeftAt.IsZero(), qt.IsFalse)
}

// Guards against a task that runs although a settle closed it before it arrived
// or while it was held.
func TestSettleClosesUnstartedTasks(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	k := env.newKey()
	env.entry.send(&wire.Settle{Key: wire.Key(k), Task: 1, Owner: 101})
	qt.Assert(t, next[*wire.Settled](env.entry).State, qt.Equals, wire.StateClosed)
	env.entry.start(k, 1, `1`)
	m := next[*wire.Result](env.entry)
	qt.Assert(t, m.Outcome, qt.Equals, wire.OutcomeRefused)
	qt.Assert(t, m.Ran, qt.Equals, wire.RanNo)
	qt.Assert(t, m.Reason, qt.Equals, "closed")

	for i := range 4 {
		env.entry.start(k, uint16(10+i), `"wait"`)
	}
	env.entry.send(&wire.Settle{Key: wire.Key(k), Task: 12, Owner: 101})
	s := next[*wire.Settled](env.entry)
	qt.Assert(t, s.State, qt.Equals, wire.StateClosed)
	qt.Assert(t, s.Load.Running, qt.Equals, uint16(2))
	qt.Assert(t, s.Load.Held, qt.Equals, uint16(1))
	env.entry.send(&wire.Settle{Key: wire.Key(k), Task: ledger.WholeKey, Owner: 101})
	qt.Assert(t, next[*wire.Settled](env.entry).State, qt.Equals, wire.StateClosed)
	close(env.backend.release)
	got := map[uint16]*wire.Result{}
	for len(got) < 3 {
		m := next[*wire.Result](env.entry)
		got[m.Task] = m
	}
	qt.Assert(t, got[10].Outcome, qt.Equals, wire.OutcomeOK)
	qt.Assert(t, got[11].Outcome, qt.Equals, wire.OutcomeOK)
	qt.Assert(t, got[13].Reason, qt.Equals, "closed", qt.Commentf("the job was closed while the start was held"))
	tasks, _ := env.backend.executions()
	qt.Assert(t, tasks, qt.Equals, 2)
}

// Guards against a ledger record for a start that was answered busy. The record
// would prevent the task from being started here later.
func TestBusyLeavesNoRecord(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	k := env.newKey()
	for i := range 5 {
		env.entry.start(k, uint16(i), `"wait"`)
	}
	m := next[*wire.Result](env.entry)
	qt.Assert(t, m.Task, qt.Equals, uint16(4))
	qt.Assert(t, m.Outcome, qt.Equals, wire.OutcomeBusy)
	qt.Assert(t, m.Ran, qt.Equals, wire.RanNo)
	qt.Assert(t, m.Load, qt.Equals, wire.Load{Slots: 2, Running: 2, Held: 2})
	close(env.backend.release)
	for range 4 {
		qt.Assert(t, next[*wire.Result](env.entry).Outcome, qt.Equals, wire.OutcomeOK)
	}
	env.entry.start(k, 4, `5`)
	qt.Assert(t, next[*wire.Result](env.entry).Outcome, qt.Equals, wire.OutcomeOK)
}

// Guards against a stop that does not cancel the request to the backend server, or
// that reports the task as not run although it may have run.
func TestStopLeavesTheTaskInDoubt(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	k := env.newKey()
	env.entry.start(k, 0, `"wait"`)
	env.waitForExecutions(1)
	env.entry.send(&wire.Settle{Key: wire.Key(k), Owner: 101, Stop: true})
	qt.Assert(t, next[*wire.Settled](env.entry).State, qt.Equals, wire.StateRunning)
	m := next[*wire.Result](env.entry)
	qt.Assert(t, m.Ran, qt.Equals, wire.RanMaybe)
	qt.Assert(t, m.Reason, qt.Equals, "stopped")
}

// Guards against tasks that run although the ledger, the deadline or the list of
// services rules them out.
func TestRefusals(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	for _, tc := range []struct {
		change  func(*wire.Start)
		outcome wire.Outcome
		ran     wire.Ran
		reason  string
	}{
		{func(s *wire.Start) { s.Owner = 999 }, wire.OutcomeRefused, wire.RanNo, "not in roster"},
		{func(s *wire.Start) { s.Agent++ }, wire.OutcomeRefused, wire.RanNo, "other incarnation"},
		{func(s *wire.Start) { s.Service = "dispatch" }, wire.OutcomeRefused, wire.RanNo, "no backend"},
		{func(s *wire.Start) { s.TimeLeftMS = 0 }, wire.OutcomeBusy, wire.RanNo, "deadline"},
		{func(s *wire.Start) { s.Key = wire.Key(api.NewKeyAt(time.Now().Add(-time.Hour), 1)) }, wire.OutcomeRefused, wire.RanMaybe, "expired"},
	} {
		s := &wire.Start{Key: wire.Key(env.newKey()), Owner: 101, Agent: env.entry.agent, Service: "cleft-assessor", TaskType: "a", TimeLeftMS: 1000}
		tc.change(s)
		env.entry.send(s)
		m := next[*wire.Result](env.entry)
		qt.Assert(t, m.Reason, qt.Equals, tc.reason)
		qt.Assert(t, m.Outcome, qt.Equals, tc.outcome)
		qt.Assert(t, m.Ran, qt.Equals, tc.ran)
	}
	tasks, _ := env.backend.executions()
	qt.Assert(t, tasks, qt.Equals, 0)
}

// Guards against tasks started by an entry that has left the roster, and against a
// FenceAck that lacks records the new owner needs.
func TestFenceRefusesAndReturnsRecords(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	k := env.newKey()
	env.entry.start(k, 0, `"wait"`)
	env.entry.start(k, 1, `"wait"`)
	env.entry.start(k, 2, `"wait"`)
	env.waitForExecutions(2)
	other := newTestEntry(t, env.dir, 202)
	roster := env.setRoster(other)
	b, err := json.Marshal(roster)
	qt.Assert(t, err, qt.IsNil)
	f := &wire.Fence{Incarnation: 202, RosterVersion: roster.Version, Roster: b, Requester: "e1"}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err = env.entry.conn.Call(ctx, f)
	qt.Assert(t, err, qt.IsNotNil, qt.Commentf("the agent acknowledged a fence of a member"))
	other.waitConnected()
	f.Incarnation = 101
	reply, err := other.conn.Call(ctx, f)
	qt.Assert(t, err, qt.IsNil)
	ack := reply.(*wire.FenceAck)
	qt.Assert(t, ack.Agent, qt.Equals, other.agent)
	qt.Assert(t, ack.RosterVersion, qt.Equals, roster.Version)
	slices.SortFunc(ack.Records, func(a, b wire.Record) int { return int(a.Task) - int(b.Task) })
	qt.Assert(t, ack.Records, qt.DeepEquals, []wire.Record{
		{Key: wire.Key(k), Task: 0, State: wire.StateRunning}, {Key: wire.Key(k), Task: 1, State: wire.StateRunning},
	})
	env.entry.start(env.newKey(), 0, `1`)
	qt.Assert(t, next[*wire.Result](env.entry).Reason, qt.Equals, "not in roster")
	other.send(&wire.Settle{Key: wire.Key(k), Task: 0, Owner: 202, Watch: true})
	qt.Assert(t, next[*wire.Settled](other).State, qt.Equals, wire.StateRunning)
	close(env.backend.release)
	m := next[*wire.Result](other)
	qt.Assert(t, m.Task, qt.Equals, uint16(0))
	qt.Assert(t, m.Outcome, qt.Equals, wire.OutcomeOK)
	got := map[uint16]string{}
	for len(got) < 3 {
		m := next[*wire.Result](env.entry)
		got[m.Task] = m.Reason
	}
	qt.Assert(t, got, qt.DeepEquals, map[uint16]string{0: "", 1: "", 2: "not in roster"})
	older := env.setRoster(env.entry)
	b, _ = json.Marshal(older)
	other.send(&wire.RosterUpdate{Version: roster.Version - 1, Roster: b})
	env.entry.start(env.newKey(), 1, `1`)
	qt.Assert(t, next[*wire.Result](env.entry).Reason, qt.Equals, "not in roster", qt.Commentf("an older roster was adopted"))
}

// Guards against the loss of a result whose connection was closed before it was
// sent: the agent must reconnect and send it on the new connection.
func TestResultIsSentOnNewConnection(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	k := env.newKey()
	env.entry.start(k, 0, `"wait"`)
	env.waitForExecutions(1)
	env.entry.conn.Close(nil)
	env.entry.waitConnected()
	env.entry.send(&wire.Settle{Key: wire.Key(k), Owner: 101})
	qt.Assert(t, next[*wire.Settled](env.entry).State, qt.Equals, wire.StateRunning)
	close(env.backend.release)
	qt.Assert(t, next[*wire.Result](env.entry).Outcome, qt.Equals, wire.OutcomeOK, qt.Commentf("result expected on the new connection"))
	env.entry.send(&wire.Settle{Key: wire.Key(k), Owner: 101})
	s := next[*wire.Settled](env.entry)
	qt.Assert(t, s.State, qt.Equals, wire.StateFinished)
	qt.Assert(t, string(s.Result.Body), qt.Equals, `"wait"`)
}

// Guards against a result that is lost because the packets of its connection are
// dropped: the agent must detect that the entry does not respond and open a new
// connection.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	env := newTestEnv(t)
	proxy := newUDPProxy(t, env.entry.listener.Addr())
	env.setMembers(ownership.Member{Name: "e1", Incarnation: 101, PeerAddr: proxy.addr()})
	env.startAndAnnounce()
	k := env.newKey()
	env.entry.start(k, 0, `"wait"`)
	env.waitForExecutions(1)
	proxy.dropClients()
	close(env.backend.release)
	began := time.Now()
	env.entry.waitConnected()
	qt.Assert(t, time.Since(began) < 2*(transport.ProbeDelay+transport.ProbeTimeout), qt.IsTrue, qt.Commentf("after %v", time.Since(began)))
	env.entry.send(&wire.Settle{Key: wire.Key(k), Owner: 101})
	qt.Assert(t, next[*wire.Settled](env.entry).State, qt.Equals, wire.StateFinished)
}

// Guards against new tasks for a backend server that is leaving, and against
// cancelling the tasks that still run there.
func TestBackendLeavesDuringABurst(t *testing.T) {
	env := newTestEnv(t)
	env.settings.Hold = 50
	env.startAndAnnounce()
	k := env.newKey()
	for i := range 20 {
		env.entry.start(k, uint16(i), `"wait"`)
	}
	env.waitForExecutions(2)
	qt.Assert(t, env.post("/leave", ""), qt.Contains, `"running":2`)
	refused := 0
	for refused < 18 {
		m := next[*wire.Result](env.entry)
		qt.Assert(t, m.Reason, qt.Equals, "leaving")
		qt.Assert(t, m.Ran, qt.Equals, wire.RanNo)
		qt.Assert(t, m.Load.Leaving, qt.IsTrue)
		refused++
	}
	env.entry.start(k, 99, `1`)
	qt.Assert(t, next[*wire.Result](env.entry).Reason, qt.Equals, "leaving")
	close(env.backend.release)
	for range 2 {
		qt.Assert(t, next[*wire.Result](env.entry).Outcome, qt.Equals, wire.OutcomeOK)
	}
	qt.Assert(t, env.post("/leave", ""), qt.Contains, `"running":0`)
	env.announce()
	env.entry.start(k, 100, `1`)
	qt.Assert(t, next[*wire.Result](env.entry).Outcome, qt.Equals, wire.OutcomeOK)
}

// Guards against tasks sent to a backend server that no longer listens, and against
// an agent that does not detect its restart on the same address.
func TestBackendRestarts(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	address := env.backend.Listener.Addr().String()
	env.backend.Close()
	for !next[*wire.LoadReport](env.entry).Load.Leaving {
	}
	env.entry.start(env.newKey(), 0, `1`)
	m := next[*wire.Result](env.entry)
	qt.Assert(t, m.Reason, qt.Equals, "no backend")
	qt.Assert(t, m.Ran, qt.Equals, wire.RanNo)
	l, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	s := &http.Server{Handler: env.backend}
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	for next[*wire.LoadReport](env.entry).Load.Leaving {
	}
	env.entry.start(env.newKey(), 0, `1`)
	qt.Assert(t, next[*wire.Result](env.entry).Outcome, qt.Equals, wire.OutcomeOK)
}

// Guards against a drain that cancels a task, loses a result or accepts new work.
func TestDrainUnderLoadCompletesTasks(t *testing.T) {
	env := newTestEnv(t)
	env.settings.Hold = 10
	env.startAndAnnounce()
	k := env.newKey()
	// Results of this size are still in transit when the last task ends.
	body := `"wait` + strings.Repeat("x", 60000) + `"`
	for i := range 10 {
		env.entry.start(k, uint16(i), body)
	}
	env.entry.send(&wire.Settle{Key: wire.Key(env.newKey()), Owner: 101})
	qt.Assert(t, next[*wire.Settled](env.entry).Load, qt.Equals, wire.Load{Slots: 2, Running: 2, Held: 8})
	env.stop()
	for !next[*wire.LoadReport](env.entry).Load.Leaving {
	}
	env.entry.start(k, 50, `1`)
	qt.Assert(t, next[*wire.Result](env.entry).Reason, qt.Equals, "leaving")
	qt.Assert(t, env.registration().LeftAt.IsZero(), qt.IsTrue, qt.Commentf("marked as left while tasks run"))
	close(env.backend.release)
	for range 10 {
		qt.Assert(t, next[*wire.Result](env.entry).Outcome, qt.Equals, wire.OutcomeOK)
	}
	qt.Assert(t, <-env.runErr, qt.IsNil)
	qt.Assert(t, env.registration().LeftAt.IsZero(), qt.IsFalse)
}

// Guards against a drain that never ends, or that reports a task which it cancelled
// as not run.
func TestDrainTimeoutCancelsTasks(t *testing.T) {
	env := newTestEnv(t)
	env.settings.DrainTimeoutMS = 200
	env.startAndAnnounce()
	k := env.newKey()
	for i := range 3 {
		env.entry.start(k, uint16(i), `"wait"`)
	}
	env.waitForExecutions(2)
	env.stop()
	got := map[uint16]*wire.Result{}
	for len(got) < 3 {
		m := next[*wire.Result](env.entry)
		got[m.Task] = m
	}
	qt.Assert(t, got[0].Ran, qt.Equals, wire.RanMaybe)
	qt.Assert(t, got[1].Ran, qt.Equals, wire.RanMaybe)
	qt.Assert(t, got[2].Ran, qt.Equals, wire.RanNo, qt.Commentf("the task was held and never ran"))
	qt.Assert(t, <-env.runErr, qt.IsNil)
}

// Guards against unnecessary load reports, and against an entry with a backlog that
// is not told of a free slot.
func TestFreeSlotIsOfferedToAnotherEntry(t *testing.T) {
	env := newTestEnv(t)
	other := newTestEntry(t, env.dir, 202)
	env.setRoster(env.entry, other)
	env.startAndAnnounce()
	other.waitConnected()
	for next[*wire.LoadReport](other).Load.Leaving {
	}
	other.send(&wire.Start{Key: wire.Key(env.newKey()), Owner: 202, Agent: other.agent, Service: "cleft-assessor", TaskType: "a", TimeLeftMS: 9000, Backlog: 5, Body: []byte("1")})
	next[*wire.Result](other)
	env.entry.start(env.newKey(), 0, `2`)
	next[*wire.Result](env.entry)
	qt.Assert(t, next[*wire.LoadReport](other).Load, qt.Equals, wire.Load{Slots: 2})
	for i := range 20 {
		env.entry.start(env.newKey(), uint16(i), `2`)
		next[*wire.Result](env.entry)
	}
	_, more := nextWithin[*wire.LoadReport](other, 100*time.Millisecond)
	qt.Assert(t, more, qt.IsFalse, qt.Commentf("an entry that did not use the first offer was sent another"))
	_, more = nextWithin[*wire.LoadReport](env.entry, 0)
	qt.Assert(t, more, qt.IsFalse, qt.Commentf("a load report was sent although results carry the load"))
	offers := 0
	for range 80 {
		other.send(&wire.Start{Key: wire.Key(env.newKey()), Owner: 202, Agent: other.agent, Service: "cleft-assessor", TaskType: "a", TimeLeftMS: 9000, Backlog: 5, Body: []byte("1")})
		next[*wire.Result](other)
		env.entry.start(env.newKey(), 0, `2`)
		next[*wire.Result](env.entry)
		if _, more := nextWithin[*wire.LoadReport](other, time.Millisecond); more {
			offers++
		}
	}
	qt.Assert(t, offers >= 1 && offers <= offerBurst+2*80/tasksPerOffer, qt.IsTrue, qt.Commentf("%d offers for 160 tasks", offers))
}

// Guards against a configuration replaced by an older version, and against a drain
// by configuration that is ignored or not reported.
func TestWorkerConfig(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	env.entry.send(&wire.WorkerConfig{Version: 7, Drain: true})
	qt.Assert(t, env.firstLoadOfConfig(7), qt.Equals, wire.Load{Slots: 2, Leaving: true, ConfigVersion: 7})
	env.entry.send(&wire.WorkerConfig{Version: 6})
	env.entry.start(env.newKey(), 0, `1`)
	qt.Assert(t, next[*wire.Result](env.entry).Reason, qt.Equals, "leaving")
	env.entry.send(&wire.WorkerConfig{Version: 8, Services: []string{"dispatch"}})
	qt.Assert(t, env.firstLoadOfConfig(8), qt.Equals, wire.Load{Slots: 2, Leaving: true, ConfigVersion: 8},
		qt.Commentf("entries read an empty list of services as unchanged, so only Leaving stops their starts"))
	env.entry.start(env.newKey(), 0, `1`)
	qt.Assert(t, next[*wire.Result](env.entry).Reason, qt.Equals, "no backend")
}

// Guards against a held task that starts after its worker was drained or its zone was
// evacuated, against a running one that is interrupted, and against entries that don't
// learn that the last task has ended.
func TestDrainByConfigurationReturnsHeldTasks(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	k := env.newKey()
	for i := range uint16(3) {
		env.entry.start(k, i, `"wait"`)
	}
	env.waitForExecutions(2)
	env.entry.send(&wire.WorkerConfig{Version: 7, Drain: true})
	m := next[*wire.Result](env.entry)
	qt.Assert(t, []any{m.Task, m.Outcome, m.Ran, m.Reason}, qt.DeepEquals, []any{uint16(2), wire.OutcomeRefused, wire.RanNo, wire.ReasonLeaving})
	qt.Assert(t, env.firstLoadOfConfig(7), qt.Equals, wire.Load{Slots: 2, Running: 2, Leaving: true, ConfigVersion: 7})
	close(env.backend.release)
	for range 2 {
		qt.Assert(t, next[*wire.Result](env.entry).Outcome, qt.Equals, wire.OutcomeOK)
	}
	for next[*wire.LoadReport](env.entry).Load.Running > 0 {
	}
	tasks, _ := env.backend.executions()
	qt.Assert(t, tasks, qt.Equals, 2)
}

// Guards against two processes that run tasks for the same worker. Entries would
// send a Fence only to the registered one.
func TestReplacedAgentTakesNoTasks(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	env.putRow(table.PrefixAgents+"w1", ownership.Registration{Worker: "w1", Incarnation: 7})
	env.agent.checkRegistration(context.Background())
	env.entry.start(env.newKey(), 0, `1`)
	qt.Assert(t, next[*wire.Result](env.entry).Reason, qt.Equals, "leaving")
	env.stop()
	qt.Assert(t, <-env.runErr, qt.IsNil)
	qt.Assert(t, env.registration().LeftAt.IsZero(), qt.IsTrue, qt.Commentf("the row of the other incarnation was changed"))
}

// Guards against an agent that takes no tasks until it is restarted, because another
// writer has left an odd entry in its registration row.
func TestOddRegistrationIsRestored(t *testing.T) {
	env := newTestEnv(t)
	env.startAndAnnounce()
	before := env.registration()
	for _, odd := range []string{"no JSON", `{"worker":"w1","incarnation":18446744073709551616}`, `{"worker":"w2","incarnation":7}`, strings.Repeat("[", 20000)} {
		row, err := env.platform.Get(context.Background(), table.PrefixAgents+"w1")
		qt.Assert(t, err, qt.IsNil)
		_, err = env.platform.CompareAndSet(context.Background(), table.PrefixAgents+"w1", row.Version, []byte(odd))
		qt.Assert(t, err, qt.IsNil)
		env.agent.checkRegistration(context.Background())
		qt.Assert(t, env.registration(), qt.DeepEquals, before)
	}
	env.entry.start(env.newKey(), 0, `1`)
	qt.Assert(t, next[*wire.Result](env.entry).Outcome, qt.Equals, wire.OutcomeOK)
	env.stop()
	qt.Assert(t, <-env.runErr, qt.IsNil)
}

// Guards against an uneven distribution of agents over entries, and against agents
// that change more of their entries than a change of the roster requires.
func TestChooseEntries(t *testing.T) {
	members := make([]ownership.Member, 10)
	for i := range members {
		members[i].Name = "e" + strconv.Itoa(i)
	}
	qt.Assert(t, chooseEntries(members, "w1", 0), qt.HasLen, 10)
	used := map[string]int{}
	for w := range 300 {
		worker := "w" + strconv.Itoa(w)
		chosen := chooseEntries(members, worker, 3)
		qt.Assert(t, chosen, qt.HasLen, 3)
		for _, m := range chosen {
			used[m.Name]++
		}
		fewer := chooseEntries(members[:9], worker, 3)
		kept := 0
		for _, m := range fewer {
			if slices.Contains(chosen, m) {
				kept++
			}
		}
		qt.Assert(t, kept >= 2, qt.IsTrue)
	}
	for _, n := range used {
		qt.Assert(t, n > 45 && n < 135, qt.IsTrue, qt.Commentf("%v", used))
	}
}
