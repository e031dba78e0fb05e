package soak

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// regressions are the seeds that TestSoak runs: those that have failed, each with
// the cause, and a baseline. The seed determines the faults, but their exact timing
// also depends on the machine, so each cause also has a dedicated test.
var regressions = []struct {
	seed uint64
	// lifeFaults is the rate of lifeFaults per second; the earlier seeds had none.
	lifeFaults float64
	evacuate   bool
	cancel     bool
	cause      string
}{
	{598297906, 0, false, false, "a job was refused as not run while its start request was in transit to a paused agent (dispatch.TestJobWithOrderedStartIsNotReportedAsNotRun)"},
	{709804017, 1, false, false, "heartbeats of other writers, leaves and restarts made the agent give up runs that went on (host.TestHeartbeatOfAnotherWriter, host.TestTasksOfALeavingWorkerDontOverlap, runner.TestStartCallThatReachesARestartedWorker)"},
	{1, 0, false, false, "no failure known; fixed baseline seed"},
	{2, 1, true, false, "no failure known; a zone is evacuated"},
	{3, 1, false, true, "no failure known; jobs are cancelled at entries that don't run them"},
}

// buildPrograms builds the entry and the agent and returns the directory of the executables.
func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/sesamelift-platform-entry", "../cmd/sesamelift-platform-agent").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return dir
}

// Guards against a race of the deployment's own: processes that read the store before the
// workers start must not meet a list of agents that is still written. Nothing but the race
// detector sees it, so the test must not synchronize with the store while it waits.
func TestProcessesReadTheStoreBeforeTheWorkersStart(t *testing.T) {
	d, err := newDeployment(t.TempDir(), buildPrograms(t), 1, 1)
	qt.Assert(t, err, qt.IsNil)
	defer d.close()
	d.startProcesses()
	time.Sleep(500 * time.Millisecond)
	d.startWorkers()
	qt.Assert(t, d.waitAllServing(startTimeout), qt.IsTrue)
	qt.Assert(t, d.store.Counts().Reads > 0, qt.IsTrue)
}

// Guards against a violation of the product's guarantees that only a combination of
// faults causes, for example a task that runs on two workers at the same time or a
// job that runs although it was refused.
func TestSoak(t *testing.T) {
	programs := buildPrograms(t)
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
			t.Parallel()
			var log strings.Builder
			dir, err := os.MkdirTemp("", fmt.Sprintf("sesamelift-soak-%d-", r.seed))
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("the logs of the processes are kept in %s", dir)
					return
				}
				_ = os.RemoveAll(dir)
			})
			violations, err := Run(Options{
				Seed: r.seed, Programs: programs, Dir: dir, Entries: 2, Agents: 3, FaultsPerSecond: 1.5, LifeFaultsPerSecond: r.lifeFaults, EvacuateZone: r.evacuate, Cancel: r.cancel, Out: &log,
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, violations, qt.HasLen, 0, qt.Commentf("%s%s", r.cause, log.String()))
		})
	}
}
