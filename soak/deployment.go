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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/standin/site"
	"github.com/sesamelift/sesamelift/standin/store"
)

const (
	// announceInterval is the time between two announcements of a worker.
	announceInterval = 500 * time.Millisecond
	// workerMilliCPU is the capacity of a worker in thousandths of a core. It is
	// enough for eight tasks, each of which needs taskMilliCPU.
	workerMilliCPU = 32000
	taskMilliCPU   = 4000
	// restartDelay is the time after which the platform restarts a process that has
	// ended.
	restartDelay = 300 * time.Millisecond
	hostName     = "jobs.example"
)

// process is an entry or agent process that is restarted whenever it ends.
type process struct {
	name, program, settings string
	log                     *os.File
	// callerProxy forwards connections of callers to an entry, agentProxy those of
	// entries to an agent, and workerProxy those of an agent to its worker.
	callerProxy, agentProxy, workerProxy *tcpProxy
	controlAddr, readyAddr               string

	mu     sync.Mutex
	worker *workerInstance
	cmd    *exec.Cmd
	// exitExpected is set when the soak test has sent a signal that ends the process.
	exitExpected bool
	stopped      bool
	// replacing is true while the worker is being replaced.
	replacing atomic.Bool
}

// workerInstance is a worker instance and its HTTP server.
type workerInstance struct {
	id     string
	speed  float64
	worker *site.Worker
	cancel context.CancelFunc
	server *http.Server
	// served is closed when the server has ended. listener is nil until the server listens.
	served   chan struct{}
	listener atomic.Pointer[site.HeldListener]
}

// deployment holds the processes, workers and proxies of one run.
type deployment struct {
	dir            string
	store          *store.Store
	storeServer    *http.Server
	storeProxies   map[string]*tcpProxy
	audit          *site.Audit
	entries        []*process
	agents         []*process
	version        int
	workersStarted atomic.Int64
	// twoZones puts every second worker into zone z2.
	twoZones bool

	mu         sync.Mutex
	violations []string
	// traceFile receives a line for each fault, answer to a caller, and run.
	traceFile *os.File
}

// trace writes a line to the trace file.
func (d *deployment) trace(format string, args ...any) {
	_, _ = d.traceFile.WriteString(time.Now().UTC().Format("05.000 ") + fmt.Sprintf(format, args...) + "\n")
}

func (d *deployment) violation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// newDeployment prepares entries and agents, and serves the store. startProcesses and
// startWorkers start the rest.
func newDeployment(dir, programs string, entries, agents int) (*deployment, error) {
	d := &deployment{dir: dir, store: store.New(), audit: site.NewAudit(), storeProxies: map[string]*tcpProxy{}, version: 10}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	if d.traceFile, err = os.Create(filepath.Join(dir, "trace.log")); err != nil {
		return nil, errors.Wrap(err, "create trace")
	}
	d.audit.Trace = d.trace
	d.store.Rewrite = d.rewriteMember
	d.storeServer = &http.Server{Handler: d.store}
	d.publishConfig()
	var seedAddrs []string
	for n := range entries + agents {
		agent := n >= entries
		p := &process{name: fmt.Sprintf("entry-%d", n), program: filepath.Join(programs, "sesamelift-platform-entry")}
		if agent {
			p.name, p.program = fmt.Sprintf("agent-%d", n-entries), filepath.Join(programs, "sesamelift-platform-agent")
		}
		if err := d.prepare(p, agent, l.Addr().String(), seedAddrs); err != nil {
			return nil, err
		}
		if agent {
			d.agents = append(d.agents, p)
		} else {
			d.entries = append(d.entries, p)
			seedAddrs = append(seedAddrs, fmt.Sprintf("%q", p.controlAddr))
		}
	}
	// The goroutines of the store's server read d.agents, which must be complete before
	// they start.
	go func() { _ = d.storeServer.Serve(l) }()
	return d, nil
}

// startProcesses starts the entries and agents without waiting until they serve.
func (d *deployment) startProcesses() {
	for _, p := range append(append([]*process{}, d.agents...), d.entries...) {
		go d.supervise(p)
	}
}

// startWorkers starts a worker for each agent.
func (d *deployment) startWorkers() {
	for i, p := range d.agents {
		d.startWorker(p, d.newWorkerID(p), []float64{1.2, 0.55, 1, 1.2}[i%4], nil)
	}
}

// portCounter counts the ports that freePort has tried.
var portCounter = struct {
	sync.Mutex
	n int
}{}

