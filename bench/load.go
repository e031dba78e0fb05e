package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamelift/sesamelift/api"
)

const (
	// resubmitPause is how long a caller waits before it sends the same key
	// again after its connection broke or the entry was not ready.
	resubmitPause = 50 * time.Millisecond
	// answerGrace is how long beyond the deadline a caller waits for an answer.
	answerGrace = 3 * time.Second
)

// outcome is what the caller of a job saw.
type outcome struct {
	// answer is nil if none arrived.
	answer    *api.Answer
	response  time.Duration // from the time of arrival in the trace
	resubmits int
	cancelled bool
	wrong     string // why the answer is wrong, or empty
}

// onTime reports whether the job was complete within its deadline.
func (o *outcome) onTime(j *job) bool {
	return o.answer != nil && o.answer.Verdict == api.Complete && o.response <= j.deadline
}

// callers submits the jobs of a trace over HTTP, each at its time whether or
// not earlier ones have been answered.
type callers struct {
	client *http.Client
	// addresses of the entries, in turn as behind a load balancer.
	addresses []string
	turn      atomic.Uint32
	tokens    map[string]string
	began     time.Time
	jobs      []job
	outcomes  []outcome
	pending   sync.WaitGroup
	mu        sync.Mutex
	waiting   map[int]bool
}

func newCallers(addresses []string, tokens map[string]string, jobs []job) *callers {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     time.Minute,
	}
	return &callers{
		client: &http.Client{Transport: t}, addresses: addresses, tokens: tokens,
		jobs: jobs, outcomes: make([]outcome, len(jobs)), waiting: map[int]bool{},
	}
}

// run submits all jobs and waits for their answers.
func (c *callers) run(ctx context.Context) {
	for i := range c.jobs {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(c.began.Add(c.jobs[i].at))):
		}
		c.pending.Add(1)
		go func() {
			defer c.pending.Done()
			c.submit(ctx, i)
		}()
	}
	c.pending.Wait()
	c.client.CloseIdleConnections()
}

// submit sends one job until there is an answer. A job whose connection broke is
// sent again under the same key, as the interface allows.
func (c *callers) submit(ctx context.Context, i int) {
	j, o := &c.jobs[i], &c.outcomes[i]
	c.setWaiting(i, true)
	defer c.setWaiting(i, false)
	due := c.began.Add(j.at)
	last := due.Add(j.deadline + answerGrace)
	ctx, cancel := context.WithDeadline(ctx, last)
	defer cancel()
	for ctx.Err() == nil {
		left := max(time.Until(due.Add(j.deadline)), time.Millisecond)
		a, err := c.post(ctx, j, left)
		if err == nil && a.State == api.StateDone && a.Reason != api.ReasonNotReady {
			o.answer, o.response = a, time.Since(due)
			o.wrong = checkAnswer(j, a)
			return
		}
		o.resubmits++
		select {
		case <-ctx.Done():
		case <-time.After(resubmitPause):
		}
	}
	o.response = time.Since(due)
}

func (c *callers) post(ctx context.Context, j *job, left time.Duration) (*api.Answer, error) {
	return c.call(ctx, http.MethodPost, "/v1/jobs", j, submission(j, left))
}

// cancel cancels a job at one of the entries.
func (c *callers) cancel(ctx context.Context, i int) {
	c.mu.Lock()
	c.outcomes[i].cancelled = true
	c.mu.Unlock()
	_, _ = c.call(ctx, http.MethodDelete, "/v1/jobs/"+c.jobs[i].key.String(), &c.jobs[i], nil)
}

func (c *callers) call(ctx context.Context, method, path string, j *job, body any) (*api.Answer, error) {
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	address := c.addresses[int(c.turn.Add(1))%len(c.addresses)]
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Idempotency-Key", j.key.String())
	r.Header.Set("Authorization", "Bearer "+c.tokens[j.team])
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	var a api.Answer
	return &a, json.Unmarshal(text, &a)
}

func (c *callers) setWaiting(i int, waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waiting {
		c.waiting[i] = true
	} else {
		delete(c.waiting, i)
	}
}

// inProgress returns the jobs without an answer.
func (c *callers) inProgress() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]int, 0, len(c.waiting))
	for i := range c.waiting {
		out = append(out, i)
	}
	return out
}

// taskBody is the body of a task for the stand-in backend server. ID comes back
// in the result and shows a result that belongs to another task.
type taskBody struct {
	WorkMS float64 `json:"work_ms"`
	ID     string  `json:"id"`
}

func taskID(j *job, task int) string { return fmt.Sprintf("%s/%d", j.key, task) }

func submission(j *job, left time.Duration) *api.Submission {
	s := &api.Submission{Service: serviceName, Type: j.typ, Team: j.team, DeadlineMS: max(left.Milliseconds(), 1)}
	for t, w := range j.work {
		b, _ := json.Marshal(taskBody{WorkMS: w.Seconds() * 1000, ID: taskID(j, t)})
		s.Tasks = append(s.Tasks, b)
	}
	return s
}

// checkAnswer returns why an answer is wrong, or "". A failed answer must hold
// no results; a complete one must hold the result of each task in order.
func checkAnswer(j *job, a *api.Answer) string {
	if a.Key != j.key {
		return "answer to another key"
	}
	if a.Verdict != api.Complete {
		if len(a.Results) > 0 {
			return "failed answer with results"
		}
		return ""
	}
	if len(a.Results) != len(j.work) {
		return fmt.Sprintf("%d results for %d tasks", len(a.Results), len(j.work))
	}
	for t, b := range a.Results {
		var r struct {
			Echo taskBody `json:"echo"`
		}
		if err := json.Unmarshal(b, &r); err != nil || r.Echo.ID != taskID(j, t) {
			return fmt.Sprintf("result %d does not belong to task %s", t, taskID(j, t))
		}
	}
	return ""
}
