package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	step      = 5 * time.Millisecond
	testCores = 10
)

type testRun struct {
	kind              int
	group             string
	declared          time.Duration
	left, since, load float64
	with              [7]float64
}

// site simulates workers with seven kinds of tasks: jobs of four tasks whose declared times
// are off by 40%, of which 3% run four times as long, on workers of different speed. A task
// that runs beside one of a kind in slowdown takes that many times as long, and one on a
// full worker fullness times as long.
type site struct {
	random   *rand.Rand
	now      time.Duration
	learners []*Learner
	sent     []uint64
	runs     [][]*testRun
	pool     *Pool
	slowdown map[[2]int]float64
	fullness float64
	// episodes says that workers are at times three times slower.
	episodes bool
	observed int
	began    []Change
}

func newSite(seed uint64, workers int) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 1)), pool: NewPool(), runs: make([][]*testRun, workers), sent: make([]uint64, workers), fullness: 1}
	for range workers {
		s.learners = append(s.learners, NewLearner())
	}
	return s
}

// play runs until a number of further runs were observed.
func (s *site) play(observations int) {
	for end := s.observed + observations; s.observed < end; s.now += step {
		for range s.runs {
			if s.random.Float64() < 0.05 {
				s.submit()
			}
		}
		for w := range s.runs {
			s.advance(w)
			s.learners[w].Review(s.now)
			list, revision := s.learners[w].Summaries(s.sent[w])
			s.sent[w] = revision
			for _, c := range s.pool.Update(s.now, fmt.Sprint(w), len(s.runs), list) {
				if c.Counts {
					s.began = append(s.began, c)
				}
			}
		}
	}
}

func (s *site) submit() {
	kind := s.random.IntN(7)
	declared := time.Duration(50+40*kind) * time.Millisecond
	ratio := 0.6 + 0.8*s.random.Float64()
	for range 4 {
		w := s.random.IntN(len(s.runs))
		work := ratio * math.Exp(0.15*s.random.NormFloat64())
		if s.random.Float64() < 0.03 {
			work *= 4
		}
		if len(s.runs[w]) < testCores {
			s.runs[w] = append(s.runs[w], &testRun{kind: kind, group: fmt.Sprint(s.now, kind), declared: declared, left: work * float64(declared)})
		}
	}
}

func (s *site) advance(w int) {
	count := [7]int{}
	for _, r := range s.runs[w] {
		count[r.kind]++
	}
	speed := 0.6 + 0.3*float64(w%4)
	actual := speed
	if s.episodes && (s.now/(5*time.Second)+time.Duration(w))%7 == 0 {
		actual /= 3
	}
	load := float64(len(s.runs[w])) / testCores
	left := s.runs[w][:0]
	for _, r := range s.runs[w] {
		rate := actual / (1 + (s.fullness-1)*load)
		for k := range count {
			beside := count[k] > 1 || count[k] == 1 && k != r.kind
			if f := s.slowdown[[2]int{r.kind, k}]; f > 0 && beside {
				rate /= f
			}
			if beside {
				r.with[k]++
			}
		}
		r.since++
		r.load += load
		if r.left -= rate * float64(step); r.left > 0 {
			left = append(left, r)
			continue
		}
		o := &Run{
			Kind: fmt.Sprint("k", r.kind), Group: r.group, Declared: r.declared, Measured: time.Duration(r.since) * step,
			Speed: speed * math.Exp(0.1*s.random.NormFloat64()), Load: r.load / r.since, Presence: map[string]float64{},
		}
		for k, n := range r.with {
			o.Presence[fmt.Sprint("k", k)] = n / r.since
		}
		s.learners[w].Observe(s.now, o)
		s.observed++
	}
	s.runs[w] = left
}

// Load pattern: two of seven kinds slow each other down. Guards against a pair that is found
// too late or not at all, and against others that are found with it.
func TestPairIsFoundAmongOthers(t *testing.T) {
	c := qt.New(t)
	for _, workers := range []int{4, 32} {
		for seed := range uint64(2) {
			s := newSite(seed, workers)
			s.slowdown = map[[2]int]float64{{1, 4}: 2, {4, 1}: 2}
			s.play(1200 * workers)
			c.Check(s.pool.Counting(), qt.Equals, 2, qt.Commentf("%d workers, seed %d: %v", workers, seed, s.began))
			for _, pair := range [][2]string{{"k1", "k4"}, {"k4", "k1"}} {
				f := s.pool.Factor(pair[0], pair[1])
				c.Check(f > 1.4 && f < 2.4, qt.IsTrue, qt.Commentf("%v: %v", pair, f))
			}
		}
	}
}

