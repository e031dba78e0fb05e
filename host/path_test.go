package host

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/standin/site"
	"github.com/sesamelift/sesamelift/standin/store"
)

const completed = `{"state":"completed"}` + "\n"

// Guards against jobs that are not completed, and against a repeated submission that
// runs its tasks again.
func TestJobIsServed(t *testing.T) {
	d := newDeployment(t)
	e := d.startEntry("e1")
	d.startAgent("a1", 1)
	d.startAgent("a2", 2)
	d.waitUntilServing(e)
	got := e.submit(jobID(1), 6, 50)
	d.Assert(got.status, qt.Equals, http.StatusOK)
	d.Assert(got.body, qt.Equals, completed)
	d.Assert(d.audit.Starts(jobID(1)), qt.Equals, 6)
	// A repeated submission gets the same response and starts no tasks.
	d.Assert(e.submit(jobID(1), 6, 50).body, qt.Equals, completed)
	d.Assert(d.audit.Starts(jobID(1)), qt.Equals, 6)
	answered := func() []string { return d.log.lines(`"msg":"job answered"`, jobID(1), `"outcome":"complete"`) }
	d.eventually("the answer is logged", 3*time.Second, func() bool { return len(answered()) > 0 })
	d.Assert(answered(), qt.HasLen, 1)
}

