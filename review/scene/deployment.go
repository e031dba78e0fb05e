package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sesamelift/sesamelift/standin/store"
)

const (
	// The run commands of the deploy file.
	entryProgram = "target/sesamelift-platform-entry"
	agentProgram = "target/sesamelift-platform-agent"

	zone      = "z1"
	hostName  = "jobs.example"
	service   = "assessor"
	firstPort = 21000
	portRange = 8000
	// readyTimeout is how long the deployment may take to serve.
	readyTimeout = 15 * time.Second
	// answerTimeout is how much longer than its deadline a caller reads an answer.
	answerTimeout = 2 * time.Second
)

// deployment is the store, the entries, and the agents with their workers.
type deployment struct {
	root, dir   string
	rec         *record
	store       *store.Store
	storeServer *http.Server
	storeAddr   string
	runs        *runs
	seeds       []string

	mu        sync.Mutex
	processes []*process
	closed    bool
	nextPort  int
	nextID    int
}

// process is an entry or an agent.
type process struct {
	name, program, settings, logFile string
	front, control                   string
	// worker is the address of the agent's worker.
	worker string
	cmd    *exec.Cmd
}

// kill kills the process and waits for its end.
func (d *deployment) kill(p *process) {
	d.rec.add("%s is killed", p.name)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

func newDeployment(root string, rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "sesamelift-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, rec: rec, store: store.New(), runs: &runs{}, nextPort: os.Getpid() * 101}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddr = listener.Addr().String()
	d.storeServer = &http.Server{Handler: d.store}
	go func() { _ = d.storeServer.Serve(listener) }()
	return d, nil
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	for _, p := range d.processes {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	_ = d.storeServer.Close()
	_ = os.RemoveAll(d.dir)
}

// printLogs writes the end of the processes' logs to standard error.
func (d *deployment) printLogs() {
	for _, p := range d.processes {
		content, _ := os.ReadFile(p.logFile)
		fmt.Fprintf(os.Stderr, "== %s\n%s\n", p.name, content[max(len(content)-2000, 0):])
	}
}

// freeAddress returns a loopback address whose port was free a moment ago. The ports are
// below those of outgoing connections.
func (d *deployment) freeAddress() string {
	for range portRange {
		d.nextPort++
		address := "127.0.0.1:" + strconv.Itoa(firstPort+d.nextPort%portRange)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	panic(cannotRun("no free port"))
}

func portOf(address string) int {
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	return n
}

// configure writes a configuration with one queue for each path prefix.
func (d *deployment) configure(version int, prefixes ...string) {
	type route struct {
		Name            string  `json:"name"`
		Host            string  `json:"host"`
		PathPrefix      string  `json:"path_prefix"`
		Kind            string  `json:"kind"`
		TimeoutMS       int     `json:"timeout_ms"`
		TargetLatencyMS int     `json:"target_latency_ms"`
		Priority        int     `json:"priority"`
		Service         string  `json:"service"`
		MaxAttempts     int     `json:"max_attempts"`
		Stretch         float64 `json:"stretch"`
	}
	var routes []route
	for i, prefix := range prefixes {
		routes = append(routes, route{"r-" + strconv.Itoa(i), hostName, prefix, "non_idempotent", 1500, 60, i, service, 3, 1.6})
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "admission_control": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	d.store.Put("op", "config", value)
	d.rec.add("operator: configuration %d is in the store, queues %v", version, prefixes)
}

// writeSettings writes the settings file of a process, with the bounds of a small
// deployment.
func (d *deployment) writeSettings(p *process) {
	link, metrics, ready := d.freeAddress(), d.freeAddress(), d.freeAddress()
	first, last := min(portOf(link), portOf(metrics)), max(portOf(link), portOf(metrics))
	text := fmt.Sprintf(`node_name: %q
zone: %q
ip: "127.0.0.1"
listen_addrs: {front: %q, ready: %q, control: %q}
app: %q
service: %q
seeds: [%s]
internal_ports: [%d, %d]
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
heartbeat_ms: 1500
control_mode: "call"
platform: {address: %q, form: "table"}
bounds: {hold_max_ms: 1000, stop_timeout_ms: 50, retransmit_ms: 1300, grace_period_s: 6, remote_slowdown: 1.5, contact_ms: 3000,
  config_apply_ms: 2000, cancel_ms: 3000, drain_ms: 2000}
`, p.name, zone, p.front, ready, p.control, p.worker, service, strings.Join(d.seeds, ", "), first, last, d.storeAddr)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		panic(cannotRun(err.Error()))
	}
}

func (d *deployment) startProcess(name, program string) *process {
	p := &process{
		name: name, program: program, settings: filepath.Join(d.dir, name+".yaml"), logFile: filepath.Join(d.dir, name+".log"),
		front: d.freeAddress(), control: d.freeAddress(), worker: d.freeAddress(),
	}
	d.writeSettings(p)
	d.run(p)
	return p
}

// run starts the program of a process, for the first time or again.
func (d *deployment) run(p *process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(filepath.Join(d.root, p.program))
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = d.root, log, log
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SESAMELIFT_SETTINGS=" + p.settings}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		panic(cannotRun("start " + p.program + ": " + err.Error()))
	}
	if !slices.Contains(d.processes, p) {
		d.processes = append(d.processes, p)
	}
	d.rec.add("%s starts", p.name)
}

// startEntry starts an entry. Processes that start later have it as a seed.
func (d *deployment) startEntry(name string) *process {
	p := d.startProcess(name, entryProgram)
	d.seeds = append(d.seeds, strconv.Quote(p.control))
	return p
}

// startWorker starts an agent and its worker.
func (d *deployment) startWorker(name string, labels ...string) *worker {
	p := d.startProcess("side-"+name, agentProgram)
	w := &worker{id: "i-" + name, service: service, address: p.worker, control: p.control, agent: p, rec: d.rec, runs: d.runs, labels: labels}
	if err := w.start(); err != nil {
		panic(cannotRun(err.Error()))
	}
	return w
}

// startWorkers starts eight agents with their workers, all of one kind.
func (d *deployment) startWorkers() (workers []*worker) {
	for i := range 8 {
		workers = append(workers, d.startWorker("w"+strconv.Itoa(i+1), "a", "r1-"+strconv.Itoa(i/3+1)))
	}
	return workers
}

// answer is what a caller got; status is 0 if there was no answer.
type answer struct {
	status int
	body   string
}

func (a answer) String() string { return strings.TrimSpace(fmt.Sprintf("%d %s", a.status, a.body)) }

// request sends a request of a caller to an entry, over a new connection.
func (d *deployment) request(p *process, method, path, body string, deadline time.Duration) (a answer) {
	d.rec.add("caller: %s %s to %s", method, path, p.name)
	defer func() { d.rec.add("caller: %s %s at %s is answered: %v", method, path, p.name, a) }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline+answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{}
	}
	req.Host, req.Close = hostName, true
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, string(content)}
}

