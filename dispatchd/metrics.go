package dispatchd

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/dispatch"
)

// latencyBuckets cover job times from the shortest jobs to the longest
// deadlines.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(20*time.Millisecond, 1.5, 14)

// waitBuckets cover waits in event loops and on the network, from those that matter to none
// to those that end the runs of an entry.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 10)

type metrics struct {
	starts          tally.Counter
	stops           tally.Counter
	connectionsLost tally.Counter
	// The gauges and the counters next to them are set from dispatch.Stats.
	jobs, waitingJobs, workersConnected, workersActive, lag tally.Gauge
	startsRefused, leaveMoves, leaveLosses                  tally.Counter
	evacuatedZones                                          tally.Gauge
	evacuationRefusals, hopelessRefusals, spareJobs         tally.Counter
	unservableRefusals                                      tally.Counter
	interferingPairs                                        tally.Gauge
	pairChanges                                             tally.Counter
	membersRefused                                          tally.Counter
	cancelInquiries, cancelRequests, cancelsUnresolved      tally.Counter
	cancelNoticesLate                                       tally.Counter
	// eventWait is the time between the posting of an event and its handling.
	eventWait tally.Histogram

	latency      map[api.Outcome]tally.Histogram
	answers      map[api.Reason]tally.Counter
	otherAnswers tally.Counter
}

// countedReasons are the reasons with their own label value; all others count
// as "other".
var countedReasons = []api.Reason{
	api.ReasonOK, api.ReasonTaskFailed, api.ReasonOverload, api.ReasonDeadlineExceeded, api.ReasonDeadlinePast,
	api.ReasonCancelled, api.ReasonCancelledByCaller, api.ReasonDraining,
}

func newMetrics(scope tally.Scope) metrics {
	m := metrics{
		starts: scope.Counter("task_starts_total"), stops: scope.Counter("task_stops_total"),
		connectionsLost: scope.Counter("agent_connections_lost_total"),
		jobs:            scope.Gauge("jobs_in_progress"), waitingJobs: scope.Gauge("jobs_waiting"),
		workersConnected: scope.Gauge("workers_connected"), workersActive: scope.Gauge("workers_active"),
		lag: scope.Gauge("event_loop_lag_seconds"), startsRefused: scope.Counter("task_starts_refused_total"),
		interferingPairs: scope.Gauge("interfering_pairs"), pairChanges: scope.Counter("interfering_pair_changes_total"),
		evacuatedZones: scope.Gauge("zones_evacuated"), evacuationRefusals: scope.Counter("jobs_refused_evacuated_total"),
		hopelessRefusals: scope.Counter("jobs_refused_before_cutoff_total"),
		spareJobs:        scope.Counter("jobs_placed_late_total"), unservableRefusals: scope.Counter("jobs_refused_unservable_total"),
		membersRefused: scope.Counter("members_refused_total"),
		leaveMoves:     scope.Counter("leaving_worker_tasks_moved_total"), leaveLosses: scope.Counter("leaving_worker_tasks_lost_total"),
		cancelInquiries: scope.Counter("cancel_inquiries_total"), cancelRequests: scope.Counter("cancel_requests_total"),
		cancelsUnresolved: scope.Counter("cancels_unresolved_total"), cancelNoticesLate: scope.Counter("cancel_notices_late_total"),
		eventWait: scope.Histogram("event_wait_seconds", waitBuckets),
		latency:   map[api.Outcome]tally.Histogram{}, answers: map[api.Reason]tally.Counter{},
		otherAnswers: scope.Tagged(map[string]string{"reason": "other"}).Counter("jobs_answered_total"),
	}
	for _, o := range []api.Outcome{api.Complete, api.Failed} {
		m.latency[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Histogram("job_seconds", latencyBuckets)
	}
	for _, r := range countedReasons {
		m.answers[r] = scope.Tagged(map[string]string{"reason": string(r)}).Counter("jobs_answered_total")
	}
	return m
}

// recordStats sets the metrics that describe the present state, and counts on from the one
// that was last recorded.
func (m *metrics) recordStats(s, last dispatch.Stats, lag time.Duration) {
	m.interferingPairs.Update(float64(s.InterferingPairs))
	m.pairChanges.Inc(s.PairChanges - last.PairChanges)
	m.jobs.Update(float64(s.Jobs))
	m.waitingJobs.Update(float64(s.WaitingJobs))
	m.workersConnected.Update(float64(s.ConnectedWorkers))
	m.workersActive.Update(float64(s.ActiveWorkers))
	m.lag.Update(lag.Seconds())
	m.startsRefused.Inc(s.RefusedStarts - last.RefusedStarts)
	m.leaveMoves.Inc(s.LeaveMoves - last.LeaveMoves)
	m.leaveLosses.Inc(s.LeaveLosses - last.LeaveLosses)
	m.hopelessRefusals.Inc(s.HopelessRefusals - last.HopelessRefusals)
	m.spareJobs.Inc(s.SpareJobs - last.SpareJobs)
	m.unservableRefusals.Inc(s.UnservableRefusals - last.UnservableRefusals)
	m.evacuatedZones.Update(float64(s.EvacuatedZones))
	m.evacuationRefusals.Inc(s.EvacuationRefusals - last.EvacuationRefusals)
}

func (m *metrics) recordAnswer(v *api.Verdict, took time.Duration) {
	if h := m.latency[v.Outcome]; h != nil {
		h.RecordDuration(took)
	}
	if c := m.answers[v.Reason]; c != nil {
		c.Inc(1)
		return
	}
	m.otherAnswers.Inc(1)
}

func formatVersion(v uint64) string { return strconv.FormatUint(v, 10) }
