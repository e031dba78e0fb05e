package host

import (
	"context"
	"io"
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

func TestJobIsServed(t *testing.T) {
	b := newBed(t)
	e := b.entry("e1")
	b.agent("a1", 1)
	b.agent("a2", 2)
	b.serving(e)
	got := e.submit(id(1), 6, 50)
	b.Assert(got.status, qt.Equals, http.StatusOK)
	b.Assert(got.body, qt.Equals, completed)
	b.Assert(b.audit.Started(id(1)), qt.Equals, 6)
	// Sent again, it has the same answer and doesn't run again.
	b.Assert(e.submit(id(1), 6, 50).body, qt.Equals, completed)
	b.Assert(b.audit.Started(id(1)), qt.Equals, 6)
	b.Assert(b.log.lines(`"msg":"job answered"`, id(1), `"outcome":"complete"`), qt.HasLen, 1)
}

func TestRequestsThatAreNotServed(t *testing.T) {
	b := newBed(t)
	e := b.entry("e1")
	b.agent("a1", 1)
	b.serving(e)
	steps := `"steps":[{"count":1,"cpu":100}]`
	for _, tc := range []struct {
		name, method, path, body string
		status                   int
		text                     string
	}{
		{"no queue", "POST", "/none/" + id(1), `{}`, 404, "no such queue"},
		{"no queue", "GET", "/none/", "", 404, "no such queue"},
		{"unknown job", "GET", "/jobs/" + id(1), "", 410, "no such job"},
		{"cancelled unknown job", "DELETE", "/jobs/" + id(1), "", 410, "no such job"},
		{"waiting jobs", "GET", "/jobs/", "", 200, `"pending":0`},
		{"bad id", "POST", "/jobs/xyz", `{}`, 400, "16 hexadecimal digits"},
		{"no JSON", "POST", "/jobs/" + id(2), `{`, 400, "decode job"},
		{"wrong type", "POST", "/jobs/" + id(2), `{"steps":7}`, 400, "decode job"},
		{"no steps", "POST", "/jobs/" + id(2), `{"best_effort":true}`, 400, "no steps"},
		{"no tasks", "POST", "/jobs/" + id(2), `{"best_effort":true,"steps":[{"count":0}]}`, 400, "count below 1"},
		{"later step first", "POST", "/jobs/" + id(2), `{"best_effort":true,"steps":[{"count":1,"after":[0]}]}`, 400, "isn't an earlier one"},
		{"too large", "POST", "/jobs/" + id(2), `{"spec":"` + strings.Repeat("x", 9000) + `"}`, 413, "too large"},
		{"stored job", "POST", "/jobs/" + id(3), `{` + steps + `}`, 503, "not run: jobs that must be stored"},
		{"scheduled", "POST", "/jobs/" + id(3), `{"best_effort":true,"times":3,` + steps + `}`, 503, "not run: scheduled jobs"},
		{"gang", "POST", "/jobs/" + id(3), `{"best_effort":true,"steps":[{"count":2,"gang":true}]}`, 503, "not run: tasks that run together"},
		{"lasting", "POST", "/jobs/" + id(3), `{"best_effort":true,"steps":[{"count":2,"long_running":true}]}`, 503, "not run: tasks that run until"},
	} {
		got := e.request(context.Background(), tc.method, tc.path, tc.body)
		b.Assert(got.err, qt.IsNil)
		b.Assert(got.status, qt.Equals, tc.status, qt.Commentf("%s: %s", tc.name, got.body))
		b.Assert(got.body, qt.Contains, tc.text, qt.Commentf("%s", tc.name))
		if tc.status == 503 {
			b.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
	}
	b.Assert(b.audit.Started(id(3)), qt.Equals, 0)
}

func TestCallerThatLeavesStopsItsJob(t *testing.T) {
	b := newBed(t)
	e := b.entry("e1")
	a := b.agent("a1", 1)
	b.serving(e)
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan struct{})
	go func() {
		e.request(ctx, "POST", "/jobs/"+id(1), jobBody(2, site.Spec{WorkMS: 1500, MilliCPU: 4000}))
		close(gone)
	}()
	b.eventually("tasks run", time.Second, func() bool { return a.worker.Running() == 2 })
	leave()
	<-gone
	b.eventually("tasks are stopped", 300*time.Millisecond, func() bool { return a.worker.Running() == 0 })
}

func TestHopelessJobIsShownAsFailed(t *testing.T) {
	b := newBed(t)
	e := b.entry("e1")
	b.agent("a1", 1)
	b.agent("a2", 1)
	b.serving(e)
	got := e.request(context.Background(), "POST", "/jobs/"+id(1), jobBody(1, site.Spec{WorkMS: 20, MilliCPU: 4000, Fail: true}))
	b.Assert(got.body, qt.Equals, `{"state":"failed"}`+"\n")
	b.Assert(b.audit.Started(id(1)), qt.Equals, 2)
}

// Guards against work that waits for the store, and against an entry that can't
// start without it although others know all it needs.
func TestServiceGoesOnWithoutTheStore(t *testing.T) {
	b := newBed(t)
	first := b.entry("e1")
	b.agent("a1", 1)
	b.serving(first)
	b.store.SetFaults(store.Faults{Unavailable: true})
	b.Assert(first.submit(id(1), 2, 20).body, qt.Equals, completed)
	second := b.entry("e2")
	b.serving(second)
	b.Assert(len(b.log.lines(`"msg":"store unavailable"`)) > 0, qt.IsTrue)
	b.store.SetFaults(store.Faults{})
	b.eventually("the store is available again", 3*time.Second, func() bool { return len(b.log.lines(`"msg":"store available again"`)) > 0 })
}

// Guards against a configuration that comes late or goes back.
func TestConfigurationIsInForceWithinTwoSeconds(t *testing.T) {
	b := newBed(t)
	e := b.entry("e1")
	status := func(path string) int { return e.request(context.Background(), "GET", path, "").status }
	b.eventually("configured", 3*time.Second, func() bool { return status("/timeout/") == 200 })
	for i, fault := range []func(){func() {}, b.store.Forget, func() { b.store.SetFaults(store.Faults{DelayMS: 300}) }} {
		fault()
		b.configure(10+3*i, []string{"x", "y", "z"}[i])
		b.eventually("new queue", 2*time.Second, func() bool { return status("/"+[]string{"x", "y", "z"}[i]+"/") == 200 })
	}
	b.Assert(status("/timeout/"), qt.Equals, 404)
	b.configure(9, "old")
	b.store.Put(platform.ConfigTable, platform.ConfigKey, []byte("no JSON"))
	time.Sleep(700 * time.Millisecond)
	b.Assert(status("/old/"), qt.Equals, 404)
	b.Assert(status("/z/"), qt.Equals, 200)
	b.Assert(b.log.lines("configuration can't be read"), qt.HasLen, 1)
}

func TestEntryThatEndsCompletesItsJobs(t *testing.T) {
	b := newBed(t)
	b.grace = 6
	e := b.entry("e1")
	b.agent("a1", 1)
	b.serving(e)
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			got := e.submit(id(i), 1, 800)
			b.Check(got.body, qt.Equals, completed)
		})
	}
	time.Sleep(100 * time.Millisecond)
	e.end()
	time.Sleep(100 * time.Millisecond)
	// While the platform may still send callers, they are served.
	got := e.submit(id(9), 1, 20)
	b.Assert(got.body, qt.Equals, completed)
	b.Assert(got.closed, qt.IsTrue)
	wg.Wait()
	<-e.ended
}

