package abusetest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/standin"
	"github.com/sesamelift/sesamelift/standin/site"
	"github.com/sesamelift/sesamelift/standin/store"
	"github.com/sesamelift/sesamelift/transport"
)

const (
	hostName      = "jobs.example"
	operatorToken = "operator-test-token-01"
	teamToken     = "team-test-token-000001"
	// workerMilliCPU is the capacity of the worker, for eight tasks of taskMilliCPU.
	workerMilliCPU = 32000
	taskMilliCPU   = 4000
)

// programDir is the directory of the built programs and the certificates.
var programDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "abusetest")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programDir = dir
	// The programs are built without the race detector, which multiplies their memory.
	build := exec.Command("go", "build", "-o", dir, "./cmd/sesamelift-platform-entry", "./cmd/sesamelift-platform-agent", "./cmd/sesamelift-entry", "./cmd/sesamelift-agent")
	build.Dir, build.Stderr = "..", os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	if err := transport.WriteDevCertificates(dir); err != nil {
		panic(err)
	}
	return m.Run()
}

// loopbackIP is a loopback address of this test process alone, so that concurrent tests
// take no ports from each other. Ports are below the ephemeral range.
var (
	loopbackIP = fmt.Sprintf("127.%d.%d.%d", 65+os.Getpid()>>16&0x3f, os.Getpid()>>8&0xff, os.Getpid()&0xff)
	lastPort   = 12000
)

func freeAddress() string {
	lastPort++
	return fmt.Sprintf("%s:%d", loopbackIP, lastPort)
}

// instance is a running program with the address under test.
type instance struct {
	address string
	// path and fields return the path and the header fields of the request with the given
	// number; body is its body.
	path, fields func(n int) string
	body         []byte
	// largeChunks and smallChunks are the encodings of body in chunks of 64 KiB and of
	// one byte.
	largeChunks, smallChunks []byte
	// request sends an ordinary request and returns nil if it is answered with success.
	request func() error
	pid     int
	// memory is the limit of the program's memory in bytes, descriptors that of its open
	// file descriptors.
	memory, descriptors int
	ended               chan struct{}
	log                 *bytes.Buffer
}

// run starts a program of the product, which ends with the test at the latest.
func (i *instance) run(t *testing.T, program string, args []string, env ...string) {
	cmd := exec.Command(filepath.Join(programDir, program), args...)
	// The hosts of these programs have less than one core.
	cmd.Env = append(append(os.Environ(), "GOMAXPROCS=1"), env...)
	i.log, i.ended = &bytes.Buffer{}, make(chan struct{})
	cmd.Stdout, cmd.Stderr = i.log, i.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	qt.Assert(t, cmd.Start(), qt.IsNil)
	i.pid = cmd.Process.Pid
	go func() { _ = cmd.Wait(); close(i.ended) }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-i.ended
		if b := i.log.Bytes(); t.Failed() {
			t.Logf("%s:\n%s", program, b[max(0, len(b)-4000):])
		}
	})
}

// runPlatformProgram starts a program of the platform with a settings file and returns
// its settings. It has the limits memoryMB and maxDescriptors.
func (i *instance) runPlatformProgram(t *testing.T, program, storeAddress string) *platform.Settings {
	agent := program == "sesamelift-platform-agent"
	file := filepath.Join(t.TempDir(), "settings.yaml")
	lastPort += 2
	text := fmt.Sprintf(`
node_name: %q
zone: "z1"
ip: %q
listen_addrs: {front: %q, ready: %q, control: %q}
app: %q
service: "s"
seeds: []
internal_ports: [%d, %d]
platform: {address: %q}
limits: {cpu_share: 0.25, cores: 1, memory_mb: %d, max_fds: %d}
bounds: {hold_max_ms: 1000, stop_timeout_ms: 50, retransmit_ms: 1300, grace_period_s: 6, remote_slowdown: 1.5}
`, program, loopbackIP, freeAddress(), freeAddress(), freeAddress(), freeAddress(), lastPort+1, lastPort+2, storeAddress, memoryMB, maxDescriptors)
	lastPort += 2
	qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	s, err := platform.ReadSettings(file, agent)
	qt.Assert(t, err, qt.IsNil)
	i.run(t, program, nil, platform.SettingsVariable+"="+file)
	i.memory, i.descriptors = memoryMB<<20, maxDescriptors
	return s
}

// startStore starts the store stand-in with a configuration.
func startStore(t *testing.T) string {
	s := store.New()
	s.Put(platform.ConfigTable, platform.ConfigKey, fmt.Appendf(nil, `{"version":7,"routes":[
		{"name":"jobs","host":%q,"path_prefix":"/jobs/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,
		 "priority":0,"service":"s","max_attempts":3,"stretch":1.6}],
		"services":[],"limits":{"max_header_bytes":16384,"max_body_bytes":262144}}`, hostName))
	server := httptest.NewServer(s)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr().String()
}

