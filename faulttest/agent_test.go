package faulttest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
)

// maxTasksPerAgent is the maximum number of tasks that an agent has at one time: those
// in its slots and those that wait for a slot. Up to this many jobs of one task each
// may fail with the agent.
const maxTasksPerAgent = slots + 4

// checkAgentLoss checks that at most allowed jobs failed, each in time and with an
// answer that says that the job ran or may have run.
func checkAgentLoss(t *testing.T, done []outcome, allowed int) {
	failed := 0
	for _, o := range done {
		if o.complete() {
			continue
		}
		failed++
		if o.answer == nil || o.answer.Ran == api.RanNo {
			t.Errorf("an affected job must fail with ran maybe or yes: %v", o)
		}
		if o.elapsed > unaffectedLimit+2*time.Second {
			t.Errorf("an affected job failed late: %v", o)
		}
		t.Logf("affected: %v", o)
	}
	if failed > allowed {
		t.Errorf("%d of %d jobs failed, but the lost agents had at most %d tasks", failed, len(done), allowed)
	}
}

// Guards against a task that is started twice, or a job that hangs, when an agent
// crashes, loses its in-memory ledger and restarts under the same name.
func TestAgentKilled(t *testing.T) {
	c := newCluster(t, 4, 2, 3)
	l := c.startLoad(16, 1, 100)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		c.agents[0].kill()
		time.Sleep(300 * time.Millisecond)
		c.agents[0].start()
		c.waitConnected()
		time.Sleep(500 * time.Millisecond)
	}
	checkAgentLoss(t, l.stop(), 2*maxTasksPerAgent)
	o := c.submitAcrossOwnerChanges(0, c.key(), 60, 10, 5*time.Second)
	qt.Check(t, o.complete(), qt.IsTrue, qt.Commentf("%v", o))
	c.verifyExecutions()
}

// Guards against a second start when an entry and an agent crash together, so
// that neither the owner nor the ledger has a record of the first start.
func TestAgentAndEntryKilled(t *testing.T) {
	c := newCluster(t, 5, 3, 3)
	killed := c.entries[0]
	l := c.startLoad(16, 1, 100)
	var keys []api.Key
	for range 6 {
		key := c.keyOwnedBy(killed)
		keys = append(keys, key)
		go c.submit([]string{killed.callerAddr}, key, 20, 100, 2*time.Second)
	}
	c.eventually("tasks run", 5*time.Second, func() bool { return len(c.executions.RunsByTask(keys[0])) > 0 })
	c.agents[0].kill()
	killed.kill()
	c.agents[0].start()
	c.waitRemoved(killed)
	var others []outcome
	for _, o := range l.stop() {
		if c.owner(o.key) != killed.name {
			others = append(others, o)
		}
	}
	checkAgentLoss(t, others, maxTasksPerAgent)
	for _, key := range keys {
		o := c.submitAcrossOwnerChanges(1, key, 20, 100, 5*time.Second)
		if o.answer == nil || o.answer.Verdict == api.Failed && o.answer.Ran == api.RanNo {
			t.Errorf("a job of the killed entry got no answer or claims not to have run: %v", o)
		}
	}
	c.verifyExecutions()
}

// Guards against jobs that fail as in doubt because an agent restarts after it has
// reported which tasks the removed entry had started.
func TestAgentRestartedAfterRemoval(t *testing.T) {
	c := newCluster(t, 9, 3, 2)
	killed := c.entries[0]
	killed.kill()
	c.waitRemoved(killed)
	c.agents[0].kill()
	c.agents[0].start()
	c.eventually("the restarted agent is connected to both entries", 15*time.Second, func() bool {
		s1, err1 := c.entries[1].status()
		s2, err2 := c.entries[2].status()
		return c.agents[0].ready() && err1 == nil && err2 == nil && s1.Workers == 2 && s2.Workers == 2
	})
	for range 20 {
		if o := c.submitAcrossOwnerChanges(1, c.keyOwnedBy(killed), 3, 10, 5*time.Second); !o.complete() {
			t.Errorf("not complete: %v", o)
		}
	}
	c.verifyExecutions()
}
