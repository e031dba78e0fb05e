package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/placement"
	"github.com/sesamelift/sesamelift/standin"
	"github.com/sesamelift/sesamelift/table"
	"github.com/sesamelift/sesamelift/wire"
)

// crash closes the listeners of an entry, which ends it without a drain, and
// waits until Run has returned. The cleanup of launch reads the result from ended.
func (n *node) crash() {
	_ = n.quicListener.Close()
	_ = n.httpListener.Close()
	n.ended <- <-n.ended
}

// keyOwnedBy returns a new key that the entry with the given name owns among
// names.
func keyOwnedBy(t *testing.T, name string, names ...string) api.Key {
	for {
		if k := newKey(t); ownership.OwnerName(names, k) == name {
			return k
		}
	}
}

func (n *node) members() int {
	count, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) int {
		if ls.resolver.Roster() == nil {
			return 0
		}
		return len(ls.resolver.Roster().Members)
	})
	return count
}

// remove removes another entry from the roster, as peers do after missed pings.
func (n *node) remove(other *node) {
	_, err := n.updateRoster(context.Background(), func(r *ownership.Roster, op string) *ownership.Roster {
		return r.Remove(other.Incarnation(), time.Now(), op)
	})
	qt.Assert(n.t, err, qt.IsNil)
	eventually(n.t, "the roster is adopted", func() bool { return n.members() == 1 })
}

// startPair starts two entries and an agent that is connected to both.
func startPair(t *testing.T, run func(*wire.Start) *wire.Result) (*cluster, *node, *node, *fakeAgent) {
	c := newCluster(t)
	e1, e2 := c.start("e1"), c.start("e2")
	eventually(t, "both entries are connected to each other", func() bool {
		return e1.members() == 2 && e2.members() == 2 && e1.peers.conn(e2.Incarnation()) != nil && e2.peers.conn(e1.Incarnation()) != nil
	})
	a := c.newAgent("w1", 11, run)
	a.connect(e1, "")
	a.connect(e2, "")
	return c, e1, e2, a
}

// Guards against a job that runs at an entry that does not own its key, and
// against requests that do not reach the owner.
func TestForward(t *testing.T) {
	t.Parallel()
	_, e1, e2, a := startPair(t, nil)
	key := keyOwnedBy(t, "e2", "e1", "e2")
	// White space and characters that JSON encoders may escape must not change
	// the digest of the forwarded copy.
	body := `{"service":"cleft-assessor","type":"grain","team":"kiln","tasks":[{"n": 0, "s": "<&>"}, 1 ,"\u003c"]}`
	pending, direct := e1.submitAsync(key, body), e2.submitAsync(key, body)
	a.waitHeld(3)
	running, _ := postAndWait(context.Background(), e1.Entry, func(ls *loopState) int { return ls.jobs.Running() })
	qt.Assert(t, running, qt.Equals, 0)
	path := "/v1/jobs/" + key.String()
	code, ans := e1.call("GET", path, teamToken, nil, nil)
	qt.Assert(t, []any{code, ans.State}, qt.DeepEquals, []any{202, api.StateRunning})
	code, ans = e1.call("GET", path, otherToken, nil, nil)
	qt.Assert(t, []any{code, ans.Reason}, qt.DeepEquals, []any{404, api.ReasonUnknownKey})
	a.finish("e2")
	for _, ch := range []<-chan submitResult{pending, direct} {
		r := <-ch
		qt.Assert(t, []any{r.code, len(r.answer.Results)}, qt.DeepEquals, []any{200, 3})
	}
	tasks, maxRuns := a.started()
	qt.Assert(t, []int{tasks, maxRuns}, qt.DeepEquals, []int{3, 1})

	key = keyOwnedBy(t, "e2", "e1", "e2")
	pending = e1.submitAsync(key, job(1))
	a.waitHeld(1)
	code, ans = e1.call("DELETE", "/v1/jobs/"+key.String(), teamToken, nil, nil)
	qt.Assert(t, []any{code, ans.Reason}, qt.DeepEquals, []any{200, api.ReasonCancelled})
	r := <-pending
	qt.Assert(t, []any{r.code, r.answer.Reason}, qt.DeepEquals, []any{409, api.ReasonCancelled})
}

