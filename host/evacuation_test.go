package host

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/standin/store"
)

// Guards against a task that starts in a zone after the operator's row has reached the agents,
// also after a restart of an entry, of an agent and while the store is away; against jobs that
// are lost meanwhile; and against a zone that stays unused after the row is removed.
func TestEvacuatedZone(t *testing.T) {
	d := newDeployment(t)
	entry := d.startEntry("e1")
	d.startAgentInZone("z1", "a1", 1)
	agent := d.startAgentInZone("z2", "a2", 1)
	d.waitUntilServing(entry)
	n := 0
	submit := func(p *testProcess, tasks int) int {
		n++
		return p.submit(jobID(n), tasks, 20).status
	}
	d.eventually("both zones are used", 5*time.Second, func() bool {
		return submit(entry, 8) == http.StatusOK && d.audit.StartsInZone("z2") > 0
	})

	d.store.Put(platform.ConfigTable, platform.EvacuationPrefix+"z2", []byte("by the operator"))
	d.eventually("the agent is told", 2*time.Second, func() bool { return len(d.log.lines("starts are refused", "z2")) == 1 })
	d.audit.EvacuateZone("z2", time.Now())
	submitSome := func(p *testProcess) {
		d.Helper()
		for range 5 {
			// Twice the capacity of the other zone.
			d.Assert(submit(p, 8), qt.Equals, http.StatusOK)
		}
	}
	submitSome(entry)

	entry.stop()
	d.store.SetFaults(store.Faults{Unavailable: true})
	agent.stop()
	d.startProcess(&testProcess{deployment: d, name: "a2", agent: true, zone: "z2", settings: agent.settings, worker: agent.worker})
	d.store.SetFaults(store.Faults{})
	second := d.startEntry("e2")
	d.waitUntilServing(second)
	d.eventually("the agent is told again", 5*time.Second, func() bool { return len(d.log.lines("starts are refused", "z2")) == 2 })
	submitSome(second)

	d.audit.RestoreZone("z2")
	d.store.Remove(platform.ConfigTable, platform.EvacuationPrefix+"z2")
	before := d.audit.StartsInZone("z2")
	d.eventually("the zone is used again", 2*time.Second, func() bool {
		return submit(second, 8) == http.StatusOK && d.audit.StartsInZone("z2") > before
	})
}

// Guards against an answer that isn't "not run", or callers who wait for nothing, while the
// only zone is evacuated.
func TestOnlyZoneEvacuated(t *testing.T) {
	d := newDeployment(t)
	entry := d.startEntry("e1")
	d.startAgent("a1", 1)
	d.waitUntilServing(entry)
	// An entry refuses no job for this reason in its first second.
	time.Sleep(time.Second)
	d.store.Put(platform.ConfigTable, platform.EvacuationPrefix+"z1", nil)
	d.eventually("the agent is told", 2*time.Second, func() bool { return len(d.log.lines("starts are refused")) == 1 })
	r := entry.submit(jobID(1), 1, 20)
	d.Assert([]any{r.status, r.header.Get("Retry-After")}, qt.DeepEquals, []any{http.StatusServiceUnavailable, "2"})
	d.Assert(r.body, qt.Contains, "not run: the operator has evacuated")
	d.Assert(r.took < 500*time.Millisecond, qt.IsTrue)
	d.Assert(d.audit.Starts(jobID(1)), qt.Equals, 0)
	d.store.Remove(platform.ConfigTable, platform.EvacuationPrefix+"z1")
	d.waitUntilServing(entry)
}

// Guards against an entry that is cut off from the store and learns of an evacuated zone later
// than the operator may expect, or not at all.
func TestEntryCutOffFromTheStoreLearnsOfAnEvacuatedZone(t *testing.T) {
	d := newDeployment(t)
	var silent atomic.Bool
	link := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply := httptest.NewRecorder()
		if !silent.Load() {
			d.store.ServeHTTP(reply, r)
		}
		// Also a read that was under way gets no answer.
		if silent.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(reply.Code)
		_, _ = w.Write(reply.Body.Bytes())
	}))
	t.Cleanup(func() { link.CloseClientConnections(); link.Close() })
	d.startEntry("e1")
	direct := d.storeAddress
	d.storeAddress = link.Listener.Addr().String()
	cutOff := d.startEntry("e2")
	d.storeAddress = direct
	d.startAgent("a1", 1)
	d.waitUntilServing(cutOff)
	silent.Store(true)
	d.store.Put(platform.ConfigTable, platform.EvacuationPrefix+"z1", nil)
	began := time.Now()
	d.eventually("the entry is told", 4*time.Second, func() bool { return len(d.log.lines("zone evacuated", `"host":"e2"`)) == 1 })
	t.Logf("known after %v", time.Since(began))
	d.store.Remove(platform.ConfigTable, platform.EvacuationPrefix+"z1")
	began = time.Now()
	d.eventually("the entry is told of the return", 4*time.Second, func() bool { return len(d.log.lines("zone restored", `"host":"e2"`)) == 1 })
	t.Logf("restored after %v", time.Since(began))
}
