package bench

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// curve is a named distribution of response times.
type curve struct {
	name  string
	times []time.Duration
}

// curves returns the measured and the ideal distribution of the complete jobs.
func (r *run) curves() []curve {
	idealTimes := idealResponseTimes(r.jobs, speeds, slotsPerWorker)
	measuredCurve, idealCurve := curve{name: r.opts.policy}, curve{name: "ideal"}
	for _, i := range r.measured() {
		if r.complete(i) {
			measuredCurve.times = append(measuredCurve.times, r.outcome(i).responseTime)
			idealCurve.times = append(idealCurve.times, idealTimes[i])
		}
	}
	return []curve{measuredCurve, idealCurve}
}

// minPlotted is the smallest response time in a plot, because a logarithmic axis
// cannot show 0.
const minPlotted = time.Millisecond

// writePlot draws the complementary cumulative distribution of the response times.
// Both axes are logarithmic, to show the tail.
func writePlot(file string, s *scenario, curves []curve) error {
	p := plot.New()
	p.Title.Text = "Response times, scenario " + s.name
	p.X.Label.Text = "response time [ms]"
	p.Y.Label.Text = "share of jobs that took longer"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	idealDrawn := false
	for _, c := range curves {
		if len(c.times) == 0 || c.name == "ideal" && idealDrawn {
			continue
		}
		idealDrawn = idealDrawn || c.name == "ideal"
		if err := plotutil.AddLines(p, c.name, c.points()); err != nil {
			return errors.Wrap(err, "draw response time distribution")
		}
	}
	return errors.Wrap(p.Save(20*vg.Centimeter, 12*vg.Centimeter, file), "write plot")
}

func (c *curve) points() plotter.XYs {
	slices.Sort(c.times)
	points := make(plotter.XYs, len(c.times))
	for i, t := range c.times {
		points[i].X = float64(max(t, minPlotted)) / float64(time.Millisecond)
		points[i].Y = math.Max(float64(len(c.times)-i), 0.5) / float64(len(c.times))
	}
	return points
}
