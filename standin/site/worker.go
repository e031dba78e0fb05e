package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// maxLease is the longest lease that a worker grants.
	maxLease = time.Second
	// stopTime is how long a worker takes to stop a run.
	stopTime = 20 * time.Millisecond
	// leaseCheck is how often a worker looks at its lease.
	leaseCheck = 5 * time.Millisecond
	// announceTimeout bounds an announcement.
	announceTimeout = time.Second
)

// WorkerFaults are the faults of a worker.
type WorkerFaults struct {
	// Fail makes every task fail, Stall makes all stand still.
	Fail  bool
	Stall bool
	// Slow multiplies run times; 0 means 1.
	Slow float64
	// LoseOrders carries orders out and drops the connection.
	LoseOrders bool
	// DelayOrders leaves orders unanswered and carries them out so much later.
	DelayOrders time.Duration
	// Silent answers nothing.
	Silent bool
}

// WorkerOptions configure a Worker.
type WorkerOptions struct {
	ID      string
	Service string
	// MilliCPU is the capacity in thousandths of a core.
	MilliCPU int64
	Speed    float64
	// AgentAddress is where the worker announces itself.
	AgentAddress string
	Interval     time.Duration
	Audit        *Audit
}

// Spec is what the tasks of the stand-in read from a job's text.
type Spec struct {
	WorkMS   int64 `json:"work_ms"`
	MilliCPU int64 `json:"milli_cpu"`
	// Fail makes the task fail wherever it runs.
	Fail bool `json:"fail"`
}

// Worker is one life of a worker.
type Worker struct {
	o      WorkerOptions
	born   time.Time
	mu     sync.Mutex
	faults WorkerFaults
	state  string
	runs   map[string]*workerRun
	// highest is the highest attempt of a task that was stopped or has ended.
	highest map[string]uint32
	ends    [][]any
	number  int64
	lease   time.Time
	changed chan struct{}
	seq     int
	gone    bool
}

type workerRun struct {
	task    string
	attempt uint32
	spec    Spec
	done    time.Duration
	stopAt  time.Time
}

// NewWorker returns a worker that Run starts.
func NewWorker(o WorkerOptions) *Worker {
	return &Worker{
		o: o, born: time.Now(), state: "ready", runs: map[string]*workerRun{}, highest: map[string]uint32{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Drain has the worker announce that it is leaving.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = "draining"
}

// Crash ends the worker: nothing runs, nothing answers.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = true
	for _, r := range w.runs {
		w.o.Audit.end(r.task, w.o.ID)
	}
	clear(w.runs)
}

// Running returns the number of runs.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Run announces the worker and lets its tasks work until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	go w.announceLoop(ctx)
	ticker := time.NewTicker(leaseCheck)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			w.Crash()
			return
		case now := <-ticker.C:
			w.work(now, now.Sub(last))
			last = now
		}
	}
}

func (w *Worker) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		w.announce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(w.o.Interval):
		}
	}
}

func (w *Worker) announce(ctx context.Context) {
	w.mu.Lock()
	w.seq++
	body, _ := json.Marshal(map[string]any{
		"service": w.o.Service, "address": "127.0.0.1:0", "zone": "z1", "version": "v1", "slots": 8, "state": w.state,
		"cold_left_ms": 0, "capacity": map[string]any{"cpu": w.o.MilliCPU, "mem_mb": 131072, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clock_ms": w.clock(), "seq_no": w.seq, "born": w.born.UnixMilli(),
	})
	gone := w.gone
	w.mu.Unlock()
	if gone {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.o.AgentAddress+"/-/instances/"+w.o.ID+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return
	}
	// The agent may be away; the next announcement tries again.
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// work lets tasks advance by elapsed and enforces the lease.
func (w *Worker) work(now time.Time, elapsed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.runs) > 0 && now.After(w.lease) {
		for _, r := range w.runs {
			w.end(r, "lapsed")
		}
	}
	speed := w.o.Speed
	if w.faults.Slow > 0 {
		speed /= w.faults.Slow
	}
	for _, r := range w.runs {
		if !w.faults.Stall {
			r.done += time.Duration(float64(elapsed) * speed)
		}
		switch {
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, "stopped")
		case w.faults.Fail:
			w.end(r, "failed")
		case r.done >= time.Duration(r.spec.WorkMS)*time.Millisecond && r.spec.Fail:
			w.end(r, "failed")
		case r.done >= time.Duration(r.spec.WorkMS)*time.Millisecond:
			w.end(r, "done")
		}
	}
}

func (w *Worker) end(r *workerRun, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.number++
	w.ends = append(w.ends, []any{w.number, r.task, r.attempt, how, ""})
	w.o.Audit.end(r.task, w.o.ID)
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerOrder struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	f, gone := w.faults, w.gone
	w.mu.Unlock()
	if gone || f.Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	var o workerOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != w.o.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/run-start":
		w.order(rw, r, f, func() string { return w.start(&o) })
	case "/-/run-stop":
		w.order(rw, r, f, func() string { return w.stop(&o) })
	case "/-/hold":
		w.hold(rw, r, &o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// order carries an order out, with the faults.
func (w *Worker) order(rw http.ResponseWriter, r *http.Request, f WorkerFaults, carryOut func() string) {
	if f.DelayOrders > 0 {
		time.AfterFunc(f.DelayOrders, func() { carryOut() })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	reason := carryOut()
	if f.LoseOrders {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	clock := w.clock()
	w.mu.Unlock()
	if reason != "" {
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason})
		return
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": clock})
}

func (w *Worker) start(o *workerOrder) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return "late"
	}
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return ""
	}
	if o.Attempt <= w.highest[o.Task] || w.runs[o.Task] != nil {
		return "old"
	}
	if o.DeadlineMS <= w.clock() {
		return "late"
	}
	var spec Spec
	if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil {
		spec.WorkMS = 50
	}
	used := spec.MilliCPU
	for _, r := range w.runs {
		used += r.spec.MilliCPU
	}
	if used > w.o.MilliCPU {
		w.o.Audit.violation("worker %s takes %d of %d thousandths of a core with task %s", w.o.ID, used, w.o.MilliCPU, o.Task)
	}
	w.extend(o.DeadlineMS)
	w.runs[o.Task] = &workerRun{task: o.Task, attempt: o.Attempt, spec: spec}
	w.o.Audit.begin(o.Task, w.o.ID)
	return ""
}

func (w *Worker) stop(o *workerOrder) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Attempt)
	if r := w.runs[o.Task]; r != nil && r.attempt <= o.Attempt && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	return ""
}

// extend renews the lease up to a time on the worker's clock; it never shortens.
func (w *Worker) extend(deadlineMS int64) {
	left := min(time.Duration(deadlineMS-w.clock())*time.Millisecond, maxLease)
	if until := time.Now().Add(left); until.After(w.lease) {
		w.lease = until
	}
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, o *workerOrder) {
	end := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	w.mu.Lock()
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= o.LastSeen {
		w.ends = w.ends[1:]
	}
	for len(w.ends) == 0 && o.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			o.WaitMS = 0
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, run := range w.runs {
		percent := 100 * run.done.Milliseconds() / max(run.spec.WorkMS, 1)
		running = append(running, []any{run.task, run.attempt, "", min(percent, 100), run.spec.MilliCPU})
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": append([][]any{}, w.ends...)}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// String names the worker.
func (w *Worker) String() string { return fmt.Sprintf("worker %s", w.o.ID) }

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