// Guards against a second start, or a partial answer, when the owner of a job
// crashes and its caller submits the job again elsewhere.
func TestOwnerCrash(t *testing.T) {
	t.Parallel()
	_, e1, e2, a := startPair(t, nil)
	key := keyOwnedBy(t, "e1", "e1", "e2")
	longJob := job(5)
	longJob.DeadlineMS = 60_000
	forwarded := e2.submitAsync(key, longJob)
	a.waitHeld(5)
	e1.crash()
	// While the roster still lists the crashed owner, the other entry must not
	// run the job.
	short := job(5)
	short.DeadlineMS = 500
	code, ans := e2.submit(key, short)
	qt.Assert(t, []any{code, ans.Reason, ans.Ran}, qt.DeepEquals, []any{503, api.ReasonOwnerUnreachable, api.RanMaybe})
	eventually(t, "the crashed entry is removed", func() bool { return e2.members() == 1 })
	pending := e2.submitAsync(key, job(5))
	eventually(t, "the job is recovered", func() bool {
		n, _ := postAndWait(context.Background(), e2.Entry, func(ls *loopState) int { return ls.jobs.Running() })
		return n == 1
	})
	code, ans = e2.submit(key, job(4))
	qt.Assert(t, []any{code, ans.Reason}, qt.DeepEquals, []any{409, api.ReasonKeyConflict})
	a.finish("e2")
	for _, ch := range []<-chan submitResult{forwarded, pending} {
		r := <-ch
		qt.Assert(t, r.code, qt.Equals, 200, qt.Commentf("%+v", r.answer))
		qt.Assert(t, r.answer.Results, qt.HasLen, 5)
	}
	tasks, maxRuns := a.started()
	qt.Assert(t, []int{tasks, maxRuns}, qt.DeepEquals, []int{5, 1})
	code, ans = e2.submit(keyOwnedBy(t, "e1", "e1", "e2"), func() *api.Submission { s := job(1); s.Type = "none"; return s }())
	qt.Assert(t, []any{code, ans.Ran}, qt.DeepEquals, []any{422, api.RanNo})
}

// Guards against a late copy of a job that runs at the next owner of the key
// after the first owner answered ran=no and crashed.
func TestRefusalHoldsAfterOwnerCrash(t *testing.T) {
	t.Parallel()
	_, e1, e2, a := startPair(t, echoResult)
	key := keyOwnedBy(t, "e1", "e1", "e2")
	_, ok := postAndWait(context.Background(), e1.Entry, func(ls *loopState) any { ls.requestTypes = nil; return nil })
	qt.Assert(t, ok, qt.IsTrue)
	code, ans := e1.submit(key, job(2))
	qt.Assert(t, []any{code, ans.Ran}, qt.DeepEquals, []any{404, api.RanNo})
	e1.crash()
	e2.remove(e1)
	code, ans = e2.submit(key, job(2))
	qt.Assert(t, ans.Verdict, qt.Equals, api.Failed, qt.Commentf("%d %+v", code, ans))
	tasks, _ := a.started()
	qt.Assert(t, tasks, qt.Equals, 0)
}

// Guards against a graceful shutdown that interrupts a job, and against new
// jobs that fail although another entry can take them.
func TestDrain(t *testing.T) {
	t.Parallel()
	_, e1, e2, a := startPair(t, nil)
	first := e1.submitAsync(keyOwnedBy(t, "e1", "e1", "e2"), job(2))
	a.waitHeld(2)
	e1.stop()
	eventually(t, "the entry is not ready", func() bool { return e1.NotReadyReason() == "draining" })
	second := e2.submitAsync(keyOwnedBy(t, "e1", "e1", "e2"), job(2))
	third := e1.submitAsync(keyOwnedBy(t, "e1", "e1", "e2"), job(2))
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, e2.members(), qt.Equals, 2)
	a.finish("e1")
	r := <-first
	qt.Assert(t, r.code, qt.Equals, 200, qt.Commentf("%+v", r.answer))
	a.waitHeld(4)
	a.finish("e2")
	for _, ch := range []<-chan submitResult{second, third} {
		r = <-ch
		qt.Assert(t, r.code, qt.Equals, 200, qt.Commentf("%+v", r.answer))
	}
	qt.Assert(t, e2.members(), qt.Equals, 1)
	err := <-e1.ended
	e1.ended <- err
	qt.Assert(t, err, qt.IsNil)
}

