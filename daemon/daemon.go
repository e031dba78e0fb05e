package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/signals"
	"github.com/sesamelift/sesamelift/table"
	"github.com/sesamelift/sesamelift/telemetry"
	"github.com/sesamelift/sesamelift/telemetry/tracing"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/version"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// traceFlushTimeout bounds the export of the remaining spans at exit.
const traceFlushTimeout = 2 * time.Second

// ErrStopped reports that a second signal stopped the process before the drain
// was complete.
var ErrStopped = errors.New("stopped by a second signal; work in progress was interrupted")

// CommonSettings holds the settings that all daemons have.
type CommonSettings struct {
	PlatformAddress string
	TLS             settings.TLSFiles
	Logging         settings.Logging
	Tracing         settings.Tracing
	// Processors is the value for GOMAXPROCS; 0 leaves the default.
	Processors int
}

// Dependencies holds what is set up before the Serve function of a daemon is
// called.
type Dependencies struct {
	Credentials    *transport.Credentials
	Platform       table.Platform
	Log            *logrus.Entry
	Metrics        tally.Scope
	MetricsHandler http.Handler
	Tracer         trace.Tracer
}

// Daemon describes a daemon program.
type Daemon struct {
	Name string
	// EnvPrefix is the prefix of environment variables that set flags.
	EnvPrefix string
	// MetricsPrefix is the prefix of metric names.
	MetricsPrefix string
	// Signals are the signals of the process.
	Signals <-chan os.Signal
	// Read reads the settings file. Its error lists all faults of the file.
	Read func(file string) (CommonSettings, error)
	// Serve runs until drain is cancelled and then completes the work in
	// progress. When stop is cancelled it returns immediately.
	Serve func(drain, stop context.Context, deps Dependencies) error
}

// Run runs the daemon with args, which exclude the program name, and returns
// the exit code.
func (d *Daemon) Run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(d.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "settings file, JSON with comments (required)")
	check := flags.Bool("check", false, "check the settings and exit")
	showVersion := flags.Bool("version", false, "print the version and exit")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(d.EnvPrefix))
	if err == nil && flags.NArg() > 0 {
		err = errors.Errorf("unexpected argument %q", flags.Arg(0))
	}
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		fmt.Fprintf(stderr, "%s: %v\n", d.Name, err)
		return ExitUsage
	case *showVersion:
		fmt.Fprintf(stdout, "%s %s\n", d.Name, version.String())
		return ExitOK
	case *file == "":
		fmt.Fprintf(stderr, "%s: -settings FILE is required\n", d.Name)
		return ExitUsage
	}
	return d.start(*file, *check, stdout, stderr)
}

func (d *Daemon) start(file string, check bool, stdout, stderr io.Writer) int {
	type configuration struct {
		settings    CommonSettings
		credentials *transport.Credentials
	}
	c, reload, err := signals.Await(d.Signals, func() (c configuration, err error) {
		if c.settings, err = d.Read(file); err != nil {
			return c, err
		}
		c.credentials, err = transport.LoadCredentials(c.settings.TLS)
		return c, errors.Wrap(err, file)
	})
	if errors.Is(err, signals.ErrTerminated) {
		telemetry.NewLogger(d.Name, settings.Logging{}, stderr).Info(err.Error())
		if check {
			return ExitFailed
		}
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", file)
		return ExitOK
	}
	if err := d.serve(c.settings, c.credentials, reload, stderr); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", d.Name, err)
		return ExitFailed
	}
	return ExitOK
}

func (d *Daemon) serve(s CommonSettings, creds *transport.Credentials, reload bool, out io.Writer) error {
	if s.Processors > 0 {
		runtime.GOMAXPROCS(s.Processors)
	}
	scope, handler, closer := telemetry.NewMetrics(d.MetricsPrefix)
	defer func() { _ = closer.Close() }()
	tracer, flush, err := tracing.New(context.Background(), d.Name, s.Tracing)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer cancel()
		_ = flush(ctx)
	}()
	// What collects the log may stop reading; the process goes on.
	log, stopLog := telemetry.NewQueuedLogger(d.Name, s.Logging, out, scope.Counter("log_lines_dropped_total"))
	defer stopLog()
	ignoreReload := func() { log.Warn("reload signal ignored: settings take effect at the next start") }
	if reload {
		ignoreReload()
	}
	return supervise(d.Signals, ignoreReload, func(drain, stop context.Context) error {
		return d.Serve(drain, stop, Dependencies{
			Credentials: creds, Platform: platform.NewStore(s.PlatformAddress),
			Log: log, Metrics: scope, MetricsHandler: handler, Tracer: tracer,
		})
	})
}

// supervise calls serve and returns its error. It cancels drain at the first
// signal to terminate and stop at the second, and calls ignoreReload at SIGHUP.
func supervise(received <-chan os.Signal, ignoreReload func(), serve func(drain, stop context.Context) error) error {
	drain, cancelDrain := context.WithCancel(context.Background())
	defer cancelDrain()
	stop, cancelStop := context.WithCancel(context.Background())
	defer cancelStop()
	ended := make(chan struct{})
	var g run.Group
	g.Add(func() error { return serve(drain, stop) }, func(error) { cancelDrain(); cancelStop() })
	g.Add(func() error {
		for {
			select {
			case s := <-received:
				switch {
				case s == syscall.SIGHUP:
					ignoreReload()
				case drain.Err() == nil:
					cancelDrain()
				default:
					cancelStop()
				}
			case <-ended:
				return nil
			}
		}
	}, func(error) { close(ended) })
	return g.Run()
}
