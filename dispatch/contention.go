package dispatch

import (
	"time"

	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/interference"
	"github.com/sesamelift/sesamelift/link"
)

// maxContention bounds the factor by which the cost of a worker rises because of the kinds
// of tasks that run there.
const maxContention = 4

// contentionReported applies what a report says of kinds of tasks that slow each other
// down.
func (s *Scheduler) contentionReported(now time.Duration, w *worker, r *link.Report) {
	w.running = nil
	for _, k := range r.Running[:min(len(r.Running), s.maxRunningKinds)] {
		if len(k.Kind) <= interference.MaxKindLength {
			w.running = append(w.running, k)
		}
	}
	if len(r.Pairs) == 0 {
		return
	}
	list := make([]interference.Summary, 0, len(r.Pairs))
	for _, p := range r.Pairs {
		list = append(list, interference.Summary{
			Pair: interference.Pair{Kind: p.Kind, Neighbor: p.Neighbor},
			Sums: interference.Sums{XX: float64(p.XX), XY: float64(p.XY), Residual: float64(p.Residual), Freedom: float64(p.Freedom)},
		})
	}
	s.logPairs(s.pairs.Update(now, w.name, s.agentsLike(w), list))
}

// askForKinds asks an agent that has connected to report the tasks of the kinds that the
// operator keeps apart. Most of them are those of other entries, and agents report only kinds
// that seem to slow each other down otherwise.
func (s *Scheduler) askForKinds(w *worker) {
	if kinds := s.pairs.KeptApartKinds(); len(kinds) > 0 {
		s.command(w).CountKinds = kinds
	}
}

// agentsLike counts the connected agents of a worker's service, up to 2.
func (s *Scheduler) agentsLike(w *worker) int {
	n := 0
	for _, other := range s.workersByName {
		if other.connected && other.state.Service == w.state.Service {
			if n++; n == 2 {
				break
			}
		}
	}
	return n
}

// logPairs logs which pairs begin or cease to count.
func (s *Scheduler) logPairs(changes []interference.Change) {
	for _, c := range changes {
		s.pairChanges++
		message := "kinds of tasks are no longer kept apart"
		if c.Counts {
			message = "kinds of tasks are kept apart"
		}
		s.log(decisions.Info(message, "queue", c.Kind, "slowed_by", c.Neighbor, "factor", c.Factor, "confidence", c.Confidence))
	}
}

// keepsApart reports whether kinds that slow each other down are to be kept apart in a
// service at present. While free capacity is scarce it is better to start a task beside any
// other than to leave it waiting.
func (s *Scheduler) keepsApart(service string) bool {
	return s.pairs.Counting() > 0 && s.opts.Policy.ContentionWeight > 0 && s.freeShare(service) >= s.opts.Policy.ScarceFreeShare
}

// pairsOf returns the pairs that count for a task. Most pairs of a long list are those of other
// kinds, and each is compared with each worker.
func (s *Scheduler) pairsOf(t *task) []interference.Counted {
	var pairs []interference.Counted
	for _, p := range s.pairs.Counted() {
		if p.Kind == t.job.Queue || p.Neighbor == t.job.Queue {
			pairs = append(pairs, p)
		}
	}
	return pairs
}

// contention returns the factor by which the cost of a worker rises because of the kinds of
// tasks that run there: the slowdown of the task, times one plus that which it causes to
// each of them. A kind that is there already causes its slowdown without the task.
// pairs are those that count and have the kind of the task.
func (s *Scheduler) contention(t *task, w *worker, pairs []interference.Counted) float64 {
	if len(w.tasks)+len(w.running) == 0 {
		return 1
	}
	kind := t.job.Queue
	own, harm := 1.0, 0.0
	for _, p := range pairs {
		if p.Kind == kind && w.countOf(p.Neighbor) > 0 {
			own *= p.Factor
		}
		if p.Neighbor == kind && w.countOf(kind) == 0 {
			harm += (p.Factor - 1) * float64(w.countOf(p.Kind))
		}
	}
	return min(1+s.opts.Policy.ContentionWeight*(own*(1+harm)-1), maxContention)
}

// countOf returns the number of tasks of a kind on the worker: those that the agent has
// reported, or those of this entry if they are more.
func (w *worker) countOf(kind string) int {
	own, reported := 0, 0
	for _, t := range w.tasks {
		if t.job.Queue == kind {
			own++
		}
	}
	for _, r := range w.running {
		if r.Kind == kind {
			reported = int(r.Count)
		}
	}
	return max(own, reported)
}
