package dispatch

import (
	"maps"
	"slices"

	"github.com/sesamelift/sesamelift/link"
)

// Snapshot is a copy of the state of a Scheduler, on which a decision can be tried. It
// shares nothing with the Scheduler that either of them changes, so it can be used in
// another goroutine.
type Snapshot struct{ s *Scheduler }

// Snapshot copies the state on which the decision about a job with an ID depends. Of the
// answers and attempts that are kept for repeated submissions, only those of this ID are
// copied: there can be thousands of others.
func (s *Scheduler) Snapshot(id string) *Snapshot {
	c := *s
	c.onCandidate, c.onPick, c.byActivation = nil, nil, nil
	// Only Tick reads the rates.
	c.rates = nil
	// Decisions don't read the pending actions but the commands.
	c.pending = Actions{}
	// Nor do they read the sums of pairs, of which there can be thousands.
	c.pairs = s.pairs.CountedOnly()
	c.firstSubmissions, c.lastUrgent = maps.Clone(s.firstSubmissions), maps.Clone(s.lastUrgent)
	c.maxSpeeds, c.largestCapacities = maps.Clone(s.maxSpeeds), maps.Clone(s.largestCapacities)
	c.queues, c.spareSpeeds, c.spareWorkers = maps.Clone(s.queues), maps.Clone(s.spareSpeeds), map[string][]*worker{}
	c.evacuation.since, c.evacuation.unchecked = maps.Clone(s.evacuation.since), maps.Clone(s.evacuation.unchecked)
	c.evacuation.runnableUntil = maps.Clone(s.evacuation.runnableUntil)
	c.cachedAnswers, c.cacheOrder = entryOf(s.cachedAnswers, id)
	c.lastAttempts, c.attemptOrder = entryOf(s.lastAttempts, id)
	c.commands = make(map[string]*Command, len(s.commands))
	for name, command := range s.commands {
		copied := *command
		// Decisions don't read them.
		copied.KnownSpeed, copied.CountKinds = nil, nil
		copied.Starts, copied.Stops, copied.Claims = slices.Clone(command.Starts), slices.Clone(command.Stops), slices.Clone(command.Claims)
		c.commands[name] = &copied
	}
	s.copyWorkersAndJobs(&c)
	return &Snapshot{&c}
}

// entryOf returns a map with the entry of m for an ID, if there is one, and its keys.
func entryOf[V any](m map[string]V, id string) (map[string]V, []string) {
	if v, ok := m[id]; ok {
		return map[string]V{id: v}, []string{id}
	}
	return map[string]V{}, nil
}

// copyWorkersAndJobs gives c copies of the workers, jobs and tasks of s, which refer to each
// other. The steps of jobs and the labels of workers are shared,
// since they don't change.
func (s *Scheduler) copyWorkersAndJobs(c *Scheduler) {
	workers := make([]worker, len(s.workersByName))
	c.workers, c.workersByName = make(map[string]*worker, len(workers)), make([]*worker, len(workers))
	for i, w := range s.workersByName {
		workers[i] = *w
		workers[i].running = slices.Clone(w.running)
		workers[i].tasks = make(map[link.TaskID]*task, len(w.tasks))
		c.workers[w.name], c.workersByName[i] = &workers[i], &workers[i]
	}
	count := 0
	for _, j := range s.jobs {
		count += len(j.tasks)
	}
	// One allocation for all tasks, of which there can be thousands.
	tasks := make([]task, 0, count)
	c.jobs = make(map[string]*job, len(s.jobs))
	for id, j := range s.jobs {
		copied := *j
		copied.unfinished = slices.Clone(j.unfinished)
		copied.tasks = make([]*task, len(j.tasks))
		for i, t := range j.tasks {
			tasks = append(tasks, *t)
			own := &tasks[len(tasks)-1]
			own.job, own.failedOn = &copied, slices.Clone(t.failedOn)
			if t.worker != nil {
				own.worker = c.workers[t.worker.name]
				if t.worker.tasks[t.id] == t {
					own.worker.tasks[t.id] = own
				}
			}
			if t.movesTo != nil {
				own.movesTo = c.workers[t.movesTo.name]
			}
			copied.tasks[i] = own
		}
		c.jobs[id] = &copied
	}
	c.waiting = make([]*job, len(s.waiting))
	for i, j := range s.waiting {
		c.waiting[i] = c.jobs[j.ID]
	}
}
