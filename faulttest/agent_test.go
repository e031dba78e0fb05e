package faulttest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
)

// affectedByAgent is how many jobs of one task an agent may take with it: its
// slots and what it holds.
const affectedByAgent = slots + 4

// checkAgentLoss allows as many failed jobs as the agent had tasks. They must
// say that they may have run.
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
		if o.took > promptly+2*time.Second {
			t.Errorf("an affected job failed late: %v", o)
		}
		t.Logf("affected: %v", o)
	}
	if failed > allowed {
		t.Errorf("%d of %d jobs failed, the agent had at most %d tasks", failed, len(done), allowed)
	}
}

// Guards against a task that starts again, or a job that hangs, when an agent
// crashes with its ledger and starts again under the same name.
func TestAgentKilled(t *testing.T) {
	c := newCluster(t, 4, 2, 3)
	l := c.load(16, 1, 100)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		c.agents[0].kill()
		time.Sleep(300 * time.Millisecond)
		c.agents[0].start()
		c.connected()
		time.Sleep(500 * time.Millisecond)
	}
	checkAgentLoss(t, l.finish(), 2*affectedByAgent)
	o := c.insist(0, c.key(), 60, 10, 5*time.Second)
	qt.Check(t, o.complete(), qt.IsTrue, qt.Commentf("%v", o))
	c.verify()
}

// Guards against a second start when an entry and an agent crash together, so
// that neither the owner nor the ledger knows what was started.
func TestAgentAndEntryKilled(t *testing.T) {
	c := newCluster(t, 5, 3, 3)
	dead := c.entries[0]
	l := c.load(16, 1, 100)
	var keys []api.Key
	for range 6 {
		key := c.keyOf(dead)
		keys = append(keys, key)
		go c.submit([]string{dead.caller}, key, 20, 100, 2*time.Second)
	}
	c.eventually("tasks run", 5*time.Second, func() bool { return len(c.runs.Of(keys[0])) > 0 })
	c.agents[0].kill()
	dead.kill()
	c.agents[0].start()
	c.removed(dead)
	var others []outcome
	for _, o := range l.finish() {
		if c.owner(o.key) != dead.name {
			others = append(others, o)
		}
	}
	checkAgentLoss(t, others, affectedByAgent)
	for _, key := range keys {
		o := c.insist(1, key, 20, 100, 5*time.Second)
		if o.answer == nil || o.answer.Verdict == api.Failed && o.answer.Ran == api.RanNo {
			t.Errorf("a job of the dead entry: %v", o)
		}
	}
	c.verify()
}
