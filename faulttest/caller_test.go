package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/client"
	"github.com/sesamelift/sesamelift/standin"
)

// work is the body of a task. ID lets the caller recognise its own result.
type work struct {
	WorkMS int    `json:"work_ms"`
	ID     string `json:"id"`
}

func submission(key api.Key, tasks, ms int) *api.Submission {
	s := &api.Submission{Service: "dispatch", Type: "booking", Team: "depots"}
	for i := range tasks {
		b, _ := json.Marshal(work{WorkMS: ms, ID: fmt.Sprintf("%s/%d", key, i)})
		s.Tasks = append(s.Tasks, b)
	}
	return s
}

// submit sends a job to the first of the entries that answers within limit. It
// returns nil when there is no answer. Every answer is checked.
func (c *cluster) submit(entries []string, key api.Key, tasks, ms int, limit time.Duration) *api.Answer {
	return c.submitJob(entries, key, submission(key, tasks, ms), limit)
}

func (c *cluster) submitJob(entries []string, key api.Key, s *api.Submission, limit time.Duration) *api.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a, err := client.New(entries, teamToken).Submit(ctx, key, s)
	if err != nil {
		return nil
	}
	c.note(key, len(s.Tasks), a)
	return a
}

// cancel cancels a job at the first entry that answers.
func (c *cluster) cancel(key api.Key, tasks int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := client.New(c.callers(1), teamToken).Cancel(ctx, key)
	if err != nil {
		c.t.Errorf("key %s: the cancellation got no answer: %v", key, err)
		return
	}
	if a.State == api.StateDone {
		c.note(key, tasks, a)
	}
}

// note checks an answer on its own and keeps it for verify.
func (c *cluster) note(key api.Key, tasks int, a *api.Answer) {
	c.mu.Lock()
	h := c.seen[key]
	if h == nil {
		h = &history{tasks: tasks}
		c.seen[key] = h
	}
	h.answers = append(h.answers, a)
	c.mu.Unlock()
	switch {
	case a.Key != key || a.State != api.StateDone:
		c.t.Errorf("key %s: not an answer to it: %+v", key, a)
	case a.Verdict == api.Failed && len(a.Results) == 0 && (a.Ran == api.RanNo || a.Ran == api.RanMaybe || a.Ran == api.RanYes):
	case a.Verdict != api.Complete || len(a.Results) != tasks:
		c.t.Errorf("key %s: neither complete nor failed: verdict %q, ran %q, %d results for %d tasks", key, a.Verdict, a.Ran, len(a.Results), tasks)
	default:
		c.checkResults(key, a)
	}
}

func (c *cluster) checkResults(key api.Key, a *api.Answer) {
	for i, r := range a.Results {
		var got standin.TaskResult
		var echo work
		if json.Unmarshal(r, &got) != nil || json.Unmarshal(got.Echo, &echo) != nil || echo.ID != fmt.Sprintf("%s/%d", key, i) {
			c.t.Errorf("key %s: result %d is not that of its task: %s", key, i, r)
		}
	}
}

// verify compares all answers with the runs at the backend servers.
func (c *cluster) verify() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.runs.Repeated() {
		c.t.Errorf("key %s: task %d was run %d times", x.Key, x.Task, c.runs.Count(x))
	}
	for key, h := range c.seen {
		runs := len(c.runs.Of(key))
		complete, refused := false, false
		for _, a := range h.answers {
			complete = complete || a.Verdict == api.Complete
			refused = refused || a.Ran == api.RanNo
		}
		if refused && runs > 0 {
			c.t.Errorf("key %s: an answer says \"not run\", and %d tasks were run: %s", key, runs, describe(h.answers))
		}
		if complete && runs != h.tasks {
			c.t.Errorf("key %s: an answer is complete, and %d of %d tasks were run", key, runs, h.tasks)
		}
	}
}

func describe(answers []*api.Answer) string {
	s := ""
	for _, a := range answers {
		s += fmt.Sprintf("%s ran:%s %s (%s); ", a.Verdict, a.Ran, a.Reason, a.Message)
	}
	return s
}

// outcome is what a caller got for one job.
type outcome struct {
	key       api.Key
	submitted time.Time
	took      time.Duration
	answer    *api.Answer
}

func (o outcome) complete() bool { return o.answer != nil && o.answer.Verdict == api.Complete }

func (o outcome) String() string {
	if o.answer == nil {
		return fmt.Sprintf("key %s, submitted %s, %v: no answer", o.key, o.submitted.Format("05.000"), o.took)
	}
	return fmt.Sprintf("key %s, submitted %s, %v: %s", o.key, o.submitted.Format("05.000"), o.took, describe([]*api.Answer{o.answer}))
}

// insist submits the same key again, each time at the next entry, while the
// answer says that the owner of the key changes.
func (c *cluster) insist(first int, key api.Key, tasks, ms int, limit time.Duration) outcome {
	o := outcome{key: key, submitted: time.Now()}
	for i := first; time.Since(o.submitted) < limit; i++ {
		a := c.submit(c.callers(i), key, tasks, ms, limit-time.Since(o.submitted))
		o.took = time.Since(o.submitted)
		if a != nil {
			o.answer = a
		}
		if a != nil && a.Reason != api.ReasonOwnerChange && a.Reason != api.ReasonOwnerUnreachable {
			break
		}
	}
	return o
}

// load is a number of callers that submit one job after the other.
type load struct {
	wg      sync.WaitGroup
	stopped atomic.Bool
	mu      sync.Mutex
	done    []outcome
}

func (c *cluster) load(callers, tasks, ms int) *load {
	l := &load{}
	for i := range callers {
		l.wg.Go(func() {
			for !l.stopped.Load() {
				o := c.insist(i, c.key(), tasks, ms, 20*time.Second)
				l.mu.Lock()
				l.done = append(l.done, o)
				l.mu.Unlock()
			}
		})
	}
	return l
}

// finish waits for the answers to the jobs in progress.
func (l *load) finish() []outcome {
	l.stopped.Store(true)
	l.wg.Wait()
	return l.done
}