// runAgent starts an agent of the platform and its worker, which announces itself at the
// given interval.
func (i *instance) runAgent(t *testing.T, storeAddress string, interval time.Duration) (*platform.Settings, *site.Worker) {
	s := i.runPlatformProgram(t, "sesamelift-platform-agent", storeAddress)
	w := site.NewWorker(site.WorkerOptions{
		ID: "w1", Service: "s", MilliCPU: workerMilliCPU, Speed: 1, AgentAddress: s.ControlAddress, Interval: interval, Audit: site.NewAudit(),
	})
	l, err := net.Listen("tcp", s.WorkerAddress)
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: w}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(l) }()
	go w.Run(ctx)
	t.Cleanup(func() { cancel(); _ = server.Close() })
	return s, w
}

// submitRequests sets the requests of an address where callers submit jobs to the
// platform's entry. The ordinary request is a job of one task.
func (i *instance) submitRequests() {
	spec, _ := json.Marshal(site.Spec{WorkMS: 1, MilliCPU: taskMilliCPU})
	i.path = func(n int) string { return fmt.Sprintf("/jobs/%016x", n) }
	i.fields = func(int) string { return "Deadline-Ms: 1500\r\n" }
	i.body = jobBody(string(spec), 3700)
	i.request = func() error {
		return i.send(http.MethodPost, i.path(int(rand.Uint64()>>1)), "Deadline-Ms: 1500\r\n", jobBody(string(spec), 1))
	}
}

// jobBody returns a job with steps of one task each. With 3,700 steps, it has nearly
// 250,000 bytes and is below the limits for bodies and tasks.
func jobBody(spec string, steps int) []byte {
	step := fmt.Sprintf(`{"count":1,"cpu":%d,"mem_mb":64,"estimate_ms":1,"affinity":"r1-1"}`, taskMilliCPU)
	return fmt.Appendf(nil, `{"spec":%q,"best_effort":true,"steps":[%s]}`, spec, strings.Repeat(step+",", steps-1)+step)
}

// getRequests sets the requests of an address with the given path; the ordinary request
// is a GET request.
func (i *instance) getRequests(path, fields string) {
	i.path = func(int) string { return path }
	i.fields = func(int) string { return fields }
	i.body = fmt.Appendf(nil, `{"name":"w1","text":%q}`, strings.Repeat("x", 250000))
	i.request = func() error { return i.send(http.MethodGet, path, fields, nil) }
}

// send sends a request on a connection of its own and returns nil if the status is 200.
func (i *instance) send(method, path, fields string, body []byte) error {
	conn, err := net.DialTimeout("tcp", i.address, requestTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s", method, path, hostName, fields, len(body), body); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || bytes.Contains(answer, []byte(`"state":"failed"`))) {
		err = fmt.Errorf("status %d: %.200s", resp.StatusCode, answer)
	}
	return err
}

// sayHello exchanges the first messages with an agent.
func (i *instance) sayHello() error {
	conn, err := net.DialTimeout("tcp", i.address, requestTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	hello, err := link.AppendFrame(nil, &link.Hello{Protocol: link.Protocol, Entry: "ordinary", Incarnation: rand.Uint64()})
	if err != nil {
		return err
	}
	if _, err := conn.Write(hello); err != nil {
		return err
	}
	return link.ReadFrame(bufio.NewReader(conn), &link.Welcome{})
}

// platformEntry returns the start function for an address of the platform's entry.
func platformEntry(set func(i *instance, s *platform.Settings)) func(*testing.T) *instance {
	return func(t *testing.T) *instance {
		i := &instance{}
		set(i, i.runPlatformProgram(t, "sesamelift-platform-entry", startStore(t)))
		return i
	}
}

func platformCallers(t *testing.T) *instance {
	storeAddress := startStore(t)
	(&instance{}).runAgent(t, storeAddress, 500*time.Millisecond)
	i := &instance{}
	i.address = i.runPlatformProgram(t, "sesamelift-platform-entry", storeAddress).CallerAddress
	i.submitRequests()
	return i
}

// platformAgent returns the start function for an address of the platform's agent. The
// worker announces itself once, so that heartbeats of the test are not outdated.
func platformAgent(set func(i *instance, s *platform.Settings, w *site.Worker)) func(*testing.T) *instance {
	return func(t *testing.T) *instance {
		i := &instance{}
		s, w := i.runAgent(t, startStore(t), time.Hour)
		set(i, s, w)
		return i
	}
}

// heartbeatRequests sets the requests to the heartbeats of a worker.
func (i *instance) heartbeatRequests(w *site.Worker) {
	seq := 1000
	heartbeat := func(text string) []byte {
		seq++
		return fmt.Appendf(nil, `{"service":"s","zone":"z1","state":"ready","capacity":{"cpu":%d,"mem_mb":131072},"labels":["r1-1"],"clock_ms":1,"seq_no":%d,"born":%d,"text":%q}`,
			workerMilliCPU, seq, w.Born(), text)
	}
	i.getRequests("/-/instances/w1/heartbeat", "")
	i.body = heartbeat(strings.Repeat("x", 250000))
	i.request = func() error { return i.send(http.MethodPost, "/-/instances/w1/heartbeat", "", heartbeat("")) }
}

// ownProgram starts a program of the product's own interface, which has no setting for
// memory or file descriptors.
func (i *instance) ownProgram(t *testing.T, program string, settings map[string]any) {
	p, err := standin.NewPlatform(standin.PlatformOptions{Address: "127.0.0.1:0"})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = p.Run(ctx) }()
	t.Cleanup(cancel)
	f := transport.DevFiles(programDir, strings.TrimPrefix(program, "sesamelift-"))
	settings["zone"], settings["platform_address"] = "z1", p.Addr()
	settings["tls"] = map[string]any{"certificate": f.Certificate, "key": f.Key, "ca": f.CA}
	file := filepath.Join(t.TempDir(), "settings.json")
	b, err := json.Marshal(settings)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(file, b, 0o600), qt.IsNil)
	i.run(t, program, []string{"-settings", file})
	i.memory, i.descriptors = ownMemoryMB<<20, ownMaxDescriptors
}