// freePort returns a port below the ephemeral range, so that outgoing connections do
// not occupy it before the process listens on it.
func freePort() (int, error) {
	portCounter.Lock()
	defer portCounter.Unlock()
	for range 5000 {
		portCounter.n++
		port := 12000 + (os.Getpid()*37+portCounter.n)%8000
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return port, l.Close()
		}
	}
	return 0, errors.New("no free port after 5000 attempts")
}

// prepare creates the proxies, the settings file and the log file of a process.
func (d *deployment) prepare(p *process, agent bool, storeAddr string, seedAddrs []string) error {
	// In this order: the ports of listen_addrs front, ready and control, the port of
	// the worker, and two for the range internal_ports. Entries connect to an agent at
	// the first port of that range.
	var ports [6]int
	for i := range ports {
		port, err := freePort()
		if err != nil {
			return err
		}
		ports[i] = port
	}
	addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	p.readyAddr, p.controlAddr = addr(1), addr(2)
	var err error
	if d.storeProxies[p.name], err = newTCPProxy(storeAddr); err != nil {
		return err
	}
	if agent {
		if p.agentProxy, err = newTCPProxy(addr(4)); err != nil {
			return err
		}
		if p.workerProxy, err = newTCPProxy(addr(3)); err != nil {
			return err
		}
	} else if p.callerProxy, err = newTCPProxy(addr(0)); err != nil {
		return err
	}
	if p.callerProxy != nil {
		p.callerProxy.passResets = true
	}
	workerAddr := addr(3)
	if p.workerProxy != nil {
		workerAddr = p.workerProxy.address()
	}
	p.settings = filepath.Join(d.dir, p.name+".yaml")
	text := fmt.Sprintf(`
node_name: %q
zone: "z1"
ip: "127.0.0.1"
listen_addrs: {front: %q, ready: %q, control: %q}
app: %q
service: "s"
seeds: [%s]
internal_ports: [%d, %d]
platform: {address: %q}
bounds: {hold_max_ms: 1000, stop_timeout_ms: 50, retransmit_ms: 1300, grace_period_s: 6, remote_slowdown: 1.5}
`, p.name, addr(0), p.readyAddr, p.controlAddr, workerAddr, strings.Join(seedAddrs, ", "), ports[4], max(ports[4]+1, ports[5]), d.storeProxies[p.name].address())
	if p.log, err = os.Create(filepath.Join(d.dir, p.name+".log")); err != nil {
		return errors.Wrap(err, "create log")
	}
	return errors.Wrap(os.WriteFile(p.settings, []byte(text), 0o600), "write settings")
}

// rewriteMember replaces an agent's address in its member row by that of its proxy,
// so that entries connect through the proxy.
func (d *deployment) rewriteMember(key string, value []byte) []byte {
	for _, p := range d.agents {
		if p.name == key && p.agentProxy != nil {
			var m map[string]any
			if json.Unmarshal(value, &m) == nil && m["role"] == "agent" {
				m["address"] = p.agentProxy.address()
				value, _ = json.Marshal(m)
			}
		}
	}
	return value
}

