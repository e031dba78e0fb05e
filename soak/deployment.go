package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/standin/site"
	"github.com/sesamelift/sesamelift/standin/store"
)

const (
	// announceInterval is how often workers announce themselves.
	announceInterval = 500 * time.Millisecond
	// workerCPU is the capacity of a worker: eight tasks of four cores.
	workerCPU = 32000
	taskCPU   = 4000
	// restartDelay is how soon the platform starts a process that has ended.
	restartDelay = 300 * time.Millisecond
	hostName     = "jobs.example"
)

// process is a program that is started again whenever it ends.
type process struct {
	name, program, settings string
	log                     *os.File
	// front is the proxy before an entry's address for callers, link that before
	// an agent's address for entries, app that before the worker.
	front, link, app *link
	control, ready   string
	worker           *workerLife

	mu       sync.Mutex
	cmd      *exec.Cmd
	expected bool
	stopped  bool
}

// workerLife is one life of a worker and its server.
type workerLife struct {
	worker *site.Worker
	end    context.CancelFunc
	server *http.Server
}

// deployment is what one seed runs.
type deployment struct {
	dir      string
	store    *store.Store
	storeSrv *http.Server
	stores   map[string]*link
	audit    *site.Audit
	entries  []*process
	agents   []*process
	version  int
	lives    int

	mu         sync.Mutex
	violations []string
}

func (d *deployment) violation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// newDeployment starts entries and agents and waits for nothing.
func newDeployment(dir, programs string, entries, agents int) (*deployment, error) {
	d := &deployment{dir: dir, store: store.New(), audit: site.NewAudit(), stores: map[string]*link{}, version: 10}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	d.store.Rewrite = d.rewriteMember
	d.storeSrv = &http.Server{Handler: d.store}
	go func() { _ = d.storeSrv.Serve(l) }()
	d.configure()
	var seeds []string
	for n := range entries + agents {
		agent := n >= entries
		p := &process{name: fmt.Sprintf("entry-%d", n), program: filepath.Join(programs, "sesamelift-entry")}
		if agent {
			p.name, p.program = fmt.Sprintf("agent-%d", n-entries), filepath.Join(programs, "sesamelift-agent")
		}
		if err := d.prepare(p, agent, l.Addr().String(), seeds); err != nil {
			return nil, err
		}
		if agent {
			d.agents = append(d.agents, p)
		} else {
			d.entries = append(d.entries, p)
			seeds = append(seeds, fmt.Sprintf("%q", p.control))
		}
	}
	for _, p := range append(append([]*process{}, d.agents...), d.entries...) {
		go d.supervise(p)
	}
	for i, p := range d.agents {
		d.startWorker(p, []float64{1.2, 0.55, 1, 1.2}[i%4])
	}
	return d, nil
}

// nextPort hands out ports below the range of outgoing connections.
var nextPort = struct {
	sync.Mutex
	n int
}{}

func freePort() (int, error) {
	nextPort.Lock()
	defer nextPort.Unlock()
	for range 5000 {
		nextPort.n++
		port := 12000 + (os.Getpid()*37+nextPort.n)%8000
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return port, l.Close()
		}
	}
	return 0, errors.New("no free port")
}