// Guards against an entry that, once removed from the roster, starts tasks,
// answers ran=no, or interrupts the tasks that it has started.
func TestRemovedWhileAlive(t *testing.T) {
	t.Parallel()
	c, e1, e2, a := startPair(t, nil)
	first := e1.submitAsync(keyOwnedBy(t, "e1", "e1", "e2"), job(2))
	a.waitHeld(2)
	e2.remove(e1)
	eventually(t, "the entry has read that it was removed", func() bool {
		removed, _ := postAndWait(context.Background(), e1.Entry, func(ls *loopState) bool { return ls.removed })
		return removed
	})
	a.finish("e1")
	r := <-first
	qt.Assert(t, r.code, qt.Equals, 200, qt.Commentf("%+v", r.answer))
	err := <-e1.ended
	e1.ended <- err
	qt.Assert(t, errors.Is(err, ErrRemoved), qt.IsTrue, qt.Commentf("%v", err))
	restarted := c.start("e1")
	a.connect(restarted, "")
	eventually(t, "the new incarnation is a member", func() bool { return e2.members() == 2 && restarted.members() == 2 })
	pending := restarted.submitAsync(keyOwnedBy(t, "e1", "e1", "e2"), job(1))
	a.waitHeld(1)
	a.finish("e1")
	qt.Assert(t, (<-pending).code, qt.Equals, 200)
}

// Guards against callers that wait without limit when the event loop cannot
// keep up.
func TestRequestQueueFull(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	release, blocked := make(chan struct{}), make(chan struct{})
	n.post(context.Background(), func(*loopState) { close(blocked); <-release })
	<-blocked
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for range requestQueueSize {
		n.requests <- &request{ctx: cancelled, key: newKey(t)}
	}
	code, ans := n.submit(newKey(t), job(1))
	qt.Assert(t, []any{code, ans.Reason, ans.Ran, ans.RetryAfterMS > 0}, qt.DeepEquals, []any{503, api.ReasonOverload, api.RanMaybe, true})
	close(release)
}

// Guards against ran=no when agents are known but none can be asked to close
// the key, because their connections are closed.
func TestRefusalWithUnreachableAgents(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	c.newAgent("w1", 11, echoResult).connect(n, "")
	a, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) *api.Answer {
		ls.agents[11].conn.Close(nil)
		a := &api.Answer{Key: newKey(t), Ran: api.RanNo, RetrySafe: true}
		ls.closeAndDeliver(a, false, func() {})
		return a
	})
	qt.Assert(t, []any{a.Ran, a.RetrySafe}, qt.DeepEquals, []any{api.RanMaybe, false})
}

