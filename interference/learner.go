package interference

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxKinds is the number of kinds that an agent keeps.
	MaxKinds = 16
	// MaxSuspects is the number of suspected pairs that an agent keeps.
	MaxSuspects = 16
	// MaxKindLength bounds the names that are kept, in bytes.
	MaxKindLength = 64
	// kindRetention is how long a kind without a run is kept.
	kindRetention = 10 * time.Minute
	// memoryRuns and memoryTime are the constants of the exponential aging, in runs of
	// the kind and in time.
	memoryRuns = 4000
	memoryTime = 5 * time.Minute
	// reviewInterval is the time between two searches for suspected pairs. A search took
	// 0.3 ms of a whole core with 16 kinds.
	reviewInterval = time.Second
	// suspicion is the t value from which on a pair is suspected. At a lower one, chance
	// alone gives several suspects to an agent with many kinds.
	suspicion = 3.5
	// maxLogDeviation limits log ratios to a factor of 3 around the center of the kind.
	maxLogDeviation = 1.1
	// centerSteps is the number of runs after which the center of a kind moves slowly.
	centerSteps = 50
	// minReportedFreedom is the number of observations below which sums aren't reported.
	minReportedFreedom = 4
	// recentGroups is the number of jobs that are remembered in order to count one task
	// of each.
	recentGroups = 32
	// minChange is the relative change of XX from which on sums are reported again, and
	// minEffectChange that of the effect.
	minChange       = 0.1
	minEffectChange = 0.05
	// refreshInterval is the time after which unchanged sums are reported again. With a
	// third of the retention, two lost reports don't end a pair.
	refreshInterval = summaryRetention / 3
)

// Run is a completed run.
type Run struct {
	Kind string
	// Group is the job of the run. Its tasks share the error of the declared time, so that
	// one of them counts.
	Group string
	// Declared and Measured are run times.
	Declared, Measured time.Duration
	// Speed is the learnt speed of the worker, Load the average used share of its capacity
	// during the run.
	Speed, Load float64
	// Presence holds for each kind the share of the run's time for which at least one other
	// task of that kind ran on the worker.
	Presence map[string]float64
}

// slot holds a kind and the sums of its runs.
type slot struct {
	kind   string
	seenAt time.Duration
	// center is a robust mean of the log ratios of runs.
	center float64
	runs   int
	all    regression
	agedAt time.Duration
}

// suspect is a suspected pair with the sums of the runs since then.
type suspect struct {
	kind, neighbor int
	fresh          regression
	agedAt         time.Duration
	reported       Sums
	reportedAt     time.Duration
	// revision is the Learner.revision at which reported was last set.
	revision uint64
}

// Summary holds the sums of a pair.
type Summary struct {
	Pair
	Sums
}

// Learner estimates the slowdowns on one worker. It is not safe for concurrent use.
type Learner struct {
	slots    [MaxKinds]slot
	suspects []*suspect
	groups   []string
	reviewAt time.Duration
	revision uint64
}

// NewLearner returns a Learner without observations.
func NewLearner() *Learner { return &Learner{} }

// Observe adds a completed run.
func (l *Learner) Observe(now time.Duration, r *Run) {
	if r.Kind == "" || len(r.Kind) > MaxKindLength || r.Declared <= 0 || r.Measured <= 0 || r.Speed <= 0 || slices.Contains(l.groups, r.Group) {
		return
	}
	if r.Group != "" {
		if len(l.groups) == recentGroups {
			l.groups = slices.Delete(l.groups, 0, 1)
		}
		l.groups = append(l.groups, r.Group)
	}
	kind := l.slotOf(now, r.Kind)
	s := &l.slots[kind]
	// The speed is limited as well: it multiplies the run time, and one that is not learnt
	// yet would decide.
	logSpeed := math.Log(min(max(r.Speed, 0.02), 50))
	value := math.Log(float64(r.Measured)/float64(r.Declared)) + logSpeed
	s.runs++
	deviation := min(max(value-s.center, -maxLogDeviation), maxLogDeviation)
	s.center += deviation / float64(min(s.runs, centerSteps))
	var x row
	x[constantColumn], x[loadColumn], x[speedColumn] = 1, min(max(r.Load, 0), 1), logSpeed
	x[valueColumn] = min(max(value, s.center-maxLogDeviation), s.center+maxLogDeviation)
	// Sorted, so that the places of kinds don't depend on the order of a map.
	for _, name := range slices.Sorted(maps.Keys(r.Presence)) {
		if share := r.Presence[name]; share > 0 && name != "" && len(name) <= MaxKindLength {
			x[firstNeighbor+l.slotOf(now, name)] = min(share, 1)
		}
	}
	if s.kind != r.Kind {
		// More neighbor kinds than slots have displaced the kind itself.
		return
	}
	s.agedAt = age(&s.all, now, s.agedAt, 1)
	s.all.add(&x)
	for _, p := range l.suspects {
		if p.kind == kind {
			p.agedAt = age(&p.fresh, now, p.agedAt, 1)
			p.fresh.add(&x)
		}
	}
}

