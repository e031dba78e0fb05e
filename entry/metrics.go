package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/sesamelift/sesamelift/api"
)

// timeBuckets cover the usual run times of tasks, 50 ms to several seconds.
var timeBuckets = tally.DurationBuckets{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}

// metrics holds the metrics of an entry. Only the event loop may use byTeam;
// the counters and gauges are safe for concurrent use.
type metrics struct {
	scope tally.Scope
	// byTeam is keyed by service and team.
	byTeam          map[[2]string]*teamMetrics
	retries         tally.Counter
	settles         tally.Counter
	loadReports     tally.Counter
	fences          tally.Counter
	forwards        tally.Counter
	connectionsLost tally.Counter
	logDropped      tally.Counter
	queued          tally.Gauge
	jobs            tally.Gauge
	agents          tally.Gauge
	ejected         tally.Gauge
	roster          tally.Gauge
	config          tally.Gauge
}

// teamMetrics holds the metrics of one service and team.
type teamMetrics struct {
	scope    tally.Scope
	jobs     tally.Counter
	starts   tally.Counter
	taskWait tally.Histogram
	jobTime  tally.Histogram
}

func newMetrics(s tally.Scope) *metrics {
	return &metrics{
		scope: s, byTeam: map[[2]string]*teamMetrics{},
		retries: s.Counter("task_retries_total"), settles: s.Counter("settle_messages_total"), loadReports: s.Counter("load_messages_total"),
		fences: s.Counter("fence_messages_total"), forwards: s.Counter("forward_messages_total"),
		connectionsLost: s.Counter("agent_connections_lost_total"), logDropped: s.Counter("log_lines_dropped_total"),
		queued: s.Gauge("queued_tasks"), jobs: s.Gauge("jobs_in_progress"), agents: s.Gauge("agents_connected"), ejected: s.Gauge("agents_ejected"),
		roster: s.Gauge("roster_version"), config: s.Gauge("config_version"),
	}
}

// forTeam returns the metrics of a service and team. New jobs with names that
// are not in the configuration are refused earlier, so that callers cannot add
// label values with them.
func (m *metrics) forTeam(service, team string) *teamMetrics {
	k := [2]string{service, team}
	t := m.byTeam[k]
	if t == nil {
		s := m.scope.Tagged(map[string]string{"service": service, "team": team})
		t = &teamMetrics{
			scope: s, jobs: s.Counter("jobs_accepted_total"), starts: s.Counter("task_starts_total"),
			taskWait: s.Histogram("task_wait_seconds", timeBuckets), jobTime: s.Histogram("job_time_seconds", timeBuckets),
		}
		m.byTeam[k] = t
	}
	return t
}

func (t *teamMetrics) recordVerdict(a *api.Answer, took time.Duration) {
	t.scope.Tagged(map[string]string{"verdict": string(a.Verdict), "reason": string(a.Reason)}).Counter("jobs_done_total").Inc(1)
	t.jobTime.RecordDuration(took)
}

func (m *metrics) countRefusal(reason api.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("jobs_refused_total").Inc(1)
}

// updateGauges sets the gauges. It also sends connected agents the updates
// that could not be queued before.
func (ls *loopState) updateGauges() {
	m, connected := ls.e.metrics, 0
	for _, ag := range ls.agents {
		if ag.conn != nil {
			connected++
			ls.pushUpdates(ag)
		}
	}
	ejected := 0
	for _, st := range ls.placement.Agents(ls.now()) {
		if st.Ejected {
			ejected++
		}
	}
	m.ejected.Update(float64(ejected))
	m.queued.Update(float64(ls.queue.Len()))
	m.jobs.Update(float64(ls.jobs.Running()))
	m.agents.Update(float64(connected))
	m.roster.Update(float64(ls.rosterVersion()))
	m.config.Update(float64(ls.config.Version))
}

// verdictRecord holds the fields of the log line for the verdict of a job.
type verdictRecord struct {
	service, typ, team string
	tasks              int
	answer             *api.Answer
	took               time.Duration
}

// logVerdict passes a log line to logLoop, since the event loop must not wait
// for the output. The line is dropped if the queue is full.
func (ls *loopState) logVerdict(s *api.Submission, a *api.Answer, took time.Duration) {
	select {
	case ls.e.verdictLog <- verdictRecord{s.Service, s.Type, s.Team, len(s.Tasks), a, took}:
	default:
		ls.e.metrics.logDropped.Inc(1)
	}
}

// logLoop writes the log lines of verdicts.
func (e *Entry) logLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case v := <-e.verdictLog:
			a := v.answer
			e.log.WithFields(logrus.Fields{
				"key": a.Key.String(), "service": v.service, "type": v.typ, "team": v.team, "tasks": v.tasks,
				"verdict": a.Verdict, "ran": a.Ran, "reason": a.Reason, "message": a.Message,
				"duration_ms": v.took.Milliseconds(), "trace_id": a.TraceID,
			}).Info("verdict")
		}
	}
}