// Guards against pairs that are found where there are none: by long tails, full workers,
// workers that are slow for a while, or because each of many agents reports what is high
// by chance.
func TestNoPairIsFoundWithoutInterference(t *testing.T) {
	c := qt.New(t)
	for _, workers := range []int{1, 4, 100} {
		for seed := range uint64(4) {
			s := newSite(seed, workers)
			s.fullness, s.episodes = 1+0.5*float64(seed%2), seed >= 2
			s.play(max(10000, 200*workers))
			c.Check(s.began, qt.HasLen, 0, qt.Commentf("%d workers, seed %d", workers, seed))
		}
	}
}

// observeAlternately feeds a learner with runs of kind a, every second of them beside b, one
// each 100 ms.
func observeAlternately(l *Learner, from, to time.Duration, factor float64) {
	random := rand.New(rand.NewPCG(1, 1))
	for now := from; now < to; now += 100 * time.Millisecond {
		r := &Run{Kind: "a", Declared: 100 * time.Millisecond, Speed: 1, Presence: map[string]float64{}}
		ratio := math.Exp(0.3 * random.NormFloat64())
		if now/(100*time.Millisecond)%2 == 0 {
			r.Presence["b"], ratio = 1, ratio*factor
		}
		r.Measured = time.Duration(ratio * float64(r.Declared))
		l.Observe(now, r)
		l.Review(now)
	}
}

// Guards against kinds that are kept apart for good: tasks change, and once kinds are kept
// apart nothing shows any more that they are a pair.
func TestPairCeases(t *testing.T) {
	for _, tc := range []struct {
		name string
		next func(l *Learner)
		gone bool
	}{
		{"the slowdown ends", func(l *Learner) { observeAlternately(l, time.Minute, 20*time.Minute, 1) }, false},
		{"never together again", func(l *Learner) { observeApart(l, "a", "b") }, false},
		{"a kind is gone", func(l *Learner) { observeApart(l, "a", "a") }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			l, p := NewLearner(), NewPool()
			observeAlternately(l, 0, time.Minute, 2)
			list, revision := l.Summaries(0)
			c.Assert(p.Update(time.Minute, "w", 1, list), qt.HasLen, 1)
			c.Assert(p.Factor("a", "b") > 1.5, qt.IsTrue)
			tc.next(l)
			list, _ = l.Summaries(revision)
			p.Update(time.Hour, "w", 1, list)
			if tc.gone {
				c.Assert(list, qt.HasLen, 0)
				p.Expire(time.Hour)
			}
			c.Assert(p.Counting(), qt.Equals, 0)
			c.Assert(p.Factor("a", "b"), qt.Equals, 1.0)
		})
	}
}

// Guards against a pair that ceases after the pool's retention because its sums don't change
// any more and so aren't reported.
func TestSteadyPairStays(t *testing.T) {
	c := qt.New(t)
	l, p := NewLearner(), NewPool()
	revision, lists := uint64(0), 0
	for now := time.Duration(0); now < time.Hour; now += time.Second {
		observeAlternately(l, now, now+time.Second, 2)
		var list []Summary
		if list, revision = l.Summaries(revision); len(list) > 0 {
			lists++
		}
		p.Update(now, "w", 1, list)
		p.Expire(now)
		c.Assert(now < 5*time.Minute || p.Counting() == 1, qt.IsTrue, qt.Commentf("%v", now))
	}
	c.Check(lists < 100, qt.IsTrue, qt.Commentf("%d lists", lists))
}

// observeApart feeds a learner with runs of two kinds that have no neighbors.
func observeApart(l *Learner, kinds ...string) {
	random := rand.New(rand.NewPCG(2, 1))
	for now := time.Minute; now < time.Hour; now += time.Second {
		l.Observe(now, &Run{Kind: kinds[now/time.Second%2], Declared: 1e6, Measured: time.Duration(1e6 * math.Exp(0.3*random.NormFloat64())), Speed: 1})
		l.Review(now)
	}
}

// Guards against a job of many tasks, all declared wrongly in the same way, that counts as
// many observations.
func TestTasksOfOneJobCountOnce(t *testing.T) {
	l := NewLearner()
	for range 8 {
		l.Observe(0, &Run{Kind: "a", Group: "job", Declared: 1, Measured: 2, Speed: 1})
	}
	qt.Assert(t, l.slots[0].all.observations(), qt.Equals, 1.0)
}

