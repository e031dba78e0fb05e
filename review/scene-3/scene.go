package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// scene is a small deployment: the store, entries, agents and their workers.
type scene struct {
	dir     string
	began   time.Time
	store   *store
	trouble bool
	// twoZones puts every second worker into zone-2.
	twoZones bool
	// path is the path_prefix of the requests: that of the queue with a timeout of 1.5 s, or
	// /long/ with 30 s.
	path    string
	entries []*process
	agents  []*process

	mu     sync.Mutex
	out    *os.File
	starts []*startedRun
}

// process is a program of the project.
type process struct {
	*scene
	name, program, settings          string
	front, ready, control, app, link string
	peerProxies                      map[string]*proxy
	mu                               sync.Mutex
	cmd                              *exec.Cmd
	exited                           chan struct{}
	log                              *os.File
}

func newScene(record string, trouble bool) *scene {
	dir, err := os.MkdirTemp("", "scene3-")
	must(err)
	out, err := os.Create(record)
	must(err)
	s := &scene{dir: dir, began: time.Now(), store: newStore(), trouble: trouble, out: out, path: "/jobs/"}
	s.store.rewrite = s.rewriteMember
	return s
}

func (s *scene) now() time.Duration { return time.Since(s.began) }

// record writes a line to the record of the case.
func (s *scene) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "%8.3f s  %s\n", s.now().Seconds(), fmt.Sprintf(format, args...))
}

