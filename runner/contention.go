package runner

import (
	"slices"
	"strings"
	"time"

	"github.com/sesamelift/sesamelift/interference"
	"github.com/sesamelift/sesamelift/link"
)

// pairsInterval is the minimum time between two lists of pairs in reports to an entry.
const pairsInterval = time.Second

// kindTime is the time during which tasks of a kind ran on the worker.
type kindTime struct {
	kind string
	// since is when the kind was first seen, lastAt when a task of it last ran.
	since, lastAt time.Duration
	// count is the number of its runs at present.
	count int
	// some and several are how long at least one and at least two ran, since since.
	some, several time.Duration
}

// neighbors tracks which kinds of tasks run on the worker, and what they use.
type neighbors struct {
	kinds [interference.MaxKinds]kindTime
	at    time.Duration
	// load is the used share of the capacity at present, loadTime its integral.
	load     float64
	loadTime float64
}

// neighborsAtStart is what neighbors had measured when a run was started.
type neighborsAtStart struct {
	known         bool
	some, several [interference.MaxKinds]time.Duration
	loadTime      float64
}

// advance measures the time until now.
func (n *neighbors) advance(now time.Duration) {
	elapsed := now - n.at
	if elapsed <= 0 {
		return
	}
	n.at = now
	n.loadTime += n.load * float64(elapsed)
	for i := range n.kinds {
		k := &n.kinds[i]
		if k.count > 0 {
			k.some += elapsed
			k.lastAt = now
		}
		if k.count > 1 {
			k.several += elapsed
		}
	}
}

// find returns the entry of a kind; a new kind takes the place of the one that has not run
// for longest. It returns nil if all run at present.
func (n *neighbors) find(now time.Duration, kind string) *kindTime {
	var oldest *kindTime
	for i := range n.kinds {
		k := &n.kinds[i]
		if k.kind == kind {
			return k
		}
		if k.count == 0 && (oldest == nil || k.lastAt < oldest.lastAt) {
			oldest = k
		}
	}
	if oldest != nil {
		*oldest = kindTime{kind: kind, since: now, lastAt: now}
	}
	return oldest
}

// snapshot returns what has been measured when a run of a kind starts.
func (n *neighbors) snapshot(now time.Duration, kind string) neighborsAtStart {
	n.advance(now)
	if kind != "" {
		// Here and not with the next count, which goes through a map in any order.
		n.find(now, kind)
	}
	at := neighborsAtStart{known: true, loadTime: n.loadTime}
	for i := range n.kinds {
		at.some[i], at.several[i] = n.kinds[i].some, n.kinds[i].several
	}
	return at
}

// updateNeighbors counts the runs of each kind anew.
func (s *State) updateNeighbors(now time.Duration) {
	n := &s.neighbors
	n.advance(now)
	for i := range n.kinds {
		n.kinds[i].count = 0
	}
	used := int64(0)
	for _, r := range s.runs {
		used += r.need.MilliCPU
		if r.kind == "" {
			continue
		}
		if k := n.find(now, r.kind); k != nil {
			k.count++
		}
	}
	n.load = 0
	if s.worker != nil {
		n.load = float64(used) / float64(max(s.worker.Capacity.MilliCPU, 1))
	}
}

// observeRun passes a run that succeeded to the learner. Runs that were not started by this
// agent's process are left out, since their start isn't known, and so are those that end
// while calls go unanswered, since their end is known late.
func (s *State) observeRun(now time.Duration, r *run) {
	ran := now - r.startSentAt
	if r.kind == "" || !r.before.known || ran <= 0 || s.lossy(now) {
		return
	}
	n := &s.neighbors
	n.advance(now)
	presence := map[string]float64{}
	for i := range n.kinds {
		k := &n.kinds[i]
		if k.kind == "" {
			continue
		}
		shared, before := k.some, r.before.some[i]
		if k.kind == r.kind {
			shared, before = k.several, r.before.several[i]
		}
		if k.since > r.startSentAt {
			// The kind that had this place before is another one.
			before = 0
		}
		presence[k.kind] = float64(shared-before) / float64(ran)
	}
	s.learner.Observe(now, &interference.Run{
		Kind: r.kind, Group: r.task.Job, Declared: r.estimate, Measured: ran, Speed: s.speed.speed(),
		Load: (n.loadTime - r.before.loadTime) / float64(ran), Presence: presence,
	})
}

// pairsDue reports whether sums have changed that the entry should be told of.
func (s *State) pairsDue(now time.Duration, conn *entryConn) bool {
	return !conn.inactive && conn.pairsRevision < s.learner.Revision() && now-conn.pairsAt >= pairsInterval
}

// learnKinds takes over the list of kinds that an entry asks for, as far as it isn't longer
// than any entry's.
func (conn *entryConn) learnKinds(kinds []string) {
	if len(kinds) == 0 {
		return
	}
	conn.countKinds = nil
	for _, kind := range kinds[:min(len(kinds), 2*interference.MaxKeptApart)] {
		if len(kind) <= interference.MaxKindLength {
			conn.countKinds = append(conn.countKinds, kind)
		}
	}
}

// reportPairs adds changed sums to a report, and the kinds that run now if they are part of
// suspected pairs or the entry asks for them.
func (s *State) reportPairs(now time.Duration, conn *entryConn, rep *link.Report) {
	if s.learner.Revision() == 0 && len(conn.countKinds) == 0 {
		return
	}
	if s.pairsDue(now, conn) {
		list, revision := s.learner.Summaries(conn.pairsRevision)
		conn.pairsRevision, conn.pairsAt = revision, now
		for _, p := range list {
			rep.Pairs = append(rep.Pairs, link.Pair{
				Kind: p.Kind, Neighbor: p.Neighbor,
				XX: float32(p.XX), XY: float32(p.XY), Residual: float32(p.Residual), Freedom: float32(p.Freedom),
			})
		}
	}
	counts := map[string]uint16{}
	for _, r := range s.runs {
		if r.kind != "" && (s.learner.Involved(r.kind) || slices.Contains(conn.countKinds, r.kind)) {
			counts[r.kind]++
		}
	}
	for kind, count := range counts {
		rep.Running = append(rep.Running, link.KindCount{Kind: kind, Count: count})
	}
	slices.SortFunc(rep.Running, func(a, b link.KindCount) int { return strings.Compare(a.Kind, b.Kind) })
}