// step is a step of a job.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"mem_mb"`
	EstimateMS  int    `json:"estimate_ms"`
	Constraints string `json:"constraints,omitempty"`
}

// jobBody returns the body of a job whose tasks run for workMS. All steps need the same
// capacity.
func jobBody(workMS int, steps ...step) string {
	spec, _ := json.Marshal(taskSpec{WorkMS: int64(workMS), MilliCPU: int64(steps[0].CPU)})
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "best_effort": true, "steps": steps})
	return string(body)
}

// jobID returns a new id.
func (d *deployment) jobID() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextID++
	return fmt.Sprintf("%08x%08x", os.Getpid(), d.nextID)
}

// callUntil submits jobs, one after the other, until a time. A job that gets no answer, or
// 504, is sent again.
func (d *deployment) callUntil(end time.Time, entries []*process, workMS, tasks int) {
	const (
		resendTime = 1300 * time.Millisecond
		maxSends   = 3
		pause      = 20 * time.Millisecond
	)
	deadline := 3*time.Duration(workMS)*time.Millisecond + 2*time.Second
	for n := 0; time.Now().Before(end); n++ {
		path := queue + d.jobID()
		for range maxSends {
			a := d.request(entries[n%len(entries)], http.MethodPost, path, jobBody(workMS, step{Count: tasks, CPU: 3100, MemMB: 64, EstimateMS: workMS}), deadline)
			if a.status != 0 && a.status != http.StatusGatewayTimeout {
				break
			}
			time.Sleep(resendTime)
		}
		time.Sleep(pause)
	}
}

// awaitServing waits until every worker has run a task of each entry.
func (d *deployment) awaitServing(entries []*process, workers ...*worker) {
	for _, p := range entries {
		end := time.Now().Add(readyTimeout)
		for missing := len(workers); missing > 0; {
			if time.Now().After(end) {
				panic(cannotRun(p.name + " does not serve with all workers"))
			}
			id := d.jobID()
			a := d.request(p, http.MethodPost, queue+id, jobBody(20, step{Count: 8 * len(workers), CPU: 3100, MemMB: 64, EstimateMS: 20}), 1500*time.Millisecond)
			if a.status != http.StatusOK {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			used := map[string]bool{}
			for _, i := range d.runs.snapshot() {
				if strings.HasPrefix(i.task, id) {
					used[i.worker] = true
				}
			}
			missing = len(workers) - len(used)
		}
	}
	d.rec.add("the deployment serves")
}

// eventually waits until f returns true. It returns false if that takes longer than
// within.
func eventually(within time.Duration, f func() bool) bool {
	for end := time.Now().Add(within); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

var errNoRun = errors.New("no run")

// running returns the attempt of a job that runs at present.
func (d *deployment) running(job string) (runInterval, error) {
	for _, i := range d.runs.snapshot() {
		if strings.HasPrefix(i.task, job) && i.end == 0 {
			return i, nil
		}
	}
	return runInterval{}, errNoRun
}
