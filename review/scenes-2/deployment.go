package main

import (
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
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	lines [][]any
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) now() time.Duration { return time.Since(r.began) }

func (r *record) add(fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, append([]any{r.now()}, fields...))
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", r.now().Seconds(), strings.TrimSuffix(fmt.Sprintln(fields...), "\n"))
}

// find returns the times of the records that begin with the given fields.
func (r *record) find(fields ...any) (at []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		match := len(l) > len(fields)
		for i := 0; match && i < len(fields); i++ {
			match = fields[i] == nil || l[i+1] == fields[i]
		}
		if match {
			at = append(at, l[0].(time.Duration))
		}
	}
	return at
}

// process is one of the project's programs, run as a process of its own.
type process struct {
	name, program, ip, settings string
	cmd                         *exec.Cmd
	done                        chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	dir, target                          string
	rec                                  *record
	store                                *store
	storeAddress                         string
	front, ready, control, app, internal int
	entries, agents                      []*process
	workers                              []*worker
	service                              string
	// label is the label that the tasks of all jobs need; empty for none.
	label string
}

const (
	host   = "kiln.example"
	prefix = "/grain/"
)

// freePort returns a port that is free on all loopback addresses that are used.
func freePort(used map[int]bool) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		p := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := !used[p]
		for i := 1; i < 30 && free; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", i, p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			used[p] = true
			return p, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// newDeployment starts the store and writes the settings of entries and agents. It starts the
// workers, but no process.
func newDeployment(rec *record, entries, agents int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "scenes2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, target: "target", rec: rec, store: newStore(), service: "svc1"}
	used := map[int]bool{}
	for _, p := range []*int{&d.front, &d.ready, &d.control, &d.app, &d.internal} {
		if *p, err = freePort(used); err != nil {
			return nil, err
		}
	}
	metrics, err := freePort(used)
	if err != nil {
		return nil, err
	}
	if metrics < d.internal {
		metrics, d.internal = d.internal, metrics
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	config, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "grain", "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 1500,
			"target_latency_ms": 60, "priority": 0, "service": d.service, "max_attempts": 2, "stretch": 1.6}},
		"services": []any{map[string]any{"name": d.service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_control": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	d.store.put("op", "config", config)
	var seeds []string
	for i := range entries {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:%d", 2+i, d.control))
	}
	for i := range entries {
		p := &process{name: fmt.Sprintf("edge-%d", i+1), program: "sesamelift-platform-entry", ip: fmt.Sprintf("127.0.0.%d", 2+i)}
		listen := fmt.Sprintf("  front: %q\n  ready: %q\n  control: %q\n", addr(p.ip, d.front), addr(p.ip, d.ready), addr(p.ip, d.control))
		if err := d.writeSettings(p, "edge", listen, seeds, metrics, "", 0.4, 284, 4100); err != nil {
			return nil, err
		}
		d.entries = append(d.entries, p)
	}
	for i := range agents {
		p := &process{name: fmt.Sprintf("side-%d", i+1), program: "sesamelift-platform-agent", ip: fmt.Sprintf("127.0.0.%d", 10+i)}
		listen := fmt.Sprintf("  control: %q\n", addr(p.ip, d.control))
		app := fmt.Sprintf("app: %q\nservice: %q\n", addr(p.ip, d.app), d.service)
		if err := d.writeSettings(p, "side", listen, seeds, metrics, app, 0.24, 152, 4096); err != nil {
			return nil, err
		}
		d.agents = append(d.agents, p)
		w := &worker{id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), service: d.service, zone: "zone-1", address: addr(p.ip, d.app), agent: addr(p.ip, d.control),
			milliCPU: 32000, labels: []string{"a", "r1-1"}, record: rec}
		if err := startWorker(w); err != nil {
			return nil, err
		}
		d.workers = append(d.workers, w)
	}
	return d, nil
}

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (d *deployment) writeSettings(p *process, class, listen string, seeds []string, metrics int, extra string, share float64, memory, fds int) error {
	text := fmt.Sprintf("node_name: %q\nrole: %q\nmachine_class: %q\nip: %q\nzone: \"zone-1\"\nregion: \"region-1\"\nzones:\n  zone-1: \"region-1\"\nlisten_addrs:\n%sinternal_ports:\n  - %d\n  - %d\nseeds:\n",
		p.name, class, class, p.ip, listen, d.internal, metrics)
	for _, s := range seeds {
		text += fmt.Sprintf("  - %q\n", s)
	}
	text += fmt.Sprintf("bootstrap: true\nlimits:\n  cpu_share: %g\n  cores: 1\n  memory_mb: %d\n  max_fds: %d\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\nheartbeat_ms: 1500\n", share, memory, fds)
	text += `bounds:
  seed_staleness_s: 3
  addr_reuse_s: 2
  contact_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_period_s: 6
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  max_stretch_ms: 5000
  recovery_s: 12
  hold_max_ms: 1000
  stop_timeout_ms: 50
  cancel_ms: 3000
  visible_ms: 3000
  remote_slowdown: 1.5
  retransmit_ms: 1300
control_mode: "call"
` + extra + fmt.Sprintf("platform:\n  address: %q\n  form: \"table\"\n  writes_per_s: 800\n  reads_per_s: 2000\n", d.storeAddress)
	p.settings = filepath.Join(d.dir, p.name+".yaml")
	return os.WriteFile(p.settings, []byte(text), 0o644)
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(p *process) error {
	p.cmd = exec.Command(filepath.Join(d.target, p.program))
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "SESAMELIFT_SETTINGS=" + p.settings}
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	d.rec.add("process", p.name, "started")
	done := make(chan struct{})
	p.done = done
	cmd := p.cmd
	go func() {
		err := cmd.Wait()
		d.rec.add("process", p.name, "ended", fmt.Sprint(err))
		close(done)
	}()
	return nil
}

