package interference

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxPairs is the number of pairs that an entry keeps.
	maxPairs = 256
	// countConfidence and countFactor are what a pair needs in order to begin to count,
	// ceaseConfidence and ceaseFactor below what it ceases to. The gap keeps a pair from
	// changing back and forth with each report.
	countConfidence = 0.999
	countFactor     = 1.15
	ceaseConfidence = 0.9
	ceaseFactor     = 1.08
	// maxFactor bounds the factor of a pair: beyond it, more of it changes no choice.
	maxFactor = 4
	// summaryRetention is how long sums are kept without an update.
	summaryRetention = 10 * time.Minute
	// expiryInterval is the time between two searches for outdated sums.
	expiryInterval = 10 * time.Second
	// minSources is the number of agents that a pair needs in order to count, where there
	// are as many, so that a single one doesn't decide.
	minSources = 2
	// keptApartFactor is the factor of a pair that the operator keeps apart.
	keptApartFactor = 2
	// MaxKeptApart bounds the pairs that an operator may keep apart: the placement of a task
	// compares those of its kind with the tasks of each worker.
	MaxKeptApart = 16
)

// sourceSums are the latest sums of a pair from one agent.
type sourceSums struct {
	sums Sums
	at   time.Duration
}

// pooled is a pair with the sums of all agents.
type pooled struct {
	total     Sums
	sources   map[string]sourceSums
	counts    bool
	updatedAt time.Duration
	// agents is the number of agents that could report the pair at the last update.
	agents int
}

// Change says that a pair begins or ceases to count.
type Change struct {
	Pair
	Counts             bool
	Factor, Confidence float64
}

// Pool adds up the summaries of agents. It is not safe for concurrent use.
type Pool struct {
	pairs map[Pair]*pooled
	// learned lists the pairs that count because of the sums, keptApart those that count by
	// order of the operator, and counted both; all are sorted.
	learned, keptApart, counted []Counted
	expireAt                    time.Duration
}

// Counted is a pair that counts, and its factor.
type Counted struct {
	Pair
	Factor float64
}

func comparePairs(a, b Pair) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Neighbor, b.Neighbor))
}

// NewPool returns a Pool without sums. The kinds of each pair in keepApart count as slowing
// each other down in both directions.
func NewPool(keepApart ...Pair) *Pool {
	p := &Pool{pairs: map[Pair]*pooled{}}
	for _, pair := range keepApart {
		p.keptApart = append(p.keptApart, Counted{pair, keptApartFactor}, Counted{Pair{pair.Neighbor, pair.Kind}, keptApartFactor})
	}
	slices.SortFunc(p.keptApart, func(a, b Counted) int { return comparePairs(a.Pair, b.Pair) })
	p.keptApart = slices.Compact(p.keptApart)
	p.merge()
	return p
}

// merge brings counted up to date. A pair that is kept apart and learned counts with the
// higher factor.
func (p *Pool) merge() {
	p.counted = slices.Concat(p.learned, p.keptApart)
	slices.SortFunc(p.counted, func(a, b Counted) int { return cmp.Or(comparePairs(a.Pair, b.Pair), cmp.Compare(b.Factor, a.Factor)) })
	p.counted = slices.CompactFunc(p.counted, func(a, b Counted) bool { return a.Pair == b.Pair })
}

// KeptApartKinds returns the kinds that are kept apart by order of the operator, sorted.
func (p *Pool) KeptApartKinds() []string {
	var kinds []string
	for _, c := range p.keptApart {
		// Both directions of each pair are listed.
		kinds = append(kinds, c.Kind)
	}
	return slices.Compact(kinds)
}

// CountedOnly returns a Pool with a copy of the pairs that count, without the sums.
func (p *Pool) CountedOnly() *Pool {
	c := NewPool()
	c.counted = slices.Clone(p.counted)
	return c
}

// Update replaces what an agent has reported of the pairs in a list, and returns the
// changes that this makes. Sums that no regression can have are ignored. agents is the number of agents that
// may report the same pairs; above minSources it makes no difference.
func (p *Pool) Update(now time.Duration, source string, agents int, list []Summary) []Change {
	if len(list) > MaxSuspects {
		list = list[:MaxSuspects]
	}
	var changes []Change
	for _, s := range list {
		if !s.valid() || !validKind(s.Kind) || !validKind(s.Neighbor) {
			continue
		}
		q := p.pairs[s.Pair]
		if q == nil {
			if len(p.pairs) >= maxPairs && !p.evict() {
				continue
			}
			q = &pooled{sources: map[string]sourceSums{}}
			p.pairs[s.Pair] = q
		}
		q.total = q.total.sub(q.sources[source].sums).add(s.Sums)
		q.sources[source] = sourceSums{s.Sums, now}
		q.updatedAt, q.agents = now, agents
		changes = p.judge(changes, s.Pair, q)
		changes = p.limitSource(changes, source, s.Pair)
	}
	return changes
}

