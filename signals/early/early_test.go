package early_test

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/transport"
)

// module begins the lines in which the runtime reports the initialization of a package of
// this module.
const module = "init github.com/sesamelift/sesamelift/"

// logWait is how long a process may take for a log line, and exitWait for its exit.
const (
	logWait  = 20 * time.Second
	exitWait = 20 * time.Second
)

// program is a program under test.
type program struct {
	path string
	// settings returns valid settings for a process that listens at the given IP address and
	// that no store answers. The file is named by the environment on the platform, by a flag
	// otherwise.
	settings   func(ip string) string
	onPlatform bool
	// reloaded is in the log line that answers SIGHUP, terminated in the one that answers
	// SIGTERM, also before the settings are in force.
	reloaded, terminated string
}

// process is a run of a program.
type process struct {
	cmd *exec.Cmd
	// initialized is closed when the first package of this module has been initialized.
	initialized chan struct{}
	exited      chan error
	mu          sync.Mutex
	output      bytes.Buffer
}

// start starts a process with the given settings file.
func start(t *testing.T, p program, file string) *process {
	cmd := exec.Command(p.path)
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1", platform.SettingsVariable+"="+file)
	if !p.onPlatform {
		cmd.Args = append(cmd.Args, "-settings", file)
	}
	reader, writer, err := os.Pipe()
	qt.Assert(t, err, qt.IsNil)
	cmd.Stdout, cmd.Stderr = writer, writer
	qt.Assert(t, cmd.Start(), qt.IsNil)
	_ = writer.Close()
	run := &process{cmd: cmd, initialized: make(chan struct{}), exited: make(chan error, 1)}
	go func() {
		initialized := sync.OnceFunc(func() { close(run.initialized) })
		for lines := bufio.NewScanner(reader); lines.Scan(); {
			if strings.HasPrefix(lines.Text(), module) {
				initialized()
			}
			run.mu.Lock()
			fmt.Fprintln(&run.output, lines.Text())
			run.mu.Unlock()
		}
		_ = reader.Close()
		initialized()
		run.exited <- cmd.Wait()
	}()
	return run
}

func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// awaitLog returns an error if the process ends, or logs no line with the text in time.
func (p *process) awaitLog(text string) error {
	for end := time.Now().Add(logWait); !strings.Contains(p.log(), text); time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-p.exited:
			return errors.Errorf("the process has ended: %v", err)
		default:
		}
		if time.Now().After(end) {
			return errors.Errorf("no log line with %q", text)
		}
	}
	return nil
}

// awaitExit returns nil once the process has ended with exit code 0.
func (p *process) awaitExit() error {
	select {
	case err := <-p.exited:
		return err
	case <-time.After(exitWait):
		_ = p.cmd.Process.Kill()
		return errors.New("the process hasn't ended")
	}
}

// Guards against a process that a reload signal ends, that loses it, or that a termination
// signal ends with another exit code than 0, when they arrive during its startup. Before the
// runtime has initialized the first package nothing in the program can handle signals.
func TestSignalsDuringStartup(t *testing.T) {
	for name, p := range programs(t) {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			var count atomic.Int32
			var wg sync.WaitGroup
			defer wg.Wait()
			// The processes of a few moments run at the same time.
			places := make(chan struct{}, 4)
			for _, delay := range []time.Duration{0, 1, 2, 4, 7, 11, 16, 22, 30, 45, 70} {
				for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
					places <- struct{}{}
					wg.Go(func() {
						defer func() { <-places }()
						n := count.Add(1)
						file := filepath.Join(dir, fmt.Sprint(n))
						// Several processes run at the same time, each at an address of its own.
						ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8&127, os.Getpid()&255, n)
						if err := os.WriteFile(file, []byte(p.settings(ip)), 0o600); err != nil {
							t.Error(err)
							return
						}
						run := start(t, p, file)
						<-run.initialized
						time.Sleep(delay * time.Millisecond)
						if err := checkSignal(run, p, sig); err != nil {
							t.Errorf("%v %v ms after the first initialization: %v\n%s", sig, int64(delay), err, withoutTrace(run.log()))
						}
					})
				}
			}
		})
	}
}

