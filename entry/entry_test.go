package entry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/jobs"
	"github.com/sesamelift/sesamelift/wire"
)

// Guards against an answer with missing results or with results out of task
// order.
func TestCompleteAnswerInTaskOrder(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	a := c.newAgent("w1", 11, echoResult)
	a.connect(n, "")
	code, ans := n.submit(newKey(t), job(40))
	qt.Assert(t, code, qt.Equals, 200, qt.Commentf("%+v", ans))
	qt.Assert(t, ans.Verdict, qt.Equals, api.Complete)
	qt.Assert(t, ans.TraceID, qt.Not(qt.Equals), "")
	qt.Assert(t, ans.Results, qt.HasLen, 40)
	for i, r := range ans.Results {
		qt.Assert(t, string(r), qt.Equals, fmt.Sprintf(`{"echo":{"n":%d},"task":%d}`, i, i))
	}
	tasks, maxRuns := a.started()
	qt.Assert(t, []int{tasks, maxRuns}, qt.DeepEquals, []int{40, 1})
}

// Guards against a task that is lost or started twice when an agent is busy,
// and against results that are assigned to the wrong task when they arrive out
// of order.
func TestBusyAgentAndReorderedResults(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	refused := map[string]bool{}
	a := c.newAgent("w1", 11, func(s *wire.Start) *wire.Result {
		id := fmt.Sprint(s.Key, s.Task)
		if s.Task%3 == 0 && !refused[id] {
			refused[id] = true
			return &wire.Result{Outcome: wire.OutcomeBusy, Ran: wire.RanNo}
		}
		return nil
	})
	a.connect(n, "")
	first, second := n.submitAsync(newKey(t), job(4)), n.submitAsync(newKey(t), job(4))
	a.waitHeld(8)
	a.finish("e1") // in reverse order of the starts
	for _, ch := range []<-chan submitResult{first, second} {
		r := <-ch
		qt.Assert(t, r.code, qt.Equals, 200, qt.Commentf("%+v", r.answer))
		for i, res := range r.answer.Results {
			qt.Assert(t, string(res), qt.Equals, fmt.Sprintf(`{"echo":{"n":%d},"task":%d}`, i, i))
		}
	}
	tasks, maxRuns := a.started()
	qt.Assert(t, []int{tasks, maxRuns}, qt.DeepEquals, []int{8, 1})
}

// Guards against a second run or a partial answer when an agent with started
// tasks is lost.
func TestAgentKilled(t *testing.T) {
	t.Parallel()
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarted %v", restarted), func(t *testing.T) {
			c := newCluster(t)
			n := c.start("e1")
			a := c.newAgent("w1", 11, nil)
			conn := a.connect(n, "")
			other := c.newAgent("w2", 12, nil)
			other.connect(n, "")
			key := newKey(t)
			// Neither agent has slots for all tasks, so that both get some.
			const tasks = 10
			pending := n.submitAsync(key, job(tasks))
			eventually(t, "all tasks have started", func() bool {
				atLost, _ := a.started()
				atOther, _ := other.started()
				return atLost+atOther == tasks
			})
			atOther, _ := other.started()
			other.finish("e1")
			eventually(t, "the entry has the results of the other agent", func() bool {
				finished, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) int { return ls.jobs.Job(key).Finished() })
				return finished == atOther
			})
			conn.Close(nil)
			began := time.Now()
			if restarted {
				c.newAgent("w1", 13, echoResult).connect(n, "")
			}
			r := <-pending
			qt.Assert(t, r.code, qt.Equals, 502, qt.Commentf("%+v", r.answer))
			qt.Assert(t, []any{r.answer.Reason, r.answer.Ran, len(r.answer.Results)}, qt.DeepEquals, []any{api.ReasonTaskInDoubt, api.RanYes, 0})
			qt.Assert(t, r.answer.RetrySafe, qt.IsFalse)
			qt.Assert(t, time.Since(began) < jobs.SettleWait+time.Second, qt.IsTrue)
			if restarted {
				qt.Assert(t, time.Since(began) < jobs.SettleWait, qt.IsTrue)
			}
			code, repeated := n.submit(key, job(tasks))
			qt.Assert(t, []any{code, repeated.Reason}, qt.DeepEquals, []any{502, api.ReasonTaskInDoubt})
		})
	}
}