func (d *deployment) signal(p *process, s syscall.Signal) {
	d.rec.add("process", p.name, "signal", s.String())
	_ = p.cmd.Process.Signal(s)
}

// startAll starts all processes and waits until each entry serves a job.
func (d *deployment) startAll() error {
	for _, p := range append(append([]*process{}, d.agents...), d.entries...) {
		if err := d.start(p); err != nil {
			return err
		}
	}
	for i, p := range d.entries {
		end := time.Now().Add(15 * time.Second)
		for n := 0; ; n++ {
			status, _ := d.post(p, fmt.Sprintf("%016x", 0xaaaa0000+i*1000+n), "20", 1, 20, 1500)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve", p.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	// The processes have been in touch for contact_ms.
	time.Sleep(3500 * time.Millisecond)
	return nil
}

// stopAll ends all processes that were started.
func (d *deployment) stopAll() {
	for _, p := range append(append([]*process{}, d.entries...), d.agents...) {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		select {
		case <-p.done:
			continue
		default:
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	for _, w := range d.workers {
		w.stopAll()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

func jobBody(spec string, tasks int, estimate int, label string) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":3100,"mem_mb":64,"estimate_ms":%d,"constraints":%q}],"best_effort":true}`, spec, tasks, estimate, label)
}

// post submits a job and returns the status; 0 if there was no answer.
func (d *deployment) post(p *process, id, spec string, tasks, estimate, deadline int) (int, string) {
	return d.call(p, http.MethodPost, id, jobBody(spec, tasks, estimate, d.label), deadline)
}

// call makes a call of a client on a connection of its own.
func (d *deployment) call(p *process, method, id, body string, deadline int) (int, string) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Duration(deadline) * time.Millisecond}
	req, err := http.NewRequest(method, "http://"+addr(p.ip, d.front)+prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline))
	d.rec.add("client", method, id, "sent to", p.name)
	resp, err := client.Do(req)
	if err != nil {
		d.rec.add("client", method, id, "no answer", err.Error())
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	var answer [512]byte
	n, _ := resp.Body.Read(answer[:])
	d.rec.add("client", method, id, "answer", resp.StatusCode, strings.TrimSpace(string(answer[:n])))
	return resp.StatusCode, string(answer[:n])
}
