package entry

import (
	"slices"
	"time"
)

// workerReturnTimeout is how long after a worker stopped accepting tasks it counts as one
// that is about to accept them again. Agents redial an entry after 3 s at most, and an
// agent that finds its backend server down checks it again within its health interval.
const workerReturnTimeout = 5 * time.Second

// restartAwaitInterval is the least time between two restarts of an agent that each make its
// worker count as about to return, while the worker accepts no tasks in between. Otherwise
// jobs would wait in vain for an agent that restarts again and again.
const restartAwaitInterval = time.Minute

// knownWorker is what an entry knows of a worker across the connections and incarnations
// of its agent. It is kept for workerReturnTimeout after the connection is lost.
type knownWorker struct {
	agent uint64
	zone  string
	// services are those that the agent named last. A restarted agent names none until
	// its backend server has announced itself.
	services  []string
	connected bool
	// unavailableSince is when the worker stopped accepting tasks, or when the
	// configuration began to permit them although it didn't accept any; zero while it
	// accepts tasks.
	unavailableSince time.Time
	// restartAwaited is when a restart of the agent last set unavailableSince; zero once the
	// worker has accepted tasks.
	restartAwaited time.Time
	// configVersion is that of the configuration that the agent had at its last report.
	configVersion uint64
}

// outlook says which workers of a service there are besides those that accept tasks.
type outlook struct {
	// evacuated is set if a worker is in an evacuated zone, elsewhere if another one may
	// serve the service by the configuration, whether or not it accepts tasks now.
	evacuated, elsewhere bool
	// returnUntil is until when a worker outside evacuated zones is expected to accept
	// tasks again.
	returnUntil time.Time
}

// recordWorker updates what is known of a worker after a change of its agent.
func (ls *loopState) recordWorker(ag *agentState, now time.Time) {
	w := ls.workers[ag.worker]
	if w == nil {
		w = &knownWorker{}
		ls.workers[ag.worker] = w
	}
	before := *w
	if w.agent != ag.id && !w.unavailableSince.IsZero() && now.Sub(w.restartAwaited) >= restartAwaitInterval {
		w.unavailableSince, w.restartAwaited = now, now
	}
	w.agent, w.zone, w.connected, w.configVersion = ag.id, ag.zone, ag.conn != nil, ag.load.ConfigVersion
	if len(ag.services) > 0 {
		w.services = ag.services
	}
	switch {
	case w.connected && !ag.load.Leaving && len(ag.services) > 0:
		w.unavailableSince, w.restartAwaited = time.Time{}, time.Time{}
	case w.unavailableSince.IsZero():
		w.unavailableSince = now
	}
	if w.zone != before.zone || !slices.Equal(w.services, before.services) || w.configVersion != before.configVersion || !w.unavailableSince.Equal(before.unavailableSince) {
		clear(ls.outlooks)
	}
}

// forgetWorkers removes the workers whose agents haven't reconnected.
func (ls *loopState) forgetWorkers(now time.Time) {
	for name, w := range ls.workers {
		if !w.connected && now.Sub(w.unavailableSince) >= workerReturnTimeout {
			delete(ls.workers, name)
			clear(ls.outlooks)
		}
	}
}

// setPermitted sets which workers the configuration permits to serve which services.
func (ls *loopState) setPermitted(permitted func(worker, zone, service string) bool, now time.Time) {
	for name, w := range ls.workers {
		if w.unavailableSince.IsZero() {
			continue
		}
		if slices.ContainsFunc(w.services, func(s string) bool { return permitted(name, w.zone, s) && !ls.permitted(name, w.zone, s) }) {
			w.unavailableSince = now
		}
	}
	ls.permitted = permitted
	clear(ls.outlooks)
	ls.placement.SetAllowedWorkers(permitted)
}

func (ls *loopState) outlook(service string) outlook {
	if o, ok := ls.outlooks[service]; ok {
		return o
	}
	var o outlook
	// Without an evacuation, only workers that may have refused tasks because of a former
	// configuration are awaited.
	var returnUntil, configuredUntil time.Time
	for name, w := range ls.workers {
		switch {
		case !slices.Contains(w.services, service):
		case ls.config.Evacuated(w.zone):
			o.evacuated = true
		case ls.permitted(name, w.zone, service):
			o.elsewhere = true
			if w.unavailableSince.IsZero() {
				continue
			}
			until := w.unavailableSince.Add(workerReturnTimeout)
			returnUntil = later(returnUntil, until)
			if w.configVersion < ls.config.Version {
				configuredUntil = later(configuredUntil, until)
			}
		}
	}
	o.returnUntil = configuredUntil
	if o.evacuated {
		o.returnUntil = returnUntil
	}
	ls.outlooks[service] = o
	return o
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// workerReturns reports whether a worker of the service outside evacuated zones is expected
// to accept tasks soon: its connection broke, its agent restarts or doesn't have the present
// configuration yet, or its backend server missed health checks for a moment. The other
// workers of a service can't stand in for it while their zones are evacuated. Ejected
// workers count if their ejection ends within maxBlockedWait.
func (ls *loopState) workerReturns(service string, now time.Time) bool {
	o := ls.outlook(service)
	if now.Before(o.returnUntil) {
		return true
	}
	if !o.evacuated || !o.elsewhere {
		return false
	}
	end, ejected := ls.placement.EjectionEnd(service)
	return ejected && end.Sub(now) <= maxBlockedWait
}

// onlyEvacuatedWorkers reports whether all workers that serve the service, or that may be
// about to, are in evacuated zones.
func (ls *loopState) onlyEvacuatedWorkers(service string, now time.Time) bool {
	return ls.ready && !ls.outlook(service).elsewhere && !ls.anyAgentStarting(now)
}