// udpProxy forwards the UDP packets of one client and can drop them.
type udpProxy struct {
	front, back *net.UDPConn
	client      atomic.Pointer[net.UDPAddr]
	drop        atomic.Bool
}

func newUDPProxy(t *testing.T, to string) *udpProxy {
	addr, err := net.ResolveUDPAddr("udp", to)
	qt.Assert(t, err, qt.IsNil)
	p := &udpProxy{}
	p.front, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	p.back, err = net.DialUDP("udp", nil, addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = p.front.Close(); _ = p.back.Close() })
	go func() {
		b := make([]byte, 65536)
		for n, a, err := p.front.ReadFromUDP(b); err == nil; n, a, err = p.front.ReadFromUDP(b) {
			p.client.Store(a)
			if !p.drop.Load() {
				_, _ = p.back.Write(b[:n])
			}
		}
	}()
	go func() {
		b := make([]byte, 65536)
		for n, err := p.back.Read(b); err == nil; n, err = p.back.Read(b) {
			if !p.drop.Load() {
				_, _ = p.front.WriteToUDP(b[:n], p.client.Load())
			}
		}
	}()
	return p
}

// Guards against a job that hangs or runs twice when packets of an agent
// connection are dropped while new connections work.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	a := c.newAgent("w1", 11, nil)
	proxy := newUDPProxy(t, n.PeerAddr())
	a.connect(n, proxy.front.LocalAddr().String())
	pending := n.submitAsync(newKey(t), job(3))
	a.waitHeld(3)
	proxy.drop.Store(true)
	a.connect(n, "") // dials again while the entry still holds the old connection
	a.finish("e1")
	got := <-pending
	qt.Assert(t, got.code, qt.Equals, 200, qt.Commentf("%+v", got.answer))
	tasks, maxRuns := a.started()
	qt.Assert(t, []int{tasks, maxRuns}, qt.DeepEquals, []int{3, 1})
}

// Guards against the loss of results that were sent on a connection whose
// packets are dropped.
func TestResultLostWithConnection(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	a := c.newAgent("w1", 11, nil)
	proxy := newUDPProxy(t, n.PeerAddr())
	conn := a.connect(n, proxy.front.LocalAddr().String())
	pending := n.submitAsync(newKey(t), job(3))
	a.waitHeld(3)
	proxy.drop.Store(true)
	a.finish("e1")
	eventually(t, "the entry closes the silent connection", func() bool {
		lost, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) bool { return ls.agents[11].conn == nil })
		return lost
	})
	conn.Close(nil)
	a.connect(n, "")
	got := <-pending
	qt.Assert(t, got.code, qt.Equals, 200, qt.Commentf("%+v", got.answer))
	tasks, maxRuns := a.started()
	qt.Assert(t, []int{tasks, maxRuns}, qt.DeepEquals, []int{3, 1})
}

// Guards against a job that is refused for lack of workers while all agents
// reconnect.
func TestJobWaitsForDisconnectedAgents(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	a := c.newAgent("w1", 11, echoResult)
	conn := a.connect(n, "")
	conn.Close(nil)
	eventually(t, "the entry has noticed the closed connection", func() bool {
		lost, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) bool { return ls.agents[11].conn == nil })
		return lost
	})
	pending := n.submitAsync(newKey(t), job(3))
	time.Sleep(100 * time.Millisecond)
	a.connect(n, "")
	got := <-pending
	qt.Assert(t, got.code, qt.Equals, 200, qt.Commentf("%+v", got.answer))
}

