package host

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/standin/site"
)

// Guards against an explanation that starts a task, that differs from what happens to the
// job, that callers can get, or that an entry gives as often as it is asked.
func TestExplanationOverTheMetricsAddress(t *testing.T) {
	d := newDeployment(t)
	e := d.startEntry("e1")
	d.startAgentInZone("z1", "a1", 1)
	d.startAgentInZone("z2", "a2", 2)
	d.waitUntilServing(e)
	body := jobBody(2, site.Spec{WorkMS: 20, MilliCPU: 4000})
	query := platform.ExplainQuery{Host: "jobs.example:80", Path: "/jobs/" + jobID(1), DeadlineMS: 2400, Job: []byte(body)}
	ask := func(q platform.ExplainQuery) (*platform.Explained, error) {
		return platform.AskForExplanation(context.Background(), http.DefaultClient, e.settings.MetricsAddress, q)
	}
	// The faster worker is known and has reported its speed.
	var got *platform.Explained
	d.eventually("the fast worker is chosen", 8*time.Second, func() bool {
		var err error
		got, err = ask(query)
		if err != nil {
			time.Sleep(500 * time.Millisecond)
			return false
		}
		return got.Decision == dispatch.Placed && len(got.Tasks[0].Candidates) == 2
	})
	d.Check(got.Entry, qt.Equals, "e1")
	d.Check(got.ConfigVersion, qt.Equals, uint64(7))
	d.Check(got.Queue, qt.Equals, "jobs")
	d.Check(got.TotalTasks, qt.Equals, 2)
	d.Check(got.OnTime, qt.IsTrue)
	d.Check(d.audit.Starts(jobID(1)), qt.Equals, 0)
	d.Check(d.log.lines(jobID(1)), qt.HasLen, 0)

	notForCallers := e.request(context.Background(), http.MethodPost, platform.ExplainPath+"?host=jobs.example&path=/jobs/", body)
	d.Check(notForCallers.status, qt.Equals, http.StatusNotFound)

	for what, change := range map[string]func(q *platform.ExplainQuery){
		"no such queue":         func(q *platform.ExplainQuery) { q.Path = "/none/" },
		"16 hexadecimal digits": func(q *platform.ExplainQuery) { q.Path = "/jobs/xyz" },
		"no steps":              func(q *platform.ExplainQuery) { q.Job = []byte(`{}`) },
	} {
		wrong := query
		change(&wrong)
		var rejected *platform.ExplainRejectedError
		d.eventually(what, 5*time.Second, func() bool {
			_, err := ask(wrong)
			return errors.As(err, &rejected)
		})
		d.Check(rejected.Message, qt.Contains, what)
	}

	var refused atomic.Int64
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() {
			if _, err := ask(query); err != nil && strings.Contains(err.Error(), "status 429") {
				refused.Add(1)
			}
		})
	}
	wg.Wait()
	d.Check(refused.Load() >= 20, qt.IsTrue, qt.Commentf("%d of 40 refused", refused.Load()))
	// The metrics are still served.
	resp, err := http.Get("http://" + e.settings.MetricsAddress + "/metrics")
	d.Assert(err, qt.IsNil)
	d.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	d.Check(resp.Body.Close(), qt.IsNil)
}