// Guards against two processes with the same name that remove each other from
// the roster again and again.
func TestSameName(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	first := c.start("e1")
	c.start("e1")
	err := <-first.ended
	first.ended <- err
	qt.Assert(t, errors.Is(err, ErrReplaced), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against ran=no from an entry that was paused: its peers may have
// removed it, and the next owner may have run the job.
func TestPausedEntry(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	c.newAgent("w1", 11, echoResult).connect(n, "")
	c.platform.SetFaults(standin.PlatformFaults{Unavailable: true})
	postAndWait(context.Background(), n.Entry, func(ls *loopState) any { ls.lastIteration = ls.now().Add(-2 * pauseThreshold); return nil })
	s := job(1)
	s.Type = "none"
	code, ans := n.submit(newKey(t), s)
	qt.Assert(t, []any{code, ans.Ran}, qt.DeepEquals, []any{422, api.RanMaybe})
	c.platform.SetFaults(standin.PlatformFaults{})
	eventually(t, "the roster is read again", func() bool {
		_, ans := n.submit(newKey(t), s)
		return ans.Ran == api.RanNo
	})
}

// Guards against an entry that serves before it has read the roster, joins
// twice after a lost reply, or stops serving when the platform becomes
// unavailable.
func TestPlatformFaults(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.platform.SetFaults(standin.PlatformFaults{LoseReplies: 1})
	n := c.start("e1")
	r, err := n.readRoster(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Members, qt.HasLen, 1)
	a := c.newAgent("w1", 11, echoResult)
	a.connect(n, "")
	c.platform.SetFaults(standin.PlatformFaults{Unavailable: true})
	eventually(t, "the entry reports the platform as unreachable", func() bool { return !n.Status(context.Background()).PlatformReachable })
	code, _ := n.submit(newKey(t), job(1))
	qt.Assert(t, code, qt.Equals, 200)
	c.platform.SetFaults(standin.PlatformFaults{})
}

// Guards against an entry that has not reached the platform yet and runs jobs
// or refuses them with ran=no.
func TestNotReadyWithoutPlatform(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.platform.SetFaults(standin.PlatformFaults{Unavailable: true})
	n := c.launch("e1")
	for range 2 {
		idempotent := job(1)
		idempotent.Idempotent = true
		code, ans := n.submit(newKey(t), idempotent)
		// Without a configuration the entry can't confirm that the type is idempotent.
		qt.Assert(t, []any{code, ans.Reason, ans.Ran, ans.RetrySafe}, qt.DeepEquals, []any{503, api.ReasonNotReady, api.RanMaybe, false})
	}
	code, _ := n.call("GET", "/readyz", "", nil, nil)
	qt.Assert(t, code, qt.Equals, 503)
	c.platform.SetFaults(standin.PlatformFaults{})
	eventually(t, "the entry is ready", func() bool { return n.NotReadyReason() == "" })
}

// Guards against a job that runs while an agent that the former owner of its
// key could have used has not reported which tasks it started.
func TestBlockedKey(t *testing.T) {
	t.Parallel()
	c, e1, e2, a := startPair(t, echoResult)
	unconnected := c.newAgent("w2", 12, echoResult) // registered, not connected
	e1.crash()
	e2.remove(e1)
	began := time.Now()
	code, ans := e2.submit(keyOwnedBy(t, "e1", "e1", "e2"), job(1))
	qt.Assert(t, []any{code, ans.Reason, ans.Ran}, qt.DeepEquals, []any{503, api.ReasonOwnerChange, api.RanMaybe})
	qt.Assert(t, time.Since(began) < maxBlockedWait+time.Second, qt.IsTrue)
	tasks, _ := a.started()
	qt.Assert(t, tasks, qt.Equals, 0)
	qt.Assert(t, e2.Status(context.Background()).Unresolved[0].Workers, qt.DeepEquals, []string{"w2"})
	unconnected.connect(e2, "")
	code, ans = e2.submit(keyOwnedBy(t, "e1", "e1", "e2"), job(1))
	qt.Assert(t, code, qt.Equals, 200, qt.Commentf("%+v", ans))
}

// Guards against jobs that are refused for want of a worker because the entry that
// owns their keys has just joined and its agents have not connected yet.
func TestJobsWaitForTheAgentsOfANewEntry(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	e1 := c.start("e1")
	a := c.newAgent("w1", 11, echoResult)
	a.connect(e1, "")
	e2 := c.launch("e2")
	eventually(t, "the new entry is in the roster", func() bool {
		return e1.members() == 2 && e2.members() == 2 && e1.peers.conn(e2.Incarnation()) != nil
	})
	eventually(t, "the new entry knows which keys the other one holds", func() bool {
		known, _ := postAndWait(context.Background(), e2.Entry, func(ls *loopState) bool { p := ls.resolver.Pending(); return p.Empty() })
		return known
	})
	pending := e1.submitAsync(keyOwnedBy(t, "e2", "e1", "e2"), job(3))
	eventually(t, "the job has reached its owner", func() bool {
		n, _ := postAndWait(context.Background(), e2.Entry, func(ls *loopState) int { return len(ls.blockedRequests) })
		return n == 1
	})
	a.connect(e2, "")
	r := <-pending
	qt.Assert(t, r.code, qt.Equals, 200, qt.Commentf("%+v", r.answer))
}

// Guards against jobs that are refused for want of a worker although an agent has
// connected whose backend server is about to announce itself.
func TestJobsWaitForTheServicesOfANewAgent(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	a := c.newAgent("w1", 11, echoResult)
	a.services = nil
	conn := a.connect(n, "")
	pending := n.submitAsync(newKey(t), job(3))
	eventually(t, "the job waits", func() bool {
		waiting, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) int { return len(ls.blockedRequests) })
		return waiting == 1
	})
	qt.Assert(t, conn.Send(&wire.LoadReport{Load: a.load(), Services: []string{"cleft-assessor"}}), qt.IsNil)
	r := <-pending
	qt.Assert(t, r.code, qt.Equals, 200, qt.Commentf("%+v", r.answer))

}

