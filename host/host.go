// Package host runs an entry or an agent as a process of the users' platform:
// settings, signals, servers, logs and metrics.
//
// Input: the platform's settings file, signals. Output: exit codes. State: none.
package host

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/telemetry"
	"github.com/sesamelift/sesamelift/timing"
	"github.com/sesamelift/sesamelift/version"
)

const (
	// gcPercent lets the heap grow to five times what is in use before it is
	// collected: a process uses a few megabytes of the 140 that it has.
	gcPercent = 400
	// memoryShare is the share of the memory limit from which the heap is
	// collected more often.
	memoryShare = 0.7
	// shutdownTimeout bounds the end of the HTTP servers.
	shutdownTimeout = 300 * time.Millisecond
	// headerTimeout and idleTimeout protect the servers from clients that send
	// nothing; clients of the platform drop connections after 15 s.
	headerTimeout = 5 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
)

// process is what entries and agents have in common.
type process struct {
	settings    *platform.Settings
	timings     timing.Timings
	incarnation uint64
	log         *decisions.Log
	metrics     tally.Scope
	group       run.Group
	// drain ends at the signal to end.
	drain context.Context
}

// role sets up what a process does.
type role func(p *process) error

// command runs a role with the settings file that the platform names, and
// returns the exit code. With check it only checks the file.
func command(program string, agent, check bool, stdout, stderr io.Writer, setup role) int {
	file := os.Getenv(platform.SettingsVariable)
	if file == "" {
		fmt.Fprintf(stderr, "%s: -platform needs the path of the settings file in %s\n", program, platform.SettingsVariable)
		return 2
	}
	s, err := platform.ReadSettings(file, agent)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 2
	}
	t, err := timing.Derive(s.Bounds)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", file, err)
		return 2
	}
	if check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", file)
		return 0
	}
	if err := start(context.Background(), program, agent, file, s, t, stdout, setup); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return 1
	}
	return 0
}

// start runs a role until the signal to end, or until ctx ends.
func start(ctx context.Context, program string, agent bool, file string, s *platform.Settings, t timing.Timings, out io.Writer, setup role) error {
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimit)))
	}
	scope, metricsHandler, closer := telemetry.NewMetrics("sesamelift")
	defer func() { _ = closer.Close() }()
	log := decisions.New(telemetry.NewLog(program, settings.Logging{Level: "info", Format: "json"}, out).WithField("host", s.Name))
	drain, endDrain := context.WithCancel(ctx)
	defer endDrain()
	p := &process{
		settings: s, timings: t, incarnation: rand.Uint64(), log: log, metrics: scope, drain: drain,
	}
	logCtx, endLog := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() { log.Run(logCtx); close(logged) }()
	defer func() { endLog(); <-logged }()
	log.Add(decisions.Info("started", "version", version.String(), "incarnation", p.incarnation, "zone", s.Zone,
		"lease_ms", t.Lease.Milliseconds(), "silence_ms", t.Silence.Milliseconds(), "loss_wait_ms", t.LossWait.Milliseconds()))
	p.addSignals(endDrain, file, agent)
	if _, err := p.addServer("metrics", s.MetricsAddress, metricsHandler); err != nil {
		return err
	}
	if err := setup(p); err != nil {
		return err
	}
	err := p.group.Run()
	log.Add(decisions.Info("stopped", "error", fmt.Sprint(err)))
	return err
}

// addSignals drains at the signal to end, and checks the settings again when
// they have changed.
func (p *process) addSignals(endDrain func(), file string, agent bool) {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	ended := make(chan struct{})
	p.group.Add(func() error {
		for {
			select {
			case <-ended:
				return nil
			case sig := <-signals:
				if sig == syscall.SIGHUP {
					p.reload(file, agent)
					continue
				}
				p.log.Add(decisions.Info("signal to end", "signal", sig.String()))
				endDrain()
			}
		}
	}, func(error) { close(ended) })
}

// reload reads the settings again. Addresses and bounds can't change while a
// process runs; a change is logged and in force from the next start on.
func (p *process) reload(file string, agent bool) {
	s, err := platform.ReadSettings(file, agent)
	if err != nil {
		p.log.Add(decisions.Warn("settings can't be read, the last ones stay in force", "error", err.Error()))
		return
	}
	p.log.Add(decisions.Info("settings read again", "seeds", s.Seeds, "bounds_changed", s.Bounds != p.settings.Bounds))
}

// addServer serves a handler until the process ends.
func (p *process) addServer(name, address string, h http.Handler) (*http.Server, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	p.group.Add(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", name)
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			p.log.Add(decisions.Warn("server ended with open connections", "server", name, "error", err.Error()))
		}
	})
	return server, nil
}
