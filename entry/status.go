package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/ingress"
	"github.com/sesamelift/sesamelift/version"
)

// Status implements ingress.Service.
func (e *Entry) Status(ctx context.Context) *ingress.Status {
	s, ok := postAndWait(ctx, e, func(ls *loopState) *ingress.Status { return ls.status() })
	if !ok {
		s = &ingress.Status{}
	}
	s.Entry, s.Incarnation, s.Zone, s.Version = e.self.Name, e.self.Incarnation, e.self.Zone, version.String()
	s.NotReady = e.NotReadyReason()
	s.Ready = s.NotReady == ""
	lastSuccess, err := e.health.last()
	s.PlatformReachable = err == nil && !lastSuccess.IsZero()
	if !lastSuccess.IsZero() {
		s.PlatformLastReached = lastSuccess.UTC().Format(time.RFC3339)
	}
	s.Advice = append(advice(s), s.Advice...)
	if len(s.Advice) == 0 {
		s.Advice = []string{"nothing"}
	}
	return s
}

func advice(s *ingress.Status) []string {
	var out []string
	if !s.PlatformReachable {
		out = append(out, "the platform cannot be reached: check platform_address and the platform; jobs continue, but entries, agents and configuration cannot change")
	}
	if s.ConfigVersion == 0 {
		out = append(out, "no configuration is in effect: apply a sheet with `sesamelift sheet apply`")
	}
	if s.Workers == 0 {
		out = append(out, "no worker is connected: start sesamelift-agent on the hosts of the backend servers")
	}
	for _, u := range s.Unresolved {
		if len(u.Workers) == 0 {
			out = append(out, fmt.Sprintf("keys of the former entry incarnation %d wait until this entry has read the list of agents: check the platform if this lasts", u.Incarnation))
			continue
		}
		out = append(out, fmt.Sprintf("keys of the former entry incarnation %d wait for the agents of %s: check these hosts; if a host is switched off for good, run `sesamelift workers -retire NAME`, never for a host that may still run", u.Incarnation, strings.Join(u.Workers, ", ")))
	}
	return out
}

func (ls *loopState) status() *ingress.Status {
	s := &ingress.Status{
		RosterVersion: ls.rosterVersion(), ConfigVersion: ls.config.Version, Workers: len(ls.agentByWorker),
		Jobs: ls.jobs.Running(), QueuedTasks: ls.queue.Len(), Queued: []ingress.QueuedTasks{}, Entries: []string{},
	}
	if r := ls.resolver.Roster(); r != nil {
		for _, m := range r.Members {
			s.Entries = append(s.Entries, m.Name)
		}
	}
	for k, n := range ls.queuedTasks {
		s.Queued = append(s.Queued, ingress.QueuedTasks{Service: k[0], Team: k[1], Tasks: n})
	}
	slices.SortFunc(s.Queued, func(a, b ingress.QueuedTasks) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
	})
	s.EvacuatedZones = ls.evacuatedZones()
	s.Advice = ls.workerAdvice()
	for _, f := range ls.resolver.Pending().Fences {
		s.Unresolved = append(s.Unresolved, ingress.UnresolvedFence{Incarnation: f.Incarnation, Workers: f.Workers})
	}
	return s
}

// evacuatedZones returns the evacuated zones with the tasks that still run there, by
// the last report of each agent.
func (ls *loopState) evacuatedZones() []ingress.EvacuatedZone {
	var out []ingress.EvacuatedZone
	for _, name := range ls.config.EvacuatedZones {
		z := ingress.EvacuatedZone{Zone: name}
		for _, ag := range ls.agents {
			if ag.conn != nil && ag.zone == name {
				z.Workers++
				z.Running += int(ag.load.Running)
			}
		}
		out = append(out, z)
	}
	return out
}

// maxWorkerAdvice bounds the number of workers listed, since all workers of an
// availability zone may fail at once.
const maxWorkerAdvice = 20

// workerAdvice lists the workers that are not connected or are ejected, with
// what to check.
func (ls *loopState) workerAdvice() []string {
	var out []string
	if ls.everyWorkerEvacuated() {
		out = append(out, "every connected worker is in an evacuated zone, so all jobs are refused: restore a zone with `sesamelift evacuate -restore ZONE`")
	}
	for _, w := range ls.config.Workers {
		if _, connected := ls.agentByWorker[w.Name]; !connected && !w.Drain {
			out = append(out, fmt.Sprintf("worker %s of the configuration is not connected: check its host and sesamelift-agent there, or drain it in the sheet", w.Name))
		}
	}
	for _, st := range ls.placement.Agents(ls.now()) {
		if st.Ejected {
			out = append(out, fmt.Sprintf("worker %s gets no tasks for now (%s): check its backend server", st.Worker, st.EjectionReason))
		}
	}
	if n := len(out) - maxWorkerAdvice; n > 0 {
		out = append(out[:maxWorkerAdvice], fmt.Sprintf("%d more workers need attention, see `sesamelift workers`", n))
	}
	return out
}

func (ls *loopState) everyWorkerEvacuated() bool {
	for _, id := range ls.agentByWorker {
		if ag := ls.agents[id]; ag != nil && !ls.config.Evacuated(ag.zone) {
			return false
		}
	}
	return len(ls.agentByWorker) > 0
}

// Workers implements ingress.Service.
func (e *Entry) Workers(ctx context.Context) []ingress.Worker {
	w, _ := postAndWait(ctx, e, func(ls *loopState) []ingress.Worker { return ls.workerList() })
	return w
}

func (ls *loopState) workerList() []ingress.Worker {
	out := []ingress.Worker{}
	for _, st := range ls.placement.Agents(ls.now()) {
		ag := ls.agents[st.ID]
		if ag == nil || ag.conn == nil {
			continue
		}
		w := ingress.Worker{
			Worker: ag.worker, Zone: ag.zone, Incarnation: ag.id, Services: ag.services,
			Slots: int(ag.load.Slots), Running: int(ag.load.Running), Held: int(ag.load.Held),
			Ejected: st.Ejected, Leaving: ag.load.Leaving, ConfigVersion: ag.load.ConfigVersion,
			Evacuated: ls.config.Evacuated(ag.zone),
		}
		if st.Ejected {
			w.EjectionReason = st.EjectionReason
		}
		if cw, ok := ls.config.Worker(ag.worker); ok {
			w.Drained = cw.Drain
		}
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b ingress.Worker) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}
