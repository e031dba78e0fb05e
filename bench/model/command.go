package model

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/settings"
)

// Exit codes of Command.
const (
	exitOK = iota
	// exitFailure means that the run failed, or that two runs of a task overlapped.
	exitFailure
	exitUsage
)

// policyFlag collects changes of the default policy.
type policyFlag struct {
	policy  dispatch.Policy
	changes []string
}

// String implements flag.Value.
func (f *policyFlag) String() string { return strings.Join(f.changes, " ") }

// Set implements flag.Value.
func (f *policyFlag) Set(s string) error {
	name, text, _ := strings.Cut(s, "=")
	field := reflect.ValueOf(&f.policy).Elem().FieldByName(name)
	if !field.IsValid() {
		return errors.Errorf("unknown weight %q, must be one of %s", name, strings.Join(policyFields(), ", "))
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= 0 && x <= 1000) {
		return errors.Errorf("weight %s needs a number from 0 to 1000", name)
	}
	field.SetFloat(x)
	f.changes = append(f.changes, s)
	return nil
}

func policyFields() []string {
	t := reflect.TypeFor[dispatch.Policy]()
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Name
	}
	return names
}

// maxSeeds limits the runs of one call.
const maxSeeds = 100

// Command runs `sesamelift model` with the arguments that follow the subcommand and
// returns the exit code. Reports go to out, messages to errOut.
func Command(args []string, out, errOut io.Writer) int {
	f := flag.NewFlagSet("sesamelift model", flag.ContinueOnError)
	f.SetOutput(errOut)
	file := f.String("scenario", "", "scenario `file`")
	entries := f.Int("entries", 0, "number of entries; 0 means as in the scenario")
	agents := f.Int("agents", 0, "number of agents and workers, with the load in proportion; 0 means as in the scenario")
	seed := f.Uint64("seed", 1, "seed of load and faults")
	seeds := f.Int("seeds", 1, "number of runs, with consecutive seeds")
	interference := f.Float64("interference", 0, "`factor` of all pairs of kinds that slow each other down; 0 means as in the scenario")
	asJSON := f.Bool("json", false, "write one JSON object per run")
	compare := f.Bool("compare", false, "also run the default policy, and print the difference of each run")
	plotFile := f.String("plot", "", "write the worth over time of the first seed to this `file` (.png, .svg or .pdf)")
	changed := policyFlag{policy: dispatch.DefaultPolicy}
	f.Var(&changed, "set", "change a `weight` of the policy, as in -set ZoneWeight=0.2; may be repeated.\nWeights: "+strings.Join(policyFields(), ", "))
	if err := f.Parse(args); err != nil {
		return exitUsage
	}
	usage := func(format string, args ...any) int {
		fmt.Fprintf(errOut, "sesamelift model: "+format+"\n", args...)
		return exitUsage
	}
	switch {
	case f.NArg() > 0:
		return usage("unexpected argument %q", f.Arg(0))
	case *file == "":
		return usage("-scenario is missing")
	case *entries < 0 || *entries > 2000 || *agents < 0 || *agents > 5000:
		return usage("at most 2000 entries and 5000 agents")
	case *interference != 0 && !(*interference >= 1 && *interference <= 100):
		return usage("-interference must be from 1 to 100")
	case *seeds < 1 || *seeds > maxSeeds:
		return usage("-seeds must be from 1 to %d", maxSeeds)
	}
	var scenario Scenario
	if err := settings.Read(*file, &scenario); err != nil {
		return usage("%v", err)
	}
	scenario.Resize(*entries, *agents)
	for i := range scenario.Interference {
		if *interference != 0 {
			scenario.Interference[i].Factor = *interference
		}
	}
	names, policies := []string{changed.String()}, []dispatch.Policy{changed.policy}
	if *compare {
		names, policies = []string{"default", changed.String()}, []dispatch.Policy{dispatch.DefaultPolicy, changed.policy}
	}
	exitCode := exitOK
	for n := range *seeds {
		results := make([]*Result, len(policies))
		for i, policy := range policies {
			r, err := Run(&scenario, *seed+uint64(n), policy)
			if err != nil {
				fmt.Fprintf(errOut, "sesamelift model: %v\n", err)
				return exitFailure
			}
			results[i] = r
			if err := write(out, names[i], r, *asJSON); err != nil {
				fmt.Fprintf(errOut, "sesamelift model: %v\n", err)
				return exitFailure
			}
			if r.Overlaps > 0 {
				exitCode = exitFailure
			}
		}
		if *compare && !*asJSON {
			fmt.Fprintf(out, "seed %d: worth %+.4f, messages a task %+.3f, MB between zones %+.1f\n\n", *seed+uint64(n),
				results[1].All.Worth-results[0].All.Worth, results[1].MessagesPerTask-results[0].MessagesPerTask, results[1].CrossZoneMB-results[0].CrossZoneMB)
		}
		if n == 0 && *plotFile != "" {
			if err := writePlot(*plotFile, names, results); err != nil {
				fmt.Fprintf(errOut, "sesamelift model: %v\n", err)
				return exitFailure
			}
		}
	}
	return exitCode
}

func write(out io.Writer, name string, r *Result, asJSON bool) error {
	if asJSON {
		b, err := json.Marshal(r)
		if err != nil {
			return errors.Wrap(err, "encode result")
		}
		_, err = fmt.Fprintf(out, "%s\n", b)
		return errors.Wrap(err, "write result")
	}
	if name != "" {
		fmt.Fprintf(out, "policy: %s\n", name)
	}
	r.Write(out)
	return nil
}