// publishConfig writes a new version of the configuration to the store. The path of
// route v contains the version, so that checkConfig can query whether it applies.
func (d *deployment) publishConfig() {
	d.version += 3
	d.store.Put("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"jobs","host":%q,"path_prefix":"/jobs/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"s","max_attempts":3,"stretch":1.6},
		{"name":"v","host":%q,"path_prefix":"/v%d/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":1,"service":"s","max_attempts":2,"stretch":1.6}],
		"services":[],"limits":{"max_body_bytes":65536}}`, d.version, hostName, hostName, d.version))
}

// supervise runs a process and restarts it after restartDelay whenever it ends. It is
// a violation if the process ends without SIGKILL or SIGTERM from the soak test.
func (d *deployment) supervise(p *process) {
	for {
		cmd := exec.Command(p.program)
		cmd.Env = append(os.Environ(), "SESAMELIFT_SETTINGS="+p.settings, "GOMAXPROCS=1")
		cmd.Stdout, cmd.Stderr = p.log, p.log
		p.mu.Lock()
		if p.stopped {
			p.mu.Unlock()
			return
		}
		p.exitExpected = false
		err := cmd.Start()
		p.cmd = cmd
		p.mu.Unlock()
		if err != nil {
			d.violation("%s failed to start: %v", p.name, err)
			return
		}
		err = cmd.Wait()
		p.mu.Lock()
		if !p.exitExpected && !p.stopped {
			d.violation("%s exited unexpectedly: %v", p.name, err)
		}
		p.mu.Unlock()
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.exitExpected = true
	}
	// The error is ignored: the process may just have ended.
	_ = p.cmd.Process.Signal(s)
}

// zoneOf returns the zone of an agent's worker.
func (d *deployment) zoneOf(p *process) string {
	if d.twoZones && slices.Index(d.agents, p)%2 == 1 {
		return "z2"
	}
	return "z1"
}

// startWorker starts a worker instance for an agent. Its listener is held, or opened if held is
// nil.
func (d *deployment) startWorker(p *process, id string, speed float64, held *site.HeldListener) {
	w := site.NewWorker(site.WorkerOptions{
		ID: id, Service: "s", Zone: d.zoneOf(p), MilliCPU: workerMilliCPU, Speed: speed, AgentAddress: p.controlAddr, Interval: announceInterval, Audit: d.audit, HideStopping: d.workersStarted.Load()%2 == 0,
	})
	ctx, cancel := context.WithCancel(context.Background())
	instance := &workerInstance{id: id, speed: speed, worker: w, cancel: cancel, server: &http.Server{Handler: w}, served: make(chan struct{})}
	go func() {
		defer close(instance.served)
		var err error
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
			if held == nil || held.Reopen() != nil {
				held, err = site.Hold(p.workerProxy.target)
			}
			if err == nil {
				instance.listener.Store(held)
				_ = instance.server.Serve(held)
				return
			}
		}
		if ctx.Err() == nil {
			d.violation("worker of %s failed to listen within 5 s: %v", p.name, err)
		}
	}()
	go w.Run(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.worker = instance
}

// currentWorker returns the worker instance of an agent. It may be replaced at any time.
func (p *process) currentWorker() *workerInstance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.worker
}

// replaceWorker crashes the worker and starts another instance at the same address after
// downTime. It has a new ID unless keepID is set. If holdListener is set, the listening socket
// stays open meanwhile. While another replacement is under way, nothing happens.
func (d *deployment) replaceWorker(p *process, keepID, holdListener bool, speed float64, downTime time.Duration) {
	if !p.replacing.CompareAndSwap(false, true) {
		return
	}
	defer p.replacing.Store(false)
	old := p.currentWorker()
	old.worker.Crash()
	listener := old.stop()
	if listener != nil && !holdListener {
		_ = listener.Release()
		listener = nil
	}
	time.Sleep(downTime)
	id := old.id
	if !keepID {
		id = d.newWorkerID(p)
	}
	d.startWorker(p, id, speed, listener)
}

// stop ends the server of an instance and returns its listener, nil if there is none.
func (w *workerInstance) stop() *site.HeldListener {
	w.cancel()
	_ = w.server.Close()
	<-w.served
	return w.listener.Load()
}

func (d *deployment) newWorkerID(p *process) string {
	return fmt.Sprintf("%s-life-%d", p.name, d.workersStarted.Add(1))
}

// close ends everything that the deployment has started.
func (d *deployment) close() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		p.mu.Lock()
		p.stopped = true
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
		for _, proxy := range []*tcpProxy{p.callerProxy, p.agentProxy, p.workerProxy} {
			if proxy != nil {
				proxy.close()
			}
		}
		if w := p.currentWorker(); w != nil {
			if l := w.stop(); l != nil {
				_ = l.Release()
			}
		}
	}
	for _, proxy := range d.storeProxies {
		proxy.close()
	}
	_ = d.storeServer.Close()
}

// jobBody returns a job whose tasks each take workMS milliseconds at speed 1 and need
// milliCPU.
func jobBody(tasks, workMS, milliCPU int) []byte {
	spec, _ := json.Marshal(site.Spec{WorkMS: int64(workMS), MilliCPU: int64(milliCPU)})
	b, _ := json.Marshal(map[string]any{
		"spec": string(spec), "best_effort": true,
		"steps": []any{map[string]any{"count": tasks, "cpu": milliCPU, "mem_mb": 64, "estimate_ms": workMS}},
	})
	return b
}

// client resets the connections that it closes, so that a cut doesn't hold back their end.
var client = &http.Client{Transport: &http.Transport{
	MaxIdleConnsPerHost: 16,
	DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c, c.(*net.TCPConn).SetLinger(0)
	},
}}

// submit sends a job to an entry and returns the status and the body. Status 0
// means that no complete reply was received; the text is then the error.
func submit(p *process, id string, timeout time.Duration, job []byte) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callerProxy.address()+"/jobs/"+id, bytes.NewReader(job))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = hostName
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
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
