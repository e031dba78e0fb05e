package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/link"
)

// The active workers are those that may get tasks of this entry and that report their free
// capacity to it. An entry that shares many workers with many others needs few of them most
// of the time: if all entries used all workers, they would all start tasks at the same
// fastest ones, most of which would be refused, and every pair of entry and agent would
// exchange reports and pings all the time. The inactive workers stay connected, so that one
// round trip makes them active when the entry's work grows.
const (
	// minActiveWorkers is the number of workers of a service that are always active, so that
	// fast ones are among them and the loss of some is not felt. Small deployments use all
	// of theirs.
	minActiveWorkers = 16
	// activationInterval is the time between two reviews of the active workers while no job
	// waits.
	activationInterval = 250 * time.Millisecond
	// deactivationHeadroom is the multiple of the required headroom above which workers
	// become inactive. The gap keeps workers from changing back and forth with each task.
	deactivationHeadroom = 2
	// activationTimeout is how long a worker that becomes active may take to report its free
	// capacity before jobs are refused as if it had none: many round trips.
	activationTimeout = 100 * time.Millisecond
	// pinPeriod is how long a worker stays active that was made active for a task which no
	// other active worker may run.
	pinPeriod = 10 * time.Second
)

// demand is the CPU need of the entry's tasks in a service, and what its active workers
// offer, in millicores.
type demand struct {
	active, inactive []*worker
	// use is the need of the tasks in progress and of those that wait.
	use            int64
	capacity, free int64
}

// reviewActive makes workers active and inactive, so that the free capacity of the active
// ones is Policy.ActiveHeadroom times the need of the entry's own tasks.
func (s *Scheduler) reviewActive(now time.Duration) {
	if now < s.nextReview && len(s.waiting) == 0 || now-s.opts.StartedAt < warmUpPeriod {
		return
	}
	s.nextReview = now + activationInterval
	demands := map[string]*demand{}
	var services []string
	for _, w := range s.activationOrder() {
		if !w.connected || w.state.Service == "" {
			continue
		}
		d := demands[w.state.Service]
		if d == nil {
			d = &demand{}
			demands[w.state.Service] = d
			services = append(services, w.state.Service)
		}
		d.add(w)
	}
	for _, j := range s.waiting {
		if d := demands[j.Service]; d != nil {
			d.use += j.readyNeed()
		}
	}
	for _, service := range services {
		d := demands[service]
		required := int64(s.opts.Policy.ActiveHeadroom * float64(d.use))
		if !s.activateMore(now, d, required) {
			s.deactivateSome(now, d, required)
		}
	}
}

// activationOrder returns the workers in the order in which they become active: those of
// the entry's own availability zone first, and within a zone in an order that differs
// between entries, so that each worker is among the first of a few.
func (s *Scheduler) activationOrder() []*worker {
	if s.byActivation == nil {
		s.byActivation = slices.Clone(s.workersByName)
		slices.SortStableFunc(s.byActivation, func(a, b *worker) int {
			return cmp.Or(cmp.Compare(s.zoneRank(a), s.zoneRank(b)), cmp.Compare(a.preference, b.preference))
		})
	}
	return s.byActivation
}

func (s *Scheduler) zoneRank(w *worker) int {
	if w.state.Zone == s.opts.Zone {
		return 0
	}
	return 1
}

func (d *demand) add(w *worker) {
	for _, t := range w.tasks {
		d.use += t.step().Need.MilliCPU
	}
	switch {
	case w.evacuated:
		// It stays as it is, so that it can be used at once when the zone is restored.
	case !w.active:
		d.inactive = append(d.inactive, w)
	case w.usable(w.state.Service):
		d.active = append(d.active, w)
		d.capacity += w.state.Capacity.MilliCPU
		d.free += max(w.available().MilliCPU, 0)
	}
}

// readyNeed returns the CPU need of the tasks that wait for a worker, in millicores.
func (j *job) readyNeed() (sum int64) {
	for _, t := range j.tasks {
		if t.phase == ready {
			sum += t.step().Need.MilliCPU
		}
	}
	return sum
}

