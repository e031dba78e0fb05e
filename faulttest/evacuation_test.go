package faulttest

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/ingress"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/sheet"
	"github.com/sesamelift/sesamelift/standin"
)

// evacuate evacuates or restores a zone and waits until this is in effect at all entries.
func (c *cluster) evacuate(zone string, restore bool) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := sheet.Evacuate(ctx, platform.NewStore(c.platform.Addr()), zone, restore, "amina", fmt.Sprintf("%s-%v", zone, restore))
	qt.Assert(c.t, err, qt.IsNil)
	c.waitVersion(r.Version, time.Now())
}

// everyEntry reports whether the status of every entry fulfils a condition.
func (c *cluster) everyEntry(f func(s *ingress.Status) bool) bool {
	return !slices.ContainsFunc(c.entries, func(p *process) bool {
		s, err := p.status()
		return err != nil || !f(s)
	})
}

// Guards against tasks that start in an evacuated zone, that are interrupted there or
// are lost in the hold queue of an agent, against entries that don't report the end of
// the last one, against a restored zone that stays unused, and against a job that waits
// or may have run when every zone is evacuated.
func TestEvacuation(t *testing.T) {
	c := newCluster(t, 23, 2, 2)
	c.addAgentIn("z2")
	c.waitConnected()
	l := c.startLoad(8, 2, 30)
	inUse := func() bool { n, _ := c.backends[2].Running(); return n > 0 }
	c.eventually("the worker of the zone is in use", 5*time.Second, inUse)
	// Tasks of 30 ms now take 1.5 s there, so that some run during the evacuation.
	c.backends[2].SetFaults(standin.BackendFaults{SlowFactor: 50})
	time.Sleep(500 * time.Millisecond)
	c.eventually("slow tasks run in the zone", 5*time.Second, inUse)
	evacuatedAt := time.Now()
	c.evacuate("z2", false)
	c.eventually("no task runs in the zone any more", 5*time.Second, func() bool {
		return c.everyEntry(func(s *ingress.Status) bool {
			return slices.Equal(s.EvacuatedZones, []ingress.EvacuatedZone{{Zone: "z2", Workers: 1}})
		})
	})
	time.Sleep(time.Until(evacuatedAt.Add(leaveGracePeriod + time.Second)))
	done := l.stop()
	checkComplete(t, done)
	checkNoTasksAfterLeave(t, done, "w3", evacuatedAt)

	c.backends[2].SetFaults(standin.BackendFaults{})
	c.evacuate("z2", true)
	wide := c.submitAsync(0, c.key(), 3*slots, 300)
	c.eventually("the worker of the restored zone is in use", 5*time.Second, inUse)
	checkComplete(t, []outcome{<-wide})

	c.evacuate("z1", false)
	ctx := context.Background()
	_, err := sheet.Evacuate(ctx, platform.NewStore(c.platform.Addr()), "z2", false, "amina", "z2-again")
	qt.Assert(t, err, qt.IsNil)
	c.eventually("both zones are evacuated", 5*time.Second, func() bool {
		return c.everyEntry(func(s *ingress.Status) bool { return len(s.EvacuatedZones) == 2 })
	})
	o := c.submitAcrossOwnerChanges(0, c.key(), 1, 10, 10*time.Second)
	qt.Assert(t, o.answer, qt.IsNotNil)
	qt.Check(t, []any{o.answer.Ran, o.answer.Reason}, qt.DeepEquals, []any{api.RanNo, api.ReasonOverload})
	c.verifyExecutions()
}
