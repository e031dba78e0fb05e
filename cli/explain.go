package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/client"
	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/ingress"
	"github.com/sesamelift/sesamelift/platform"
)

// explainTimeout bounds the wait for the answer of one entry.
const explainTimeout = 5 * time.Second

type explainFlags struct {
	entries string
	// token is set for entries of the product's own interface.
	token    string
	query    platform.ExplainQuery
	asJSON   bool
	all      bool
	deadline time.Duration
}

func explainCommand(std *streams) *ffcli.Command {
	var f explainFlags
	fs := flag.NewFlagSet("explain", flag.ContinueOnError)
	fs.StringVar(&f.entries, "entries", "", "addresses of entries, separated by commas; of entries on the platform those of the metrics")
	fs.StringVar(&f.token, "token", "", "token of the operator, to ask entries of the product's own interface")
	fs.StringVar(&f.query.Host, "host", "", "host to which callers send the job, on the platform")
	fs.StringVar(&f.query.Path, "path", "", "path to which callers send the job, on the platform, with or without its id")
	fs.DurationVar(&f.deadline, "deadline", 0, "how long the caller waits; the default is the timeout of the queue or the deadline in the file")
	fs.BoolVar(&f.asJSON, "json", false, "print JSON")
	fs.BoolVar(&f.all, "all", false, "ask all entries and print where they differ")
	return newCommand("explain", "explain -entries ADDR[,ADDR...] {-token TOKEN | -host HOST -path PATH} [flags] FILE", "show where a job would go now, and why",
		"FILE holds the job as callers of sesamelift-platform-entry, or with -token those of\n"+
			"sesamelift-entry, send it; - is standard input.\n"+
			"Nothing is submitted. An entry gives one explanation a second.\n\nExamples:\n  sesamelift explain -entries 10.0.0.5:9105 -host jobs.example -path /render/ job.json\n"+
			"  sesamelift explain -entries 10.0.0.5:7400 -token $OPERATOR_TOKEN job.json",
		fs, func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError{errors.New("explain takes one file")}
			}
			return f.run(ctx, std, args[0])
		})
}

// explanation is that of an entry on the platform or of the product's own interface.
type explanation interface {
	entryName() string
	// compared returns the values in which entries can differ.
	compared() []comparedValue
	// row returns the columns of the comparison, without those of the entry.
	row() comparisonRow
	print(std *streams) error
}

type comparisonRow struct {
	zone, decision, message string
	end, onTime             string
	waitMS                  int64
	ahead, workers          int
	freeShare               float64
	configVersion           uint64
}

// entryExplanation is what one entry answered.
type entryExplanation struct {
	Address     string      `json:"address"`
	Error       string      `json:"error,omitempty"`
	Explanation explanation `json:"explanation,omitempty"`
	rejected    bool
}

func (f *explainFlags) run(ctx context.Context, std *streams, file string) error {
	for _, required := range []struct{ name, value string }{{"entries", f.entries}, {"host", f.query.Host + f.token}, {"path", f.query.Path + f.token}} {
		if required.value == "" {
			return usageError{errors.Errorf("-%s is required", required.name)}
		}
	}
	if f.token != "" && f.query.Host+f.query.Path != "" {
		return usageError{errors.New("-token is for the product's own interface, -host and -path are for the platform")}
	}
	if f.deadline != 0 && f.deadline < time.Millisecond {
		return usageError{errors.Errorf("-deadline is %v, it must be at least 1ms", f.deadline)}
	}
	var err error
	if f.query.Job, err = std.readInput(file); err != nil {
		return usageError{err}
	}
	if faults := f.findFaults(); len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintf(std.errOut, "%s:%d: %s\n", file, fault.Line, fault.Message)
		}
		return exitError(ExitUsage)
	}
	f.query.DeadlineMS = f.deadline.Milliseconds()
	answers := f.ask(ctx)
	reached := slices.DeleteFunc(slices.Clone(answers), func(a entryExplanation) bool { return a.Explanation == nil })
	if !f.asJSON || len(reached) == 0 {
		for _, a := range answers {
			if a.Error != "" {
				fmt.Fprintf(std.errOut, "sesamelift: entry %s: %s\n", a.Address, a.Error)
			}
		}
	}
	if len(reached) == 0 {
		if slices.ContainsFunc(answers, func(a entryExplanation) bool { return a.rejected }) {
			return exitError(ExitUsage)
		}
		return errors.New("no entry could be reached or gave an explanation")
	}
	differences := compareExplanations(reached)
	switch {
	case f.asJSON && f.all:
		return std.printJSON(struct {
			Entries     []entryExplanation `json:"entries"`
			Differences []difference       `json:"differences"`
		}{answers, differences})
	case f.asJSON:
		return std.printJSON(reached[0].Explanation)
	case f.all:
		return std.printComparison(reached, differences)
	}
	return reached[0].Explanation.print(std)
}