// activateMore makes workers active until their number and their free capacity suffice.
// The free share of an inactive worker is taken to be that of the active ones. It reports
// whether more were needed.
func (s *Scheduler) activateMore(now time.Duration, d *demand, required int64) bool {
	freeShare := 1.0
	if d.capacity > 0 {
		freeShare = float64(d.free) / float64(d.capacity)
	}
	count, free := len(d.active), float64(d.free)
	for _, w := range d.inactive {
		if count >= minActiveWorkers && free >= float64(required) {
			break
		}
		s.setActive(now, w, true)
		count++
		free += freeShare * float64(w.state.Capacity.MilliCPU)
	}
	return count > len(d.active)
}

// deactivateSome makes a tenth of the active workers inactive, the last in the order of
// activation first, as far as the others suffice. Workers with tasks of this entry stay.
func (s *Scheduler) deactivateSome(now time.Duration, d *demand, required int64) {
	count, free := len(d.active), d.free
	for n := max(count/10, 1); n > 0; n-- {
		index := lastIndexFunc(d.active, func(w *worker) bool { return len(w.tasks) == 0 && now >= w.pinnedUntil })
		if index < 0 || count <= minActiveWorkers {
			return
		}
		w := d.active[index]
		if free -= max(w.available().MilliCPU, 0); free < deactivationHeadroom*required {
			return
		}
		s.setActive(now, w, false)
		d.active = slices.Delete(d.active, index, index+1)
		count--
	}
}

func lastIndexFunc(workers []*worker, match func(*worker) bool) int {
	for i, w := range slices.Backward(workers) {
		if match(w) {
			return i
		}
	}
	return -1
}

// setActive makes a worker active or inactive and tells its agent. A worker that becomes
// active gets tasks once it has reported its free capacity.
func (s *Scheduler) setActive(now time.Duration, w *worker, active bool) {
	w.active, w.reported, w.activeSince = active, false, now
	s.command(w).Inactive = !active
	s.workersChanged()
}

// hasReserve reports whether workers of a service can become active, or have and are about
// to report their free capacity. Jobs are not refused for lack of capacity then.
func (s *Scheduler) hasReserve(now time.Duration, service string) bool {
	return slices.ContainsFunc(s.workersByName, func(w *worker) bool {
		if !w.connected || !w.accepting || w.evacuated || w.state.Service != service {
			return false
		}
		return !w.active || !w.reported && now-w.activeSince < activationTimeout
	})
}

// activateEligible makes workers active that may run a task while no active worker may: it
// needs a label, has failed on the others, or too many of its step are there.
func (s *Scheduler) activateEligible(now time.Duration, t *task) {
	count := 0
	for _, w := range s.activationOrder() {
		if w.connected && !w.active && !w.evacuated && w.state.Service == t.job.Service && s.eligible(t, w) {
			w.pinnedUntil = now + pinPeriod
			s.setActive(now, w, true)
			if count++; count >= minActiveWorkers {
				return
			}
		}
	}
}

// activateRacks makes workers active in the racks that hold the data of a job.
func (s *Scheduler) activateRacks(now time.Duration, j *job) {
	for i := range j.Steps {
		if rack := j.Steps[i].DataRack; rack != "" {
			s.activateRack(now, j, rack, j.Steps[i].Need)
		}
	}
}

// minActiveInRack is the number of workers with free capacity that are active in a rack
// which holds the data of waiting tasks.
const minActiveInRack = 2

func (s *Scheduler) activateRack(now time.Duration, j *job, rack string, need link.Resources) {
	count := 0
	for _, w := range s.activationOrder() {
		if count >= minActiveInRack {
			return
		}
		if !w.connected || w.evacuated || w.state.Service != j.Service || !slices.Contains(w.state.Labels, rack) {
			continue
		}
		switch {
		case !w.active:
			w.pinnedUntil = now + pinPeriod
			s.setActive(now, w, true)
			count++
		case w.usable(j.Service) && need.FitsIn(w.available()):
			w.pinnedUntil = now + pinPeriod
			count++
		}
	}
}
