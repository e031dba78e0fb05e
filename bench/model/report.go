package model

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// windowLength is the length of the periods for which results are reported.
const windowLength = 2 * time.Second

// maxEntryRows is the number of entries up to which a report has a row for each of them.
const maxEntryRows = 16

// Counts tells how jobs ended. Shares are of the jobs whose callers waited for an answer.
type Counts struct {
	Name string `json:"name"`
	// Jobs are those that callers submitted, Left those that their callers cancelled.
	Jobs    int `json:"jobs"`
	Left    int `json:"left"`
	OnTime  int `json:"on_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Worth is the share of the worth that was answered, where late answers count less.
	Worth float64 `json:"worth"`
	// OnTimeShare is the share of the jobs that were on time.
	OnTimeShare float64 `json:"on_time_share"`
	// P50MS and P99MS are response times of completed jobs.
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
	// Waiting is the mean number of jobs that wait at an entry. It is set in
	// Result.ByEntry.
	Waiting float64 `json:"waiting,omitempty"`

	asked, earned float64
	times         *hdrhistogram.Histogram
}

// Load is the use of processors by one kind of process.
type Load struct {
	// USPerJob is the processor time of all of them per job, in microseconds.
	USPerJob float64 `json:"us_per_job"`
	// BusiestShare is the largest share of its processor that one of them used.
	BusiestShare float64 `json:"busiest_share"`
}

// Result is the result of a run.
type Result struct {
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
	All      Counts   `json:"all"`
	Kinds    []Counts `json:"kinds"`
	// Windows are named by their start in seconds.
	Windows []Counts `json:"windows"`
	// ByEntry counts each job at the entry to which it was sent last.
	ByEntry []Counts `json:"by_entry"`
	// RefusedSpread and LateSpread tell how unequally the entries serve: the largest less
	// the smallest share of the jobs of an entry that were refused, or late, as the mean
	// over the windows.
	RefusedSpread float64 `json:"refused_spread"`
	LateSpread    float64 `json:"late_spread"`
	// UpperBound is a share of the worth that no dispatcher can answer on time, and
	// Reference the share that a simple schedule with perfect knowledge answers on time.
	UpperBound float64 `json:"upper_bound"`
	Reference  float64 `json:"reference"`

	MessagesPerTask float64 `json:"messages_per_task"`
	// CrossZoneMB is the traffic between entries and agents of different availability
	// zones, in megabytes.
	CrossZoneMB float64 `json:"cross_zone_mb"`
	Entries     Load    `json:"entries"`
	Agents      Load    `json:"agents"`
	RunsDone    int     `json:"runs_done"`
	RunsFailed  int     `json:"runs_failed"`
	RunsStopped int     `json:"runs_stopped"`
	RunsLost    int     `json:"runs_lost"`
	// WastedCoreS is the work of runs that were not completed, in core-seconds.
	WastedCoreS float64 `json:"wasted_core_s"`
	// Overlaps counts runs of a task that began while another run of it went on; it must
	// be 0.
	Overlaps int `json:"overlaps"`
}

func newCounts(name string) Counts {
	return Counts{Name: name, times: hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
}

func (c *Counts) add(r *jobRun) {
	c.Jobs++
	kind := r.spec.kind
	switch r.outcome {
	case Left:
		c.Left++
		return
	case OnTime:
		c.OnTime++
		c.earned += kind.Worth
	case Late:
		c.Late++
		c.earned += kind.Worth * kind.LateWorth
	case Refused:
		c.Refused++
	default:
		c.Failed++
	}
	c.asked += kind.Worth
	if r.outcome == OnTime || r.outcome == Late {
		// The histogram covers an hour, which no caller waits for.
		_ = c.times.RecordValue((r.answeredAt - r.spec.sentAt).Microseconds())
	}
}

func (c *Counts) finish() {
	c.Worth = c.earned / max(c.asked, 1e-9)
	c.OnTimeShare = float64(c.OnTime) / float64(max(c.Jobs-c.Left, 1))
	c.P50MS = float64(c.times.ValueAtQuantile(50)) / 1000
	c.P99MS = float64(c.times.ValueAtQuantile(99)) / 1000
}

func (s *simulation) result() *Result {
	out := &Result{
		Scenario: s.scenario.Name, Seed: s.seed, All: newCounts("all"), UpperBound: s.upperBound(), Reference: s.reference(),
		RunsDone: s.runsDone, RunsFailed: s.runsFailed, RunsStopped: s.runsStopped, RunsLost: s.runsLost,
		WastedCoreS: s.wastedWork.Seconds(), Overlaps: s.overlaps, CrossZoneMB: float64(s.crossZoneBytes) / 1e6,
		MessagesPerTask: float64(s.messages) / float64(max(s.starts, 1)),
	}
	for i := range s.scenario.Kinds {
		out.Kinds = append(out.Kinds, newCounts(s.scenario.Kinds[i].Name))
	}
	for from := time.Duration(0); from < milliseconds(s.scenario.DurationMS); from += windowLength {
		out.Windows = append(out.Windows, newCounts(fmt.Sprintf("%.0f s", from.Seconds())))
	}
	for _, r := range s.order {
		out.All.add(r)
		for i := range s.scenario.Kinds {
			if r.spec.kind == &s.scenario.Kinds[i] {
				out.Kinds[i].add(r)
			}
		}
		out.Windows[(r.spec.sentAt-warmUp)/windowLength].add(r)
	}
	s.countByEntry(out)
	out.All.finish()
	for i := range out.Kinds {
		out.Kinds[i].finish()
	}
	for i := range out.Windows {
		out.Windows[i].finish()
	}
	for _, e := range s.entries {
		out.Entries.add(&e.process, s.engine.now, len(s.order))
	}
	for _, a := range s.agents {
		out.Agents.add(&a.process, s.engine.now, len(s.order))
	}
	return out
}

// countByEntry sets what Result says of single entries.
func (s *simulation) countByEntry(out *Result) {
	windows := make([][]Counts, len(out.Windows))
	for i, e := range s.entries {
		c := newCounts(e.name)
		c.Waiting = float64(e.waitingSum) / float64(milliseconds(s.scenario.DurationMS)/entryTick)
		out.ByEntry = append(out.ByEntry, c)
		for w := range windows {
			windows[w] = append(windows[w], newCounts(s.entries[i].name))
		}
	}
	for _, r := range s.order {
		if r.entry != nil {
			out.ByEntry[r.entry.index].add(r)
			windows[(r.spec.sentAt-warmUp)/windowLength][r.entry.index].add(r)
		}
	}
	for i := range out.ByEntry {
		out.ByEntry[i].finish()
	}
	for _, entries := range windows {
		out.RefusedSpread += spread(entries, func(c *Counts) int { return c.Refused }) / float64(len(windows))
		out.LateSpread += spread(entries, func(c *Counts) int { return c.Late }) / float64(len(windows))
	}
}

// spread returns the largest less the smallest share of the jobs that count gives.
func spread(entries []Counts, count func(*Counts) int) float64 {
	low, high := 1.0, 0.0
	for i := range entries {
		if c := &entries[i]; c.Jobs > 0 {
			share := float64(count(c)) / float64(c.Jobs)
			low, high = min(low, share), max(high, share)
		}
	}
	return max(high-low, 0)
}

func (l *Load) add(p *process, elapsed time.Duration, jobs int) {
	l.USPerJob += float64(p.used.Microseconds()) / float64(max(jobs, 1))
	l.BusiestShare = max(l.BusiestShare, p.used.Seconds()/p.cores/elapsed.Seconds())
}

// Write writes a result as text.
func (r *Result) Write(out io.Writer) {
	fmt.Fprintf(out, "%s, seed %d: %.3f of the worth answered; on time at most %.3f, with perfect knowledge %.3f\n",
		r.Scenario, r.Seed, r.All.Worth, r.UpperBound, r.Reference)
	fmt.Fprintf(out, "%-16s %8s %8s %6s %8s %7s %6s %6s %9s %9s\n", "", "jobs", "on time", "late", "refused", "failed", "left", "worth", "p50 ms", "p99 ms")
	rows := append([]Counts{r.All}, r.Kinds...)
	for _, c := range append(rows, r.Windows...) {
		fmt.Fprintf(out, "%-16s %8d %8d %6d %8d %7d %6d %6.3f %9.1f %9.1f\n",
			c.Name, c.Jobs, c.OnTime, c.Late, c.Refused, c.Failed, c.Left, c.Worth, c.P50MS, c.P99MS)
	}
	if len(r.ByEntry) <= maxEntryRows {
		for _, c := range r.ByEntry {
			fmt.Fprintf(out, "%-16s %8d %8d %6d %8d %7d %6d %6.3f %9.1f %9.1f  %.1f jobs waiting\n",
				c.Name, c.Jobs, c.OnTime, c.Late, c.Refused, c.Failed, c.Left, c.Worth, c.P50MS, c.P99MS, c.Waiting)
		}
	}
	fmt.Fprintf(out, "difference between entries: refused %.3f, late %.3f\n", r.RefusedSpread, r.LateSpread)
	fmt.Fprintf(out, "runs: %d done, %d failed, %d stopped, %d lost with their worker, %d overlapping; %.1f core-seconds wasted\n",
		r.RunsDone, r.RunsFailed, r.RunsStopped, r.RunsLost, r.Overlaps, r.WastedCoreS)
	fmt.Fprintf(out, "%.2f messages a task, %.1f MB between zones; processor: entries %.0f us a job, busiest %.2f; agents %.0f us a job, busiest %.2f\n",
		r.MessagesPerTask, r.CrossZoneMB, r.Entries.USPerJob, r.Entries.BusiestShare, r.Agents.USPerJob, r.Agents.BusiestShare)
}

// writePlot draws the share of the worth that was answered, over time, for named results.
func writePlot(file string, names []string, results []*Result) error {
	p := plot.New()
	p.Title.Text = "Worth answered, scenario " + results[0].Scenario
	p.X.Label.Text = "time of submission [s]"
	p.Y.Label.Text = "share of the worth"
	p.Y.Min, p.Y.Max = 0, 1
	p.Add(plotter.NewGrid())
	for i, r := range results {
		points := make(plotter.XYs, len(r.Windows))
		for k, w := range r.Windows {
			points[k].X, points[k].Y = float64(k)*windowLength.Seconds(), w.Worth
		}
		if err := plotutil.AddLinePoints(p, names[i], points); err != nil {
			return errors.Wrap(err, "draw worth over time")
		}
	}
	return errors.Wrap(p.Save(20*vg.Centimeter, 12*vg.Centimeter, file), "write plot")
}
