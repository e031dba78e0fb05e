package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/client"
	"github.com/sesamelift/sesamelift/ingress"
	"github.com/sesamelift/sesamelift/placement"
	"github.com/sesamelift/sesamelift/platform"
)

// ownExplanation is that of an entry of the product's own interface.
type ownExplanation struct{ *ingress.Explanation }

func askOwnEntry(ctx context.Context, address, token string, q platform.ExplainQuery) (explanation, error) {
	var s api.Submission
	if err := json.Unmarshal(q.Job, &s); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	if q.DeadlineMS > 0 {
		s.DeadlineMS = q.DeadlineMS
	}
	b, err := client.New([]string{address}, token).Explain(ctx, &s)
	if err != nil {
		return nil, err
	}
	var e ingress.Explanation
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, errors.Wrap(err, "decode the explanation")
	}
	return ownExplanation{&e}, nil
}

func (e ownExplanation) entryName() string { return e.Entry }

// freeSlots returns the estimated number of free slots.
func (e ownExplanation) freeSlots() int { return e.Supply.Slots - e.Supply.Busy }

func (e ownExplanation) row() comparisonRow {
	r := comparisonRow{
		zone: e.Zone, decision: string(e.Decision), message: e.Message, end: fmt.Sprint(e.ExpectedEndMS, " ms"), onTime: fmt.Sprint(e.ExpectedEndMS <= e.DeadlineMS && e.Decision != ingress.Refused),
		ahead: e.Ahead.LastTask, waitMS: e.Admission.ExpectedWaitMS, configVersion: e.ConfigVersion, freeShare: float64(e.freeSlots()) / float64(max(e.Supply.Slots, 1)),
	}
	if e.ExpectedEndMS == 0 && e.Decision != ingress.Refused {
		// The job waits for a worker, or no run time is known yet.
		r.end, r.onTime = "unknown", "unknown"
	}
	if len(e.Tasks) > 0 {
		for _, c := range e.Tasks[0].Candidates {
			if c.Excluded == "" {
				r.workers++
			}
		}
		r.workers += e.Tasks[0].Excluded["lower rank"]
	}
	return r
}

func (e ownExplanation) compared() []comparedValue {
	values := []comparedValue{
		{"decision", string(e.Decision)}, {"message", e.Message}, {"ready", fmt.Sprint(e.Ready)}, {"class", e.Class},
		{"configuration version", fmt.Sprint(e.ConfigVersion)}, {"roster version", fmt.Sprint(e.RosterVersion)}, {"evacuated zones", strings.Join(e.EvacuatedZones, " ")},
		{"slots", fmt.Sprint(e.Supply.Slots)}, {"slots in use", fmt.Sprint(e.Supply.Busy)}, {"tasks ahead", fmt.Sprint(e.Ahead.LastTask)},
		{"expected wait", fmt.Sprint(e.Admission.ExpectedWaitMS, " ms")}, {"quota", fmt.Sprint(e.Admission.Quota)}, {"overloaded", fmt.Sprint(e.Admission.Overloaded)},
	}
	for _, t := range e.Tasks {
		values = append(values, comparedValue{fmt.Sprintf("task %d", t.Index), cmp.Or(t.Worker, t.Rule)})
	}
	if len(e.Tasks) == 0 {
		return values
	}
	for _, c := range e.Tasks[0].Candidates {
		values = append(values, comparedValue{"worker " + c.Worker + " state", cmp.Or(c.Excluded, "fits")},
			comparedValue{"worker " + c.Worker + " slots", fmt.Sprint(c.Slots)})
	}
	return values
}

func (e ownExplanation) print(std *streams) error {
	read := "never read"
	if e.PlatformAgeMS >= 0 {
		read = fmt.Sprintf("read %d ms ago", e.PlatformAgeMS)
	}
	fmt.Fprintf(std.out, "entry %s in %s, ready: %v, configuration version %d, roster version %d, platform %s\n", e.Entry, e.Zone, e.Ready, e.ConfigVersion, e.RosterVersion, read)
	fmt.Fprintf(std.out, "service %s, type %s, team %s: ", e.Service, e.Type, e.Team)
	std.printDecision(string(e.Decision), e.Message, e.RetryAfterMS)
	fmt.Fprintf(std.out, "class %s; deadline in %d ms", e.Class, e.DeadlineMS)
	if e.ExpectedEndMS > 0 {
		fmt.Fprintf(std.out, "; expected end in %d ms", e.ExpectedEndMS)
	}
	fmt.Fprintf(std.out, "\nqueue ahead: %d tasks wait, %d go before the first and %d before the last task, expected wait %d ms\n", e.Ahead.Waiting, e.Ahead.FirstTask, e.Ahead.LastTask, e.Admission.ExpectedWaitMS)
	fmt.Fprintf(std.out, "capacity: %d slots, %d in use, %d of them by other entries; %d expected for this entry; mean run time %d ms; overloaded: %v\n",
		e.Supply.Slots, e.Supply.Busy, e.Supply.BusyByOthers, e.Admission.ExpectedSlots, e.Supply.RunTimeMS, e.Admission.Overloaded)
	if e.Admission.Quota > 0 {
		fmt.Fprintf(std.out, "quota: %d tasks of the team in progress, this entry's part is %d of %d\n", e.Admission.InProgress, e.Admission.Share, e.Admission.Quota)
	}
	if len(e.EvacuatedZones) > 0 {
		fmt.Fprintf(std.out, "evacuated zones: %s\n", strings.Join(e.EvacuatedZones, " "))
	}
	for _, t := range e.Tasks {
		fmt.Fprintf(std.out, "\ntask %d: %s (%s)\n", t.Index, cmp.Or(t.Worker, "none"), t.Rule)
		if err := std.printRankedCandidates(t.Candidates); err != nil {
			return err
		}
		std.printMoreWorkers(t.Excluded)
	}
	std.printMoreTasks(e.TotalTasks, len(e.Tasks))
	return nil
}

func (std *streams) printRankedCandidates(candidates []placement.Candidate) error {
	if len(candidates) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(std.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "  WORKER\tZONE\tSTATE\tFREE\tSLOWDOWN\tSAME ZONE\tSLOTS\tOWN\tOTHERS\tPENALTY\tFAILS\tLIMIT\tREPORT")
	for _, c := range candidates {
		state := cmp.Or(c.Excluded, "fits")
		if c.Chosen {
			state = "chosen"
		}
		if c.EjectedMS > 0 {
			state += fmt.Sprintf(" (%d ms)", c.EjectedMS)
		}
		limit := "none"
		if c.ReadmissionLimit > 0 {
			limit = fmt.Sprint(c.ReadmissionLimit)
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\t%d\tx%.2f\t%v\t%d\t%d\t%.1f\t%d\t%.0f%%\t%s\t%d ms ago\n", c.Worker, c.Zone, state, c.RankedFree, c.Slowdown, c.SameZone,
			c.Slots, c.Own, c.Others, c.Penalty, 100*c.FailureRate, limit, c.ReportAgeMS)
	}
	return t.Flush()
}
