package runner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/link"
)

// Guards against tasks on a worker without their label or of another service, because
// entries aren't told that the worker has come back under its ID as another kind, or are
// told after they have sent starts for the former one.
func TestWorkerComesBackAsAnotherKind(t *testing.T) {
	for name, change := range map[string]func(a *Announcement){
		"labels":        func(a *Announcement) { a.Labels = []string{"b"} },
		"service":       func(a *Announcement) { a.Service = "other" },
		"zone":          func(a *Announcement) { a.Zone = "z2" },
		"capacity":      func(a *Announcement) { a.Capacity.MilliCPU /= 2 },
		"same instance": func(a *Announcement) { a.Labels, a.Born = []string{"b"}, 7 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newReadyFixture(t)
			f.s.EntryConnected(f.now, 2, link.Hello{Entry: "e2", Incarnation: 12})
			f.sendCommands(2, &link.Commands{Inactive: true})
			earlier := f.s.workerRevision
			changed := announcement(9, false)
			changed.ID, changed.Sequence = announcement(7, false).ID, 2
			change(&changed)
			f.now += ms
			f.answerRenewalOf(changed.Born)
			f.Assert(f.announce(changed), qt.IsTrue)
			var stored *Announcement
			out := f.s.TakeActions(f.now)
			if out.Worker != nil {
				stored = out.Worker
			}
			f.Assert(stored, qt.IsNotNil, qt.Commentf("the announcement is stored"))
			f.Assert(stored.Labels, qt.DeepEquals, changed.Labels)
			told := map[ConnID]*link.WorkerState{}
			for _, r := range out.Reports {
				told[r.Conn] = r.Report.Worker
			}
			want := &link.WorkerState{
				Revision: told[1].Revision, ID: changed.ID, Born: changed.Born, Service: changed.Service, Zone: changed.Zone,
				Capacity: changed.Capacity, Labels: changed.Labels,
			}
			f.Assert(told, qt.DeepEquals, map[ConnID]*link.WorkerState{1: want, 2: want})

			s := start("j", 0)
			s.WorkerRevision = earlier
			f.handleCommands(1, &link.Commands{Starts: []link.Start{s}})
			f.Assert(f.starts, qt.HasLen, 0)
			f.Assert(f.reports[1].Answers, qt.DeepEquals, []link.StartAnswer{{Task: s.Task, Attempt: s.Attempt, Result: link.Refused}})
			f.answerRenewalOf(changed.Born)
			f.sendCommands(1, &link.Commands{Starts: []link.Start{s}})
			f.Assert(f.starts, qt.HasLen, 1)
		})
	}
}
