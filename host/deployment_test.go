package host

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/standin/site"
	"github.com/sesamelift/sesamelift/standin/store"
	"github.com/sesamelift/sesamelift/timing"
)

// deployment is a test deployment on loopback: the store, entries, and agents with
// their workers. Entries and agents run from settings files as on the platform.
type deployment struct {
	*qt.C
	t            *testing.T
	dir          string
	store        *store.Store
	storeAddress string
	audit        *site.Audit
	seeds        []string
	log          *logBuffer
	// graceSeconds is the time between the termination signal and the kill signal.
	graceSeconds float64
}

// logBuffer collects the log lines of the processes.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// lines returns the log lines that contain all of the texts.
func (l *logBuffer) lines(texts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range strings.Split(l.buf.String(), "\n") {
		all := line != ""
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			found = append(found, line)
		}
	}
	return found
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{C: qt.New(t), t: t, dir: t.TempDir(), store: store.New(), audit: site.NewAudit(), log: &logBuffer{}, graceSeconds: 1}
	server := httptest.NewServer(d.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	d.storeAddress = server.Listener.Addr().String()
	d.configure(7, "timeout")
	t.Cleanup(func() {
		qt.Check(t, d.audit.Violations(), qt.HasLen, 0)
		if t.Failed() {
			t.Log(d.log.buf.String())
		}
	})
	return d
}

// configure writes a configuration to the store. It has the queue /jobs/ and another
// one with the path prefix /secondQueue/.
func (d *deployment) configure(version int, secondQueue string) {
	d.store.Put(platform.ConfigTable, platform.ConfigKey, fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"jobs","host":"jobs.example","path_prefix":"/jobs/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,
		 "priority":0,"service":"service","max_attempts":2,"stretch":1.6},
		{"name":"more","host":"jobs.example","path_prefix":"/%s/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,
		 "priority":1,"service":"service","max_attempts":2,"stretch":1.6}],
		"services":[{"name":"service","health_path":"/health","max_conns":64}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":8192,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, secondQueue))
}

// portCounter counts through a port range below the ephemeral ports. An outgoing
// connection could take an ephemeral port after it was chosen and before the process
// listens on it.
var portCounter atomic.Int64

const firstPort, portRange = 21000, 8000

// freePorts returns n ports that were free when it checked them.
func freePorts(c *qt.C, n int) []int {
	var list []int
	for len(list) < n {
		port := firstPort + int((int64(os.Getpid())*101+portCounter.Add(1))%portRange)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			c.Assert(l.Close(), qt.IsNil)
			list = append(list, port)
		}
	}
	return list
}

// testProcess is an entry or agent of the deployment.
type testProcess struct {
	deployment *deployment
	name       string
	settings   *platform.Settings
	agent      bool
	worker     *site.Worker
	// closeWorker closes the worker's listener and connections; its runs go on.
	closeWorker func()
	// zone is that of workers that are started; empty means z1.
	zone      string
	ctx       context.Context
	terminate context.CancelFunc
	exited    chan struct{}
}

// writeSettings writes the settings file of a process and returns the settings read
// from it. The file has a field that is unknown to this version.
func (d *deployment) writeSettings(name string, agent bool, p []int) *platform.Settings {
	text := fmt.Sprintf(`
node_name: %q
zone: "z1"
ip: "127.0.0.1"
listen_addrs: {front: "127.0.0.1:%d", ready: "127.0.0.1:%d", control: "127.0.0.1:%d"}
app: "127.0.0.1:%d"
service: "service"
seeds: [%s]
internal_ports: [%d, %d]
platform: {address: %q}
new_field: {x: 1}
bounds: {hold_max_ms: 1000, stop_timeout_ms: 50, retransmit_ms: 1300, grace_period_s: %g, remote_slowdown: 1.5}
`, name, p[0], p[1], p[2], p[3], strings.Join(d.seeds, ", "), min(p[4], p[5]), max(p[4], p[5]), d.storeAddress, d.graceSeconds)
	file := filepath.Join(d.dir, name+".yaml")
	d.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	s, err := platform.ReadSettings(file, agent)
	d.Assert(err, qt.IsNil)
	return s
}