// configure writes the operator's configuration.
func (s *scene) configure() {
	s.store.put("op", "config", []byte(`{"version":7,"routes":[
		{"name":"r-1","host":"jobs.example","path_prefix":"/jobs/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"service","max_attempts":2,"stretch":1.6},
		{"name":"r-2","host":"jobs.example","path_prefix":"/long/","kind":"non_idempotent","timeout_ms":30000,"target_latency_ms":60,"priority":1,"service":"service","max_attempts":2,"stretch":1.6}],
		"services":[{"name":"service","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"admission_control":false,"standby":false}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
}

// zoneOf returns the zone of the i-th entry, and of the i-th agent and its worker.
func (s *scene) zoneOf(i int) string {
	if s.twoZones && i%2 == 1 {
		return "zone-2"
	}
	return "zone-1"
}

// lastPort is below the range of ports of outgoing connections.
var lastPort = 12000 + rand.IntN(18000)

// freePort returns a port that is free on loopback.

func freePort() int {
	for range 5000 {
		lastPort++
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lastPort)); err == nil {
			must(l.Close())
			return lastPort
		}
	}
	panic("no free port")
}

// add prepares an entry or an agent, without starting it.
func (s *scene) add(agent bool) *process {
	p := &process{scene: s, program: "target/sesamelift-platform-entry", peerProxies: map[string]*proxy{}}
	addr := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
	p.front, p.ready, p.control, p.app = addr(), addr(), addr(), addr()
	first := freePort()
	second := freePort()
	p.link = fmt.Sprintf("127.0.0.1:%d", first)
	class, serves, limits := "edge", "[edge, control]", "{cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}"
	zone := ""
	listen := fmt.Sprintf("{front: %q, ready: %q, control: %q}", p.front, p.ready, p.control)
	if agent {
		p.name, p.program = fmt.Sprintf("side-%d", len(s.agents)+1), "target/sesamelift-platform-agent"
		class, serves, limits = "side", "[side]", "{cpu_share: 0.24, cores: 1, memory_mb: 152, max_fds: 4096, link_mbps: 1000.0, disk_mb: 0}"
		listen = fmt.Sprintf("{control: %q}\napp: %q\nservice: service", p.control, p.app)
		zone = s.zoneOf(len(s.agents))
		s.agents = append(s.agents, p)
	} else {
		p.name = fmt.Sprintf("edge-%d", len(s.entries)+1)
		zone = s.zoneOf(len(s.entries))
		s.entries = append(s.entries, p)
	}
	var seeds []string
	for _, e := range s.entries {
		seeds = append(seeds, fmt.Sprintf("%q", e.control))
	}
	p.settings = filepath.Join(s.dir, p.name+".yaml")
	must(os.WriteFile(p.settings, []byte(fmt.Sprintf(`node_name: %q
role: %s
machine_class: %s
serves: %s
ip: "127.0.0.1"
zone: %q
region: "region-1"
zones: {zone-1: region-1, zone-2: region-1}
listen_addrs: %s
internal_ports: [%d, %d]
seeds: [%s]
bootstrap: true
limits: %s
data_dir: null
heartbeat_ms: 1500
bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_period_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250,
  max_stretch_ms: 5000, evac_ms: 5000, recovery_s: 12, hold_max_ms: 1000, stop_timeout_ms: 50, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000,
  early_ms: 250, finish_s: 14, status_s: 120, remote_slowdown: 1.5, lease_ms: 3000, retransmit_ms: 1300}
control_mode: "call"
platform: {address: %q, form: "table", writes_per_s: 800, reads_per_s: 2000, txn_ms: 4.0, retention_s: 20}
`, p.name, map[bool]string{false: "entry", true: "agent"}[agent], class, serves, zone, listen, first, second, strings.Join(seeds, ", "), limits, s.store.serveFor(p.name))), 0o600))
	var err error
	p.log, err = os.Create(filepath.Join(s.dir, p.name+".log"))
	must(err)
	return p
}

// rewriteMember takes the place of the network between entries: it lets an entry reach another one through a proxy.
func (s *scene) rewriteMember(reader string, r row) []byte {
	if r.Table != "sesamelift-members" || reader == r.Key {
		return r.Value
	}
	for _, e := range s.entries {
		p := e.peerProxies[reader]
		var m map[string]any
		if e.name != r.Key || p == nil || json.Unmarshal(r.Value, &m) != nil {
			continue
		}
		m["directory"] = p.address()
		b, err := json.Marshal(m)
		must(err)
		return b
	}
	return r.Value
}

// start starts the program with the command of the deploy file.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SESAMELIFT_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	must(cmd.Start())
	p.cmd, p.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.exited)
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// kill ends the process and waits until it has gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// startAll starts entries, agents and workers, and waits until each entry has served a job.
func (s *scene) startAll(entries, agents int) []*worker {
	s.configure()
	for range entries {
		s.add(false)
	}
	for range agents {
		s.add(true)
	}
	var workers []*worker
	for i, a := range s.agents {
		a.start()
		workers = append(workers, s.startWorker(fmt.Sprintf("i-%08x", i+1), a.app, a.control, s.zoneOf(i), "a", "r1-1"))
	}
	for _, e := range s.entries {
		e.start()
	}
	for i, e := range s.entries {
		served := false
		for n := 0; n < 150 && !served; n++ {
			status, _ := s.post(context.Background(), e.front, fmt.Sprintf("%016x", 0xffff0000+1000*i+n), 1500, job(20, 1))
			if served = status == http.StatusOK; !served {
				time.Sleep(100 * time.Millisecond)
			}
		}
		if !served {
			panic("the deployment doesn't serve")
		}
	}
	s.record("the deployment serves: %d entries, %d agents with their workers", entries, agents)
	return workers
}

// close ends all processes.
func (s *scene) close() {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		p.mu.Lock()
		started := p.cmd != nil
		p.mu.Unlock()
		if started {
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
	_ = s.out.Close()
}

// job returns the body of a job whose steps follow each other. Each step has one task of the
// given length in milliseconds.
func job(works ...int) string {
	var spec []string
	var steps []map[string]any
	for i, ms := range works {
		spec = append(spec, fmt.Sprint(ms))
		step := map[string]any{"count": 1, "cpu": 3100, "mem_mb": 64, "estimate_ms": ms}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	b, err := json.Marshal(map[string]any{"spec": "work_ms=" + strings.Join(spec, ","), "steps": steps, "best_effort": true})
	must(err)
	return string(b)
}

// post submits a job and returns the answer; status 0 means that there was none.
func (s *scene) post(ctx context.Context, addr, id string, deadlineMS int, body string) (int, string) {
	return s.request(ctx, http.MethodPost, addr, id, deadlineMS, body)
}

// request sends a request over a connection of its own.
func (s *scene) request(ctx context.Context, method, addr, id string, deadlineMS int, body string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(deadlineMS)*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+s.path+id, bytes.NewReader([]byte(body)))
	must(err)
	req.Host = "jobs.example"
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadlineMS))
	if method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
	t := &http.Transport{DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(b))
}

// startsOf returns the starts of a job's tasks, as the workers have seen them.
func (s *scene) startsOf(id string) (found []startedRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.starts {
		if strings.HasPrefix(r.task, id+".") {
			found = append(found, *r)
		}
	}
	return found
}

// proxy forwards TCP connections, and can hold back all bytes or reset all connections.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	cut      bool
	conns    []*net.TCPConn
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &proxy{target: target, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go p.serve(c.(*net.TCPConn))
			}
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// setCut holds back all bytes, or lets them pass again.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// reset resets all connections at both ends.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	p.conns = nil
}

// userTimeout is the TCP_USER_TIMEOUT of the connections between the project's processes: one
// with bytes that were held back for longer has ended.
const userTimeout = 2 * time.Second

func (p *proxy) serve(c *net.TCPConn) {
	if p.isCut() {
		// The opening packet is lost, and the attempt gives up before the cut heals.
		for p.isCut() {
			time.Sleep(5 * time.Millisecond)
		}
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	o, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	t := o.(*net.TCPConn)
	p.mu.Lock()
	p.conns = append(p.conns, c, t)
	p.mu.Unlock()
	go p.copy(t, c)
	p.copy(c, t)
}

func (p *proxy) copy(to, from *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		arrived := time.Now()
		for p.isCut() {
			time.Sleep(5 * time.Millisecond)
		}
		if time.Since(arrived) > userTimeout {
			_ = to.SetLinger(0)
			_ = to.Close()
			_ = from.SetLinger(0)
			_ = from.Close()
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// withPeerProxies adds entries that reach each other through proxies.
func (s *scene) withPeerProxies(n int) {
	for range n {
		s.add(false)
	}
	for _, e := range s.entries {
		for _, reader := range s.entries {
			if reader != e {
				e.peerProxies[reader.name] = newProxy(e.control)
			}
		}
	}
}

// cutPeers cuts an entry off from the other entries, in both directions, or heals the cut.
func (s *scene) cutPeers(e *process, cut bool) {
	for _, o := range s.entries {
		if o != e {
			e.peerProxies[o.name].setCut(cut)
			o.peerProxies[e.name].setCut(cut)
		}
	}
}
