package cancellation

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	ms      = time.Millisecond
	timeout = 2250 * ms
)

// peers are simulated entries. Each answers a request after a millisecond, unless it fails.
type peers struct {
	*Inquiries
	now time.Duration
	// runs and cancelledBefore hold, by entry, the jobs that it runs and has cancelled before,
	// failures how an entry fails.
	runs, cancelledBefore map[string][]string
	failures              map[string]Failure
	requests              int
	// busyUntil holds, by entry, when the request under way ends.
	busyUntil map[string]time.Duration
}

func newPeers() *peers {
	return &peers{Inquiries: New(timeout), runs: map[string][]string{}, cancelledBefore: map[string][]string{}, failures: map[string]Failure{}, busyUntil: map[string]time.Duration{}}
}

func (p *peers) begin(job string, names ...string) *Inquiry {
	return p.Begin(p.now, job, names, func() {})
}

// run lets time pass until the end, or until the inquiry has an outcome, and returns the time
// that this took.
func (p *peers) run(i *Inquiry, names ...string) time.Duration {
	began := p.now
	for i.Outcome() == Open && p.now-began < timeout {
		for _, name := range names {
			if until, busy := p.busyUntil[name]; busy && p.now < until {
				continue
			} else if busy {
				delete(p.busyUntil, name)
				if f, fails := p.failures[name]; fails {
					p.Failed(p.now, name, f)
				} else {
					p.Answered(name, p.runs[name], p.cancelledBefore[name])
				}
			}
			if jobs, _ := p.Next(p.now, name); len(jobs) > 0 {
				p.requests++
				p.busyUntil[name] = p.now + ms
				if f, fails := p.failures[name]; fails && f == Unanswered {
					p.busyUntil[name] = p.now + 500*ms
				} else if fails && f == Unreachable {
					p.busyUntil[name] = p.now + 100*ms
				}
			}
		}
		p.now += ms
	}
	p.End(i)
	return p.now - began
}

// Guards against "no such job" while another entry runs the job, against a caller that waits
// for entries that are down for good, and against one that is told that the job isn't running
// before the entries that can be reached were asked.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(p *peers)
		outcome Outcome
		within  time.Duration
	}{
		{"runs at another entry", func(p *peers) { p.runs["c"] = []string{"j"} }, Cancelled, 3 * ms},
		{"runs nowhere", func(*peers) {}, NotRunning, 3 * ms},
		{"runs at another entry while one hangs", func(p *peers) { p.runs["c"], p.failures["a"] = []string{"j"}, Unanswered }, Cancelled, 3 * ms},
		{"was cancelled before", func(p *peers) { p.cancelledBefore["a"] = []string{"j"} }, Cancelled, 3 * ms},
		{"entry down", func(p *peers) { p.failures["a"] = Unreachable }, NotRunning, unreachableTimeout + 250*ms},
		{"entry hangs", func(p *peers) { p.failures["a"] = Unanswered }, NotRunning, timeout + ms},
		{"entry of an earlier release", func(p *peers) { p.failures["a"] = Unsupported }, NotRunning, 3 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPeers()
			tc.prepare(p)
			i := p.begin("j", "a", "b", "c")
			took := p.run(i, "a", "b", "c")
			qt.Check(t, i.Outcome(), qt.Equals, tc.outcome)
			qt.Check(t, took <= tc.within, qt.IsTrue, qt.Commentf("took %v", took))
			qt.Check(t, p.open, qt.Equals, 0)
		})
	}
}

