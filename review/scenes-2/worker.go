package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a worker: it starts what it is told to start, keeps one lease for
// all runs, and lists its runs and their ends.
type worker struct {
	id, service, zone, address, agent string
	milliCPU                          int64
	labels                            []string
	record                            *record
	bornAt                            time.Time

	mu       sync.Mutex
	runs     map[string]*run
	highest  map[string]uint32
	finished [][]any
	number   int64
	lease    time.Time
	changed  chan struct{}
	seq      int
	state    string
	fence    int64
	listener *heldListener
	server   *http.Server
	cancel   context.CancelFunc
	crashed  bool
}

type run struct {
	task    string
	attempt uint32
	work    time.Duration
	done    time.Duration
	stopAt  time.Time
}

// heldListener is a listener that stays open while its worker is down, as that of a supervisor
// which hands it to the next process. Connections wait in the backlog meanwhile.
type heldListener struct{ *net.TCPListener }

// Close ends Accept and keeps the listener.
func (l *heldListener) Close() error { return l.SetDeadline(time.Unix(1, 0)) }

// startWorker starts a worker that listens on address.
func startWorker(w *worker) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.listener = &heldListener{l.(*net.TCPListener)}
	return w.begin()
}

// begin starts the worker's process: it holds and knows nothing of before.
func (w *worker) begin() error {
	w.bornAt, w.runs, w.highest, w.changed, w.state = time.Now(), map[string]*run{}, map[string]uint32{}, make(chan struct{}), "ready"
	if err := w.listener.SetDeadline(time.Time{}); err != nil {
		return err
	}
	var ctx context.Context
	ctx, w.cancel = context.WithCancel(context.Background())
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(w.listener) }()
	go w.advance(ctx)
	go w.beat(ctx)
	return nil
}

func (w *worker) stopAll() {
	w.cancel()
	_ = w.server.Close()
	_ = w.listener.TCPListener.Close()
}

// crash ends the worker's process and all of its runs. Its connections are closed.
func (w *worker) crash() {
	w.cancel()
	w.mu.Lock()
	w.crashed = true
	for _, r := range w.runs {
		w.record.add("worker", w.id, "end", r.task, r.attempt, "crashed")
	}
	w.runs = map[string]*run{}
	w.mu.Unlock()
	_ = w.server.Close()
	w.record.add("worker", w.id, "crashed")
}

// restarted starts the next process of a crashed worker under its id.
func (w *worker) restarted(labels []string) (*worker, error) {
	next := &worker{id: w.id, service: w.service, zone: w.zone, address: w.address, agent: w.agent, milliCPU: w.milliCPU,
		labels: labels, record: w.record, listener: w.listener}
	w.record.add("worker", w.id, "started again", "labels", strings.Join(labels, " "))
	return next, next.begin()
}

func (w *worker) clock() int64 { return 1000 + time.Since(w.bornAt).Milliseconds() }

func (w *worker) advance(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		now := time.Now()
		w.mu.Lock()
		for _, r := range w.runs {
			r.done += now.Sub(last)
			switch {
			case now.After(w.lease):
				w.end(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.end(r, "stopped")
			case r.done >= r.work:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
		last = now
	}
}

// end ends a run. The caller holds mu.
func (w *worker) end(r *run, how string) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.attempt)
	w.number++
	w.finished = append(w.finished, []any{w.number, r.task, r.attempt, how, ""})
	w.record.add("worker", w.id, "end", r.task, r.attempt, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		w.seq++
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "cold_left_ms": 0,
			"capacity": map[string]any{"cpu": w.milliCPU, "mem_mb": 131072, "gpu": 0}, "labels": w.labels, "clock_ms": w.clock(),
			"seq_no": w.seq, "born": w.bornAt.UnixMilli(),
		})
		w.mu.Unlock()
		client := http.Client{Timeout: time.Second}
		pause := 1500 * time.Millisecond
		resp, err := client.Post("http://"+w.agent+"/-/instances/"+w.id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		if err != nil || resp.StatusCode/100 != 2 {
			pause = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

type workerCall struct {
	Task     string `json:"task"`
	Attempt  uint32 `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
	Fence    int64  `json:"fencing_token"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c workerCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	reason := ""
	switch r.URL.Path {
	case "/-/run-start":
		reason = w.start(&c)
	case "/-/run-stop":
		reason = w.stop(&c)
	case "/-/hold":
		w.hold(rw, r, &c)
		return
	default:
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	if reason != "" {
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason, "born": w.bornAt.UnixMilli()})
		return
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.bornAt.UnixMilli()})
}

// fenced reports whether a call has a lower token than one before. The caller holds mu.
func (w *worker) fenced(c *workerCall) bool {
	w.fence = max(w.fence, c.Fence)
	return c.Fence < w.fence
}

// extend extends the lease to a time on the worker's clock. The caller holds mu.
func (w *worker) extend(deadline int64) {
	left := min(time.Duration(deadline-w.clock())*time.Millisecond, time.Second)
	if until := time.Now().Add(left); until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) start(c *workerCall) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return "late"
	}
	if w.fenced(c) {
		return "fence"
	}
	r := w.runs[c.Task]
	switch {
	case r != nil && r.attempt == c.Attempt:
		return ""
	case r != nil || c.Attempt <= w.highest[c.Task]:
		w.record.add("worker", w.id, "rejected", c.Task, c.Attempt, "old")
		return "old"
	case c.Deadline <= w.clock():
		w.record.add("worker", w.id, "rejected", c.Task, c.Attempt, "late")
		return "late"
	}
	// The spec of a job is the run time of its tasks in milliseconds.
	ms, err := strconv.Atoi(strings.TrimSpace(c.Spec))
	if err != nil {
		ms = 50
	}
	w.extend(c.Deadline)
	w.runs[c.Task] = &run{task: c.Task, attempt: c.Attempt, work: time.Duration(ms) * time.Millisecond}
	w.record.add("worker", w.id, "start", c.Task, c.Attempt, "")
	return ""
}

func (w *worker) stop(c *workerCall) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(c) {
		return "fence"
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Attempt)
	if r := w.runs[c.Task]; r != nil && r.attempt <= c.Attempt && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(20 * time.Millisecond)
	}
	return ""
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, c *workerCall) {
	w.mu.Lock()
	if w.fenced(c) {
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "fence", "born": w.bornAt.UnixMilli()})
		return
	}
	if c.Deadline > 0 {
		w.extend(c.Deadline)
	}
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= c.LastSeen {
		w.finished = w.finished[1:]
	}
	timeout := time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	for waiting := c.Wait > 0; len(w.finished) == 0 && waiting; {
		changed := w.changed
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
	for _, run := range w.runs {
		running = append(running, []any{run.task, run.attempt, "", min(100*run.done/max(run.work, 1), 100), 3000})
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.bornAt.UnixMilli(), "running": running, "finished": append([][]any{}, w.finished...)}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, body)
}
