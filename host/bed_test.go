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

// bed is a deployment on loopback: the store, entries, and agents with their
// workers, all run from settings files as on the platform.
type bed struct {
	*qt.C
	t       *testing.T
	dir     string
	store   *store.Store
	address string
	audit   *site.Audit
	seeds   []string
	log     *logBuffer
	// grace is the time between the signals to end and to kill, in seconds.
	grace float64
}

// logBuffer holds what the processes log.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// lines returns the logged lines that hold all texts.
func (l *logBuffer) lines(texts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range strings.Split(l.b.String(), "\n") {
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

func newBed(t *testing.T) *bed {
	b := &bed{C: qt.New(t), t: t, dir: t.TempDir(), store: store.New(), audit: site.NewAudit(), log: &logBuffer{}, grace: 1}
	server := httptest.NewServer(b.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	b.address = server.Listener.Addr().String()
	b.configure(7, "timeout")
	t.Cleanup(func() {
		qt.Check(t, b.audit.Violations(), qt.HasLen, 0)
		if t.Failed() {
			t.Log(b.log.b.String())
		}
	})
	return b
}

// configure puts a configuration in the store: the queue /jobs/ and one more.
func (b *bed) configure(version int, more string) {
	b.store.Put(platform.ConfigTable, platform.ConfigKey, fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"jobs","host":"jobs.example","path_prefix":"/jobs/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,
		 "priority":0,"service":"service","max_attempts":2,"stretch":1.6},
		{"name":"more","host":"jobs.example","path_prefix":"/%s/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,
		 "priority":1,"service":"service","max_attempts":2,"stretch":1.6}],
		"services":[{"name":"service","health_path":"/health","max_conns":64}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":8192,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, more))
}

// nextPort walks through a range below that of outgoing connections, which could
// otherwise take a port between its choice and its use.
var nextPort atomic.Int64

const firstPort, portRange = 21000, 8000

// ports returns n free ports.
func ports(c *qt.C, n int) []int {
	var list []int
	for len(list) < n {
		port := firstPort + int((int64(os.Getpid())*101+nextPort.Add(1))%portRange)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			c.Assert(l.Close(), qt.IsNil)
			list = append(list, port)
		}
	}
	return list
}

// proc is a process of the bed.
type proc struct {
	bed      *bed
	name     string
	settings *platform.Settings
	agent    bool
	worker   *site.Worker
	ctx      context.Context
	end      context.CancelFunc
	ended    chan struct{}
}

func (b *bed) settings(name string, agent bool, p []int) *platform.Settings {
	text := fmt.Sprintf(`
node_name: %q
zone: "z1"
ip: "127.0.0.1"
listen_addrs: {front: "127.0.0.1:%d", ready: "127.0.0.1:%d", control: "127.0.0.1:%d"}
app: "127.0.0.1:%d"
seeds: [%s]
internal_ports: [%d, %d]
platform: {address: %q}
new_field: {x: 1}
bounds: {hold_max_ms: 1000, stop_timeout_ms: 50, retransmit_ms: 1300, grace_period_s: %g, remote_slowdown: 1.5}
`, name, p[0], p[1], p[2], p[3], strings.Join(b.seeds, ", "), min(p[4], p[5]), max(p[4], p[5]), b.address, b.grace)
	file := filepath.Join(b.dir, name+".yaml")
	b.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	s, err := platform.ReadSettings(file, agent)
	b.Assert(err, qt.IsNil)
	return s
}

func (b *bed) start(p *proc) *proc {
	p.ctx, p.end = context.WithCancel(context.Background())
	p.ended = make(chan struct{})
	setup, program := setupEntry, "sesamelift-entry"
	if p.agent {
		setup, program = setupAgent, "sesamelift-agent"
	}
	t, err := timing.Derive(p.settings.Bounds)
	b.Assert(err, qt.IsNil)
	go func() {
		defer close(p.ended)
		if err := start(p.ctx, program, p.agent, "", p.settings, t, b.log, setup); err != nil {
			b.t.Errorf("%s: %v", p.name, err)
		}
	}()
	b.t.Cleanup(p.stop)
	return p
}

func (p *proc) stop() {
	p.end()
	<-p.ended
}

func (b *bed) entry(name string) *proc {
	p := b.start(&proc{bed: b, name: name, settings: b.settings(name, false, ports(b.C, 6))})
	b.seeds = append(b.seeds, fmt.Sprintf("%q", p.settings.ControlAddress))
	return p
}

// agent starts an agent with a worker of four tasks of four cores.
func (b *bed) agent(name string, speed float64) *proc {
	list := ports(b.C, 6)
	p := &proc{bed: b, name: name, agent: true, settings: b.settings(name, true, list)}
	b.start(p)
	p.worker = b.worker(p, "life-"+name, speed)
	return p
}

func (b *bed) worker(p *proc, id string, speed float64) *site.Worker {
	w := site.NewWorker(site.WorkerOptions{
		ID: id, Service: "service", MilliCPU: 16000, Speed: speed, AgentAddress: p.settings.ControlAddress,
		Interval: 200 * time.Millisecond, Audit: b.audit,
	})
	l, err := net.Listen("tcp", p.settings.WorkerAddress)
	b.Assert(err, qt.IsNil)
	server := &http.Server{Handler: w}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(l) }()
	go w.Run(ctx)
	b.t.Cleanup(func() { cancel(); _ = server.Close() })
	return w
}

type answer struct {
	status int
	body   string
	header http.Header
	// closed says that the entry closes the connection after the answer.
	closed bool
	err    error
	took   time.Duration
}

// request sends a request to an entry as a client does.
func (p *proc) request(ctx context.Context, method, path, body string) answer {
	begin := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "jobs.example"
	req.Header.Set("Deadline-Ms", "2400")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(begin)}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(b), resp.Header, resp.Close, err, time.Since(begin)}
}

func (p *proc) submit(id string, tasks, workMS int) answer {
	return p.request(context.Background(), http.MethodPost, "/jobs/"+id, jobBody(tasks, site.Spec{WorkMS: int64(workMS), MilliCPU: 4000}))
}

func jobBody(tasks int, spec site.Spec) string {
	text, _ := json.Marshal(spec)
	body, _ := json.Marshal(map[string]any{
		"spec": string(text), "best_effort": true,
		"steps": []any{map[string]any{"count": tasks, "cpu": spec.MilliCPU, "mem_mb": 64, "estimate_ms": max(spec.WorkMS, 1)}},
	})
	return string(body)
}

// id returns the id of the n-th job.
func id(n int) string { return fmt.Sprintf("%016x", n) }

// eventually waits until f holds.
func (b *bed) eventually(what string, within time.Duration, f func() bool) {
	b.Helper()
	for end := time.Now().Add(within); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatalf("%s: not within %v", what, within)
		}
	}
}

// serving waits until an entry completes a job.
func (b *bed) serving(p *proc) {
	b.Helper()
	n := 900
	b.eventually(p.name+" serves", 8*time.Second, func() bool {
		n++
		return p.submit(id(n), 1, 5).status == http.StatusOK
	})
}
