package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// holdMax is the platform's hold_max_ms, stopTime is below its stop_timeout_ms, and
	// heartbeat is its heartbeat_ms.
	holdMax   = time.Second
	stopTime  = 20 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
)

// startedRun is the start of a run, as a worker sees it.
type startedRun struct {
	at     time.Duration
	worker string
	task   string
	ended  time.Duration
	how    string
}

// workerRun is a run in progress.
type workerRun struct {
	task    string
	attempt uint32
	began   time.Time
	work    time.Duration
	stopAt  time.Time
	cpu     int64
	entry   *startedRun
}

// worker is a stand-in for a worker.
type worker struct {
	*scene
	id, agentControl string
	zone             string
	labels           []string
	listener         net.Listener
	server           *http.Server
	born             time.Time
	cancel           context.CancelFunc

	mu       sync.Mutex
	state    string
	seq      int
	runs     map[string]*workerRun
	ended    map[string]uint32
	finished [][]any
	number   int64
	lease    time.Time
	fence    int64
	changed  chan struct{}
	gone     bool
	// leaveOne makes the worker leave the next start order unanswered. It is kept in left, with
	// the id of the instance that it is for.
	leaveOne bool
	left     *lateOrder
}

// lateOrder is an order that had no answer and is carried out later.
type lateOrder struct {
	call workerCall
	id   string
	at   time.Duration
}

// startWorker starts a worker instance that listens at addr and sends its heartbeats to an agent.
func (s *scene) startWorker(id, addr, agentControl, zone string, labels ...string) *worker {
	return s.restartWorker(nil, id, addr, agentControl, zone, labels...)
}

// restartWorker does the same after an earlier instance has left an order unanswered, which is
// carried out now.
func (s *scene) restartWorker(late *lateOrder, id, addr, agentControl, zone string, labels ...string) *worker {
	l, err := net.Listen("tcp", addr)
	must(err)
	ctx, cancel := context.WithCancel(context.Background())
	w := &worker{scene: s, id: id, agentControl: agentControl, zone: zone, labels: labels, listener: l, born: time.Now(), cancel: cancel, state: "ready",
		runs: map[string]*workerRun{}, ended: map[string]uint32{}, changed: make(chan struct{})}
	w.server = &http.Server{Handler: w}
	if late != nil && late.id == id {
		w.mu.Lock()
		w.fence = late.call.Fence
		w.record("worker %s carries out the order to start %s %.3f s late: %q", id, late.call.Task, (w.now() - late.at).Seconds(), w.start(&late.call))
		w.mu.Unlock()
	}
	go func() { _ = w.server.Serve(l) }()
	go w.beat(ctx)
	go w.work(ctx)
	return w
}

