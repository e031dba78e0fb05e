// Package host runs an entry or an agent as a process on the platform, with its command
// line, settings, signals, servers, logs and metrics.
//
// Input: the platform's settings file, signals. Output: exit codes. State: none.
package host

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/intake"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/signals"
	"github.com/sesamelift/sesamelift/telemetry"
	"github.com/sesamelift/sesamelift/timing"
	"github.com/sesamelift/sesamelift/version"
)

const (
	// memoryLimitShare is the share of the memory limit above which the garbage
	// collector runs more often.
	memoryLimitShare = 0.7
	// shutdownTimeout bounds the graceful shutdown of an HTTP server.
	shutdownTimeout = 300 * time.Millisecond
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// process holds the parts that entries and agents have in common.
type process struct {
	settings    *platform.Settings
	timings     timing.Timings
	incarnation uint64
	log         *decisions.Log
	metrics     tally.Scope
	// guard bounds what clients can take from the process.
	guard  *intake.Guard
	limits intake.Limits
	group  run.Group
	// operators serves the address that operators reach and callers don't, with the metrics.
	operators *http.ServeMux
	// drainCtx is cancelled by a termination signal. The process then drains.
	drainCtx context.Context
}

// setupFunc adds the servers and goroutines of an entry or agent to a process.
type setupFunc func(p *process) error

// runCommand runs an agent if agent is true, otherwise an entry, and returns the exit
// code: 2 for invalid arguments or settings, 1 for a failure at run time. args exclude
// the program name. The platform sets the path of the settings file in the environment.
// received are the signals of the process.
func runCommand(program string, agent bool, args []string, received <-chan os.Signal, stdout, stderr io.Writer, setup setupFunc) int {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(stderr)
	check := flags.Bool("check", false, "check the settings file that "+platform.SettingsVariable+" names, and exit")
	showVersion := flags.Bool("version", false, "print the version and exit")
	err := ff.Parse(flags, args)
	if err == nil && flags.NArg() > 0 {
		err = errors.Errorf("unexpected argument %q", flags.Arg(0))
	}
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return exitUsage
	case *showVersion:
		fmt.Fprintf(stdout, "%s %s\n", program, version.String())
		return exitOK
	}
	file := os.Getenv(platform.SettingsVariable)
	if file == "" {
		fmt.Fprintf(stderr, "%s: %s must hold the path of the settings file\n", program, platform.SettingsVariable)
		return exitUsage
	}
	s, reload, err := signals.Await(received, func() (*platform.Settings, error) { return platform.ReadSettings(file, agent) })
	if errors.Is(err, signals.ErrTerminated) {
		decisions.Info(err.Error()).Write(newLogger(program, stdout))
		if *check {
			return exitFailed
		}
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	t, err := timing.Derive(s.Bounds)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", file, err)
		return exitUsage
	}
	if *check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", file)
		return exitOK
	}
	requests := signalRequests{received: received, reload: reload, recheck: func(p *process) { p.recheckSettings(file, agent) }}
	if err := start(context.Background(), program, s, t, requests, stdout, setup); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return exitFailed
	}
	return exitOK
}

// newLogger returns the logger of an entry or agent. The platform's settings don't configure it.
func newLogger(program string, out io.Writer) *logrus.Entry {
	return telemetry.NewLogger(program, settings.Logging{Level: "info", Format: "json"}, out)
}

