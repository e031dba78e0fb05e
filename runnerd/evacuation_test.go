package runnerd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/runner"
)

// updates records the updates of a gauge, and the increments of a counter.
type updates []float64

func (u *updates) Update(v float64) { *u = append(*u, v) }

func (u *updates) Inc(n int64) { *u = append(*u, float64(n)) }

// Guards against metrics that are written after each batch of events of the event loop,
// although the zone changes rarely.
func TestEvacuationMetricsAreUpdatedOnChangeOnly(t *testing.T) {
	c := qt.New(t)
	var gauge, counter updates
	a := &Agent{state: runner.New(time.Hour, runner.Options{SilenceTimeout: time.Second}), metrics: metrics{evacuated: &gauge, evacuationRefusals: &counter}}
	a.state.EntryConnected(time.Hour, 1, link.Hello{Entry: "e1"})
	for _, commands := range []*link.Commands{
		{},
		{Evacuation: link.Evacuation{Version: 5, Evacuated: true}},
		{Starts: []link.Start{{}, {}}},
		{Evacuation: link.Evacuation{Version: 6}},
	} {
		a.state.HandleCommands(time.Hour, 1, commands)
		for range 3 {
			a.recordEvacuation()
		}
	}
	c.Assert(gauge, qt.DeepEquals, updates{0, 1, 0})
	c.Assert(counter, qt.DeepEquals, updates{2})
}