// crash ends the worker instance and all that runs on it.
func (w *worker) crash() {
	w.mu.Lock()
	w.gone = true
	for _, r := range w.runs {
		w.end(r, "crashed")
	}
	w.mu.Unlock()
	w.cancel()
	_ = w.server.Close()
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// work ends the runs that are done, stopped or without a lease.
func (w *worker) work(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(3 * time.Millisecond)
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

func (w *worker) advance() {
	now := time.Now()
	for _, r := range w.runs {
		switch {
		case now.After(w.lease):
			w.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, "stopped")
		case now.Sub(r.began) >= r.work:
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *workerRun, how string) {
	delete(w.runs, r.task)
	w.ended[r.task] = max(w.ended[r.task], r.attempt)
	w.number++
	w.finished = append(w.finished, []any{w.number, r.task, r.attempt, how, ""})
	w.scene.mu.Lock()
	r.entry.ended, r.entry.how = w.now(), how
	w.scene.mu.Unlock()
	w.record("worker %s: run of %s, attempt %d, ends: %s", w.id, r.task, r.attempt, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// beat sends the heartbeats of the worker.
func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		w.announce(ctx)
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// announce sends one heartbeat and reports whether it was acknowledged.
func (w *worker) announce(ctx context.Context) bool { return w.tell(ctx, "heartbeat", w.beatBody()) }

// beatBody returns the next heartbeat.
func (w *worker) beatBody() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	beat := map[string]any{
		"service": "service", "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "slots": 8, "state": w.state, "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": 32000, "mem_mb": 131072, "gpu": 0}, "labels": w.labels, "clock_ms": w.clock(), "seq_no": w.seq, "born": w.born.UnixMilli(),
	}
	if w.state == "draining" {
		beat["remaining_ms"] = 2000
	}
	return beat
}

func (w *worker) tell(ctx context.Context, what string, body any) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	b, err := json.Marshal(body)
	must(err)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.agentControl+"/-/instances/"+w.id+"/"+what, bytes.NewReader(b))
	must(err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
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

// ServeHTTP answers the calls of the agent.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var c workerCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != w.id {
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock()})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.leaveOne && r.URL.Path == "/-/run-start" {
		w.leaveOne, w.left = false, &lateOrder{c, r.Header.Get("Expected-Instance"), w.now()}
		w.record("worker %s leaves the order to start %s, attempt %d, unanswered", w.id, c.Task, c.Attempt)
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if c.Fence < w.fence {
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "fence"})
		return
	}
	w.fence = c.Fence
	switch r.URL.Path {
	case "/-/hold":
		w.hold(rw, r, &c)
	case "/-/run-start":
		if reason := w.start(&c); reason != "" {
			writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
			return
		}
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
	case "/-/run-stop":
		w.ended[c.Task] = max(w.ended[c.Task], c.Attempt)
		if r := w.runs[c.Task]; r != nil && r.attempt <= c.Attempt && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) extend(deadline int64) {
	if until := time.Now().Add(min(time.Duration(deadline-w.clock())*time.Millisecond, holdMax)); until.After(w.lease) {
		w.lease = until
	}
}

// hold extends the lease and lists what runs and what has ended. The caller holds w.mu.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, c *workerCall) {
	if c.Deadline > 0 {
		w.extend(c.Deadline)
	}
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= c.LastSeen {
		w.finished = w.finished[1:]
	}
	timeout := time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
	for waiting := c.Wait > 0; waiting && len(w.finished) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, o := range w.runs {
		percent := 100 * time.Since(o.began) / max(o.work, 1)
		running = append(running, []any{o.task, o.attempt, "", int(min(percent, 99)), o.cpu})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": append([][]any{}, w.finished[:min(len(w.finished), 500)]...)})
}

// start starts a run, or returns the reason why not. The caller holds w.mu.
func (w *worker) start(c *workerCall) string {
	if o := w.runs[c.Task]; o != nil && o.attempt == c.Attempt {
		return ""
	}
	if c.Attempt <= w.ended[c.Task] || w.runs[c.Task] != nil {
		w.extend(c.Deadline)
		return "old"
	}
	if c.Deadline <= w.clock() {
		return "late"
	}
	w.extend(c.Deadline)
	entry := &startedRun{at: w.now(), worker: w.id, task: c.Task}
	// The spec is "work_ms=N" or a list of these, one for each step.
	works := strings.Split(strings.TrimPrefix(c.Spec, "work_ms="), ",")
	step, _ := strconv.Atoi(strings.Split(c.Task, ".")[2])
	ms, err := strconv.Atoi(works[min(step, len(works)-1)])
	if err != nil {
		ms = 50
	}
	w.runs[c.Task] = &workerRun{task: c.Task, attempt: c.Attempt, began: time.Now(), work: time.Duration(ms) * time.Millisecond, entry: entry}
	w.scene.mu.Lock()
	w.scene.starts = append(w.scene.starts, entry)
	w.scene.mu.Unlock()
	w.record("worker %s: run of %s, attempt %d, begins", w.id, c.Task, c.Attempt)
	return ""
}

func (w *worker) String() string { return fmt.Sprintf("worker %s", w.id) }
