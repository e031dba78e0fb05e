package agent

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/backend"
	"github.com/sesamelift/sesamelift/wire"
)

// durationBuckets range from 1 ms to 131 s.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

// metrics holds the metrics that the event loop updates. It is safe for concurrent
// use.
type metrics struct {
	scope       tally.Scope
	started     tally.Counter
	busy        tally.Counter
	loadReports tally.Counter
	outcomes    map[wire.Outcome]tally.Counter
	running     tally.Gauge
	held        tally.Gauge
	entries     tally.Gauge
	runTime     tally.Histogram
	holdTime    tally.Histogram
}

func newMetrics(s tally.Scope) *metrics {
	outcome := func(name string) tally.Counter {
		return s.Tagged(map[string]string{"outcome": name}).Counter("tasks_ended_total")
	}
	return &metrics{
		scope:       s,
		started:     s.Counter("tasks_started_total"),
		busy:        s.Counter("starts_busy_total"),
		loadReports: s.Counter("load_reports_total"),
		outcomes: map[wire.Outcome]tally.Counter{
			wire.OutcomeOK: outcome("ok"), wire.OutcomeFailed: outcome("failed"), wire.OutcomeRefused: outcome("not_run"),
		},
		running:  s.Gauge("slots_running"),
		held:     s.Gauge("starts_held"),
		entries:  s.Gauge("entries_connected"),
		runTime:  s.Histogram("task_run_time_seconds", durationBuckets),
		holdTime: s.Histogram("start_hold_time_seconds", durationBuckets),
	}
}

func (m *metrics) recordEnd(r backend.Result) {
	m.outcomes[r.Outcome].Inc(1)
	m.runTime.RecordDuration(r.RunTime)
}

func (m *metrics) recordRefusal(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("starts_refused_total").Inc(1)
}