// Guards against a cancellation or deadline that leads to a second or partial
// answer, or to a wrong value of ran.
func TestCancelAndDeadline(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name     string
		agent    bool
		deadline int64
		cancel   bool
		code     int
		reason   api.Reason
		ran      api.Ran
	}{
		{"cancelled while started", true, 5000, true, 409, api.ReasonCancelled, api.RanMaybe},
		{"deadline while started", true, 300, false, 504, api.ReasonDeadlineExceeded, api.RanMaybe},
		{"deadline in the past", true, -1, false, 504, api.ReasonDeadlinePast, api.RanNo},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			c := newCluster(t)
			n := c.start("e1")
			a := c.newAgent("w1", 11, nil)
			a.connect(n, "")
			key, s := newKey(t), job(2)
			s.DeadlineMS = r.deadline
			began := time.Now()
			pending := n.submitAsync(key, s)
			if r.cancel {
				a.waitHeld(2)
				code, ans := n.call("DELETE", "/v1/jobs/"+key.String(), teamToken, nil, nil)
				qt.Assert(t, []any{code, ans.Reason}, qt.DeepEquals, []any{200, api.ReasonCancelled})
			}
			got := <-pending
			qt.Assert(t, []any{got.code, got.answer.Reason, got.answer.Ran}, qt.DeepEquals, []any{r.code, r.reason, r.ran})
			qt.Assert(t, time.Since(began) < 2*time.Second, qt.IsTrue)
			a.finish("e1")
			code, repeated := n.call("GET", "/v1/jobs/"+key.String(), teamToken, nil, nil)
			qt.Assert(t, []any{code, repeated.Reason, len(repeated.Results)}, qt.DeepEquals, []any{r.code, r.reason, 0})
		})
	}
}

// Guards against a job whose body was read so late that its deadline has passed, and which
// runs nevertheless.
func TestAgeCountsTowardsTheDeadline(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	a := c.newAgent("w1", 11, nil)
	a.connect(n, "")
	s := job(1)
	s.DeadlineMS = 5000
	got := n.Submit(context.Background(), newKey(t), s, 6*time.Second, true)
	qt.Assert(t, []any{got.Reason, got.Ran}, qt.DeepEquals, []any{api.ReasonDeadlinePast, api.RanNo})
}

// Guards against a job that runs twice because its caller submitted it twice,
// and against teams that see each other's jobs.
func TestRepeatedSubmission(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	a := c.newAgent("w1", 11, nil)
	a.connect(n, "")
	key := newKey(t)
	first, second := n.submitAsync(key, job(3)), n.submitAsync(key, job(3))
	a.waitHeld(3)
	path := "/v1/jobs/" + key.String()
	code, ans := n.call("POST", "/v1/jobs?wait=false", teamToken, key, job(3))
	qt.Assert(t, []any{code, ans.State, ans.Tasks}, qt.DeepEquals, []any{202, api.StateRunning, 3})
	for _, method := range []string{"GET", "DELETE"} {
		code, ans = n.call(method, path, otherToken, nil, nil)
		qt.Assert(t, []any{code, ans.Reason}, qt.DeepEquals, []any{404, api.ReasonUnknownKey})
	}
	code, ans = n.submit(key, job(2))
	qt.Assert(t, []any{code, ans.Reason}, qt.DeepEquals, []any{409, api.ReasonKeyConflict})
	go func() { time.Sleep(50 * time.Millisecond); a.finish("e1") }()
	code, ans = n.call("GET", path+"?wait=true", teamToken, nil, nil)
	qt.Assert(t, []any{code, len(ans.Results)}, qt.DeepEquals, []any{200, 3})
	for _, ch := range []<-chan submitResult{first, second} {
		r := <-ch
		qt.Assert(t, []any{r.code, len(r.answer.Results)}, qt.DeepEquals, []any{200, 3})
	}
	tasks, maxRuns := a.started()
	qt.Assert(t, []int{tasks, maxRuns}, qt.DeepEquals, []int{3, 1})
}