func validKind(kind string) bool { return kind != "" && len(kind) <= MaxKindLength }

// evict drops the pair that doesn't count and was updated longest ago. It reports whether
// there was one.
func (p *Pool) evict() bool {
	var oldest Pair
	found := false
	for pair, q := range p.pairs {
		if q.counts {
			continue
		}
		if !found || cmp.Or(cmp.Compare(q.updatedAt, p.pairs[oldest].updatedAt), comparePairs(pair, oldest)) < 0 {
			oldest, found = pair, true
		}
	}
	delete(p.pairs, oldest)
	return found
}

// limitSource drops the oldest sums of a source other than those of the pair latest, if it
// has more than an agent keeps.
func (p *Pool) limitSource(changes []Change, source string, latest Pair) []Change {
	var oldest Pair
	var oldestAt time.Duration
	count := 0
	for pair, q := range p.pairs {
		s, ok := q.sources[source]
		if !ok {
			continue
		}
		count++
		if pair == latest {
			continue
		}
		if oldest == (Pair{}) || cmp.Or(cmp.Compare(s.at, oldestAt), comparePairs(pair, oldest)) < 0 {
			oldest, oldestAt = pair, s.at
		}
	}
	if count <= MaxSuspects {
		return changes
	}
	q := p.pairs[oldest]
	delete(q.sources, source)
	return p.sumUp(changes, oldest, q)
}

// sumUp adds the sums of a pair up anew after some were dropped, and drops the pair if none
// are left. The order is fixed, so that rounding errors don't accumulate or depend on the
// order of a map.
func (p *Pool) sumUp(changes []Change, pair Pair, q *pooled) []Change {
	q.total = Sums{}
	for _, name := range slices.Sorted(maps.Keys(q.sources)) {
		q.total = q.total.add(q.sources[name].sums)
	}
	changes = p.judge(changes, pair, q)
	if len(q.sources) == 0 {
		delete(p.pairs, pair)
	}
	return changes
}

// judge decides whether a pair counts.
func (p *Pool) judge(changes []Change, pair Pair, q *pooled) []Change {
	factor, confidence := min(q.total.Factor(), maxFactor), q.total.Confidence(len(p.pairs))
	counts := confidence >= countConfidence && factor >= countFactor
	if q.counts {
		counts = confidence >= ceaseConfidence && factor >= ceaseFactor
	}
	counts = counts && len(q.sources) >= min(minSources, q.agents)
	at, found := slices.BinarySearchFunc(p.learned, pair, func(c Counted, pair Pair) int { return comparePairs(c.Pair, pair) })
	switch {
	case counts && found:
		p.learned[at].Factor = factor
	case counts:
		p.learned = slices.Insert(p.learned, at, Counted{pair, factor})
	case found:
		p.learned = slices.Delete(p.learned, at, at+1)
	}
	if counts || found {
		p.merge()
	}
	if counts == q.counts {
		return changes
	}
	q.counts = counts
	return append(changes, Change{pair, counts, factor, confidence})
}

// Expire drops sums that were not updated for summaryRetention. It has an effect once in
// expiryInterval.
func (p *Pool) Expire(now time.Duration) []Change {
	if now < p.expireAt || len(p.pairs) == 0 {
		return nil
	}
	p.expireAt = now + expiryInterval
	var changes []Change
	for _, pair := range slices.SortedFunc(maps.Keys(p.pairs), comparePairs) {
		q := p.pairs[pair]
		before := len(q.sources)
		maps.DeleteFunc(q.sources, func(_ string, s sourceSums) bool { return now-s.at > summaryRetention })
		if len(q.sources) == before {
			continue
		}
		changes = p.sumUp(changes, pair, q)
	}
	return changes
}

// Counting is the number of pairs that count, learned or kept apart.
func (p *Pool) Counting() int { return len(p.counted) }

// Counted returns the pairs that count, sorted. It must not be changed.
func (p *Pool) Counted() []Counted { return p.counted }

// Pairs is the number of pairs of which agents have reported.
func (p *Pool) Pairs() int { return len(p.pairs) }

// Factor returns the factor by which a task of a kind takes longer beside one of the
// neighbor kind; 1 if the pair doesn't count.
func (p *Pool) Factor(kind, neighbor string) float64 {
	for _, c := range p.counted {
		if c.Pair == (Pair{kind, neighbor}) {
			return c.Factor
		}
	}
	return 1
}
