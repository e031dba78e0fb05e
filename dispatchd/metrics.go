package dispatchd

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/api"
)

// latencyBuckets cover job times from the shortest jobs to the longest
// deadlines.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(20*time.Millisecond, 1.5, 14)

type metrics struct {
	starts          tally.Counter
	stops           tally.Counter
	connectionsLost tally.Counter
	latency         map[api.Outcome]tally.Histogram
	answers         map[api.Reason]tally.Counter
	otherAnswers    tally.Counter
}

// countedReasons are the reasons with their own label value; all others count
// as "other".
var countedReasons = []api.Reason{
	api.ReasonOK, api.ReasonTaskFailed, api.ReasonOverload, api.ReasonDeadlineExceeded, api.ReasonDeadlinePast,
	api.ReasonCancelled, api.ReasonDraining,
}

func newMetrics(scope tally.Scope) metrics {
	m := metrics{
		starts: scope.Counter("task_starts_total"), stops: scope.Counter("task_stops_total"),
		connectionsLost: scope.Counter("agent_connections_lost_total"),
		latency:         map[api.Outcome]tally.Histogram{}, answers: map[api.Reason]tally.Counter{},
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