// Guards against a refusal with a wrong status code, reason or ran, and against
// ran=no before an agent has closed the key.
func TestRefusals(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	a := c.newAgent("w1", 11, echoResult)
	a.connect(n, "")
	change := func(f func(*api.Submission)) *api.Submission { s := job(1); f(s); return s }
	future, _ := api.ParseKey(api.NewKeyAt(time.Now().Add(time.Minute), 5).String())
	rows := []struct {
		name        string
		key         api.Key
		sub         *api.Submission
		ignoreClose bool
		code        int
		reason      api.Reason
		ran         api.Ran
	}{
		{"unknown service", newKey(t), change(func(s *api.Submission) { s.Service = "none" }), false, 404, api.ReasonUnknownService, api.RanNo},
		{"unknown type", newKey(t), change(func(s *api.Submission) { s.Type = "none" }), false, 422, api.ReasonUnknownType, api.RanNo},
		{"agent does not close the key", newKey(t), change(func(s *api.Submission) { s.Type = "none" }), true, 422, api.ReasonUnknownType, api.RanMaybe},
		{"expired", api.NewKeyAt(time.Now().Add(-api.KeyLifetime-api.ClockSkew), 5), job(1), false, 410, api.ReasonKeyExpired, api.RanMaybe},
		{"from the future", future, job(1), false, 400, api.ReasonKeyFromFuture, api.RanNo},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			a.mu.Lock()
			a.ignoreClose = r.ignoreClose
			before := a.closes
			a.mu.Unlock()
			for range 2 {
				code, ans := n.submit(r.key, r.sub)
				qt.Assert(t, []any{code, ans.Reason, ans.Ran}, qt.DeepEquals, []any{r.code, r.reason, r.ran})
			}
			a.mu.Lock()
			defer a.mu.Unlock()
			if r.ran == api.RanNo {
				qt.Assert(t, a.closes, qt.Equals, before+1)
			}
		})
	}
}

// Guards against ran=no from an entry that has no agent to close the key: if
// the entry leaves, the next owner may run a late copy of the job.
func TestRefusalWithoutAgents(t *testing.T) {
	t.Parallel()
	n := newCluster(t).start("e1")
	eventually(t, "the entry is ready", func() bool { return n.NotReadyReason() == "" })
	code, ans := n.submit(newKey(t), job(1))
	qt.Assert(t, []any{code, ans.Reason, ans.Ran}, qt.DeepEquals, []any{422, api.ReasonNoWorker, api.RanMaybe})
}

// Guards against an entry that is ready before it has read the configuration: jobs of known
// services were refused as unknown.
func TestEntryWithoutAConfigurationIsNotReady(t *testing.T) {
	t.Parallel()
	n := newCluster(t).start("e1")
	eventually(t, "the entry is ready", func() bool { return n.NotReadyReason() == "" })
	ready, ok := postAndWait(context.Background(), n.Entry, func(ls *loopState) [3]bool {
		read, deadline := ls.config, ls.readyDeadline
		check := func(c *config.Config, left time.Duration) bool {
			ls.ready, ls.config, ls.readyDeadline = false, c, ls.now().Add(left)
			ls.checkReady()
			return ls.ready
		}
		// At last as it was.
		result := [3]bool{check(&config.Config{}, time.Hour), check(&config.Config{}, 0), check(read, time.Hour)}
		ls.readyDeadline = deadline
		return result
	})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, ready, qt.Equals, [3]bool{false, true, true})
}

// Guards against an admitted job that loses tasks because the queue, which
// holds the tasks of all services, is full while the limit of each service is
// not reached.
func TestQueueOfEntryFull(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.start("e1")
	a := c.newAgent("w1", 11, func(*wire.Start) *wire.Result { return nil })
	a.connect(n, "")
	_, ok := postAndWait(context.Background(), n.Entry, func(ls *loopState) bool {
		ls.e.options.Settings.MaxQueuedTasks = 15
		return true
	})
	qt.Assert(t, ok, qt.IsTrue)
	first := n.submitAsync(newKey(t), job(10))
	a.waitHeld(8)
	code, ans := n.submit(newKey(t), job(14))
	qt.Assert(t, []any{code, ans.Reason, ans.Ran}, qt.DeepEquals, []any{503, api.ReasonOverload, api.RanNo})
	qt.Assert(t, ans.Message, qt.Contains, "the queue of the entry is full")
	a.mu.Lock()
	a.run = echoResult
	a.mu.Unlock()
	a.finish("e1")
	qt.Assert(t, (<-first).code, qt.Equals, 200)
}