// Guards against an entry that was down or hung for a while and is left out of inquiries
// after its return, and against waiting anew for each job while it is still down.
func TestFailingEntryIsWaitedForOnce(t *testing.T) {
	for _, f := range []Failure{Unreachable, Unanswered} {
		p := newPeers()
		p.failures["a"] = f
		p.run(p.begin("j1", "a"), "a")
		took := p.run(p.begin("j2", "a"), "a")
		qt.Check(t, took <= 800*ms, qt.IsTrue, qt.Commentf("took %v", took))
		delete(p.failures, "a")
		p.now += requestInterval
		p.runs["a"] = []string{"j3"}
		i := p.begin("j3", "a")
		p.run(i, "a")
		qt.Check(t, i.Outcome(), qt.Equals, Cancelled)
		// It is tried for as long as any other after it has answered.
		p.failures["a"] = f
		took = p.run(p.begin("j4", "a"), "a")
		qt.Check(t, took >= unreachableTimeout, qt.IsTrue, qt.Commentf("took %v", took))
	}
}

// Load pattern: a client cancels jobs at random. Guards against requests and memory without
// bound, and against "no such job" for a job about which nobody was asked.
func TestRandomCancellationsAreBounded(t *testing.T) {
	p := newPeers()
	names := []string{"a", "b", "c"}
	var inquiries []*Inquiry
	for n := range 5 * MaxOpen {
		if i := p.begin(fmt.Sprint(n), names...); i != nil {
			inquiries = append(inquiries, i)
		}
	}
	qt.Assert(t, inquiries, qt.HasLen, MaxOpen)
	last := inquiries[len(inquiries)-1]
	took := p.run(last, names...)
	qt.Check(t, last.Outcome(), qt.Equals, NotRunning)
	qt.Check(t, took <= 4*requestInterval, qt.IsTrue, qt.Commentf("took %v", took))
	qt.Check(t, p.requests, qt.Equals, 3*MaxOpen/MaxJobs)
	// None of the others has another outcome.
	for _, i := range inquiries {
		qt.Assert(t, i.Outcome(), qt.Equals, NotRunning)
	}
	// One client after the other: an entry gets a request every requestInterval at most.
	p.requests = 0
	began := p.now
	for n := range 50 {
		p.run(p.begin(fmt.Sprint("x", n), names...), names...)
	}
	most := len(names) * (int((p.now-began)/requestInterval) + 1)
	qt.Check(t, p.requests <= most, qt.IsTrue, qt.Commentf("%d requests", p.requests))
	// Jobs that couldn't be asked about in time, and one whose caller has gone.
	i := p.begin("y", names...)
	p.End(i)
	qt.Check(t, i.Outcome(), qt.Equals, Unresolved)
	many := make([]string, maxPeers+1)
	for n := range many {
		many[n] = fmt.Sprint("entry", n)
	}
	p.now += time.Second
	i = p.begin("z", many...)
	p.run(i, many...)
	qt.Check(t, i.Outcome(), qt.Equals, Unresolved)
	// Entries are forgotten.
	p.now += time.Minute
	for name := range p.peers {
		jobs, wait := p.Next(p.now, name)
		qt.Check(t, len(jobs) == 0 && wait == 0, qt.IsTrue)
	}
	p.begin("end")
	qt.Check(t, p.peers, qt.HasLen, 0)
	qt.Check(t, p.open, qt.Equals, 0)
}

// Guards against entries that aren't told of a cancelled job, because one of them ran it or
// fails, and against a notice that lasts for ever.
func TestAllEntriesAreTold(t *testing.T) {
	p := newPeers()
	p.runs["a"], p.failures["b"] = []string{"j"}, Unreachable
	names := []string{"a", "b", "c"}
	told := false
	qt.Assert(t, p.Tell(p.now, "j", time.Second, names, func() { told = true }), qt.IsTrue)
	for _, name := range names {
		jobs, _ := p.Next(p.now, name)
		qt.Assert(t, jobs, qt.DeepEquals, []Request{{"j", time.Second}}, qt.Commentf("%s", name))
		if name == "a" {
			p.Answered("a", []string{"j"}, nil)
		}
	}
	p.Answered("c", nil, nil)
	// The caller waits for an entry until it fails for the first time.
	qt.Check(t, told, qt.IsFalse)
	for p.Failed(p.now, "b", Unreachable); p.open > 0 && p.now < time.Second; p.now += 10 * ms {
		if jobs, _ := p.Next(p.now, "b"); len(jobs) > 0 {
			p.Failed(p.now, "b", Unreachable)
		}
	}
	qt.Check(t, told, qt.IsTrue)
	qt.Check(t, p.open, qt.Equals, 0)
	qt.Check(t, p.now <= unreachableTimeout+requestInterval, qt.IsTrue, qt.Commentf("%v", p.now))
}