// Guards against wrong status codes and error messages, and against tasks of rejected
// jobs that run.
func TestRequestsThatStartNoTask(t *testing.T) {
	d := newDeployment(t)
	e := d.startEntry("e1")
	d.startAgent("a1", 1)
	d.waitUntilServing(e)
	steps := `"steps":[{"count":1,"cpu":100}]`
	for _, tc := range []struct {
		name, method, path, body string
		status                   int
		text                     string
	}{
		{"unknown queue", "POST", "/none/" + jobID(1), `{}`, 404, "no such queue"},
		{"unknown queue", "GET", "/none/", "", 404, "no such queue"},
		{"unknown job", "GET", "/jobs/" + jobID(1), "", 410, "no such job"},
		{"cancellation of an unknown job", "DELETE", "/jobs/" + jobID(1), "", 410, "no such job"},
		{"waiting jobs", "GET", "/jobs/", "", 200, `"pending":0`},
		{"malformed id", "POST", "/jobs/xyz", `{}`, 400, "16 hexadecimal digits"},
		{"malformed JSON", "POST", "/jobs/" + jobID(2), `{`, 400, "decode job"},
		{"steps of the wrong type", "POST", "/jobs/" + jobID(2), `{"steps":7}`, 400, "decode job"},
		{"no steps", "POST", "/jobs/" + jobID(2), `{"best_effort":true}`, 400, "no steps"},
		{"no tasks", "POST", "/jobs/" + jobID(2), `{"best_effort":true,"steps":[{"count":0}]}`, 400, "count below 1"},
		{"step that follows itself", "POST", "/jobs/" + jobID(2), `{"best_effort":true,"steps":[{"count":1,"after":[0]}]}`, 400, "isn't an earlier one"},
		{"too large", "POST", "/jobs/" + jobID(2), `{"spec":"` + strings.Repeat("x", 9000) + `"}`, 413, "too large"},
		{"job that must be stored", "POST", "/jobs/" + jobID(3), `{` + steps + `}`, 503, "not run: jobs that must be stored"},
		{"scheduled job", "POST", "/jobs/" + jobID(3), `{"best_effort":true,"times":3,` + steps + `}`, 503, "not run: scheduled jobs"},
		{"gang of tasks", "POST", "/jobs/" + jobID(3), `{"best_effort":true,"steps":[{"count":2,"gang":true}]}`, 503, "not run: tasks that run together"},
		{"long-running task", "POST", "/jobs/" + jobID(3), `{"best_effort":true,"steps":[{"count":2,"long_running":true}]}`, 503, "not run: tasks that run until"},
	} {
		got := e.request(context.Background(), tc.method, tc.path, tc.body)
		d.Assert(got.err, qt.IsNil)
		d.Assert(got.status, qt.Equals, tc.status, qt.Commentf("%s: %s", tc.name, got.body))
		d.Assert(got.body, qt.Contains, tc.text, qt.Commentf("%s", tc.name))
		if tc.status == 503 {
			d.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
	}
	d.Assert(d.audit.Starts(jobID(3)), qt.Equals, 0)
}

// Guards against tasks that run on after the caller of their job has disconnected.
func TestCallerDisconnectStopsItsJob(t *testing.T) {
	d := newDeployment(t)
	e := d.startEntry("e1")
	a := d.startAgent("a1", 1)
	d.waitUntilServing(e)
	ctx, disconnect := context.WithCancel(context.Background())
	returned := make(chan struct{})
	go func() {
		e.request(ctx, "POST", "/jobs/"+jobID(1), jobBody(2, site.Spec{WorkMS: 1500, MilliCPU: 4000}))
		close(returned)
	}()
	d.eventually("both tasks run", time.Second, func() bool { return a.worker.Running() == 2 })
	disconnect()
	<-returned
	d.eventually("both tasks are stopped", 300*time.Millisecond, func() bool { return a.worker.Running() == 0 })
}

// Guards against a failing task that is started more often than max_attempts of its
// queue allows, and against a wrong answer to its job.
func TestJobThatAlwaysFailsIsReportedAsFailed(t *testing.T) {
	d := newDeployment(t)
	e := d.startEntry("e1")
	d.startAgent("a1", 1)
	d.startAgent("a2", 1)
	d.waitUntilServing(e)
	got := e.request(context.Background(), "POST", "/jobs/"+jobID(1), jobBody(1, site.Spec{WorkMS: 20, MilliCPU: 4000, Fail: true}))
	d.Assert(got.body, qt.Equals, `{"state":"failed"}`+"\n")
	d.Assert(d.audit.Starts(jobID(1)), qt.Equals, 2)
}

// Guards against jobs that wait for the store, and against an entry that cannot
// start without the store although other entries have all the data it needs.
func TestServiceContinuesWithoutTheStore(t *testing.T) {
	d := newDeployment(t)
	first := d.startEntry("e1")
	d.startAgent("a1", 1)
	d.waitUntilServing(first)
	d.store.SetFaults(store.Faults{Unavailable: true})
	d.Assert(first.submit(jobID(1), 2, 20).body, qt.Equals, completed)
	second := d.startEntry("e2")
	d.waitUntilServing(second)
	// With data of the first entry, the second one may serve before its own call of the store
	// has an answer.
	d.eventually("the outage is logged", 3*time.Second, func() bool { return len(d.log.lines(`"msg":"store unavailable"`)) > 0 })
	d.store.SetFaults(store.Faults{})
	d.eventually("the store is available again", 3*time.Second, func() bool { return len(d.log.lines(`"msg":"store available again"`)) > 0 })
}

// Load pattern: all processes start while the store is silent. Guards against requests
// that are refused by an entry that could serve them a moment later, against an entry
// that learns of the store's return only when its first call times out, and against
// requests that wait for a store that does not return.
func TestRequestsWaitWhileAnEntryStarts(t *testing.T) {
	d := newDeployment(t)
	d.store.SetFaults(store.Faults{Silent: true})
	e := d.startEntry("e1")
	d.startAgent("a1", 1)
	answered := make(chan response, 1)
	go func() {
		d.eventually("the entry listens", time.Second, func() bool {
			r := e.submit(jobID(1), 2, 400)
			if r.err != nil {
				return false
			}
			answered <- r
			return true
		})
	}()
	time.Sleep(300 * time.Millisecond)
	d.store.SetFaults(store.Faults{})
	got := <-answered
	d.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	e.stop()

	d.store.SetFaults(store.Faults{Silent: true})
	d.seeds = nil
	second := d.startEntry("e2")
	var refused response
	d.eventually("the entry listens", 3*time.Second, func() bool { refused = second.submit(jobID(2), 1, 5); return refused.err == nil })
	d.Assert(refused.status, qt.Equals, http.StatusServiceUnavailable)
	d.Assert(refused.body, qt.Contains, "no configuration yet")
	d.Assert(refused.took < 2*time.Second, qt.IsTrue, qt.Commentf("%v", refused.took))
	again := second.submit(jobID(3), 1, 5)
	d.Assert(again.status, qt.Equals, http.StatusServiceUnavailable)
	d.Assert(again.took < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", again.took))
	d.store.SetFaults(store.Faults{})
}

// Load pattern: callers lose their connections while an entry that has just started still
// waits for the configuration. Guards against jobs that are read and started after their
// callers have gone and may have sent them to another entry.
func TestJobsOfCallersThatHaveGoneAreNotAccepted(t *testing.T) {
	const callers = 20
	d := newDeployment(t)
	d.store.SetFaults(store.Faults{Silent: true})
	e := d.startEntry("e1")
	d.startAgent("a1", 1)
	for n := range callers {
		var conn net.Conn
		d.eventually("the entry listens", time.Second, func() (connected bool) {
			var err error
			conn, err = net.Dial("tcp", e.settings.CallerAddress)
			return err == nil
		})
		body := jobBody(1, site.Spec{WorkMS: 50, MilliCPU: 100})
		_, err := fmt.Fprintf(conn, "POST /jobs/%s HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 2400\r\nContent-Length: %d\r\n\r\n%s", jobID(n), len(body), body)
		d.Assert(err, qt.IsNil)
		if n%2 == 0 {
			// Without linger time, the connection is reset.
			d.Assert(conn.(*net.TCPConn).SetLinger(0), qt.IsNil)
		}
		// The entry has received the request by the time that it learns of the end.
		time.Sleep(5 * time.Millisecond)
		d.Assert(conn.Close(), qt.IsNil)
	}
	d.store.SetFaults(store.Faults{})
	d.waitUntilServing(e)
	// The prefix is that of jobs 0 to 19, and of none that waitUntilServing submits.
	logged := func(message string) []string { return d.log.lines(message, `"job":"00000000000000`) }
	d.eventually("every job is accepted or refused", time.Second, func() bool {
		return len(logged(`"msg":"job accepted"`))+len(logged(`"msg":"job refused"`)) >= callers
	})
	for n := range callers {
		d.Assert(d.log.lines(`"msg":"job accepted"`, jobID(n)), qt.HasLen, 0)
		d.Assert(d.audit.Starts(jobID(n)), qt.Equals, 0)
	}
}

// Guards against an agent that entries do not find because the store takes no rows.
func TestAgentAnnouncesItselfWithoutTheStore(t *testing.T) {
	d := newDeployment(t)
	first := d.startEntry("e1")
	d.eventually("the first configuration is in effect", 3*time.Second, func() bool { return first.request(context.Background(), "GET", "/jobs/", "").status == 200 })
	d.store.SetFaults(store.Faults{Silent: true})
	d.startAgent("a1", 1)
	d.waitUntilServing(first)
	// An entry that starts meanwhile learns of the agent from the first one.
	d.waitUntilServing(d.startEntry("e2"))
	d.store.SetFaults(store.Faults{})
}

// Guards against a configuration that takes effect late, and against an older or
// invalid one that replaces it.
func TestConfigurationIsInEffectWithinTwoSeconds(t *testing.T) {
	d := newDeployment(t)
	e := d.startEntry("e1")
	status := func(path string) int { return e.request(context.Background(), "GET", path, "").status }
	d.eventually("the first configuration is in effect", 3*time.Second, func() bool { return status("/timeout/") == 200 })
	for i, fault := range []func(){func() {}, d.store.DropHistory, func() { d.store.SetFaults(store.Faults{DelayMS: 300}) }} {
		fault()
		d.configure(10+3*i, []string{"x", "y", "z"}[i])
		d.eventually("the new queue is served", 2*time.Second, func() bool { return status("/"+[]string{"x", "y", "z"}[i]+"/") == 200 })
	}
	d.Assert(status("/timeout/"), qt.Equals, 404)
	d.configure(9, "old")
	d.store.Put(platform.ConfigTable, platform.ConfigKey, []byte("no JSON"))
	time.Sleep(700 * time.Millisecond)
	d.Assert(status("/old/"), qt.Equals, 404)
	d.Assert(status("/z/"), qt.Equals, 200)
	d.Assert(d.log.lines("cannot decode configuration, previous configuration stays in effect"), qt.HasLen, 1)
}

// Guards against jobs that are lost when their entry is terminated, and against
// connections that stay open at a terminating entry.
func TestTerminatedEntryCompletesItsJobs(t *testing.T) {
	d := newDeployment(t)
	d.graceSeconds = 6
	e := d.startEntry("e1")
	d.startAgent("a1", 1)
	d.waitUntilServing(e)
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			got := e.submit(jobID(i), 1, 800)
			d.Check(got.body, qt.Equals, completed)
		})
	}
	time.Sleep(100 * time.Millisecond)
	e.terminate()
	time.Sleep(100 * time.Millisecond)
	// The platform may still route callers to a terminating entry, which then serves
	// them.
	got := e.submit(jobID(9), 1, 20)
	d.Assert(got.body, qt.Equals, completed)
	d.Assert(got.closed, qt.IsTrue)
	wg.Wait()
	<-e.exited
}

