package faulttest

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/standin"
)

// Guards against jobs that fail or are delayed while the platform is unavailable,
// against an entry that runs jobs before it has joined the roster, and against
// processes that do not recover when replies to their writes are lost as
// the outage ends.
func TestPlatformUnavailable(t *testing.T) {
	c := newCluster(t, 10, 2, 2)
	l := c.startLoad(8, 2, 30)
	time.Sleep(300 * time.Millisecond)
	c.platform.SetFaults(standin.PlatformFaults{Unavailable: true})
	late := c.addEntry()
	late.start()
	agent := c.addAgent()
	c.eventually("the late entry answers", 5*time.Second, func() bool { _, err := late.status(); return err == nil })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		qt.Assert(t, late.ready(), qt.IsFalse, qt.Commentf("an entry that has not joined is ready"))
		qt.Assert(t, agent.ready(), qt.IsFalse, qt.Commentf("an agent that has not registered is ready"))
	}
	key := c.key()
	if a := c.submit([]string{late.callerAddr}, key, 1, 1, 300*time.Millisecond); a != nil && a.Verdict == api.Complete {
		t.Errorf("an entry that has not joined ran a job")
	}
	c.platform.SetFaults(standin.PlatformFaults{LoseReplies: 3})
	c.waitConnected()
	s, err := late.status()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Entries, qt.DeepEquals, []string{"e1", "e2", "e3"})
	time.Sleep(300 * time.Millisecond)
	for _, o := range l.stop() {
		if !o.complete() || o.elapsed > unaffectedLimit+500*time.Millisecond {
			t.Errorf("the outage of the platform affected a job: %v", o)
		}
	}
	o := c.submitAcrossOwnerChanges(2, c.keyOwnedBy(late), 30, 10, 5*time.Second)
	qt.Check(t, o.complete(), qt.IsTrue, qt.Commentf("%v", o))
	c.verifyExecutions()
}
