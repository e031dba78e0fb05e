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

// storm breaks one thing after the other. Only its goroutine uses it.
type storm struct {
	c    *cluster
	rand *rand.Rand
	// paused holds the stopped processes and when they go on.
	paused map[*process]time.Time
	// healed is when the platform comes back.
	healed time.Time
}

func (s *storm) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)))
}

// pause is short for two in three, otherwise long enough for a removal.
func (s *storm) pause() time.Duration {
	if s.rand.IntN(3) > 0 {
		return s.between(100*time.Millisecond, 3*time.Second)
	}
	return s.between(7*time.Second, 10*time.Second)
}

// persist submits a job at one entry after the other, as the caller of a job
// that it believes lost.
func (c *cluster) persist(first int, key api.Key) {
	for i := range 6 {
		a := c.submit(c.callers(first+i), key, 3, 40, 1200*time.Millisecond)
		if a != nil && a.Reason != api.ReasonOwnerChange && a.Reason != api.ReasonOwnerUnreachable {
			return
		}
	}
}

func (s *storm) step() {
	c := s.c
	for p, until := range s.paused {
		if time.Now().After(until) {
			p.signal(syscall.SIGCONT)
			delete(s.paused, p)
		}
	}
	if !s.healed.IsZero() && time.Now().After(s.healed) {
		c.platform.SetFaults(standin.PlatformFaults{})
		s.healed = time.Time{}
	}
	p := c.entries[s.rand.IntN(len(c.entries))]
	if s.rand.IntN(3) == 0 {
		p = c.agents[s.rand.IntN(len(c.agents))]
	}
	switch s.rand.IntN(6) {
	case 0, 1:
		p.kill()
		delete(s.paused, p)
		time.Sleep(s.between(0, 200*time.Millisecond))
		p.start()
	case 2, 3:
		if s.paused[p].IsZero() {
			p.signal(syscall.SIGSTOP)
			s.paused[p] = time.Now().Add(s.pause())
		}
	case 4:
		c.platform.SetFaults(standin.PlatformFaults{Unavailable: true})
		s.healed = time.Now().Add(s.between(200*time.Millisecond, 2*time.Second))
	case 5:
		c.platform.SetFaults(standin.PlatformFaults{LoseReplies: s.rand.IntN(3), LoseRequests: s.rand.IntN(3)})
		s.healed = time.Now().Add(time.Second)
	}
}

func (s *storm) end() {
	for p := range s.paused {
		p.signal(syscall.SIGCONT)
	}
	s.c.platform.SetFaults(standin.PlatformFaults{})
}

// Guards against false answers and second starts when failures come together and
// repeatedly while callers submit, resubmit and cancel.
func TestFailuresTogether(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run("", func(t *testing.T) { runStorm(t, seed, 20*time.Second) })
	}
}

func runStorm(t *testing.T, seed uint64, length time.Duration) {
	c := newCluster(t, 100+seed, 3, 3)
	s := &storm{c: c, rand: rand.New(rand.NewPCG(seed, 2)), paused: map[*process]time.Time{}}
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			for n := i; !stop.Load(); n++ {
				key := c.key()
				if n%4 == 0 {
					wg.Go(func() { c.persist(n+1, key) })
				}
				if n%7 == 0 {
					wg.Go(func() {
						time.Sleep(30 * time.Millisecond)
						c.tryCancel(key, 3)
					})
				}
				c.persist(n, key)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(s.between(200*time.Millisecond, 2*time.Second)) {
		s.step()
	}
	s.end()
	stop.Store(true)
	wg.Wait()
	c.eventually("the deployment is whole again", 40*time.Second, func() bool {
		for _, e := range c.entries {
			if st, err := e.status(); err != nil || !st.Ready || len(st.Entries) != 3 || st.Workers != 3 || len(st.Unresolved) > 0 {
				return false
			}
		}
		return true
	})
	for i := range 6 {
		if o := c.insist(i, c.key(), 3, 20, 5*time.Second); o.answer == nil {
			t.Errorf("no answer after the failures: %v", o)
		}
	}
	complete := 0
	for _, h := range c.seen {
		for _, a := range h.answers {
			if len(a.Results) > 0 {
				complete++
				break
			}
		}
	}
	t.Logf("seed %d: %d of %d jobs were complete, %d tasks were run", seed, complete, len(c.seen), c.runs.Total())
	c.verify()
}
