// Package cli implements `sesamelift standin platform` and `sesamelift standin
// backend`, which run the stand-ins as processes.
//
// Input: arguments. Output: status lines and an exit code. State: none.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/standin"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Run runs `sesamelift standin` with the arguments after "standin" until
// SIGTERM or SIGINT, and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	return run(ctx, args, out, errOut)
}

// usageError is an error in the command-line arguments.
type usageError struct{ error }

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := &ffcli.Command{
		Name: "standin", ShortUsage: "sesamelift standin <platform|backend> [flags]",
		LongHelp:    "Simulates an external system for tests and demonstrations. All state is in memory and is lost on exit.",
		FlagSet:     flags("standin", errOut),
		Subcommands: []*ffcli.Command{platformCommand(out, errOut), backendCommand(out, errOut)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.Parse(args); errors.Is(err, flag.ErrHelp) {
		return ExitOK
	} else if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	err := root.Run(ctx)
	var usage usageError
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, err)
		return ExitUsage
	case err != nil:
		fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	return ExitOK
}

func flags(name string, errOut io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	return fs
}

func platformCommand(out, errOut io.Writer) *ffcli.Command {
	var o standin.PlatformOptions
	fs := flags("standin platform", errOut)
	fs.StringVar(&o.Address, "address", "127.0.0.1:7300", "IP address and port to serve on")
	fs.BoolVar(&o.Faults.Unavailable, "unavailable", false, "reject every request")
	fs.IntVar(&o.Faults.DelayMS, "delay-ms", 0, "delay every request, in milliseconds")
	fs.IntVar(&o.Faults.LoseReplies, "lose-replies", 0, "number of writes whose replies are dropped after they take effect, -1 for all")
	fs.IntVar(&o.Faults.LoseRequests, "lose-requests", 0, "number of writes that are dropped before they take effect, -1 for all")
	fs.BoolVar(&o.Faults.RefuseWrites, "refuse-writes", false, "reject writes but answer reads")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "sesamelift standin platform [flags]", ShortHelp: "serves an in-memory table and object store",
		LongHelp: "PUT /faults with a JSON body changes the faults at run time. GET /faults returns them, GET /counts the numbers of requests.\n\n" +
			"EXAMPLE\n  sesamelift standin platform -address 127.0.0.1:7300\n" +
			`  curl -X PUT -d '{"unavailable": true}' http://127.0.0.1:7300/faults`,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError{errors.Errorf("unexpected argument %q", args[0])}
			}
			p, err := standin.NewPlatform(o)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "platform stand-in serves on %s\n", p.Addr())
			return p.Run(ctx)
		},
	}
}

func backendCommand(out, errOut io.Writer) *ffcli.Command {
	var o standin.BackendOptions
	var services string
	fs := flags("standin backend", errOut)
	fs.StringVar(&o.Address, "address", "127.0.0.1:0", "IP address and port to serve tasks on; port 0 selects a free port")
	fs.StringVar(&o.AgentAddress, "agent", "", "IP address and port on which the agent accepts announcements")
	fs.StringVar(&o.Name, "name", "", "name of the worker")
	fs.StringVar(&services, "services", "", "comma-separated list of the services that it runs")
	fs.Float64Var(&o.Speed, "speed", 1, "divides the run time of tasks")
	backendFaults(fs, &o.Faults)
	return &ffcli.Command{
		Name: "backend", ShortUsage: "sesamelift standin backend [flags]", ShortHelp: "simulates tasks by waiting for the run time that they specify",
		LongHelp: "It announces itself to its agent. On SIGTERM, it sends the agent a leave request and waits for the running tasks.\n" +
			"PUT /faults with a JSON body changes the faults at run time. GET /executions lists the tasks that ran more than once.\n\n" +
			"EXAMPLE\n  sesamelift standin backend -name cleft-01 -agent 127.0.0.1:7500 -services cleft-assessor -speed 1.5",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			o.Services = strings.FieldsFunc(services, func(r rune) bool { return r == ',' || r == ' ' })
			switch {
			case len(args) > 0:
				return usageError{errors.Errorf("unexpected argument %q", args[0])}
			case o.Name == "" || len(o.Services) == 0:
				return usageError{errors.New("flags -name and -services are required")}
			}
			b, err := standin.NewBackend(o)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "backend server stand-in %s serves on %s\n", o.Name, b.Addr())
			err = b.Run(ctx)
			fmt.Fprintf(out, "backend server stand-in %s ran %d tasks, %d of them more than once\n",
				o.Name, b.Executions().Total(), len(b.Executions().Repeated()))
			return err
		},
	}
}

func backendFaults(fs *flag.FlagSet, f *standin.BackendFaults) {
	fs.BoolVar(&f.FailAll, "fail-all", false, "fail every task immediately")
	fs.BoolVar(&f.DropAfterWork, "drop-after-work", false, "close the connection without a reply when a task has run")
	fs.BoolVar(&f.Hang, "hang", false, "accept tasks, but neither run nor answer them")
	fs.BoolVar(&f.Unhealthy, "unhealthy", false, "fail the health check")
	fs.Float64Var(&f.SlowFactor, "slow-factor", 1, "multiplies the run time of tasks")
	fs.IntVar(&f.ResultBytes, "result-bytes", 0, "number of padding bytes added to each result")
	fs.Float64Var(&f.StragglerShare, "straggler-share", 0, "share of tasks that run longer, 0 to 1")
	fs.Float64Var(&f.StragglerFactor, "straggler-factor", 20, "multiplies the run time of stragglers")
	fs.Uint64Var(&f.Seed, "seed", 0, "selects which tasks are stragglers")
}
