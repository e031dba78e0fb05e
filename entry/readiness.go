package entry

import (
	"time"

	"github.com/sesamelift/sesamelift/api"
)

const (
	// agentConnectTimeout bounds how long a joining entry waits for the registered
	// agents to connect and to name their services before it is ready.
	agentConnectTimeout = 3 * time.Second
	// serviceReportTimeout is how long after its connection an agent without
	// services counts as one whose backend server is about to announce itself.
	serviceReportTimeout = 2 * time.Second
)

// checkReady makes the entry ready once it has a configuration and the registered agents
// have connected and named their services, or readyDeadline has passed, so that a restarted
// entry does not refuse jobs because their service or its workers are not known yet.
func (ls *loopState) checkReady() {
	if ls.ready || !ls.agentsRead || ls.draining || ls.removed {
		return
	}
	serving := 0
	for _, id := range ls.agentByWorker {
		if ag := ls.agents[id]; ag != nil && len(ag.services) > 0 {
			serving++
		}
	}
	if ls.config.Version > 0 && serving >= ls.registeredAgents || !ls.now().Before(ls.readyDeadline) {
		ls.ready = true
		ls.e.notReady.Store("")
		ls.e.log.WithField("workers", len(ls.agentByWorker)).WithField("serving", serving).Info("ready")
	}
}

// awaitsWorkers reports whether a job has to wait because no worker of its service
// accepts tasks, although one may be about to connect, to announce itself or to return:
// peers forward jobs to a new entry as soon as it is in the roster.
func (ls *loopState) awaitsWorkers(r *request, now time.Time) bool {
	if !r.blockedUntil.IsZero() && !now.Before(r.blockedUntil) {
		return false
	}
	if ls.draining || ls.removed || ls.checkType(r.sub) != nil {
		return false
	}
	return ls.serviceAwaitsWorkers(r.sub.Service, now)
}

// serviceAwaitsWorkers reports whether no worker of a service accepts tasks, although one
// may be about to. Within retryBlocked it computes this once for each service, since it
// takes about 10 µs with 890 workers and each tick handles all waiting jobs again.
func (ls *loopState) serviceAwaitsWorkers(service string, now time.Time) bool {
	if awaited, ok := ls.awaited[service]; ok {
		return awaited
	}
	awaited := ls.supply(service).Slots == 0 && (!ls.ready || ls.anyAgentStarting(now) || ls.workerReturns(service, now))
	if ls.awaited != nil {
		ls.awaited[service] = awaited
	}
	return awaited
}

// anyAgentStarting reports whether an agent connected within serviceReportTimeout and
// has not named a service yet.
func (ls *loopState) anyAgentStarting(now time.Time) bool {
	for _, ag := range ls.agents {
		if ag.conn != nil && len(ag.services) == 0 && !ls.config.Evacuated(ag.zone) && now.Sub(ag.connectedAt) < serviceReportTimeout {
			return true
		}
	}
	return false
}

// refuseToWait returns the refusal of a job that would have to wait for workers, or nil if
// it may wait. Waiting jobs have the limits of accepted ones, to which admission can't hold
// them before a worker is known.
func (ls *loopState) refuseToWait(s *api.Submission) *api.Verdict {
	if ls.awaitingTasks+len(s.Tasks) <= ls.e.options.Settings.MaxQueuedTasks &&
		ls.jobs.RunningBytes()+ls.awaitingBytes+taskBytes(s) <= maxRunningBytes {
		return nil
	}
	v := api.Refuse(api.ReasonOverload, "too many jobs wait for a worker that accepts tasks")
	v.RetryAfter = unavailableRetryAfter
	return v
}

// awaitWorkers lets a job wait until a worker of its service is known, for at most
// maxBlockedWait.
func (ls *loopState) awaitWorkers(r *request, now time.Time) {
	ls.block(r, now)
	r.awaitsWorkers = true
	ls.awaitingTasks += len(r.sub.Tasks)
	ls.awaitingBytes += taskBytes(r.sub)
}

func taskBytes(s *api.Submission) int {
	n := 0
	for _, t := range s.Tasks {
		n += len(t)
	}
	return n
}

// blockedTooLong is the verdict of a request that has waited for maxBlockedWait
// for what earlier owners of its key have started.
func blockedTooLong() *api.Verdict {
	return api.Fail(api.RanMaybe, api.ReasonOwnerChange, "an earlier owner of the key has left, and not all agents have reported what it started")
}