// Guards against a pair that changes back and forth, which would make placement do the same.
func TestHysteresis(t *testing.T) {
	c := qt.New(t)
	p := NewPool()
	for _, tc := range []struct {
		factor float64
		counts bool
	}{{1.1, false}, {1.2, true}, {1.1, true}, {1.07, false}, {1.1, false}} {
		p.Update(0, "w", 1, []Summary{{Pair{"a", "b"}, Sums{XX: 1000, XY: 1001 * math.Log(tc.factor), Residual: 40, Freedom: 4000}}})
		c.Check(p.Counting() == 1, qt.Equals, tc.counts, qt.Commentf("%v", tc.factor))
	}
}

// Load pattern: 40 teams with three queues each on 890 workers. Guards against memory that
// grows with the number of kinds, and against sums that make placement fail.
func TestStateIsBounded(t *testing.T) {
	c := qt.New(t)
	l, p := NewLearner(), NewPool()
	for i := range 2000 {
		l.Observe(time.Duration(i), &Run{Kind: fmt.Sprint(i % 120), Declared: 1, Measured: 1, Speed: 1, Presence: map[string]float64{fmt.Sprint(i % 7): 1}})
		if i%20 == 0 {
			l.suspect(0, i%MaxKinds, i/20%MaxKinds)
		}
	}
	c.Assert(len(l.suspects) <= MaxSuspects, qt.IsTrue)
	for w := range 890 {
		var list []Summary
		for i := range 40 {
			list = append(list, Summary{Pair{fmt.Sprint(w % 120), fmt.Sprint(i)}, Sums{XX: 1, Freedom: 1}})
		}
		list[0].XY, list[1].XX, list[2].Residual = math.NaN(), math.Inf(1), -1
		p.Update(0, fmt.Sprint(w), 1, list)
	}
	c.Assert(p.Pairs(), qt.Equals, maxPairs)
	sources := 0
	for _, q := range p.pairs {
		sources += len(q.sources)
		c.Assert(q.total.valid(), qt.IsTrue)
	}
	c.Assert(sources <= 890*MaxSuspects, qt.IsTrue)
}

// Guards against a factor that is infinite or not a number, from an agent that reports sums
// which no run times give.
func TestImpossibleSumsAreIgnored(t *testing.T) {
	c := qt.New(t)
	p := NewPool()
	ab := Pair{"a", "b"}
	for _, s := range []Summary{
		{ab, Sums{XX: 1e-3, XY: 1e8, Residual: 1, Freedom: 1e6}},
		{ab, Sums{XX: 1e6, XY: 1e6, Residual: 1, Freedom: 100}},
		{ab, Sums{XX: 100, XY: -300, Residual: 1, Freedom: 1000}},
		{Pair{"", "b"}, Sums{XX: 100, XY: 100, Freedom: 1000}},
		{Pair{"a", ""}, Sums{XX: 100, XY: 100, Freedom: 1000}},
	} {
		c.Check(p.Update(0, "w", 1, []Summary{s}), qt.HasLen, 0, qt.Commentf("%v", s))
		c.Check(p.Pairs(), qt.Equals, 0, qt.Commentf("%v", s))
	}
	changes := p.Update(0, "w", 1, []Summary{{ab, Sums{XX: 100, XY: 220, Freedom: 1000}}})
	c.Assert(changes, qt.HasLen, 1)
	c.Check(changes[0].Factor, qt.Equals, float64(maxFactor))
	c.Check(p.Factor("a", "b"), qt.Equals, float64(maxFactor))
	c.Check(Sums{XX: -1, XY: 1}.Factor() < 10, qt.IsTrue)
}

// Guards against an agent that fills the pool with ever new pairs, so that those of other
// agents have no place or are lost.
func TestOneSourceDoesNotFillThePool(t *testing.T) {
	c := qt.New(t)
	p := NewPool()
	certain := Sums{XX: 100, XY: 100, Residual: 10, Freedom: 1000}
	p.Update(0, "other", 1, []Summary{{Pair{"a", "b"}, certain}})
	for i := range 1000 {
		p.Update(time.Duration(i), "w", 1, []Summary{{Pair{"x", fmt.Sprint(i)}, certain}})
	}
	c.Check(p.Pairs(), qt.Equals, 1+MaxSuspects)
	c.Check(p.Counting(), qt.Equals, 1+MaxSuspects)
	c.Check(p.Factor("x", "999") > 1, qt.IsTrue)
	for i := range 1000 {
		p.Update(time.Second+time.Duration(i), fmt.Sprint(i), 1, []Summary{{Pair{"y", fmt.Sprint(i)}, Sums{XX: 1, Freedom: 1}}})
	}
	c.Check(p.Pairs(), qt.Equals, maxPairs)
	c.Check(p.Counting(), qt.Equals, 1+MaxSuspects)
	c.Check(p.pairs[Pair{"y", "999"}], qt.IsNotNil)
	c.Check(p.pairs[Pair{"y", "0"}], qt.IsNil)
}

