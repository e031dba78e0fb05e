package entry

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/config"
	"github.com/sesamelift/sesamelift/ingress"
	"github.com/sesamelift/sesamelift/queue"
	"github.com/sesamelift/sesamelift/wire"
)

// workersOf returns the worker of each listed task.
func workersOf(x *ingress.Explanation) []string {
	var out []string
	for _, t := range x.Tasks {
		out = append(out, t.Worker)
	}
	return out
}

// Guards against an explanation that differs from what happens to the same job submitted
// right after it, and against one that changes the state.
func TestExplainMatchesSubmission(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.startConfigured("e1")
	agents := map[string]*fakeAgent{}
	for i := range 3 {
		a := c.newAgent(fmt.Sprintf("w%d", i+1), uint64(11+i), nil)
		a.connect(n, "")
		agents[a.worker] = a
	}
	held := func() map[string]int {
		out := map[string]int{}
		for name, a := range agents {
			a.mu.Lock()
			out[name] = len(a.held)
			a.mu.Unlock()
		}
		return out
	}
	ctx, placed := context.Background(), 0
	// The last jobs find no free slot for some of their tasks.
	for round, tasks := range []int{1, 1, 4, 1, 7, 2, 1, 9, 3} {
		x := n.Explain(ctx, job(tasks))
		qt.Assert(t, workersOf(n.Explain(ctx, job(tasks))), qt.DeepEquals, workersOf(x), qt.Commentf("round %d: asked twice", round))
		want := held()
		starts := 0
		for _, w := range workersOf(x) {
			if w != "" {
				want[w]++
				starts++
			}
		}
		qt.Assert(t, x.Decision == ingress.Placed, qt.Equals, starts == tasks)
		n.submitAsync(newKey(t), job(tasks))
		placed += starts
		eventually(t, "the tasks have started", func() bool {
			total := 0
			for _, h := range held() {
				total += h
			}
			return total >= placed
		})
		eventually(t, "the other tasks wait", func() bool {
			running, _ := postAndWait(ctx, n.Entry, func(ls *loopState) int { return ls.jobs.Running() })
			return running == round+1
		})
		qt.Assert(t, held(), qt.DeepEquals, want, qt.Commentf("round %d", round))
	}
	x := n.Explain(ctx, job(2))
	qt.Assert(t, []any{x.Decision, x.Ahead.Waiting, x.Tasks[0].Rule}, qt.DeepEquals, []any{ingress.Waits, 29 - placed, "no worker that may run it has a free slot"})
	for _, candidate := range x.Tasks[0].Candidates {
		qt.Check(t, candidate.Excluded, qt.Equals, "no free slot")
	}
}

// Guards against an explanation that doesn't say why a job is refused or waits, or which
// workers are excluded, and against one that is counted as a job.
func TestExplainRefusals(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.startConfigured("e1")
	c.newAgent("w1", 11, echoResult).connect(n, "")
	ctx := context.Background()
	change := func(f func(c *config.Config)) {
		_, ok := postAndWait(ctx, n.Entry, func(ls *loopState) bool {
			cfg := *ls.config
			cfg.Version++
			f(&cfg)
			ls.setConfig(&cfg)
			return true
		})
		qt.Assert(t, ok, qt.IsTrue)
	}
	unknown := job(1)
	unknown.Service = "other"
	x := n.Explain(ctx, unknown)
	qt.Check(t, []any{x.Decision, x.Message}, qt.DeepEquals, []any{ingress.Refused, `service "other" is not in the configuration`})

	change(func(c *config.Config) { c.Teams = []config.Team{{Name: "kiln", Quota: 2, Weight: 1}} })
	x = n.Explain(ctx, job(3))
	qt.Check(t, []any{x.Decision, x.Reason, x.Admission.Quota}, qt.DeepEquals, []any{ingress.Refused, refusalReason(n, 3), 2})
	x = n.Explain(ctx, job(2))
	qt.Check(t, []any{x.Decision, x.Admission.InProgress}, qt.DeepEquals, []any{ingress.Placed, 0})

	change(func(c *config.Config) { c.EvacuatedZones = []string{"salalah-kiln"} })
	x = n.Explain(ctx, job(1))
	qt.Check(t, []any{x.Decision, x.Message, x.Tasks[0].Candidates[0].Excluded}, qt.DeepEquals, []any{ingress.Refused, `the workers that serve "cleft-assessor" are in evacuated zones`, "evacuated zone"})

	_, _ = postAndWait(ctx, n.Entry, func(ls *loopState) bool {
		connect(ls, "w2", 12, "taqah-shed", []string{"cleft-assessor"}, wire.Load{Slots: 8})
		ls.updateLoad(ls.agents[12], wire.Load{Slots: 8, Leaving: true}, nil, ls.now().Add(time.Minute))
		return true
	})
	x = n.Explain(ctx, job(1))
	qt.Check(t, []any{x.Decision, x.Tasks[0].Rule}, qt.DeepEquals, []any{ingress.Waits, "waits for a worker that is expected to accept tasks"})
}

// refusalReason returns the reason for which a job is refused.
func refusalReason(n *node, tasks int) any {
	reason, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) any {
		v, _ := ls.admit(&request{sub: job(tasks), deadline: ls.now().Add(time.Second)}, false, ls.now())
		return v.Reason
	})
	return reason
}

// Guards against a queue ahead that isn't the one in which the tasks are then served: within a
// team the job with the fewest unfinished tasks goes first.
func TestExplainQueueAhead(t *testing.T) {
	now := time.Now()
	q := queue.New(queue.Options{})
	for i, tasks := range []int{2, 5} {
		j := queue.Job{Key: wire.Key{byte(i + 1)}, Service: "s", Team: "kiln", Arrived: now, Tasks: tasks}
		q.Add(j, make([]uint16, tasks)...)
	}
	s := explainedState{now: now, queue: q, job: queue.Job{Key: explainedKey, Service: "s", Team: "kiln", Arrived: now, Tasks: 3}}
	q.Add(s.job, 0, 1, 2)
	first, last := s.tasksAhead()
	qt.Assert(t, []int{first, last, q.Len()}, qt.DeepEquals, []int{2, 2, 10})
}

// Guards against an explanation that counts against the quota or leaves tasks in the queue.
func TestExplainChangesNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	n := c.startConfigured("e1")
	c.newAgent("w1", 11, nil).connect(n, "")
	same, _ := postAndWait(context.Background(), n.Entry, func(ls *loopState) bool {
		admission, queue := ls.admission.Clone(), ls.queue.Clone()
		ls.admitToCopy(job(20), time.Second).place()
		return reflect.DeepEqual(admission, ls.admission) && reflect.DeepEqual(queue, ls.queue) && ls.jobs.Running() == 0
	})
	qt.Assert(t, same, qt.IsTrue)
}
