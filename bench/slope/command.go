package slope

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// measurementTimeout limits the waits for the measured process. It does not shorten
// the phases of a measurement, whose duration is a flag.
const measurementTimeout = 5 * time.Minute

const usageText = `usage: sesamelift slope entry|agent|sheet [flags]

Measures a running entry or agent process for docs/CAPACITY.md; scripts/capacity.sh
starts the processes. "sheet" prints a sheet with the simulated workers.
`

// Run runs `sesamelift slope` and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(errOut, usageText)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), measurementTimeout)
	defer cancel()
	fs := flag.NewFlagSet("sesamelift slope "+args[0], flag.ContinueOnError)
	fs.SetOutput(errOut)
	var report any
	var err error
	switch args[0] {
	case "entry":
		o := entryFlags(fs)
		if fs.Parse(args[1:]) != nil {
			return exitUsage
		}
		report, err = MeasureEntry(ctx, *o)
	case "agent":
		o := agentFlags(fs)
		if fs.Parse(args[1:]) != nil {
			return exitUsage
		}
		report, err = MeasureAgent(ctx, *o)
	case "sheet":
		n := fs.Int("agents", 890, "number of simulated workers")
		if fs.Parse(args[1:]) != nil {
			return exitUsage
		}
		writeSheet(out, *n)
		return exitOK
	default:
		fmt.Fprint(errOut, usageText)
		return exitUsage
	}
	if err != nil {
		fmt.Fprintf(errOut, "sesamelift slope: %v\n", err)
		return exitFailure
	}
	_ = json.NewEncoder(out).Encode(report)
	return exitOK
}

func entryFlags(fs *flag.FlagSet) *EntryOptions {
	o := &EntryOptions{}
	fs.IntVar(&o.PID, "pid", 0, "process ID of the entry")
	fs.StringVar(&o.PeerAddress, "peer", "", "peer address of the entry")
	fs.StringVar(&o.CallerAddress, "callers", "", "caller address of the entry")
	fs.StringVar(&o.CertDir, "certs", "run/certs", "directory of the certificates")
	fs.StringVar(&o.Token, "token", "", "token of the team")
	fs.StringVar(&o.Service, "service", "cleft-assessor", "service of the jobs")
	fs.StringVar(&o.Type, "type", "grain-count", "request type of the jobs")
	fs.StringVar(&o.Team, "team", "kiln", "team of the jobs")
	fs.IntVar(&o.Agents, "agents", 100, "number of simulated agents")
	fs.IntVar(&o.Slots, "slots", 8, "slots of each simulated agent")
	fs.IntVar(&o.TasksPerJob, "tasks", 20, "tasks of each job")
	fs.IntVar(&o.JobsPerSecond, "jobs-per-second", 50, "jobs submitted per second")
	fs.DurationVar(&o.RunTime, "run-time", 50*time.Millisecond, "run time of a task")
	fs.DurationVar(&o.Duration, "duration", 10*time.Second, "duration of each phase")
	return o
}

func agentFlags(fs *flag.FlagSet) *AgentOptions {
	o := &AgentOptions{}
	fs.IntVar(&o.PID, "pid", 0, "process ID of the agent")
	fs.StringVar(&o.Platform, "platform", "", "address of the platform")
	fs.StringVar(&o.Listen, "listen", "127.0.0.1:0", "address on which the simulated entry listens for the agent")
	fs.StringVar(&o.CertDir, "certs", "run/certs", "directory of the certificates")
	fs.StringVar(&o.Service, "service", "cleft-assessor", "service of the tasks")
	fs.StringVar(&o.Type, "type", "grain-count", "request type of the tasks")
	fs.IntVar(&o.TasksPerSecond, "tasks-per-second", 95, "tasks started per second")
	fs.DurationVar(&o.Duration, "duration", 10*time.Second, "duration of each phase")
	return o
}

func writeSheet(out io.Writer, workers int) {
	fmt.Fprintln(out, "kind,service,type,deadline_ms,idempotent,team,quota,weight,worker,services,drain")
	fmt.Fprintln(out, "service,cleft-assessor,grain-count,30000,yes,,,,,,")
	fmt.Fprintln(out, "team,,,,,kiln,100000,1,,,")
	for i := range workers {
		fmt.Fprintf(out, "worker,,,,,,,,%s,cleft-assessor,no\n", WorkerName(i))
	}
	fmt.Fprintln(out, "worker,,,,,,,,cleft-01,cleft-assessor,no")
}
