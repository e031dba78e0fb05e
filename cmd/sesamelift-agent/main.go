// Command sesamelift-agent runs beside a backend server and runs tasks on it.
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

	"github.com/sesamelift/sesamelift/agent"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/settings"
	"github.com/sesamelift/sesamelift/telemetry"
	"github.com/sesamelift/sesamelift/transport"
	"github.com/sesamelift/sesamelift/version"
)

const (
	program   = "sesamelift-agent"
	envPrefix = "SESAMELIFT_AGENT"

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
	var s settings.Agent
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

func serve(s *settings.Agent, creds *transport.Credentials, out io.Writer) error {
	if s.Processors > 0 {
		runtime.GOMAXPROCS(s.Processors)
	}
	log := telemetry.NewLog(program, s.Logging, out)
	scope, handler, closer := telemetry.NewMetrics("sesamelift_agent")
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
	a, err := agent.New(agent.Options{
		Settings: s, Credentials: creds, Platform: platform.NewClient(s.PlatformAddress), Log: log,
		Metrics: scope, MetricsHandler: handler, Tracer: tracer,
	})
	if err != nil {
		return err
	}
	return supervise(a)
}

// supervise runs the agent until the first signal, then lets it drain. A second
// signal stops it at once.
func supervise(a *agent.Agent) error {
	ctx, drain := context.WithCancel(context.Background())
	defer drain()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ended := make(chan struct{})
	var g run.Group
	g.Add(func() error { return a.Run(ctx) }, func(error) { a.Abort() })
	g.Add(func() error {
		for _, act := range []func(){drain, a.Abort} {
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