func (d *deployment) prepare(p *process, agent bool, store string, seeds []string) error {
	var ports [6]int
	for i := range ports {
		port, err := freePort()
		if err != nil {
			return err
		}
		ports[i] = port
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	p.ready, p.control = at(1), at(2)
	var err error
	if d.stores[p.name], err = newLink(store); err != nil {
		return err
	}
	if agent {
		if p.link, err = newLink(at(4)); err != nil {
			return err
		}
		if p.app, err = newLink(at(3)); err != nil {
			return err
		}
	} else if p.front, err = newLink(at(0)); err != nil {
		return err
	}
	app := at(3)
	if p.app != nil {
		app = p.app.address()
	}
	p.settings = filepath.Join(d.dir, p.name+".yaml")
	text := fmt.Sprintf(`
node_name: %q
zone: "z1"
ip: "127.0.0.1"
listen_addrs: {front: %q, ready: %q, control: %q}
app: %q
seeds: [%s]
internal_ports: [%d, %d]
platform: {address: %q}
bounds: {hold_max_ms: 1000, stop_timeout_ms: 50, retransmit_ms: 1300, grace_period_s: 6, remote_slowdown: 1.5}
`, p.name, at(0), p.ready, p.control, app, strings.Join(seeds, ", "), ports[4], max(ports[4]+1, ports[5]), d.stores[p.name].address())
	if p.log, err = os.Create(filepath.Join(d.dir, p.name+".log")); err != nil {
		return errors.Wrap(err, "create log")
	}
	return errors.Wrap(os.WriteFile(p.settings, []byte(text), 0o600), "write settings")
}

// rewriteMember shows entries the proxy in front of an agent.
func (d *deployment) rewriteMember(key string, value []byte) []byte {
	for _, p := range d.agents {
		if p.name == key && p.link != nil {
			var m map[string]any
			if json.Unmarshal(value, &m) == nil && m["role"] == "agent" {
				m["address"] = p.link.address()
				value, _ = json.Marshal(m)
			}
		}
	}
	return value
}

// configure puts the next version of the configuration in the store.
func (d *deployment) configure() {
	d.version += 3
	d.store.Put("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"jobs","host":%q,"path_prefix":"/jobs/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"s","max_attempts":3,"stretch":1.6},
		{"name":"v","host":%q,"path_prefix":"/v%d/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":1,"service":"s","max_attempts":2,"stretch":1.6}],
		"services":[],"limits":{"max_body_bytes":65536}}`, d.version, hostName, hostName, d.version))
}

// supervise starts a process again whenever it ends.
func (d *deployment) supervise(p *process) {
	for {
		cmd := exec.Command(p.program, "-platform")
		cmd.Env = append(os.Environ(), "SESAMELIFT_SETTINGS="+p.settings, "GOMAXPROCS=1")
		cmd.Stdout, cmd.Stderr = p.log, p.log
		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()
			return
		}
		p.expected = false
		err := cmd.Start()
		p.cmd = cmd
		p.mu.Unlock()
		if err != nil {
			d.violation("%s can't be started: %v", p.name, err)
			return
		}
		err = cmd.Wait()
		p.mu.Lock()
		if !p.expected && !p.stopped {
			d.violation("%s ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	// A process that has just ended needs no signal.
	_ = p.cmd.Process.Signal(s)
}

func (d *deployment) startWorker(p *process, speed float64) {
	d.lives++
	w := site.NewWorker(site.WorkerOptions{
		ID: fmt.Sprintf("%s-life-%d", p.name, d.lives), Service: "s", MilliCPU: workerCPU, Speed: speed,
		AgentAddress: p.control, Interval: announceInterval, Audit: d.audit,
	})
	ctx, cancel := context.WithCancel(context.Background())
	life := &workerLife{worker: w, end: cancel, server: &http.Server{Handler: w}}
	go func() {
		var l net.Listener
		var err error
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if l, err = net.Listen("tcp", p.app.target); err == nil {
				_ = life.server.Serve(l)
				return
			}
		}
		d.violation("worker of %s can't listen: %v", p.name, err)
	}()
	go w.Run(ctx)
	p.worker = life
}

// crashWorker ends the worker and starts another life at the same address.
func (d *deployment) crashWorker(p *process, speed float64) {
	p.worker.worker.Crash()
	p.worker.end()
	_ = p.worker.server.Close()
	d.startWorker(p, speed)
}

// close ends all that the deployment started.
func (d *deployment) close() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		p.mu.Lock()
		p.stopped = true
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
		for _, k := range []*link{p.front, p.link, p.app} {
			if k != nil {
				k.close()
			}
		}
		if p.worker != nil {
			p.worker.end()
			_ = p.worker.server.Close()
		}
	}
	for _, k := range d.stores {
		k.close()
	}
	_ = d.storeSrv.Close()
}

// body returns a job of tasks that take workMS.
func body(tasks, workMS int) []byte {
	spec, _ := json.Marshal(site.Spec{WorkMS: int64(workMS), MilliCPU: taskCPU})
	b, _ := json.Marshal(map[string]any{
		"spec": string(spec), "best_effort": true,
		"steps": []any{map[string]any{"count": tasks, "cpu": taskCPU, "mem_mb": 64, "estimate_ms": workMS}},
	})
	return b
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// submit sends a job to an entry and returns the status; 0 means no answer.
func submit(p *process, id string, deadline time.Duration, job []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.front.address()+"/jobs/"+id, bytes.NewReader(job))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = hostName
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var text bytes.Buffer
	if _, err := text.ReadFrom(resp.Body); err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, text.String()
}