// Guards against tasks that are lost or started twice when an agent restarts while
// its worker keeps running.
func TestRestartedAgentKeepsItsRunningTasks(t *testing.T) {
	d := newDeployment(t)
	e := d.startEntry("e1")
	a := d.startAgent("a1", 1)
	d.waitUntilServing(e)
	done := make(chan response, 1)
	go func() { done <- e.submit(jobID(1), 2, 1500) }()
	d.eventually("both tasks run", time.Second, func() bool { return a.worker.Running() == 2 })
	a.stop()
	d.startProcess(a)
	got := <-done
	d.Assert(got.body, qt.Equals, completed)
	d.Assert(d.audit.Starts(jobID(1)), qt.Equals, 2)
}

// Guards against tasks that are lost when their worker crashes.
func TestTasksOfACrashedWorkerRestartElsewhere(t *testing.T) {
	d := newDeployment(t)
	e := d.startEntry("e1")
	first := d.startAgent("a1", 1)
	d.waitUntilServing(e)
	done := make(chan response, 1)
	go func() { done <- e.submit(jobID(1), 2, 600) }()
	d.eventually("both tasks run", time.Second, func() bool { return first.worker.Running() == 2 })
	d.startAgent("a2", 1)
	first.worker.Crash()
	got := <-done
	d.Assert(got.body, qt.Equals, completed)
	d.Assert(d.audit.Starts(jobID(1)), qt.Equals, 4)
}