// start runs an entry or agent until it has drained after a termination signal or
// the end of ctx, or until one of its servers fails.
func start(ctx context.Context, program string, s *platform.Settings, t timing.Timings, requests signalRequests, out io.Writer, setup setupFunc) error {
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryLimit)))
	}
	scope, metricsHandler, closer := telemetry.NewMetrics("sesamelift")
	defer func() { _ = closer.Close() }()
	log := decisions.New(newLogger(program, out).WithField("host", s.Name))
	drainCtx, startDrain := context.WithCancel(ctx)
	defer startDrain()
	p := &process{
		settings: s, timings: t, incarnation: rand.Uint64(), log: log, metrics: scope, operators: http.NewServeMux(), drainCtx: drainCtx,
	}
	p.limits = intake.Derive(p.resources())
	p.guard = intake.NewGuard(intake.Options{Limits: p.limits, Log: func(l decisions.Line) { log.Add(l) }, Metrics: scope})
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() { log.Run(logCtx); close(logDone) }()
	defer func() { stopLog(); <-logDone }()
	log.Add(decisions.Info("started", "version", version.String(), "incarnation", p.incarnation, "zone", s.Zone,
		"lease_ms", t.Lease.Milliseconds(), "silence_ms", t.SilenceTimeout.Milliseconds(), "loss_wait_ms", t.RestartDelay.Milliseconds()))
	p.handleSignals(startDrain, requests)
	p.operators.Handle("/", metricsHandler)
	if _, err := p.addServer("metrics", s.MetricsAddress, p.operators, p.serviceListener("metrics")); err != nil {
		return err
	}
	if err := setup(p); err != nil {
		return err
	}
	err := p.group.Run()
	log.Add(decisions.Info("stopped", "error", fmt.Sprint(err)))
	return err
}

// signalRequests are the signals of a process, and what it does at a request to reload.
type signalRequests struct {
	received <-chan os.Signal
	// reload says that a reload was requested before the settings were in force.
	reload  bool
	recheck func(p *process)
}

// handleSignals starts the drain on SIGINT and SIGTERM, and validates the settings
// file again on SIGHUP.
func (p *process) handleSignals(startDrain func(), requests signalRequests) {
	stop := make(chan struct{})
	p.group.Add(func() error {
		if requests.reload {
			requests.recheck(p)
		}
		for {
			select {
			case <-stop:
				return nil
			case sig := <-requests.received:
				if sig == syscall.SIGHUP {
					requests.recheck(p)
					continue
				}
				p.log.Add(decisions.Info("termination signal received", "signal", sig.String()))
				startDrain()
			}
		}
	}, func(error) { close(stop) })
}

// recheckSettings reads and validates the settings file again and logs the result.
// It applies nothing, since addresses and bounds cannot change while a process runs;
// changes take effect at the next start.
func (p *process) recheckSettings(file string, agent bool) {
	s, err := platform.ReadSettings(file, agent)
	if err != nil {
		p.log.Add(decisions.Warn("cannot read the settings, keeping the current ones", "error", err.Error()))
		return
	}
	p.log.Add(decisions.Info("settings file is valid, changes take effect at the next start", "seeds", s.Seeds, "bounds_changed", s.Bounds != p.settings.Bounds))
}

// resources returns what the process may use according to its settings, and to the system
// where that is less.
func (p *process) resources() intake.Resources {
	r := intake.ProcessResources()
	r.MemoryBytes, r.Cores = p.settings.MemoryLimit, p.settings.Cores
	if want := p.settings.MaxDescriptors; want > 0 {
		if r.Descriptors > 0 && r.Descriptors < want {
			p.log.Add(decisions.Warn("the file descriptor limit of the process is below that of the settings, fewer connections are accepted",
				"limit", r.Descriptors, "settings", want))
			want = r.Descriptors
		}
		r.Descriptors = want
	}
	return r
}

// serviceListener returns a function that bounds the connections of a listener which is
// not for callers.
func (p *process) serviceListener(name string) func(net.Listener) net.Listener {
	return func(l net.Listener) net.Listener { return p.guard.ListenForService(name, l) }
}

// addServer listens on address and serves a handler until the process stops. name
// identifies the server in errors and log lines. bounded bounds the connections.
func (p *process) addServer(name, address string, h http.Handler, bounded func(net.Listener) net.Listener) (*http.Server, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	server := p.guard.Protect(&http.Server{Handler: h})
	l = bounded(l)
	p.group.Add(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", name)
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			p.log.Add(decisions.Warn("server shutdown timed out with open connections", "server", name, "error", err.Error()))
		}
	})
	return server, nil
}