func (f *explainFlags) findFaults() []ingress.Fault {
	if f.token != "" {
		return ingress.SubmissionFaults(f.query.Job)
	}
	var faults []ingress.Fault
	for _, fault := range platform.JobFaults(f.query.Job) {
		faults = append(faults, ingress.Fault(fault))
	}
	return faults
}

// askEntry asks one entry.
func (f *explainFlags) askEntry(ctx context.Context, address string) (explanation, error) {
	if f.token != "" {
		return askOwnEntry(ctx, address, f.token, f.query)
	}
	explained, err := platform.AskForExplanation(ctx, http.DefaultClient, address, f.query)
	if err != nil {
		return nil, err
	}
	return platformExplanation{explained}, nil
}

// ask asks all entries at once, or one after the other until one has answered.
func (f *explainFlags) ask(ctx context.Context) []entryExplanation {
	addresses := strings.Split(f.entries, ",")
	answers := make([]entryExplanation, len(addresses))
	askOne := func(i int) {
		ctx, cancel := context.WithTimeout(ctx, explainTimeout)
		defer cancel()
		a := entryExplanation{Address: addresses[i]}
		explained, err := f.askEntry(ctx, a.Address)
		if err != nil {
			var rejected *platform.ExplainRejectedError
			var rejectedByOwn *client.RejectedError
			a.Error, a.rejected = err.Error(), errors.As(err, &rejected) || errors.As(err, &rejectedByOwn)
		} else {
			a.Explanation = explained
		}
		answers[i] = a
	}
	if !f.all {
		for i := range addresses {
			if askOne(i); answers[i].Explanation != nil || answers[i].rejected {
				return answers[:i+1]
			}
		}
		return answers
	}
	var wg sync.WaitGroup
	for i := range addresses {
		wg.Go(func() { askOne(i) })
	}
	wg.Wait()
	return answers
}

// difference is a value that entries don't agree on.
type difference struct {
	What string `json:"what"`
	// Values holds the value of each entry by its name. An entry that doesn't have it is
	// missing.
	Values map[string]string `json:"values"`
}

// compareExplanations returns the values in which entries differ. Costs are left out: the
// preference in them differs by design.
func compareExplanations(answers []entryExplanation) []difference {
	var differences []difference
	index := map[string]int{}
	for _, a := range answers {
		for _, v := range a.Explanation.compared() {
			i, ok := index[v.what]
			if !ok {
				i = len(differences)
				index[v.what] = i
				differences = append(differences, difference{v.what, map[string]string{}})
			}
			differences[i].Values[a.Explanation.entryName()] = v.value
		}
	}
	return slices.DeleteFunc(differences, func(d difference) bool {
		values := slices.Collect(maps.Values(d.Values))
		// A worker is listed by an entry only if it is among the best there.
		optional := strings.HasPrefix(d.What, "worker ")
		return (len(values) == len(answers) || optional) && len(slices.Compact(slices.Sorted(slices.Values(values)))) == 1
	})
}

type comparedValue struct{ what, value string }

// platformExplanation is that of an entry on the platform.
type platformExplanation struct{ *platform.Explained }

func (e platformExplanation) entryName() string { return e.Entry }

