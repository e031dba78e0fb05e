package faulttest

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/standin"
)

// faultInjector injects random faults into a cluster. It is not safe for concurrent
// use.
type faultInjector struct {
	c    *cluster
	rand *rand.Rand
	// resumeAt holds the paused processes and the times at which they resume.
	resumeAt map[*process]time.Time
	// platformRecoversAt is the time at which the faults of the platform end; zero
	// means that it has none.
	platformRecoversAt time.Time
}

func (f *faultInjector) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rand.Int64N(int64(high-low)))
}

// pauseDuration returns a short pause in two of three cases, otherwise one that is long
// enough for an entry to be removed from the roster.
func (f *faultInjector) pauseDuration() time.Duration {
	if f.rand.IntN(3) > 0 {
		return f.randomDuration(100*time.Millisecond, 3*time.Second)
	}
	return f.randomDuration(7*time.Second, 10*time.Second)
}

// submitWithTimeouts submits a job to one entry after the other with a short timeout, as
// a caller does that presumes the job lost.
func (c *cluster) submitWithTimeouts(first int, key api.Key) {
	for i := range 6 {
		a := c.submit(c.callerAddrs(first+i), key, 3, 40, 1200*time.Millisecond)
		if a != nil && a.Reason != api.ReasonOwnerChange && a.Reason != api.ReasonOwnerUnreachable {
			return
		}
	}
}

// injectFault ends the faults whose time has passed and injects a random fault.
func (f *faultInjector) injectFault() {
	c := f.c
	for p, resumeTime := range f.resumeAt {
		if time.Now().After(resumeTime) {
			p.signal(syscall.SIGCONT)
			delete(f.resumeAt, p)
		}
	}
	if !f.platformRecoversAt.IsZero() && time.Now().After(f.platformRecoversAt) {
		c.platform.SetFaults(standin.PlatformFaults{})
		f.platformRecoversAt = time.Time{}
	}
	p := c.entries[f.rand.IntN(len(c.entries))]
	if f.rand.IntN(3) == 0 {
		p = c.agents[f.rand.IntN(len(c.agents))]
	}
	switch f.rand.IntN(6) {
	case 0, 1:
		p.kill()
		delete(f.resumeAt, p)
		time.Sleep(f.randomDuration(0, 200*time.Millisecond))
		p.start()
	case 2, 3:
		if f.resumeAt[p].IsZero() {
			p.signal(syscall.SIGSTOP)
			f.resumeAt[p] = time.Now().Add(f.pauseDuration())
		}
	case 4:
		c.platform.SetFaults(standin.PlatformFaults{Unavailable: true})
		f.platformRecoversAt = time.Now().Add(f.randomDuration(200*time.Millisecond, 2*time.Second))
	case 5:
		c.platform.SetFaults(standin.PlatformFaults{LoseReplies: f.rand.IntN(3), LoseRequests: f.rand.IntN(3)})
		f.platformRecoversAt = time.Now().Add(time.Second)
	}
}

func (f *faultInjector) clearFaults() {
	for p := range f.resumeAt {
		p.signal(syscall.SIGCONT)
	}
	f.c.platform.SetFaults(standin.PlatformFaults{})
}

// Guards against false answers and second starts when several failures occur at
// once and repeatedly, while callers submit, resubmit and cancel jobs.
func TestConcurrentFailures(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run("", func(t *testing.T) { runFaultInjection(t, seed, 20*time.Second) })
	}
}

func runFaultInjection(t *testing.T, seed uint64, duration time.Duration) {
	c := newCluster(t, 100+seed, 3, 3)
	f := &faultInjector{c: c, rand: rand.New(rand.NewPCG(seed, 2)), resumeAt: map[*process]time.Time{}}
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			for n := i; !stop.Load(); n++ {
				key := c.key()
				if n%4 == 0 {
					wg.Go(func() { c.submitWithTimeouts(n+1, key) })
				}
				if n%7 == 0 {
					wg.Go(func() {
						time.Sleep(30 * time.Millisecond)
						c.tryCancel(key, 3)
					})
				}
				c.submitWithTimeouts(n, key)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(f.randomDuration(200*time.Millisecond, 2*time.Second)) {
		f.injectFault()
	}
	f.clearFaults()
	stop.Store(true)
	wg.Wait()
	c.eventually("every entry is ready with all entries and workers", 40*time.Second, func() bool {
		for _, e := range c.entries {
			if st, err := e.status(); err != nil || !st.Ready || len(st.Entries) != 3 || st.Workers != 3 || len(st.Unresolved) > 0 {
				return false
			}
		}
		return true
	})
	for i := range 6 {
		if o := c.submitAcrossOwnerChanges(i, c.key(), 3, 20, 5*time.Second); o.answer == nil {
			t.Errorf("no answer after the failures: %v", o)
		}
	}
	complete := 0
	for _, h := range c.histories {
		for _, a := range h.answers {
			if len(a.Results) > 0 {
				complete++
				break
			}
		}
	}
	t.Logf("seed %d: %d of %d jobs were complete, %d tasks were executed", seed, complete, len(c.histories), c.executions.Total())
	c.verifyExecutions()
}