// startProcess runs p in the background until the test ends or p is terminated.
func (d *deployment) startProcess(p *testProcess) *testProcess {
	p.ctx, p.terminate = context.WithCancel(context.Background())
	p.exited = make(chan struct{})
	setup, program := setupEntry, "sesamelift-entry"
	if p.agent {
		setup, program = setupAgent, "sesamelift-agent"
	}
	t, err := timing.Derive(p.settings.Bounds)
	d.Assert(err, qt.IsNil)
	go func() {
		defer close(p.exited)
		if err := start(p.ctx, program, p.settings, t, signalRequests{}, d.log, setup); err != nil {
			d.t.Errorf("%s: %v", p.name, err)
		}
	}()
	d.t.Cleanup(p.stop)
	return p
}

// stop terminates the process and waits until it has drained.
func (p *testProcess) stop() {
	p.terminate()
	<-p.exited
}

// startEntry starts an entry. Processes that start later have it as a seed.
func (d *deployment) startEntry(name string) *testProcess {
	p := d.startProcess(&testProcess{deployment: d, name: name, settings: d.writeSettings(name, false, freePorts(d.C, 6))})
	d.seeds = append(d.seeds, fmt.Sprintf("%q", p.settings.ControlAddress))
	return p
}

// startAgent starts an agent and its worker, which has capacity for four tasks of
// four cores each.
func (d *deployment) startAgent(name string, speed float64) *testProcess {
	return d.startAgentInZone("", name, speed)
}

func (d *deployment) startAgentInZone(zone, name string, speed float64) *testProcess {
	list := freePorts(d.C, 6)
	p := &testProcess{deployment: d, name: name, agent: true, zone: zone, settings: d.writeSettings(name, true, list)}
	d.startProcess(p)
	p.worker = d.startWorker(p, "worker-"+name, speed)
	return p
}

// startWorker starts a worker for the agent p. The listener of the worker is closed at the
// end of the test, or by p.closeWorker.
func (d *deployment) startWorker(p *testProcess, id string, speed float64) *site.Worker {
	w := site.NewWorker(site.WorkerOptions{
		ID: id, Service: "service", Zone: p.zone, MilliCPU: 16000, Speed: speed, AgentAddress: p.settings.ControlAddress,
		Interval: 200 * time.Millisecond, Audit: d.audit,
	})
	l, err := net.Listen("tcp", p.settings.WorkerAddress)
	d.Assert(err, qt.IsNil)
	server := &http.Server{Handler: w}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(l) }()
	go w.Run(ctx)
	d.t.Cleanup(func() { cancel(); _ = server.Close() })
	p.closeWorker = func() { _ = server.Close() }
	return w
}

type response struct {
	status int
	body   string
	header http.Header
	// closed is true if the entry closes the connection after the response.
	closed bool
	err    error
	took   time.Duration
}

// request sends a request to an entry as a caller does.
func (p *testProcess) request(ctx context.Context, method, path, body string) response {
	begin := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Host = "jobs.example"
	req.Header.Set("Deadline-Ms", "2400")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err, took: time.Since(begin)}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(b), resp.Header, resp.Close, err, time.Since(begin)}
}

// submit submits a job of one step, whose tasks need four cores each, and waits for
// the response.
func (p *testProcess) submit(id string, tasks, workMS int) response {
	return p.request(context.Background(), http.MethodPost, "/jobs/"+id, jobBody(tasks, site.Spec{WorkMS: int64(workMS), MilliCPU: 4000}))
}

// jobBody returns the body of a submission with one step of tasks.
func jobBody(tasks int, spec site.Spec) string {
	text, _ := json.Marshal(spec)
	body, _ := json.Marshal(map[string]any{
		"spec": string(text), "best_effort": true,
		"steps": []any{map[string]any{"count": tasks, "cpu": spec.MilliCPU, "mem_mb": 64, "estimate_ms": max(spec.WorkMS, 1)}},
	})
	return string(body)
}

// jobID returns the ID of the n-th job of a test.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// eventually fails the test unless f returns true within the given time.
func (d *deployment) eventually(what string, within time.Duration, f func() bool) {
	d.Helper()
	for end := time.Now().Add(within); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			d.Fatalf("%s: condition not met within %v", what, within)
		}
	}
}

// waitUntilServing submits jobs to the entry p until it completes one.
func (d *deployment) waitUntilServing(p *testProcess) {
	d.Helper()
	n := 900
	d.eventually(p.name+" serves", 8*time.Second, func() bool {
		n++
		return p.submit(jobID(n), 1, 5).status == http.StatusOK
	})
}
