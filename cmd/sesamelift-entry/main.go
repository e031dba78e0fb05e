// Command sesamelift-entry accepts jobs from callers and dispatches their tasks
// to agents.
//
// Exit codes: 0 ok, 1 failure at run time, 2 invalid settings or usage.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/entry"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/telemetry"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/version"
)

const (
	program   = "sesamelift-entry"
	envPrefix = "SESAMELIFT_ENTRY"

	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2

	// traceFlushTimeout bounds the export of the last spans.
	traceFlushTimeout = 2 * time.Second
)

func main() { os.Exit(command(os.Args[1:], os.Stdout, os.Stderr)) }

func command(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "settings file, JSON with comments (required)")
	check := flags.Bool("check", false, "check the settings and exit")
	showVersion := flags.Bool("version", false, "print the version and exit")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(envPrefix))
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
	case *file == "":
		fmt.Fprintf(stderr, "%s: -settings FILE is required\n", program)
		return exitUsage
	}
	var s settings.Entry
	if err := settings.Read(*file, &s); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	creds, err := transport.LoadCredentials(s.TLS)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", *file, err)
		return exitUsage
	}
	if *check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", *file)
		return exitOK
	}
	if err := serve(&s, creds, stderr); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return exitFailure
	}
	return exitOK
}

func serve(s *settings.Entry, creds *transport.Credentials, out io.Writer) error {
	if s.Processors > 0 {
		runtime.GOMAXPROCS(s.Processors)
	}
	log := telemetry.NewLog(program, s.Logging, out)
	scope, handler, closer := telemetry.NewMetrics("sesamelift_entry")
	defer func() { _ = closer.Close() }()
	tracer, flush, err := telemetry.NewTracing(context.Background(), program, s.Tracing)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer cancel()
		_ = flush(ctx)
	}()
	o := entry.Options{
		Settings: s, Credentials: creds, Platform: platform.NewClient(s.PlatformAddress), Log: log,
		Metrics: scope, MetricsHandler: handler, Tracer: tracer,
	}
	return supervise(func(ctx context.Context) error { return serveEntries(ctx, o) })
}

// serveEntries runs an entry, and a new incarnation of it each time its peers
// have removed the last one from the roster.
func serveEntries(ctx context.Context, o entry.Options) error {
	for {
		e, err := entry.New(o)
		if err != nil {
			return err
		}
		if err = e.Run(ctx); !errors.Is(err, entry.ErrRemoved) {
			return err
		}
		o.Log.Warn("starting a new incarnation")
	}
}

// errStopped says that a second signal ended the process before the drain was
// complete.
var errStopped = errors.New("stopped by a second signal; jobs in progress were interrupted")

// supervise runs until the first signal, then lets the entry drain. A second
// signal stops it at once.
func supervise(serve func(context.Context) error) error {
	ctx, drain := context.WithCancel(context.Background())
	defer drain()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ended := make(chan struct{})
	served := make(chan error, 1)
	stopped := make(chan struct{})
	var g run.Group
	g.Add(func() error {
		go func() { served <- serve(ctx) }()
		select {
		case err := <-served:
			return err
		case <-stopped:
			return errStopped
		}
	}, func(error) { drain() })
	g.Add(func() error {
		for _, act := range []func(){drain, func() { close(stopped) }} {
			select {
			case <-signals:
				act()
			case <-ended:
				return nil
			}
		}
		<-ended
		return nil
	}, func(error) { close(ended) })
	return g.Run()
}