// Guards against tasks that start elsewhere while they run, because their worker has said that
// it leaves, or refuses connections: it may be shutting down while its runs go on.
func TestTasksOfALeavingWorkerDontOverlap(t *testing.T) {
	for name, end := range map[string]func(a *testProcess){
		"leaves": func(a *testProcess) {
			resp, err := http.Post("http://"+a.settings.ControlAddress+"/-/instances/worker-a1/leave", "application/json", nil)
			a.deployment.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
		},
		"refuses connections": func(a *testProcess) { a.closeWorker() },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			e := d.startEntry("e1")
			a := d.startAgent("a1", 1)
			d.waitUntilServing(e)
			done := make(chan response, 1)
			go func() { done <- e.submit(jobID(1), 2, 500) }()
			d.eventually("both tasks run", time.Second, func() bool { return a.worker.Running() == 2 })
			d.startAgent("a2", 1)
			time.Sleep(100 * time.Millisecond)
			end(a)
			got := <-done
			d.Check(got.body, qt.Equals, completed)
		})
	}
}

// Guards against concurrent runs of a task when the worker executes a request
// without answering it or after a delay, and against jobs that are not completed
// because the answer is missing.
func TestTasksRunOnceAtATimeDespiteLostWorkerResponses(t *testing.T) {
	for name, fault := range map[string]site.WorkerFaults{
		"executed, not answered": {LoseReplies: true},
		"executed late":          {DelayRequests: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			e := d.startEntry("e1")
			bad := d.startAgent("a1", 1)
			d.waitUntilServing(e)
			d.startAgent("a2", 0.7)
			time.Sleep(300 * time.Millisecond)
			bad.worker.SetFaults(fault)
			var wg sync.WaitGroup
			for i := range 6 {
				wg.Go(func() {
					got := e.submit(jobID(i), 1, 100)
					d.Check(got.body, qt.Equals, completed)
				})
			}
			wg.Wait()
			// Requests that the worker delays for 2 s run before the audit is checked.
			time.Sleep(2500 * time.Millisecond)
		})
	}
}

// Guards against overlapping runs of a job whose caller loses the connection to one
// entry and submits the job again to another one.
func TestResubmittedJobDoesNotOverlapItsEarlierRun(t *testing.T) {
	d := newDeployment(t)
	first := d.startEntry("e1")
	second := d.startEntry("e2")
	a := d.startAgent("a1", 1)
	d.waitUntilServing(first)
	d.waitUntilServing(second)
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		first.request(ctx, "POST", "/jobs/"+jobID(1), jobBody(2, site.Spec{WorkMS: 2000, MilliCPU: 4000}))
	}()
	d.eventually("both tasks run", time.Second, func() bool { return a.worker.Running() == 2 })
	disconnect()
	// A caller submits its job again after retransmit_ms.
	time.Sleep(1300 * time.Millisecond)
	got := second.submit(jobID(1), 2, 100)
	d.Assert(got.body, qt.Equals, completed)
}

