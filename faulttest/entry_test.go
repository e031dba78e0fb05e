package faulttest

import (
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
)

const (
	// removalTimeout is how long the peers of a crashed entry may take to remove it:
	// three missed pings of 2 s each, the interval before the first, and the poll of
	// the roster.
	removalTimeout = 12 * time.Second
	// unaffectedLimit is the limit for an answer that a fault must not delay.
	unaffectedLimit = 2 * time.Second
)

// waitRemoved waits until the other entries have removed p from the roster and no key
// is blocked because an agent has yet to report which tasks a removed entry started.
func (c *cluster) waitRemoved(p *process) {
	c.t.Helper()
	c.eventually(p.name+" is removed from the roster", removalTimeout, func() bool {
		for _, e := range c.entries {
			if e == p {
				continue
			}
			if s, err := e.status(); err != nil || len(s.Entries) != len(c.entries)-1 || len(s.Unresolved) > 0 {
				return false
			}
		}
		return true
	})
}

// Guards against a job that gets no answer, a second start or a partial answer
// when its owner crashes, and against delays of the jobs of other owners.
func TestEntryKilled(t *testing.T) {
	c := newCluster(t, 1, 3, 3)
	l := c.startLoad(8, 3, 30)
	time.Sleep(700 * time.Millisecond)
	c.entries[0].kill()
	c.waitRemoved(c.entries[0])
	time.Sleep(300 * time.Millisecond)
	for _, o := range l.stop() {
		if !o.complete() {
			t.Errorf("not complete: %v", o)
		}
		if c.owner(o.key) != "e1" && o.elapsed > unaffectedLimit {
			t.Errorf("a job of another owner was delayed: %v", o)
		}
	}
	c.verifyExecutions()
}

// Guards against an entry that is paused until after its removal from the roster
// and, once resumed, starts tasks a second time or gives a false answer.
func TestEntryPaused(t *testing.T) {
	c := newCluster(t, 2, 2, 3)
	paused := c.entries[0]
	const jobs, tasks, ms = 8, 40, 40
	var keys []api.Key
	var wg sync.WaitGroup
	for range jobs {
		key := c.keyOwnedBy(paused)
		keys = append(keys, key)
		wg.Go(func() { c.submit([]string{paused.callerAddr}, key, tasks, ms, 30*time.Second) })
	}
	c.eventually("tasks run", 5*time.Second, func() bool { return c.executions.Total() > 40 })
	paused.signal(syscall.SIGSTOP)
	c.waitRemoved(paused)
	var mu sync.Mutex
	var recovered []outcome
	for _, key := range keys {
		wg.Go(func() {
			o := c.submitAcrossOwnerChanges(1, key, tasks, ms, 5*time.Second)
			mu.Lock()
			defer mu.Unlock()
			recovered = append(recovered, o)
		})
	}
	time.Sleep(50 * time.Millisecond)
	paused.signal(syscall.SIGCONT)
	wg.Wait()
	for _, o := range recovered {
		if !o.complete() {
			t.Errorf("job was not completed by the other entry: %v", o)
		}
	}
	c.eventually("the entry has joined again", 10*time.Second, func() bool {
		s, err := paused.status()
		return err == nil && s.Ready && len(s.Entries) == 2
	})
	for _, key := range keys {
		if o := c.submitAcrossOwnerChanges(0, key, tasks, ms, 5*time.Second); !o.complete() {
			t.Errorf("answer changed after the entry has joined again: %v", o)
		}
	}
	c.verifyExecutions()
}

// Guards against a job that runs more than once when it is submitted under the same
// key to several entries at once.
func TestSameKeyEverywhere(t *testing.T) {
	c := newCluster(t, 3, 3, 3)
	for range 40 {
		key := c.key()
		var wg sync.WaitGroup
		answers := make([]*api.Answer, 9)
		for i := range answers {
			wg.Go(func() { answers[i] = c.submit([]string{c.entries[i%3].callerAddr}, key, 10, 10, 5*time.Second) })
		}
		wg.Wait()
		for _, a := range answers {
			qt.Assert(t, a, qt.IsNotNil)
			qt.Check(t, a.Verdict, qt.Equals, api.Complete, qt.Commentf("%s", describeAnswers([]*api.Answer{a})))
			qt.Check(t, a.Results, qt.DeepEquals, answers[0].Results)
		}
	}
	c.verifyExecutions()
}
