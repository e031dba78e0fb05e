package dispatch

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

const (
	// evacuationRetryAfter is the Retry-After of a job that only workers of evacuated zones
	// may run. Entries learn within 2 s that the operator has restored a zone.
	evacuationRetryAfter = 2 * time.Second
	// zoneCheckDelay is how long after a zone was evacuated it is checked that it has a
	// worker. A deployment that starts has connected its agents by then.
	zoneCheckDelay = 10 * time.Second
	// evacuationMessage is the message of a job that is refused because of evacuated zones.
	evacuationMessage = "the operator has evacuated zones, and no worker outside them is available for it"
)

// evacuation is the state of the zones that the operator has evacuated.
type evacuation struct {
	// version is that of the store at which the state was read; 0 before the first.
	version uint64
	// since holds, by evacuated zone, when this entry learned of it.
	since map[string]time.Duration
	// unchecked holds the zones that may turn out to have no worker.
	unchecked map[string]bool
	// runnableUntil caches the result of that method. It is cleared whenever a worker changes.
	runnableUntil map[workerKind]time.Duration
	// refusals counts the jobs that were refused because of evacuated zones.
	refusals int64
}

// workerKind is what a step requires of a worker.
type workerKind struct{ service, label string }

// SetEvacuated sets the zones whose workers get no tasks, as read at a version of the
// store. A version that is older than the present one has no effect. Starts that were
// not sent yet are placed again; tasks that have started go on.
func (s *Scheduler) SetEvacuated(now time.Duration, version uint64, zones []string) {
	if version < s.evacuation.version {
		return
	}
	s.evacuation.version = version
	before := s.evacuation.since
	since := make(map[string]time.Duration, len(zones))
	for _, zone := range zones {
		if zone == "" {
			continue
		}
		at, known := before[zone]
		if !known {
			at = now
			s.evacuation.unchecked[zone] = true
		}
		since[zone] = at
	}
	if maps.Equal(before, since) {
		return
	}
	s.evacuation.since = since
	maps.DeleteFunc(s.evacuation.unchecked, func(zone string, _ bool) bool { return !s.isEvacuated(zone) })
	for _, zone := range slices.Sorted(maps.Keys(since)) {
		if _, known := before[zone]; !known {
			s.log(decisions.Info("zone evacuated", "zone", zone, "version", version, "workers", s.workersIn(zone), "tasks", s.tasksIn(zone)))
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(before)) {
		if !s.isEvacuated(zone) {
			s.log(decisions.Info("zone restored", "zone", zone, "version", version, "workers", s.workersIn(zone), "evacuated_ms", (now - before[zone]).Milliseconds()))
		}
	}
	for _, w := range s.workersByName {
		s.updateEvacuated(now, w)
	}
	s.workersChanged()
	// Workers of other zones may have to become active.
	s.nextReview = now
}

func (s *Scheduler) isEvacuated(zone string) bool {
	_, ok := s.evacuation.since[zone]
	return ok
}

func (s *Scheduler) workersIn(zone string) (n int) {
	for _, w := range s.workersByName {
		if w.connected && w.state.Zone == zone {
			n++
		}
	}
	return n
}

// tasksIn returns the number of this entry's tasks on the workers of a zone.
func (s *Scheduler) tasksIn(zone string) (n int) {
	for _, w := range s.workersByName {
		if w.state.Zone == zone {
			n += len(w.tasks)
		}
	}
	return n
}

// updateEvacuated brings worker.evacuated up to date. If it changes, the agent is told.
func (s *Scheduler) updateEvacuated(now time.Duration, w *worker) {
	evacuated := s.isEvacuated(w.state.Zone)
	if w.evacuated == evacuated {
		return
	}
	w.evacuated = evacuated
	if !w.connected {
		return
	}
	if evacuated {
		s.replaceUnsentStarts(now, w)
	}
	if w.zoneReported {
		s.command(w)
	}
}

// zoneReported records that the agent has reported its zone on its present connection. The
// agent may not know that the zone is evacuated.
func (s *Scheduler) zoneReported(now time.Duration, w *worker) {
	w.zoneReported = true
	s.updateEvacuated(now, w)
	if w.evacuated {
		s.command(w)
	}
}

// Evacuation returns the state of a worker's zone for its agent. The version is 0 while the
// agent has not reported the zone on its present connection.
func (s *Scheduler) Evacuation(name string) link.Evacuation {
	if w := s.workers[name]; w != nil && w.connected && w.zoneReported {
		return link.Evacuation{Version: s.evacuation.version, Evacuated: w.evacuated, WorkerRevision: w.state.Revision}
	}
	return link.Evacuation{}
}

// refuseEvacuated refuses a job with a step for which no worker outside evacuated zones is
// available. It returns nil if there is no such step, or while the workers are becoming known
// after the start.
func (s *Scheduler) refuseEvacuated(now time.Duration, j *job) *api.Verdict {
	if !s.blockedByEvacuation(now, j) {
		return nil
	}
	s.evacuation.refusals++
	v := api.Refuse(api.ReasonOverload, evacuationMessage)
	v.RetryAfter = evacuationRetryAfter
	return v
}

func (s *Scheduler) blockedByEvacuation(now time.Duration, j *job) bool {
	if len(s.evacuation.since) == 0 || now-s.opts.StartedAt < warmUpPeriod {
		return false
	}
	return slices.ContainsFunc(j.Steps, func(st Step) bool { return now >= s.runnableUntil(j.Service, &st) })
}

// runnableUntil returns until when a step waits for a worker, as far as evacuated zones are
// concerned: if a worker that may run it is in an evacuated zone, until no other one has been
// available for the restart delay. After that time the entry also places the tasks of a lost
// worker elsewhere; a worker whose connection broke or that restarts is mostly back before.
// Workers that are inactive or full are available.
func (s *Scheduler) runnableUntil(service string, st *Step) time.Duration {
	kind := workerKind{service, st.RequiredLabel}
	if until, ok := s.evacuation.runnableUntil[kind]; ok {
		return until
	}
	evacuated, until := false, time.Duration(0)
	for _, w := range s.workersByName {
		switch {
		case w.state.Service != service || !st.permits(w):
		case w.evacuated:
			evacuated = true
		case w.connected && w.accepting:
			until = math.MaxInt64
		default:
			until = max(until, w.lastAvailable+s.opts.RestartDelay)
		}
	}
	if !evacuated {
		until = math.MaxInt64
	}
	s.evacuation.runnableUntil[kind] = until
	return until
}

// checkZones logs the evacuated zones that turn out to have no worker: the row may name a
// wrong zone.
func (s *Scheduler) checkZones(now time.Duration) {
	if len(s.evacuation.unchecked) == 0 {
		return
	}
	for _, zone := range slices.SortedFunc(maps.Keys(s.evacuation.unchecked), strings.Compare) {
		if now-s.evacuation.since[zone] < zoneCheckDelay {
			continue
		}
		delete(s.evacuation.unchecked, zone)
		if s.workersIn(zone) == 0 {
			s.log(decisions.Warn("evacuated zone has no worker", "zone", zone, "version", s.evacuation.version))
		}
	}
}
