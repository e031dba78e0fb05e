package dispatch

import (
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/decisions"
	"github.com/sesamelift/sesamelift/link"
)

const (
	// ratePeriod is how long jobs of a service must have waited without interruption before
	// the rate of their service is known: other entries have adapted to this one by then. The
	// rate is the highest within the last one to two such periods.
	ratePeriod = time.Second
	// hopelessMessage is the message of a job that is refused before its cutoff.
	hopelessMessage = "can't end in time at the present rate"
)

// rate is the rate at which the workers of a service can work for this entry.
type rate struct {
	// since is when the first job began to wait, without a pause until now. It begins anew
	// after a period in which the rate was 0.
	since time.Duration
	// peak is the highest rate since peakSince, previous that of the period before, in
	// millicores of a worker of speed 1.
	peak, previous float64
	peakSince      time.Duration
	// seenAt is the time of the last sample.
	seenAt time.Duration
}

// sample adds a sample and reports whether the rate is known.
func (r *rate) sample(now time.Duration, value float64) bool {
	if now-r.peakSince >= ratePeriod {
		r.previous, r.peak, r.peakSince = r.peak, 0, now
	}
	if r.peak == 0 && r.previous == 0 {
		// After an interruption of all connections, the first agent that is back says little.
		r.since = now
	}
	r.peak, r.seenAt = max(r.peak, value), now
	return now-r.since >= ratePeriod
}

// attainableRate returns the work rate of a service plus that of its free capacity, in
// millicores of a worker of speed 1.
func (s *Scheduler) attainableRate(service string) float64 {
	sum := s.workRate(service)
	for _, w := range s.workersByName {
		if w.usable(service) {
			sum += float64(max(w.available().MilliCPU, 0)) * w.speed
		}
	}
	return sum
}

// updateRates samples the rates of the services that have waiting jobs, forgets those of the
// others, and returns the rates on which a refusal may be based.
func (s *Scheduler) updateRates(now time.Duration) map[string]float64 {
	var known map[string]float64
	for _, j := range s.waiting {
		r := s.rates[j.Service]
		if r != nil && r.seenAt == now {
			continue
		}
		if r == nil {
			r = &rate{since: now, peakSince: now}
			s.rates[j.Service] = r
		}
		if !r.sample(now, s.attainableRate(j.Service)) || !s.isSettledAndScarce(now, j.Service) {
			continue
		}
		if known == nil {
			known = map[string]float64{}
		}
		known[j.Service] = max(r.peak, r.previous)
	}
	for service, r := range s.rates {
		if r.seenAt != now {
			delete(s.rates, service)
		}
	}
	return known
}

// isSettledAndScarce reports whether little capacity of a service is free and no worker of it
// is becoming known or active.
func (s *Scheduler) isSettledAndScarce(now time.Duration, service string) bool {
	return now-s.opts.StartedAt >= warmUpPeriod && s.freeShare(service) < s.opts.Policy.ScarceFreeShare && !s.hasReserve(now, service)
}

// refuseHopeless refuses the jobs of which nothing can have run and that can't end before
// their cutoff at the present rate. The work that is served before must take until the
// cutoff even at Policy.RateMargin times that rate: the run time of the job itself is left
// out, since running tasks free their capacity all at once and not at an even rate.
func (s *Scheduler) refuseHopeless(now time.Duration) {
	rates := s.updateRates(now)
	if len(rates) == 0 {
		return
	}
	var groups [late + 1][]*job
	for _, j := range s.waiting {
		class := s.classify(now, j)
		groups[class] = append(groups[class], j)
	}
	type refusal struct {
		j    *job
		wait time.Duration
	}
	var refusals []refusal
	// ahead is the work by service that is served before a job. That of refused jobs isn't.
	ahead := map[string]float64{}
	for _, group := range groups {
		for _, j := range group {
			r, known := rates[j.Service]
			if !known || r <= 0 {
				continue
			}
			wait := toDuration(ahead[j.Service] / r)
			if float64(j.cutoff-now)*s.opts.Policy.RateMargin < float64(wait) && j.ranStatus() == api.RanNo {
				refusals = append(refusals, refusal{j, wait})
				continue
			}
			ahead[j.Service] += j.unboundWork(s.largestCapacity(j.Service))
		}
	}
	for _, r := range refusals {
		s.hopelessRefusals++
		s.log(decisions.Info("job refused before its cutoff", "job", r.j.ID, "queue", r.j.Queue, "expected_wait_ms", r.wait.Milliseconds(),
			"quickest_ms", s.minRunTime(r.j).Milliseconds(), "cutoff_ms", (r.j.cutoff - now).Milliseconds()))
		s.finish(now, r.j, s.overloadVerdict(r.wait, hopelessMessage))
	}
}

// unboundWork returns the work of the job's ready tasks that any worker with the largest
// capacity may run. Tasks that need a label may wait for other workers than those for which the
// next jobs wait.
func (j *job) unboundWork(largest link.Resources) (sum float64) {
	for _, t := range j.tasks {
		if t.phase == ready && t.step().RequiredLabel == "" && t.step().Need.FitsIn(largest) {
			sum += taskWork(t)
		}
	}
	return sum
}

// tickState holds what the jobs of a tick have in common. Without it, a tick of many late jobs
// would go through all waiting jobs for each of them.
type tickState struct {
	plan *sparePlan
	// lacking holds the results of onTimeJobLacksCapacity by service, waits those of
	// expectedWait for late jobs.
	lacking map[string]*job
	waits   map[string]time.Duration
}

// lacksCapacity reports whether onTimeJobLacksCapacity finds a job. One that is found holds
// until it is answered; that there is none holds until the next tick.
func (state *tickState) lacksCapacity(s *Scheduler, now time.Duration, service string) bool {
	found, known := state.lacking[service]
	if !known || found != nil && s.jobs[found.ID] != found {
		found = s.onTimeJobLacksCapacity(now, service)
		state.lacking[service] = found
	}
	return found != nil
}

// waitWhileLate returns the expected wait of a late job. It is the same for all of a service,
// since other late jobs don't count.
func (state *tickState) waitWhileLate(s *Scheduler, now time.Duration, j *job) time.Duration {
	wait, known := state.waits[j.Service]
	if !known {
		wait = s.expectedWait(now, j)
		state.waits[j.Service] = wait
	}
	return wait
}