// Guards against tasks that are lost or started twice when an agent restarts
// while its worker works on.
func TestRestartedAgentGoesOnWithItsRuns(t *testing.T) {
	b := newBed(t)
	e := b.entry("e1")
	a := b.agent("a1", 1)
	b.serving(e)
	done := make(chan answer, 1)
	go func() { done <- e.submit(id(1), 2, 1500) }()
	b.eventually("tasks run", time.Second, func() bool { return a.worker.Running() == 2 })
	a.stop()
	b.start(a)
	got := <-done
	b.Assert(got.body, qt.Equals, completed)
	b.Assert(b.audit.Started(id(1)), qt.Equals, 2)
}

func TestCrashedWorkersTasksStartElsewhere(t *testing.T) {
	b := newBed(t)
	e := b.entry("e1")
	first := b.agent("a1", 1)
	b.serving(e)
	done := make(chan answer, 1)
	go func() { done <- e.submit(id(1), 2, 600) }()
	b.eventually("tasks run", time.Second, func() bool { return first.worker.Running() == 2 })
	b.agent("a2", 1)
	first.worker.Crash()
	got := <-done
	b.Assert(got.body, qt.Equals, completed)
	b.Assert(b.audit.Started(id(1)), qt.Equals, 4)
}

// Guards against two runs of a task by orders that are carried out late, and
// against jobs that wait for their answers.
func TestOrdersWithoutAnAnswer(t *testing.T) {
	for name, fault := range map[string]site.WorkerFaults{
		"carried out":      {LoseOrders: true},
		"carried out late": {DelayOrders: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t)
			e := b.entry("e1")
			bad := b.agent("a1", 1)
			b.serving(e)
			b.agent("a2", 0.7)
			time.Sleep(300 * time.Millisecond)
			bad.worker.SetFaults(fault)
			var wg sync.WaitGroup
			for i := range 6 {
				wg.Go(func() {
					got := e.submit(id(i), 1, 100)
					b.Check(got.body, qt.Equals, completed)
				})
			}
			wg.Wait()
			time.Sleep(2500 * time.Millisecond)
		})
	}
}

