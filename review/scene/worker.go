package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// maxLease is the longest lease that a worker grants.
	maxLease = time.Second
	// stopTime is how long a worker takes to stop a run; at most 50 ms are allowed.
	stopTime = 20 * time.Millisecond
	// advanceInterval is the time between two looks at runs and lease.
	advanceInterval = 2 * time.Millisecond
	// workerMilliCPU and workerMemoryMB are the capacity of a worker.
	workerMilliCPU = 32000
	workerMemoryMB = 131072
)

// taskSpec is the spec of a task, as the callers of the cases write it.
type taskSpec struct {
	WorkMS int64 `json:"work_ms"`
	// MilliCPU is what the task needs, as its job declares it.
	MilliCPU int64 `json:"milli_cpu"`
}

// runInterval is the time in which a worker ran an attempt of a task.
type runInterval struct {
	task, worker string
	attempt      uint32
	labels       []string
	// begin and end are times since the start of the case; end is 0 while it runs.
	begin, end time.Duration
	how        string
}

// runs records the attempts that all workers have run.
type runs struct {
	mu        sync.Mutex
	intervals []*runInterval
}

// snapshot returns a copy of all intervals.
func (r *runs) snapshot() []runInterval {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]runInterval, 0, len(r.intervals))
	for _, i := range r.intervals {
		list = append(list, *i)
	}
	return list
}

// worker is a stand-in for a worker. Its process can crash and start again, under the
// same id, at the same address.
type worker struct {
	id, service, address, control string
	agent                         *process
	rec                           *record
	runs                          *runs

	mu sync.Mutex
	// labels are the kind and the rack. A new incarnation can have others.
	labels []string
	life   *life
}

// life is an incarnation of a worker. Its fields are guarded by worker.mu.
type life struct {
	startedAt time.Time
	sequence  int
	running   map[string]*workerRun
	// highestEnded is, by task, the highest attempt that was stopped or has ended.
	highestEnded map[string]uint32
	ended        [][]any
	lastEnd      int64
	leaseEnd     time.Time
	// changed is closed and replaced whenever a run ends.
	changed chan struct{}
	server  *http.Server
	cancel  context.CancelFunc
}

type workerRun struct {
	task     string
	attempt  uint32
	milliCPU int64
	work     time.Duration
	begin    time.Time
	stopAt   time.Time
	interval *runInterval
}

// start begins an incarnation: it serves, sends heartbeats and runs tasks until crash.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{
		startedAt: time.Now(), running: map[string]*workerRun{}, highestEnded: map[string]uint32{}, changed: make(chan struct{}), cancel: cancel,
	}
	l.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(l, rw, r) })}
	w.mu.Lock()
	w.life = l
	w.rec.add("worker %s starts, born %d, labels %v", w.id, l.born(), w.labels)
	w.mu.Unlock()
	go func() { _ = l.server.Serve(listener) }()
	go w.advanceLoop(ctx, l)
	go w.heartbeatLoop(ctx, l)
	return nil
}

// crash ends the incarnation: its runs end and its connections are closed.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	for _, r := range l.running {
		w.endInterval(r, "crashed")
	}
	clear(l.running)
	w.life = nil
	w.mu.Unlock()
	l.cancel()
	_ = l.server.Close()
	w.rec.add("worker %s has crashed", w.id)
}

func (l *life) born() int64 { return l.startedAt.UnixMilli() }

// clock is the worker's own clock in milliseconds, which starts anew with each life.
func (l *life) clock() int64 { return time.Since(l.startedAt).Milliseconds() + 1 }

func (w *worker) heartbeatLoop(ctx context.Context, l *life) {
	for ctx.Err() == nil {
		w.mu.Lock()
		l.sequence++
		body := heartbeatBody(w.service, w.address, w.labels, l.sequence, l.clock(), l.born())
		w.mu.Unlock()
		if status := sendHeartbeat(ctx, w.control, w.id, body); status != http.StatusOK && ctx.Err() == nil {
			w.rec.add("heartbeat of worker %s is not acknowledged: status %d", w.id, status)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func heartbeatBody(service, address string, labels []string, sequence int, clock, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": workerMilliCPU, "mem_mb": workerMemoryMB, "gpu": 0}, "labels": labels,
		"clock_ms": clock, "seq_no": sequence, "born": born,
	}
}

// sendHeartbeat sends a heartbeat to an agent and returns the status of the answer, 0 if
// there is none in time.
func sendHeartbeat(ctx context.Context, control, id string, body any) int {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	encoded, _ := json.Marshal(body)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+"/-/instances/"+id+"/heartbeat", bytes.NewReader(encoded))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (w *worker) advanceLoop(ctx context.Context, l *life) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.mu.Lock()
			for _, r := range l.running {
				switch {
				case now.After(l.leaseEnd):
					w.end(l, r, "lapsed")
				case !r.stopAt.IsZero() && now.After(r.stopAt):
					w.end(l, r, "stopped")
				case now.Sub(r.begin) >= r.work:
					w.end(l, r, "done")
				}
			}
			w.mu.Unlock()
		}
	}
}