func ownCallers(t *testing.T) *instance {
	i := &instance{address: freeAddress()}
	i.ownProgram(t, "sesamelift-entry", map[string]any{
		"name": "e1", "caller_address": i.address, "peer_address": freeAddress(), "operator_token": operatorToken,
		"team_tokens": map[string]string{"depots": teamToken},
	})
	i.getRequests("/v1/status", "Authorization: Bearer "+operatorToken+"\r\n")
	i.path = func(int) string { return "/v1/jobs" }
	i.fields = func(n int) string {
		return "Authorization: Bearer " + teamToken + "\r\nIdempotency-Key: " + api.NewKeyAt(time.Now(), uint64(n)).String() + "\r\n"
	}
	task, _ := json.Marshal(strings.Repeat("x", 3500))
	i.body, _ = json.Marshal(&api.Submission{Service: "dispatch", Type: "booking", Team: "depots", Tasks: tasks(task, api.MaxTasks)})
	return i
}

func tasks(task json.RawMessage, n int) []json.RawMessage {
	var list []json.RawMessage
	for range n {
		list = append(list, task)
	}
	return list
}

func ownAgent(t *testing.T) *instance {
	i := &instance{address: freeAddress()}
	i.ownProgram(t, "sesamelift-agent", map[string]any{"name": "w1", "announce_address": i.address, "slots": 8})
	i.getRequests("/announce", "")
	announcement := []byte(`{"name":"w1","address":"127.0.0.1:9","services":["dispatch"]}`)
	i.request = func() error { return i.send(http.MethodPost, "/announce", "", announcement) }
	return i
}

var targets = []struct {
	name  string
	start func(t *testing.T) *instance
	kinds []kind
}{
	{"platform entry callers", platformCallers, httpKinds},
	{"platform entry readiness", platformEntry(func(i *instance, s *platform.Settings) {
		i.address = s.ReadyAddress
		i.getRequests("/-/ready", "")
	}), httpKinds},
	{"platform entry directory", platformEntry(func(i *instance, s *platform.Settings) {
		i.address = s.ControlAddress
		i.getRequests(directory.Path, "")
	}), httpKinds},
	{"platform entry metrics", platformEntry(func(i *instance, s *platform.Settings) {
		i.address = s.MetricsAddress
		i.getRequests("/metrics", "")
	}), httpKinds},
	{"platform agent control", platformAgent(func(i *instance, s *platform.Settings, w *site.Worker) {
		i.address = s.ControlAddress
		i.heartbeatRequests(w)
	}), append([]kind{heartbeatKind}, httpKinds...)},
	{"platform agent link", platformAgent(func(i *instance, s *platform.Settings, _ *site.Worker) {
		i.address, i.request = s.LinkAddress, i.sayHello
	}), linkKinds},
	{"platform agent metrics", platformAgent(func(i *instance, s *platform.Settings, _ *site.Worker) {
		i.address = s.MetricsAddress
		i.getRequests("/metrics", "")
	}), httpKinds},
	{"entry callers", ownCallers, httpKinds},
	{"agent announce", ownAgent, httpKinds},
}
