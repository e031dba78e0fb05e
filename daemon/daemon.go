package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
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
	"github.com/sesamelift/sesamelift/table"
	"github.com/sesamelift/sesamelift/telemetry"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/version"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// traceFlushTimeout bounds the export of the last spans.
const traceFlushTimeout = 2 * time.Second

// ErrStopped says that a second signal ended the process before the drain was
// complete.
var ErrStopped = errors.New("stopped by a second signal; work in progress was interrupted")

// Common are the settings that every daemon has.
type Common struct {
	PlatformAddress string
	TLS             transport.Files
	Logging         settings.Logging
	Tracing         settings.Tracing
	// Processors bounds the processors in use; 0 means all.
	Processors int
}

// Runtime is what a daemon gets to run with.
type Runtime struct {
	Credentials    *transport.Credentials
	Platform       table.Platform
	Log            *logrus.Entry
	Metrics        tally.Scope
	MetricsHandler http.Handler
	Tracer         trace.Tracer
}

// Daemon describes a program.
type Daemon struct {
	// Name is the name of the program.
	Name string
	// EnvPrefix precedes environment variables that set flags.
	EnvPrefix string
	// MetricsPrefix precedes the names of metrics.
	MetricsPrefix string
	// Read reads the settings file. Its error lists every fault of the file.
	Read func(file string) (Common, error)
	// Serve runs until drain ends and then completes what is in progress. When
	// stop ends it returns at once.
	Serve func(drain, stop context.Context, r Runtime) error
	// OnPlatform runs the program as a process of the users' platform, with the
	// platform's own settings file. With check it only checks that file.
	OnPlatform func(check bool, stdout, stderr io.Writer) int
}

// Command runs the daemon with the arguments after the name of the program and
// returns the exit code.
func (d *Daemon) Command(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(d.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "settings file, JSON with comments (required)")
	check := flags.Bool("check", false, "check the settings and exit")
	onPlatform := flags.Bool("platform", false, "run as a process of the users' platform, whose settings file SESAMELIFT_SETTINGS names")
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
	case *onPlatform:
		return d.OnPlatform(*check, stdout, stderr)
	case *file == "":
		fmt.Fprintf(stderr, "%s: -settings FILE is required\n", d.Name)
		return ExitUsage
	}
	return d.start(*file, *check, stdout, stderr)
}

func (d *Daemon) start(file string, check bool, stdout, stderr io.Writer) int {
	s, err := d.Read(file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	creds, err := transport.LoadCredentials(s.TLS)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", file, err)
		return ExitUsage
	}
	if check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", file)
		return ExitOK
	}
	if err := d.serve(s, creds, stderr); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", d.Name, err)
		return ExitFailure
	}
	return ExitOK
}

func (d *Daemon) serve(s Common, creds *transport.Credentials, out io.Writer) error {
	if s.Processors > 0 {
		runtime.GOMAXPROCS(s.Processors)
	}
	scope, handler, closer := telemetry.NewMetrics(d.MetricsPrefix)
	defer func() { _ = closer.Close() }()
	tracer, flush, err := telemetry.NewTracing(context.Background(), d.Name, s.Tracing)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer cancel()
		_ = flush(ctx)
	}()
	return supervise(func(drain, stop context.Context) error {
		return d.Serve(drain, stop, Runtime{
			Credentials: creds, Platform: platform.NewStore(s.PlatformAddress),
			Log:     telemetry.NewLog(d.Name, s.Logging, out),
			Metrics: scope, MetricsHandler: handler, Tracer: tracer,
		})
	})
}

// supervise ends drain at the first signal and stop at the second.
func supervise(serve func(drain, stop context.Context) error) error {
	drain, endDrain := context.WithCancel(context.Background())
	defer endDrain()
	stop, endStop := context.WithCancel(context.Background())
	defer endStop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ended := make(chan struct{})
	var g run.Group
	g.Add(func() error { return serve(drain, stop) }, func(error) { endDrain(); endStop() })
	g.Add(func() error {
		for _, end := range []func(){endDrain, endStop} {
			select {
			case <-signals:
				end()
			case <-ended:
				return nil
			}
		}
		<-ended
		return nil
	}, func(error) { close(ended) })
	return g.Run()
}
