package site

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// maxLease limits how far beyond the current time a request can extend the lease.
	maxLease = time.Second
	// stopDelay is the time between a stop request and the end of the run.
	stopDelay = 20 * time.Millisecond
	// advanceInterval is the time between two calls of advance, which updates the
	// progress of the runs and checks the lease.
	advanceInterval = 5 * time.Millisecond
	// maxDelay is how late the worker may be in ending a run: it is allowed 50 ms to stop
	// one.
	maxDelay = 50*time.Millisecond - stopDelay - advanceInterval
	// announceTimeout limits the duration of an announcement.
	announceTimeout = time.Second
)

// WorkerFaults are the faults that a Worker injects.
type WorkerFaults struct {
	// Fail makes every running task fail immediately, Stall stops the progress of
	// all tasks.
	Fail  bool
	Stall bool
	// SlowFactor multiplies run times; 0 means 1.
	SlowFactor float64
	// LoseReplies executes start and stop requests, but drops their connections
	// without a reply.
	LoseReplies bool
	// DelayRequests leaves start and stop requests unanswered and executes them
	// after this delay.
	DelayRequests time.Duration
	// DelayReplies delays each reply by a random time up to this, so that replies
	// overtake each other.
	DelayReplies time.Duration
	// Share, if set, makes LoseReplies, DelayRequests and DelayReplies apply to that
	// share of all requests, including those that renew the lease. DelayRequests is
	// then the longest delay.
	Share float64
	// Silent leaves every request unanswered and does not execute it.
	Silent bool
}

// WorkerOptions configure a Worker.
type WorkerOptions struct {
	ID      string
	Service string
	// Zone is the availability zone; empty means z1.
	Zone string
	// MilliCPU is the capacity in thousandths of a core.
	MilliCPU int64
	// Speed divides the run time of tasks.
	Speed float64
	// AgentAddress is the IP address and port of the agent that the worker
	// announces itself to.
	AgentAddress string
	// Interval is the time between two announcements.
	Interval time.Duration
	// HideStopping leaves the runs that are being stopped out of the list of runs.
	HideStopping bool
	Audit        *Audit
}

// Spec is the task specification that Worker decodes from the spec of a start
// request. If it cannot be decoded, the task runs for 50 ms.
type Spec struct {
	// WorkMS is the run time at speed 1, in milliseconds.
	WorkMS int64 `json:"work_ms"`
	// MilliCPU is the CPU demand in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu"`
	// Fail makes the task fail at the end of its run time, on every worker.
	Fail bool `json:"fail"`
}

// Worker simulates one worker instance.
type Worker struct {
	options   WorkerOptions
	startedAt time.Time
	mu        sync.Mutex
	faults    WorkerFaults
	state     string
	runs      map[string]*workerRun
	// highestEndedAttempt holds, by task, the highest attempt that has ended or for
	// which a stop was requested. A start request for an attempt up to it is
	// rejected, unless that attempt is still running.
	highestEndedAttempt map[string]uint32
	// finished lists the ended runs that the agent has not acknowledged yet. Each
	// item holds a sequence number, the task, the attempt, the outcome and an empty
	// checkpoint.
	finished           [][]any
	lastFinishedNumber int64
	// leaseExpiry is the time at which all runs end unless the agent extends the
	// lease, which covers the whole worker.
	leaseExpiry time.Time
	// changed is closed and replaced whenever a run ends.
	changed chan struct{}
	seq     int
	crashed bool
	// fencingToken is the highest one seen. Requests with a lower one have no effect.
	fencingToken int64
}

type workerRun struct {
	task     string
	attempt  uint32
	spec     Spec
	progress time.Duration
	// stopAt is when the run ends after a stop request; zero if there was none.
	stopAt time.Time
}

// NewWorker returns a ready worker without runs. Run starts it.
func NewWorker(o WorkerOptions) *Worker {
	return &Worker{
		options: o, startedAt: time.Now(), state: "ready", runs: map[string]*workerRun{}, highestEndedAttempt: map[string]uint32{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Drain makes the worker announce the state draining.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = "draining"
}

// Crash ends all runs without reporting them. From then on, the worker answers no
// request and sends no announcement.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed = true
	for _, r := range w.runs {
		w.options.Audit.end(r.task, w.options.ID, r.attempt, "crashed")
	}
	clear(w.runs)
}

// Born returns the start time of the worker instance in Unix milliseconds.
func (w *Worker) Born() int64 { return w.startedAt.UnixMilli() }

// Running returns the number of runs.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Run announces the worker and advances its runs until ctx is done. Then it
// crashes the worker.
func (w *Worker) Run(ctx context.Context) {
	go w.announceLoop(ctx)
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			w.Crash()
			return
		case <-ticker.C:
			now := time.Now()
			if delay := now.Sub(last) - advanceInterval; delay > maxDelay {
				w.options.Audit.delayed(w.options.ID, delay)
			}
			w.advance(now, now.Sub(last))
			last = now
		}
	}
}