// end ends a run and lists its end. The caller holds w.mu.
func (w *worker) end(l *life, r *workerRun, how string) {
	delete(l.running, r.task)
	l.highestEnded[r.task] = max(l.highestEnded[r.task], r.attempt)
	l.lastEnd++
	l.ended = append(l.ended, []any{l.lastEnd, r.task, r.attempt, how, ""})
	close(l.changed)
	l.changed = make(chan struct{})
	w.endInterval(r, how)
}

func (w *worker) endInterval(r *workerRun, how string) {
	w.runs.mu.Lock()
	r.interval.end, r.interval.how = time.Since(w.rec.started), how
	w.runs.mu.Unlock()
	w.rec.add("worker %s: attempt %d of task %s ends: %s", w.id, r.attempt, r.task, how)
}

type workerCall struct {
	Task       string `json:"task"`
	Attempt    uint32 `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *worker) serve(l *life, rw http.ResponseWriter, r *http.Request) {
	var c workerCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/run-start":
		w.answerOrder(l, rw, w.startRun(l, &c))
	case "/-/run-stop":
		w.stopRun(l, &c)
		w.answerOrder(l, rw, "")
	case "/-/hold":
		w.hold(l, rw, r, &c)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answerOrder(l *life, rw http.ResponseWriter, rejected string) {
	if rejected != "" {
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": l.clock(), "reason": rejected})
		return
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": l.clock()})
}

// startRun carries out a start and returns the reason if it rejects it. The worker does
// not guard its capacity.
func (w *worker) startRun(l *life, c *workerCall) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != l {
		return "late"
	}
	running := l.running[c.Task]
	switch {
	case running != nil && running.attempt == c.Attempt:
		return ""
	case running != nil || c.Attempt <= l.highestEnded[c.Task]:
		l.extend(c.DeadlineMS)
		return "old"
	case c.DeadlineMS <= l.clock():
		return "late"
	}
	spec := taskSpec{WorkMS: 50}
	_ = json.Unmarshal([]byte(c.Spec), &spec)
	l.extend(c.DeadlineMS)
	used := spec.MilliCPU
	for _, r := range l.running {
		used += r.milliCPU
	}
	if used > workerMilliCPU {
		w.rec.violation("LIMIT: the start of task %s brings %s to %d of %d millicores", c.Task, w.id, used, workerMilliCPU)
	}
	interval := &runInterval{task: c.Task, worker: w.id, attempt: c.Attempt, labels: slices.Clone(w.labels), begin: time.Since(w.rec.started)}
	l.running[c.Task] = &workerRun{
		task: c.Task, attempt: c.Attempt, milliCPU: spec.MilliCPU, work: time.Duration(spec.WorkMS) * time.Millisecond, begin: time.Now(), interval: interval,
	}
	w.runs.mu.Lock()
	w.runs.intervals = append(w.runs.intervals, interval)
	w.runs.mu.Unlock()
	w.rec.add("worker %s (labels %v): attempt %d of task %s starts", w.id, w.labels, c.Attempt, c.Task)
	return ""
}

func (w *worker) stopRun(l *life, c *workerCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.highestEnded[c.Task] = max(l.highestEnded[c.Task], c.Attempt)
	if r := l.running[c.Task]; r != nil && r.attempt <= c.Attempt && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
}

// extend extends the lease of all runs to a time on the worker's clock.
func (l *life) extend(deadlineMS int64) {
	left := min(time.Duration(deadlineMS-l.clock())*time.Millisecond, maxLease)
	if end := time.Now().Add(left); end.After(l.leaseEnd) {
		l.leaseEnd = end
	}
}

// hold extends the lease and answers with the lists of runs, as soon as there is an end
// that the agent has not seen.
func (w *worker) hold(l *life, rw http.ResponseWriter, r *http.Request, c *workerCall) {
	timeout := time.After(time.Duration(c.WaitMS) * time.Millisecond)
	w.mu.Lock()
	if c.DeadlineMS > 0 {
		l.extend(c.DeadlineMS)
	}
	l.ended = slices.DeleteFunc(l.ended, func(e []any) bool { return e[0].(int64) <= c.LastSeen })
	for waiting := c.WaitMS > 0; waiting && len(l.ended) == 0; {
		changed := l.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, run := range l.running {
		percent := 100 * time.Since(run.begin) / max(run.work, time.Millisecond)
		running = append(running, []any{run.task, run.attempt, "", min(int64(percent), 100), 0})
	}
	reply := map[string]any{"clock_ms": l.clock(), "born": l.born(), "running": running, "finished": append([][]any{}, l.ended...)}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, reply)
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v)
}
