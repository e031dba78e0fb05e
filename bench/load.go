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
	// resubmitDelay is how long a caller waits before it submits the same key
	// again after a failed connection or an entry that was not ready.
	resubmitDelay = 50 * time.Millisecond
	// answerGracePeriod is how long a caller waits for an answer past the deadline.
	answerGracePeriod = 3 * time.Second
)

// outcome is the result of a job as its caller sees it.
type outcome struct {
	// answer is nil if the job was not answered.
	answer       *api.Answer
	responseTime time.Duration // from the arrival time in the trace
	resubmits    int
	cancelled    bool
	answerError  string // why the answer is invalid, or empty
}

// onTime reports whether the job was complete within its deadline.
func (o *outcome) onTime(j *job) bool {
	return o.answer != nil && o.answer.Verdict == api.Complete && o.responseTime <= j.deadline
}

// callers submits the jobs of a trace over HTTP. It is an open-loop generator:
// each job is submitted at its arrival time, whether or not earlier jobs have been
// answered.
type callers struct {
	client *http.Client
	// addresses are those of the entries, used round-robin as by a load balancer.
	addresses   []string
	nextAddress atomic.Uint32
	tokens      map[string]string
	startTime   time.Time
	jobs        []job
	outcomes    []outcome
	pending     sync.WaitGroup
	mu          sync.Mutex
	outstanding map[int]bool
}

func newCallers(addresses []string, tokens map[string]string, jobs []job) *callers {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     time.Minute,
	}
	return &callers{
		client: &http.Client{Transport: t}, addresses: addresses, tokens: tokens,
		jobs: jobs, outcomes: make([]outcome, len(jobs)), outstanding: map[int]bool{},
	}
}

// run submits all jobs and waits until each is answered or given up.
func (c *callers) run(ctx context.Context) {
	for i := range c.jobs {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(c.startTime.Add(c.jobs[i].arrival))):
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

// submit submits a job and waits for the answer until answerGracePeriod after the
// deadline. After a failed connection, or if the entry was not ready, it submits the
// job again under the same key, as the API allows.
func (c *callers) submit(ctx context.Context, i int) {
	j, o := &c.jobs[i], &c.outcomes[i]
	c.setOutstanding(i, true)
	defer c.setOutstanding(i, false)
	arrival := c.startTime.Add(j.arrival)
	giveUpAt := arrival.Add(j.deadline + answerGracePeriod)
	ctx, cancel := context.WithDeadline(ctx, giveUpAt)
	defer cancel()
	for ctx.Err() == nil {
		remaining := max(time.Until(arrival.Add(j.deadline)), time.Millisecond)
		a, err := c.post(ctx, j, remaining)
		if err == nil && a.State == api.StateDone && a.Reason != api.ReasonNotReady {
			o.answer, o.responseTime = a, time.Since(arrival)
			o.answerError = checkAnswer(j, a)
			return
		}
		o.resubmits++
		select {
		case <-ctx.Done():
		case <-time.After(resubmitDelay):
		}
	}
	o.responseTime = time.Since(arrival)
}

func (c *callers) post(ctx context.Context, j *job, remaining time.Duration) (*api.Answer, error) {
	return c.call(ctx, http.MethodPost, "/v1/jobs", j, submission(j, remaining))
}

// cancel sends a cancellation of the job to one of the entries.
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
	address := c.addresses[int(c.nextAddress.Add(1))%len(c.addresses)]
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

func (c *callers) setOutstanding(i int, outstanding bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if outstanding {
		c.outstanding[i] = true
	} else {
		delete(c.outstanding, i)
	}
}

// outstandingJobs returns the indexes of the submitted jobs without an answer.
func (c *callers) outstandingJobs() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]int, 0, len(c.outstanding))
	for i := range c.outstanding {
		out = append(out, i)
	}
	return out
}

// taskBody is the body of a task for the stand-in backend server, which echoes it
// in the result. ID shows to which task a result belongs.
type taskBody struct {
	WorkMS float64 `json:"work_ms"`
	ID     string  `json:"id"`
}

func taskID(j *job, task int) string { return fmt.Sprintf("%s/%d", j.key, task) }

func submission(j *job, remaining time.Duration) *api.Submission {
	s := &api.Submission{Service: serviceName, Type: j.requestType, Team: j.team, DeadlineMS: max(remaining.Milliseconds(), 1)}
	for t, w := range j.work {
		b, _ := json.Marshal(taskBody{WorkMS: w.Seconds() * 1000, ID: taskID(j, t)})
		s.Tasks = append(s.Tasks, b)
	}
	return s
}

// checkAnswer returns why an answer is invalid, or "". A failed answer must have
// no results; a complete one must have the result of each task, in task order.
func checkAnswer(j *job, a *api.Answer) string {
	if a.Key != j.key {
		return "answer for a different key"
	}
	if a.Verdict != api.Complete {
		if len(a.Results) > 0 {
			return "failed answer has results"
		}
		return ""
	}
	if len(a.Results) != len(j.work) {
		return fmt.Sprintf("got %d results for %d tasks", len(a.Results), len(j.work))
	}
	for t, b := range a.Results {
		var r struct {
			Echo taskBody `json:"echo"`
		}
		if err := json.Unmarshal(b, &r); err != nil || r.Echo.ID != taskID(j, t) {
			return fmt.Sprintf("result %d is not the result of task %s", t, taskID(j, t))
		}
	}
	return ""
}