// Guards against jobs that wait for long at an agent that has no backend server.
func TestJobsDoNotWaitForAnAgentWithoutServices(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	a := c.newAgent("w1", 11, echoResult)
	a.services = nil
	a.connect(n, "")
	began := time.Now()
	code, ans := n.submit(newKey(t), job(1))
	qt.Assert(t, []any{code, ans.Reason, ans.Ran}, qt.DeepEquals, []any{422, api.ReasonNoWorker, api.RanNo})
	qt.Assert(t, time.Since(began) < maxBlockedWait+time.Second, qt.IsTrue)
	eventually(t, "the agent counts as one without a backend server", func() bool {
		starting, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) bool { return ls.anyAgentStarting(ls.now()) })
		return !starting
	})
	began = time.Now()
	code, ans = n.submit(newKey(t), job(1))
	qt.Assert(t, []any{code, ans.Reason, ans.Ran}, qt.DeepEquals, []any{422, api.ReasonNoWorker, api.RanNo})
	qt.Assert(t, time.Since(began) < maxBlockedWait/2, qt.IsTrue)
}

// Guards against an entry that stops following the roster because another writer has
// left an odd entry among the registrations of the agents, and against an agent whose
// registration was overwritten that counts as gone.
func TestOddRegistrationsDoNotStopTheRoster(t *testing.T) {
	t.Parallel()
	c, e1, e2, _ := startPair(t, echoResult)
	// Before e2 joined, e1 owned every key. If e1 crashes before it has reported to e2
	// which keys it holds, the odd registrations block the keys of e2 too.
	eventually(t, "the second entry knows which keys the first one holds", func() bool {
		known, _ := postAndWait(context.Background(), e2.Entry, func(ls *loopState) bool { p := ls.resolver.Pending(); return p.Empty() })
		return known
	})
	overwrite := func(worker, value string) {
		_, err := table.Update(context.Background(), c.platform, table.PrefixAgents+worker, "", func([]byte) ([]byte, error) { return []byte(value), nil })
		qt.Assert(t, err, qt.IsNil)
	}
	overwrite("odd", strings.Repeat(`{"worker":`, 20000))
	overwrite("other", `{"worker":"w1","incarnation":12,"left_at":"2026-01-01T00:00:00Z"}`)
	overwrite("large", `{"worker":"large","incarnation":1e400}`)
	e1.crash()
	eventually(t, "the crashed entry is removed", func() bool { return e2.members() == 1 })
	// The agents of the odd registrations may hold records of the crashed entry.
	code, ans := e2.submit(keyOwnedBy(t, "e1", "e1", "e2"), job(1))
	qt.Assert(t, []any{code, ans.Reason, ans.Ran}, qt.DeepEquals, []any{503, api.ReasonOwnerChange, api.RanMaybe})
	code, ans = e2.submit(keyOwnedBy(t, "e2", "e1", "e2"), job(1))
	qt.Assert(t, code, qt.Equals, 200, qt.Commentf("%+v", ans))
	// The operator retires them.
	for _, worker := range []string{"odd", "other", "large"} {
		overwrite(worker, fmt.Sprintf(`{"worker":%q,"incarnation":1,"left_at":"2026-01-01T00:00:00Z"}`, worker))
	}
	eventually(t, "the keys of the crashed entry are served", func() bool {
		code, _ := e2.submit(keyOwnedBy(t, "e1", "e1", "e2"), job(1))
		return code == 200
	})
}