// age applies the aging of the time since agedAt and of a number of runs. It returns now.
func age(g *regression, now, agedAt time.Duration, runs float64) time.Duration {
	g.age(math.Exp(-float64(now-agedAt)/float64(memoryTime) - runs/memoryRuns))
	return now
}

// slotOf returns the slot of a kind. A new kind takes the place of the one that was not
// seen for longest if there is no free one.
func (l *Learner) slotOf(now time.Duration, kind string) int {
	oldest := 0
	for i := range l.slots {
		if l.slots[i].kind == kind {
			l.slots[i].seenAt = now
			return i
		}
		if l.slots[oldest].kind != "" && (l.slots[i].kind == "" || l.slots[i].seenAt < l.slots[oldest].seenAt) {
			oldest = i
		}
	}
	if l.slots[oldest].kind != "" {
		l.drop(oldest)
	}
	l.slots[oldest] = slot{kind: kind, seenAt: now, agedAt: now}
	return oldest
}

// drop forgets a kind.
func (l *Learner) drop(kind int) {
	l.slots[kind] = slot{}
	l.suspects = slices.DeleteFunc(l.suspects, func(p *suspect) bool { return p.kind == kind || p.neighbor == kind })
	for i := range l.slots {
		l.slots[i].all.clearColumn(firstNeighbor + kind)
	}
	for _, p := range l.suspects {
		p.fresh.clearColumn(firstNeighbor + kind)
	}
}

// Review drops kinds that no longer occur, and searches for suspected pairs. It has an
// effect once in reviewInterval.
func (l *Learner) Review(now time.Duration) {
	if now < l.reviewAt {
		return
	}
	l.reviewAt = now + reviewInterval
	for i := range l.slots {
		s := &l.slots[i]
		if s.kind != "" && now-s.seenAt > kindRetention {
			l.drop(i)
		}
	}
	for i := range l.slots {
		s := &l.slots[i]
		if s.kind == "" || s.all.observations() < minFreedom {
			continue
		}
		var solved *solution
		for j := range l.slots {
			if l.slots[j].kind == "" || l.suspected(i, j) || s.all.sums[firstNeighbor+j][firstNeighbor+j] < 1 {
				continue
			}
			if solved == nil {
				solved = s.all.solve()
			}
			if solved.pair(firstNeighbor+j).t() >= suspicion {
				l.suspect(now, i, j)
			}
		}
	}
	for _, p := range l.suspects {
		p.agedAt = age(&p.fresh, now, p.agedAt, 0)
		sums := p.fresh.solve().pair(firstNeighbor + p.neighbor)
		if !sums.valid() || sums.Freedom < minReportedFreedom && p.reported == (Sums{}) {
			continue
		}
		if math.Abs(sums.XX-p.reported.XX) > minChange*p.reported.XX || math.Abs(sums.effect()-p.reported.effect()) > minEffectChange || now-p.reportedAt >= refreshInterval {
			l.revision++
			p.reported, p.reportedAt, p.revision = sums, now, l.revision
		}
	}
}

func (l *Learner) suspected(kind, neighbor int) bool {
	return slices.ContainsFunc(l.suspects, func(p *suspect) bool { return p.kind == kind && p.neighbor == neighbor })
}

// suspect adds a suspected pair, in place of the one with the least t value if there are
// too many.
func (l *Learner) suspect(now time.Duration, kind, neighbor int) {
	if len(l.suspects) >= MaxSuspects {
		weakest := slices.MinFunc(l.suspects, func(a, b *suspect) int {
			if a.reported.t() < b.reported.t() {
				return -1
			}
			return 1
		})
		l.suspects = slices.DeleteFunc(l.suspects, func(p *suspect) bool { return p == weakest })
	}
	l.suspects = append(l.suspects, &suspect{kind: kind, neighbor: neighbor, agedAt: now})
}

// Summaries returns the pairs that are to be reported since the given revision, and the
// revision to ask with next time.
func (l *Learner) Summaries(after uint64) ([]Summary, uint64) {
	var out []Summary
	for _, p := range l.suspects {
		if p.revision > after {
			out = append(out, Summary{Pair{l.slots[p.kind].kind, l.slots[p.neighbor].kind}, p.reported})
		}
	}
	return out, l.revision
}

// Revision is the latest revision of the sums.
func (l *Learner) Revision() uint64 { return l.revision }

// Involved reports whether a kind is part of a suspected pair.
func (l *Learner) Involved(kind string) bool {
	return slices.ContainsFunc(l.suspects, func(p *suspect) bool {
		return l.slots[p.kind].kind == kind || l.slots[p.neighbor].kind == kind
	})
}