// Guards against placement that one agent decides where there are others, be it faulty or
// on a worker that isn't like them, and against pairs that can't be found where there is
// only one.
func TestPairNeedsTwoAgents(t *testing.T) {
	c := qt.New(t)
	p := NewPool()
	list := []Summary{{Pair{"a", "b"}, Sums{XX: 100, XY: 100, Residual: 10, Freedom: 1000}}}
	p.Update(0, "w1", 1, list)
	c.Check(p.Counting(), qt.Equals, 1)
	p.Update(time.Minute, "w1", 2, list)
	c.Check(p.Counting(), qt.Equals, 0)
	p.Update(2*time.Minute, "w2", 2, list)
	c.Check(p.Counting(), qt.Equals, 1)
	p.Expire(time.Minute + summaryRetention + 1)
	c.Check(p.Counting(), qt.Equals, 0)
}

// Guards against pairs of the settings that count in one direction only, are lost when a
// learnt pair ceases to count, or hide that it counts for more.
func TestPairsKeptApartByTheOperator(t *testing.T) {
	c := qt.New(t)
	p := NewPool(Pair{"b", "a"}, Pair{"a", "b"}, Pair{"c", "c"}, Pair{"c", "a"})
	c.Check(p.KeptApartKinds(), qt.DeepEquals, []string{"a", "b", "c"})
	factors := func(pool *Pool) []float64 {
		return []float64{pool.Factor("a", "b"), pool.Factor("b", "a"), pool.Factor("c", "c"), pool.Factor("a", "c"), pool.Factor("b", "c")}
	}
	c.Check(factors(p), qt.DeepEquals, []float64{2, 2, 2, 2, 1})
	learn := func(factor float64) []Change {
		return p.Update(0, "w", 1, []Summary{{Pair{"a", "b"}, Sums{XX: 100, XY: 101 * math.Log(factor), Residual: 10, Freedom: 1000}}})
	}
	c.Check(learn(1.5), qt.HasLen, 1)
	c.Check(p.Factor("a", "b"), qt.Equals, 2.0)
	c.Check(learn(3), qt.HasLen, 0)
	c.Check(p.Factor("a", "b") > 2.9, qt.IsTrue)
	c.Check(p.Counting(), qt.Equals, 5)
	c.Check(p.CountedOnly().Counted(), qt.DeepEquals, p.Counted())
	c.Check(learn(1), qt.HasLen, 1)
	c.Check(factors(p), qt.DeepEquals, []float64{2, 2, 2, 2, 1})
	c.Check(NewPool().KeptApartKinds(), qt.HasLen, 0)
}

// Load pattern: the reports of 160 agents on pairs that don't count, to an entry with as many
// pairs of the settings as are allowed. Guards against a list of the pairs that count which is
// built anew for each reported pair.
func TestPairsThatDoNotCountChangeNothing(t *testing.T) {
	p := newFullPool()
	list := doubtfulSummaries()
	p.Update(0, "w", 2, list)
	allocations := testing.AllocsPerRun(100, func() { p.Update(0, "w", 2, list) })
	qt.Assert(t, allocations, qt.Equals, 0.0)
}

// The cost of a report on pairs that don't count, beside the pairs of the settings.
func BenchmarkUpdate(b *testing.B) {
	p := newFullPool()
	list := doubtfulSummaries()
	for b.Loop() {
		p.Update(0, "w", 2, list)
	}
}

func newFullPool() *Pool {
	var pairs []Pair
	for i := range MaxKeptApart {
		pairs = append(pairs, Pair{fmt.Sprint("a", i), fmt.Sprint("b", i)})
	}
	return NewPool(pairs...)
}

func doubtfulSummaries() (list []Summary) {
	for i := range MaxSuspects {
		list = append(list, Summary{Pair{fmt.Sprint("c", i), "d"}, Sums{XX: 100, XY: 1, Residual: 1000, Freedom: 1000}})
	}
	return list
}

// The search for suspected pairs with as many kinds as an agent keeps, once a second.
func BenchmarkReview(b *testing.B) {
	l := NewLearner()
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 4000 {
		r := &Run{Kind: fmt.Sprint(i % MaxKinds), Declared: 1000, Measured: time.Duration(500 + random.IntN(1000)), Speed: 1, Presence: map[string]float64{}}
		for k := range MaxKinds {
			r.Presence[fmt.Sprint(k)] = random.Float64()
		}
		l.Observe(0, r)
	}
	for b.Loop() {
		l.reviewAt = 0
		l.Review(0)
	}
}