// Guards against a job that ends when its caller disconnects, and against new
// jobs that are admitted by the last entry while it shuts down.
func TestCallerDisconnectsAndLastEntryDrains(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	a := c.newAgent("w1", 11, nil)
	a.connect(n, "")
	key := newKey(t)
	ctx, cancel := context.WithCancel(context.Background())
	go n.Submit(ctx, key, job(2), 0, true)
	a.waitHeld(2)
	cancel()
	n.stop()
	eventually(t, "the entry drains", func() bool { return n.NotReadyReason() == "draining" })
	code, ans := n.submit(newKey(t), job(1))
	qt.Assert(t, []any{code, ans.Reason, ans.Ran}, qt.DeepEquals, []any{503, api.ReasonDraining, api.RanNo})
	waiting := make(chan submitResult, 1)
	go func() {
		code, ans := n.call("GET", "/v1/jobs/"+key.String()+"?wait=true", teamToken, nil, nil)
		waiting <- submitResult{code, ans}
	}()
	time.Sleep(100 * time.Millisecond)
	a.finish("e1")
	qt.Assert(t, (<-waiting).code, qt.Equals, 200)
	err := <-n.ended
	n.ended <- err
	qt.Assert(t, err, qt.IsNil)
}

// Guards against a configuration change that does not reach entries and agents, or is
// replaced by an older version, against a start at a drained worker or in an evacuated
// zone, also if the agent doesn't refuse it, and against a job that waits there.
func TestConfigurationReachesAgents(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name               string
		change             func(c *config.Config)
		drained, evacuated bool
		code               int
		reason             api.Reason
	}{
		{"drain", drainW1, true, false, 422, api.ReasonNoWorker},
		{"evacuation", func(c *config.Config) { c.EvacuatedZones = []string{"salalah-kiln"} }, false, true, 503, api.ReasonOverload},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			n := c.start("e1")
			a := c.newAgent("w1", 11, echoResult)
			a.connect(n, "")
			row, err := c.platform.Get(context.Background(), table.RowConfig)
			qt.Assert(t, err, qt.IsNil)
			_, err = c.platform.CompareAndSet(context.Background(), table.RowConfig, row.Version, withNextVersion(t, row.Value, tc.change))
			qt.Assert(t, err, qt.IsNil)
			eventually(t, "the agent has version 2", func() bool {
				a.mu.Lock()
				defer a.mu.Unlock()
				return a.config.Version == 2 && a.config.Drain
			})
			w := n.Workers(context.Background())
			qt.Assert(t, w, qt.HasLen, 1)
			qt.Assert(t, []bool{w[0].Drained, w[0].Evacuated}, qt.DeepEquals, []bool{tc.drained, tc.evacuated})
			began := time.Now()
			code, ans := n.submit(newKey(t), job(1))
			qt.Assert(t, []any{code, ans.Reason, ans.Ran}, qt.DeepEquals, []any{tc.code, tc.reason, api.RanNo})
			qt.Assert(t, time.Since(began) < maxBlockedWait, qt.IsTrue)
		})
	}
}

// Guards against a worker that counts as failing, and is ejected when its zone is
// restored, because it refused the starts that were under way or held when the zone was
// evacuated.
func TestRefusalOfLeavingWorkerIsNoFailure(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	refusals := 0
	c.newAgent("w1", 11, func(s *wire.Start) *wire.Result {
		if refusals++; refusals <= 6 {
			return &wire.Result{Outcome: wire.OutcomeRefused, Ran: wire.RanNo, Reason: wire.ReasonLeaving}
		}
		return echoResult(s)
	}).connect(n, "")
	code, ans := n.submit(newKey(t), job(1))
	qt.Assert(t, []any{code, ans.Verdict}, qt.DeepEquals, []any{200, api.Complete})
	agents, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) []placement.AgentStatus { return ls.placement.Agents(ls.now()) })
	qt.Assert(t, []any{agents[0].FailureRate, agents[0].Ejected}, qt.DeepEquals, []any{0.0, false})
}

// Guards against an entry that keeps an old configuration because it can reach
// its peers but not the platform.
func TestConfigurationFromPeer(t *testing.T) {
	t.Parallel()
	c, e1, e2, _ := startPair(t, echoResult)
	e2.platform.unavailable.Store(true)
	row, err := c.platform.Get(context.Background(), table.RowConfig)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.platform.CompareAndSet(context.Background(), table.RowConfig, row.Version, withNextVersion(t, row.Value, drainW1))
	qt.Assert(t, err, qt.IsNil)
	for _, n := range []*node{e1, e2} {
		eventually(t, "version 2 is in effect", func() bool { return n.Status(context.Background()).ConfigVersion == 2 })
	}
}
