package bench

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/placement"
)

// Exit codes of Run.
const (
	exitOK = iota
	// exitFailure means that the run failed or violated correctness.
	exitFailure
	exitUsage
)

// maxDuration limits the measured part of a run.
const maxDuration = 5 * time.Minute

type options struct {
	scenario, policy string
	seed             uint64
	duration         time.Duration
	json, compare    bool
	plot             string
	log              io.Writer
}

var policies = []string{placement.Estimate, placement.PowerOfTwo, placement.Random}

// Run runs `sesamelift bench` with the arguments that follow the subcommand
// and returns the exit code. Reports go to out, messages to errOut.
func Run(args []string, out, errOut io.Writer) int {
	o, s, err := parseArgs(args, errOut)
	if err != nil {
		if err != flag.ErrHelp {
			fmt.Fprintf(errOut, "sesamelift bench: %v\n", err)
		}
		return exitUsage
	}
	selected := []string{o.policy}
	if o.compare {
		selected = policies
	}
	exitCode := exitOK
	var curves []curve
	for _, p := range selected {
		o.policy = p
		r, err := execute(o, s, s.workload(o.duration), errOut)
		if err != nil {
			fmt.Fprintf(errOut, "sesamelift bench: %v\n", err)
			return exitFailure
		}
		rep := r.report()
		writeReport(out, rep, o.json)
		if !rep.Correct() {
			fmt.Fprintln(errOut, "sesamelift bench: the run had double starts, partial answers or incorrect \"not run\" answers; see the report")
			exitCode = exitFailure
		}
		curves = append(curves, r.curves()...)
	}
	if o.plot != "" {
		if err := writePlot(o.plot, s, curves); err != nil {
			fmt.Fprintf(errOut, "sesamelift bench: %v\n", err)
			return exitFailure
		}
	}
	return exitCode
}

func parseArgs(args []string, errOut io.Writer) (options, *scenario, error) {
	o := options{log: errOut}
	f := flag.NewFlagSet("sesamelift bench", flag.ContinueOnError)
	f.SetOutput(errOut)
	f.StringVar(&o.scenario, "scenario", "steady", "scenario to run:\n"+scenarioHelp())
	f.StringVar(&o.policy, "policy", placement.Estimate, "placement policy: "+strings.Join(policies, ", "))
	f.Uint64Var(&o.seed, "seed", 1, "seed of the trace")
	f.DurationVar(&o.duration, "duration", 0, "duration of the measured part; 0 means the default of the scenario. crest has a fixed duration")
	f.BoolVar(&o.json, "json", false, "write one JSON object per run")
	f.BoolVar(&o.compare, "compare", false, "run all policies on the same trace")
	f.StringVar(&o.plot, "plot", "", "write the distribution of response times to this file (.png, .svg or .pdf)")
	if err := f.Parse(args); err != nil {
		return o, nil, err
	}
	if f.NArg() > 0 {
		return o, nil, fmt.Errorf("unexpected argument %q", f.Arg(0))
	}
	known := false
	for _, p := range policies {
		known = known || p == o.policy
	}
	if !known {
		return o, nil, fmt.Errorf("unknown policy %q, must be one of %s", o.policy, strings.Join(policies, ", "))
	}
	if o.duration < 0 || o.duration > maxDuration {
		return o, nil, fmt.Errorf("duration %v is out of range, must be from 0 to %v", o.duration, maxDuration)
	}
	for i := range scenarios {
		if s := &scenarios[i]; s.name == o.scenario {
			if o.duration == 0 {
				o.duration = s.duration
			}
			return o, s, nil
		}
	}
	return o, nil, fmt.Errorf("unknown scenario %q, must be one of:\n%s", o.scenario, scenarioHelp())
}

func scenarioHelp() string {
	var b strings.Builder
	for _, s := range scenarios {
		fmt.Fprintf(&b, "  %-11s %s\n", s.name, s.about)
	}
	return b.String()
}

func writeReport(out io.Writer, rep *Report, asJSON bool) {
	b, err := json.Marshal(rep)
	if err != nil {
		fmt.Fprintln(out, err)
		return
	}
	if asJSON {
		fmt.Fprintf(out, "%s\n", b)
		return
	}
	// The text form lists the same keys, one per line.
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.UseNumber()
	_, _ = d.Token()
	for d.More() {
		key, _ := d.Token()
		var v json.RawMessage
		if d.Decode(&v) != nil {
			return
		}
		fmt.Fprintf(out, "%-26s %s\n", key, v)
	}
	fmt.Fprintln(out)
}