// Guards against a run of a job that is sent again after its entry has died: the
// earlier run has ended by then.
func TestResentJobDoesNotMeetItsEarlierRun(t *testing.T) {
	b := newBed(t)
	first := b.entry("e1")
	second := b.entry("e2")
	a := b.agent("a1", 1)
	b.serving(first)
	b.serving(second)
	ctx, broken := context.WithCancel(context.Background())
	go func() {
		first.request(ctx, "POST", "/jobs/"+id(1), jobBody(2, site.Spec{WorkMS: 2000, MilliCPU: 4000}))
	}()
	b.eventually("tasks run", time.Second, func() bool { return a.worker.Running() == 2 })
	broken()
	time.Sleep(1300 * time.Millisecond)
	got := second.submit(id(1), 2, 100)
	b.Assert(got.body, qt.Equals, completed)
}

func TestSettingsFaultsAreAllNamed(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "node.yaml")
	c.Assert(os.WriteFile(file, []byte("zone: z1\nip: nowhere\ninternal_ports: [5]\nbounds: {hold_max_ms: soon}\nplatform: {address: x}\n"), 0o600), qt.IsNil)
	t.Setenv(platform.SettingsVariable, file)
	var out, errOut strings.Builder
	c.Assert(Entry(true, &out, &errOut), qt.Equals, 2)
	for _, text := range []string{"node_name", "ip", "internal_ports", "hold_max_ms", "platform.address", "listen_addrs.front", "soon"} {
		c.Assert(errOut.String(), qt.Contains, text)
	}
	t.Setenv(platform.SettingsVariable, "")
	c.Assert(Agent(false, io.Discard, &errOut), qt.Equals, 2)
}

func TestUnreadableAnnouncementsNameNoWorker(t *testing.T) {
	b := newBed(t)
	e := b.entry("e1")
	a := b.agent("a1", 1)
	b.serving(e)
	for _, body := range []string{"", "{", `{"service":7}`, `{"service":"service","state":"resting","capacity":{"cpu":1}}`, `{"service":"service","state":"ready"}`} {
		resp, err := http.Post("http://"+a.settings.ControlAddress+"/-/instances/other/heartbeat", "application/json", strings.NewReader(body))
		b.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		b.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf("%s", body))
	}
	b.Assert(e.submit(id(1), 1, 20).body, qt.Equals, completed)
}

func TestMetricsAreServed(t *testing.T) {
	b := newBed(t)
	e := b.entry("e1")
	b.agent("a1", 1)
	b.serving(e)
	b.eventually("counted", 3*time.Second, func() bool {
		resp, err := http.Get("http://" + e.settings.MetricsAddress + "/metrics")
		b.Assert(err, qt.IsNil)
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		b.Assert(err, qt.IsNil)
		return strings.Contains(string(text), `sesamelift_jobs_answered_total{reason="ok"}`) && strings.Contains(string(text), "sesamelift_job_seconds_bucket")
	})
}