// Guards against a caller whose request to cancel a job broke off and who is told by another
// entry that there is no such job, while the job runs on; and against a cancelled job that runs
// again when its request arrives again. An entry that has ended without
// removing its row must not make the caller wait.
func TestJobIsCancelledAtAnotherEntry(t *testing.T) {
	d := newDeployment(t)
	first := d.startEntry("e1")
	second := d.startEntry("e2")
	third := d.startEntry("e3")
	a := d.startAgent("a1", 1)
	for _, e := range []*testProcess{first, second, third} {
		d.waitUntilServing(e)
	}
	third.stop()
	answer := make(chan response, 1)
	go func() {
		answer <- first.request(context.Background(), "POST", "/jobs/"+jobID(1), jobBody(2, site.Spec{WorkMS: 2000, MilliCPU: 4000}))
	}()
	d.eventually("both tasks run", time.Second, func() bool { return a.worker.Running() == 2 })
	for _, e := range []*testProcess{second, first, second} {
		got := e.request(context.Background(), "DELETE", "/jobs/"+jobID(1), "")
		d.Assert(got.err, qt.IsNil)
		d.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
		d.Assert(got.body, qt.Contains, `{"state":"cancelled"}`)
		d.Assert(got.took < 3*time.Second, qt.IsTrue, qt.Commentf("took %v", got.took))
	}
	d.eventually("both tasks are stopped", 300*time.Millisecond, func() bool { return a.worker.Running() == 0 })
	// After 504 the request would arrive again, at any entry.
	d.Assert((<-answer).status, qt.Equals, http.StatusGone)
	for _, e := range []*testProcess{first, second} {
		got := e.submit(jobID(1), 2, 2000)
		d.Assert(got.status, qt.Equals, http.StatusGone)
		d.Assert(got.took < time.Second, qt.IsTrue, qt.Commentf("took %v", got.took))
	}
	d.Assert(a.worker.Running(), qt.Equals, 0)
	got := second.request(context.Background(), "DELETE", "/jobs/"+jobID(2), "")
	d.Assert(got.status, qt.Equals, http.StatusGone)
	d.Assert(got.took < 3*time.Second, qt.IsTrue, qt.Commentf("took %v", got.took))
}

// Guards against a check of the settings that stops at the first error, and against
// starting without a settings file.
func TestAllSettingsErrorsAreReported(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "node.yaml")
	c.Assert(os.WriteFile(file, []byte("zone: z1\nip: nowhere\ninternal_ports: [5]\nbounds: {hold_max_ms: soon}\nplatform: {address: x}\n"), 0o600), qt.IsNil)
	t.Setenv(platform.SettingsVariable, file)
	var out, errOut strings.Builder
	c.Assert(RunEntry([]string{"-check"}, nil, &out, &errOut), qt.Equals, 2)
	for _, text := range []string{"node_name", "ip", "internal_ports", "hold_max_ms", "platform.address", "listen_addrs.front", "soon"} {
		c.Assert(errOut.String(), qt.Contains, text)
	}
	t.Setenv(platform.SettingsVariable, "")
	c.Assert(RunAgent(nil, nil, io.Discard, &errOut), qt.Equals, 2)
}

// Guards against malformed announcements that are accepted or that end the agent's
// service.
func TestMalformedAnnouncementsAreRejected(t *testing.T) {
	d := newDeployment(t)
	e := d.startEntry("e1")
	a := d.startAgent("a1", 1)
	d.waitUntilServing(e)
	for _, body := range []string{"", "{", `{"service":7}`, `{"service":"service","state":"resting","capacity":{"cpu":1}}`, `{"service":"service","state":"ready"}`} {
		resp, err := http.Post("http://"+a.settings.ControlAddress+"/-/instances/other/heartbeat", "application/json", strings.NewReader(body))
		d.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		d.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf("%s", body))
	}
	d.Assert(e.submit(jobID(1), 1, 20).body, qt.Equals, completed)
}

// Guards against jobs that are missing from the metrics of an entry.
func TestMetricsAreServed(t *testing.T) {
	d := newDeployment(t)
	e := d.startEntry("e1")
	d.startAgent("a1", 1)
	d.waitUntilServing(e)
	d.eventually("the metrics include the jobs", 3*time.Second, func() bool {
		resp, err := http.Get("http://" + e.settings.MetricsAddress + "/metrics")
		d.Assert(err, qt.IsNil)
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		d.Assert(err, qt.IsNil)
		return strings.Contains(string(text), `sesamelift_jobs_answered_total{reason="ok"}`) && strings.Contains(string(text), "sesamelift_job_seconds_bucket")
	})
}