// Load: a caller cancels several jobs in a row. Guards against a notice that is held back after
// the one before, and against a caller that waits for an entry that is known to fail.
func TestNoticesInARow(t *testing.T) {
	p := newPeers()
	p.now = time.Second
	told := 0
	tell := func(job string, names ...string) {
		qt.Assert(t, p.Tell(p.now, job, time.Second, names, func() { told++ }), qt.IsTrue)
	}
	for n := range 5 {
		tell(fmt.Sprint("j", n), "a")
		jobs, wait := p.Next(p.now, "a")
		if n > 0 {
			qt.Assert(t, wait <= noticeInterval, qt.IsTrue, qt.Commentf("%v", wait))
			p.now += wait
			jobs, _ = p.Next(p.now, "a")
		}
		qt.Assert(t, jobs, qt.DeepEquals, []Request{{fmt.Sprint("j", n), time.Second}})
		p.Answered("a", nil, nil)
		qt.Assert(t, told, qt.Equals, n+1)
	}
	// Those that come while a request is under way go together.
	tell("k1", "a")
	p.now += requestInterval
	_, _ = p.Next(p.now, "a")
	tell("k2", "a")
	tell("k3", "a")
	p.Answered("a", nil, nil)
	p.now += noticeInterval
	jobs, _ := p.Next(p.now, "a")
	qt.Assert(t, jobs, qt.HasLen, 2)
	p.Failed(p.now, "a", Unanswered)
	qt.Assert(t, told, qt.Equals, 8)
	tell("k4", "a")
	qt.Assert(t, told, qt.Equals, 9)
	_, wait := p.Next(p.now, "a")
	qt.Assert(t, wait > noticeInterval, qt.IsTrue)
}

// Guards against a cancelled job that is forgotten while its request may still arrive, and
// against a memory without bound.
func TestRecentCancellations(t *testing.T) {
	r := NewRecent()
	r.Add(0, "a", 10*time.Second)
	r.Add(time.Second, "a", 10*time.Second)
	r.Add(2*time.Second, "a", time.Second)
	qt.Check(t, r.Contains(11*time.Second-1, "a"), qt.IsTrue)
	qt.Check(t, r.Contains(11*time.Second, "a"), qt.IsFalse)
	r.Add(2*time.Second, "b", 24*time.Hour)
	qt.Check(t, r.Contains(maxRetention, "b"), qt.IsTrue)
	qt.Check(t, r.Contains(maxRetention+2*time.Second, "b"), qt.IsFalse)
	qt.Check(t, r.List(3*time.Second, 1), qt.DeepEquals, []Request{{"b", maxRetention - time.Second}})
	qt.Check(t, r.List(3*time.Second, 9), qt.DeepEquals, []Request{{"b", maxRetention - time.Second}, {"a", 8 * time.Second}})
	qt.Check(t, r.List(12*time.Second, 9), qt.HasLen, 1)
	for n := range maxRecent {
		r.Add(time.Second, fmt.Sprint(n), time.Second)
	}
	qt.Check(t, r.Contains(time.Second, "a"), qt.IsFalse)
	qt.Check(t, len(r.until) == maxRecent && len(r.order) == maxRecent, qt.IsTrue)
	r.Add(3*time.Second, "c", 0)
	qt.Check(t, len(r.until) == 0 && len(r.order) == 0, qt.IsTrue)
}