func (w *Worker) zone() string { return cmp.Or(w.options.Zone, "z1") }

func (w *Worker) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		w.announce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(w.options.Interval):
		}
	}
}

func (w *Worker) announce(ctx context.Context) {
	w.mu.Lock()
	w.seq++
	body, _ := json.Marshal(map[string]any{
		"service": w.options.Service, "address": "127.0.0.1:0", "zone": w.zone(), "version": "v1", "slots": 8, "state": w.state,
		"cold_left_ms": 0, "capacity": map[string]any{"cpu": w.options.MilliCPU, "mem_mb": 131072, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clock_ms": w.clock(), "seq_no": w.seq, "born": w.Born(),
	})
	crashed := w.crashed
	w.mu.Unlock()
	if crashed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.options.AgentAddress+"/-/instances/"+w.options.ID+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return
	}
	// Errors are ignored: the agent may not be running, and the next announcement
	// follows after Interval.
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// clock returns the time on the worker's own clock, in milliseconds. The clock is
// at 1000 when the worker is created.
func (w *Worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() + 1000 }

// advance adds elapsed to the progress of the runs, ends those that are complete,
// and ends all runs once the lease has expired.
func (w *Worker) advance(now time.Time, elapsed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endOverdue(now)
	speed := w.options.Speed
	if w.faults.SlowFactor > 0 {
		speed /= w.faults.SlowFactor
	}
	for _, r := range w.runs {
		if !w.faults.Stall {
			r.progress += time.Duration(float64(elapsed) * speed)
		}
		switch {
		case w.faults.Fail:
			w.finish(r, "failed")
		case r.progress >= time.Duration(r.spec.WorkMS)*time.Millisecond && r.spec.Fail:
			w.finish(r, "failed")
		case r.progress >= time.Duration(r.spec.WorkMS)*time.Millisecond:
			w.finish(r, "done")
		}
	}
}

// endOverdue ends the runs whose lease has expired or whose stop is due. Requests call it as
// well, so that a worker that gets no processor for a while doesn't let them go on for longer
// than it promises. The caller holds w.mu.
func (w *Worker) endOverdue(now time.Time) {
	expired := now.After(w.leaseExpiry)
	for _, r := range w.runs {
		switch {
		case expired:
			w.finish(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.finish(r, "stopped")
		}
	}
}

// finish ends a run and records its outcome for the agent. The caller holds w.mu.
func (w *Worker) finish(r *workerRun, outcome string) {
	delete(w.runs, r.task)
	w.highestEndedAttempt[r.task] = max(w.highestEndedAttempt[r.task], r.attempt)
	w.lastFinishedNumber++
	w.finished = append(w.finished, []any{w.lastFinishedNumber, r.task, r.attempt, outcome, ""})
	w.options.Audit.end(r.task, w.options.ID, r.attempt, outcome)
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerRequest struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
	// FencingToken is 0 if it is missing.
	FencingToken int64 `json:"fencing_token"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	f, crashed := w.faults, w.crashed
	w.mu.Unlock()
	if crashed || f.Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if f.Share > 0 && rand.Float64() >= f.Share {
		f = WorkerFaults{}
	}
	if f.Share > 0 && f.DelayRequests > 0 {
		f.DelayRequests = 1 + rand.N(f.DelayRequests)
	}
	var req workerRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != w.options.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/run-start":
		w.handleRunRequest(rw, r, f, func() string { return w.start(&req) })
	case "/-/run-stop":
		w.handleRunRequest(rw, r, f, func() string { return w.stop(&req) })
	case "/-/hold":
		w.hold(rw, r, &req, f)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// fenced reports whether a request has a lower fencing token than one seen before. The
// caller holds w.mu.
func (w *Worker) fenced(req *workerRequest) bool {
	w.fencingToken = max(w.fencingToken, req.FencingToken)
	return req.FencingToken < w.fencingToken
}

// handleRunRequest executes a start or stop request under the faults f. execute
// returns the reason if it rejects the request, or "".
func (w *Worker) handleRunRequest(rw http.ResponseWriter, r *http.Request, f WorkerFaults, execute func() string) {
	if f.DelayRequests > 0 {
		time.AfterFunc(f.DelayRequests, func() { execute() })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	reason := execute()
	clock := w.clock()
	f.beforeReply()
	if reason != "" {
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason})
		return
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": clock})
}

// beforeReply delays the reply to an executed request, or drops it.
func (f *WorkerFaults) beforeReply() {
	if f.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	if f.DelayReplies > 0 {
		time.Sleep(rand.N(f.DelayReplies))
	}
}

// start executes a start request. It returns the reason if it rejects the request,
// or "".
func (w *Worker) start(req *workerRequest) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return "late"
	}
	if w.fenced(req) {
		return "fence"
	}
	w.endOverdue(time.Now())
	if r := w.runs[req.Task]; r != nil && r.attempt == req.Attempt {
		return ""
	}
	if req.Attempt <= w.highestEndedAttempt[req.Task] || w.runs[req.Task] != nil {
		return "old"
	}
	if req.DeadlineMS <= w.clock() {
		return "late"
	}
	var spec Spec
	if err := json.Unmarshal([]byte(req.Spec), &spec); err != nil {
		spec.WorkMS = 50
	}
	used := spec.MilliCPU
	for _, r := range w.runs {
		used += r.spec.MilliCPU
	}
	if used > w.options.MilliCPU {
		w.options.Audit.violation("worker %s over capacity: %d of %d millicores in use with task %s", w.options.ID, used, w.options.MilliCPU, req.Task)
	}
	w.extend(req.DeadlineMS)
	w.runs[req.Task] = &workerRun{task: req.Task, attempt: req.Attempt, spec: spec}
	w.options.Audit.begin(req.Task, w.options.ID, w.zone(), req.Attempt)
	return ""
}

func (w *Worker) stop(req *workerRequest) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(req) {
		return "fence"
	}
	w.highestEndedAttempt[req.Task] = max(w.highestEndedAttempt[req.Task], req.Attempt)
	if r := w.runs[req.Task]; r != nil && r.attempt <= req.Attempt && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopDelay)
	}
	return ""
}

// extend extends the lease to deadlineMS on the worker's clock, but by no more than
// maxLease. It never shortens the lease.
func (w *Worker) extend(deadlineMS int64) {
	remaining := min(time.Duration(deadlineMS-w.clock())*time.Millisecond, maxLease)
	if expiry := time.Now().Add(remaining); expiry.After(w.leaseExpiry) {
		w.leaseExpiry = expiry
	}
}

// hold answers with the running tasks and the ended runs after LastSeen. If there
// are no such ended runs, it first waits up to WaitMS for a run to end. It extends
// the lease if the request has a deadline.
func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, req *workerRequest, f WorkerFaults) {
	if f.Share > 0 && f.DelayRequests > 0 {
		time.AfterFunc(f.DelayRequests, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.fenced(req) && req.DeadlineMS > 0 {
				w.extend(req.DeadlineMS)
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	timeout := time.After(time.Duration(req.WaitMS) * time.Millisecond)
	w.mu.Lock()
	if w.fenced(req) {
		clock := w.clock()
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": "fence"})
		return
	}
	w.endOverdue(time.Now())
	if req.DeadlineMS > 0 {
		w.extend(req.DeadlineMS)
	}
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= req.LastSeen {
		w.finished = w.finished[1:]
	}
	for len(w.finished) == 0 && req.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			req.WaitMS = 0
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, run := range w.runs {
		if w.options.HideStopping && !run.stopAt.IsZero() {
			continue
		}
		percent := 100 * run.progress.Milliseconds() / max(run.spec.WorkMS, 1)
		running = append(running, []any{run.task, run.attempt, "", min(percent, 100), run.spec.MilliCPU})
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.Born(), "running": running, "finished": append([][]any{}, w.finished...)}
	w.mu.Unlock()
	if f.Share > 0 {
		f.beforeReply()
	}
	writeJSON(rw, http.StatusOK, body)
}

// String returns the ID in the form "worker ID".
func (w *Worker) String() string { return fmt.Sprintf("worker %s", w.options.ID) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