func checkSignal(run *process, p program, sig syscall.Signal) error {
	if err := run.cmd.Process.Signal(sig); err != nil {
		return err
	}
	if sig == syscall.SIGHUP {
		if err := run.awaitLog(p.reloaded); err != nil {
			return err
		}
		if err := run.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	if err := run.awaitExit(); err != nil {
		return err
	}
	if !strings.Contains(run.log(), p.terminated) {
		return errors.Errorf("no log line with %q", p.terminated)
	}
	return nil
}

// withoutTrace returns output without the lines about the initialization of packages.
func withoutTrace(output string) string {
	var kept []string
	for line := range strings.SplitSeq(output, "\n") {
		if !strings.HasPrefix(line, "init ") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

// Guards against a process that can't be terminated while its settings file hangs.
func TestTerminationWhileReadingTheSettings(t *testing.T) {
	for name, p := range programs(t) {
		t.Run(name, func(t *testing.T) {
			fifo := filepath.Join(t.TempDir(), "settings")
			qt.Assert(t, syscall.Mkfifo(fifo, 0o600), qt.IsNil)
			run := start(t, p, fifo)
			<-run.initialized
			qt.Assert(t, checkSignal(run, p, syscall.SIGTERM), qt.IsNil, qt.Commentf("%s", withoutTrace(run.log())))
			qt.Assert(t, run.log(), qt.Contains, "termination signal received before the settings were in force")
		})
	}
}

// programs builds the programs and writes their settings.
func programs(t *testing.T) map[string]program {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "../../cmd/sesamelift-platform-entry", "../../cmd/sesamelift-platform-agent", "../../cmd/sesamelift-entry", "../../cmd/sesamelift-agent")
	output, err := build.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	qt.Assert(t, transport.WriteDevCertificates(dir), qt.IsNil)
	tls := func(role string) string {
		f := transport.DevFiles(dir, role)
		return fmt.Sprintf(`"tls": {"certificate": %q, "key": %q, "ca": %q}`, f.Certificate, f.Key, f.CA)
	}
	path := func(name string) string { return filepath.Join(dir, name) }
	onPlatform := func(ip string) string {
		return fmt.Sprintf(`
node_name: "p1"
zone: "z1"
ip: %q
listen_addrs: {front: "%[1]s:12001", ready: "%[1]s:12002", control: "%[1]s:12003"}
app: "%[1]s:12004"
service: "s"
internal_ports: [12005, 12006]
platform: {address: "%[1]s:9"}
bounds: {hold_max_ms: 1000, stop_timeout_ms: 50, retransmit_ms: 1300, grace_period_s: 1, remote_slowdown: 1.5}
`, ip)
	}
	const reloaded, terminated = "settings file is valid, changes take effect at the next start", "termination signal received"
	return map[string]program{
		"platform entry": {path("sesamelift-platform-entry"), onPlatform, true, reloaded, terminated},
		"platform agent": {path("sesamelift-platform-agent"), onPlatform, true, reloaded, terminated},
		"entry": {path("sesamelift-entry"), func(ip string) string {
			return fmt.Sprintf(`{"name": "e1", "zone": "z1", "caller_address": "%[1]s:12001", "peer_address": "%[1]s:12002",
				"platform_address": "%[1]s:9", "operator_token": "0123456789abcdef", "team_tokens": {"kiln": "abcdef0123456789"}, %s}`, ip, tls(transport.RoleEntry))
		}, false, "reload signal ignored", ""},
		"agent": {path("sesamelift-agent"), func(ip string) string {
			return fmt.Sprintf(`{"name": "w1", "zone": "z1", "announce_address": "%[1]s:12001", "platform_address": "%[1]s:9", %s}`, ip, tls(transport.RoleAgent))
		}, false, "reload signal ignored", ""},
	}
}