func (e platformExplanation) row() comparisonRow {
	return comparisonRow{
		zone: e.Zone, decision: string(e.Decision), message: e.Message, end: fmt.Sprint(e.ExpectedEndMS, " ms"), onTime: fmt.Sprint(e.OnTime), ahead: e.Ahead.Jobs,
		waitMS: e.Ahead.ExpectedWaitMS, freeShare: e.Capacity.FreeShare, workers: e.Capacity.UsableWorkers, configVersion: e.ConfigVersion,
	}
}

func (e platformExplanation) compared() []comparedValue {
	values := []comparedValue{
		{"decision", string(e.Decision)}, {"message", e.Message}, {"queue", e.Queue}, {"ready", fmt.Sprint(e.Ready)},
		{"configuration version", fmt.Sprint(e.ConfigVersion)}, {"evacuated zones", strings.Join(e.Evacuation.Zones, " ")},
		{"evacuation version", fmt.Sprint(e.Evacuation.Version)}, {"class", e.Class}, {"on time", fmt.Sprint(e.OnTime)},
		{"jobs ahead", fmt.Sprint(e.Ahead.Jobs)}, {"expected wait", fmt.Sprint(e.Ahead.ExpectedWaitMS, " ms")}, {"expected end", fmt.Sprint(e.ExpectedEndMS, " ms")},
		{"usable workers", fmt.Sprint(e.Capacity.UsableWorkers)}, {"free share", fmt.Sprintf("%.2f", e.Capacity.FreeShare)},
	}
	for _, t := range e.Tasks {
		values = append(values, comparedValue{fmt.Sprintf("task %d.%d", t.Step, t.Index), cmp.Or(t.Worker, t.Rule)})
	}
	if len(e.Tasks) == 0 {
		return values
	}
	for _, c := range e.Tasks[0].Candidates {
		values = append(values,
			comparedValue{"worker " + c.Worker + " state", cmp.Or(c.Excluded, "fits")},
			comparedValue{"worker " + c.Worker + " speed", fmt.Sprintf("%.2f", c.Speed)},
			comparedValue{"worker " + c.Worker + " failure rate", fmt.Sprintf("%.2f", c.FailureRate)},
			comparedValue{"worker " + c.Worker + " free CPU", formatCores(c.FreeMilliCPU)})
	}
	return values
}

func formatCores(milliCPU int64) string { return fmt.Sprintf("%.1f", float64(milliCPU)/1000) }

func (std *streams) printComparison(answers []entryExplanation, differences []difference) error {
	t := tabwriter.NewWriter(std.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ENTRY\tZONE\tDECISION\tEND\tON TIME\tAHEAD\tWAIT\tFREE\tWORKERS\tCONFIG\tREASON")
	for _, a := range answers {
		r := a.Explanation.row()
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d ms\t%.0f%%\t%d\t%d\t%s\n", a.Explanation.entryName(), r.zone, r.decision, r.end, r.onTime, r.ahead,
			r.waitMS, 100*r.freeShare, r.workers, r.configVersion, r.message)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(differences) == 0 {
		fmt.Fprintln(std.out, "the entries agree")
		return nil
	}
	fmt.Fprintln(std.out, "\nwhere they differ:")
	for _, d := range differences {
		fmt.Fprintf(std.out, "%s:", d.What)
		for _, entry := range slices.Sorted(maps.Keys(d.Values)) {
			fmt.Fprintf(std.out, " %s=%q", entry, d.Values[entry])
		}
		fmt.Fprintln(std.out)
	}
	return nil
}

func (e platformExplanation) print(std *streams) error {
	fmt.Fprintf(std.out, "entry %s in %s, ready: %v, configuration version %d\n", e.Entry, e.Zone, e.Ready, e.ConfigVersion)
	fmt.Fprintf(std.out, "queue %s, service %s: ", e.Queue, e.Service)
	std.printDecision(string(e.Decision), e.Message, e.RetryAfterMS)
	if e.Class == "" {
		return nil
	}
	fmt.Fprintf(std.out, "class %s; on time until %d ms, of use until %d ms; longest chain on the fastest worker %d ms; waited before %d ms\n", e.Class, e.OnTimeMS, e.CutoffMS, e.QuickestMS, e.WaitedMS)
	if e.ExpectedEndMS > 0 {
		fmt.Fprintf(std.out, "expected end in %d ms, on time: %v\n", e.ExpectedEndMS, e.OnTime)
	}
	fmt.Fprintf(std.out, "queue ahead: %d of %d waiting jobs with %d tasks, expected wait %d ms\n", e.Ahead.Jobs, e.Ahead.WaitingJobs, e.Ahead.Tasks, e.Ahead.ExpectedWaitMS)
	fmt.Fprintf(std.out, "capacity: %d usable workers, %s of %s cores free (%.1f%%, the job needs %.1f%%)\n", e.Capacity.UsableWorkers,
		formatCores(e.Capacity.FreeMilliCPU), formatCores(e.Capacity.MilliCPU), 100*e.Capacity.FreeShare, 100*e.Capacity.RequiredFreeShare)
	if len(e.Evacuation.Zones) > 0 {
		fmt.Fprintf(std.out, "evacuated zones: %s (version %d)\n", strings.Join(e.Evacuation.Zones, " "), e.Evacuation.Version)
	}
	for _, t := range e.Tasks {
		fmt.Fprintf(std.out, "\ntask %d.%d: %s (%s)\n", t.Step, t.Index, cmp.Or(t.Worker, "none"), t.Rule)
		if err := std.printCandidates(t.Candidates); err != nil {
			return err
		}
		std.printMoreWorkers(t.Excluded)
	}
	std.printMoreTasks(e.TotalTasks, len(e.Tasks))
	return nil
}

func (std *streams) printMoreWorkers(excluded map[string]int) {
	for _, reason := range slices.Sorted(maps.Keys(excluded)) {
		fmt.Fprintf(std.out, "  %d more: %s\n", excluded[reason], reason)
	}
}

func (std *streams) printMoreTasks(total, listed int) {
	if more := total - listed; more > 0 && listed > 0 {
		fmt.Fprintf(std.out, "\n%d more tasks\n", more)
	}
}

// printDecision prints what happens to a job, and the refusal.
func (std *streams) printDecision(decision, message string, retryAfterMS int64) {
	fmt.Fprint(std.out, decision)
	if message != "" {
		fmt.Fprintf(std.out, ": %s", message)
	}
	if retryAfterMS > 0 {
		fmt.Fprintf(std.out, ", retry after %d ms", retryAfterMS)
	}
	fmt.Fprintln(std.out)
}

func (std *streams) printCandidates(candidates []dispatch.Candidate) error {
	if len(candidates) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(std.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "  WORKER\tZONE\tSTATE\tCOST\tRUN\tSPEED\tFAILS\tRACK\tLOAD\tPREF\tZONE+\tOTHER\tFREE CORES\tFREE MB\tOWN\tREPORT")
	for _, c := range candidates {
		state := cmp.Or(c.Excluded, "fits")
		if c.Chosen {
			state = "chosen"
		}
		if c.BackoffMS > 0 {
			state += fmt.Sprintf(" (%d ms)", c.BackoffMS)
		}
		if c.LeavesMS > 0 {
			state += fmt.Sprintf(" (leaves in %d ms)", c.LeavesMS)
		}
		age := "none"
		if c.ReportAgeMS >= 0 {
			age = fmt.Sprintf("%d ms ago", c.ReportAgeMS)
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\t%.1f\t%d ms\t%.2f\t%.0f%%\tx%.2f\t+%.3f\t+%.3f\t+%.3f\tx%.2f\t%s of %s\t%d\t%d\t%s\n", c.Worker, c.Zone, state, c.CostMS, c.RunTimeMS, c.Speed,
			100*c.FailureRate, c.RackFactor, c.LoadTerm, c.PreferenceTerm, c.ZoneTerm, c.OtherFactor, formatCores(c.FreeMilliCPU), formatCores(c.CapacityMilliCPU), c.FreeMemoryMB, c.OwnTasks, age)
	}
	return t.Flush()
}
