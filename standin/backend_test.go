package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
)

func startBackend(t *testing.T, o BackendOptions) (*Backend, context.CancelFunc, chan error) {
	o.Address, o.Name = "127.0.0.1:0", "cleft-01"
	b, err := NewBackend(o)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Run(ctx) }()
	t.Cleanup(func() { cancel(); b.Kill() })
	return b, cancel, done
}

// sendTask sends one task. The status is 0 if there was no reply.
func sendTask(ctx context.Context, b *Backend, key api.Key, task int, body string) (int, string) {
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+b.Addr()+"/tasks/cleft-assessor/moisture", strings.NewReader(body))
	req.Header.Set(HeaderKey, key.String())
	req.Header.Set(HeaderTask, fmt.Sprint(task))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	reply, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(reply)
}

// Guards against an injected fault that does not have the documented effect on the
// reply, on the run time or on the number of counted runs.
func TestBackendFaults(t *testing.T) {
	const body = `{"work_ms": 20, "cleft": 7}`
	for _, tc := range []struct {
		name        string
		speed       float64
		faults      BackendFaults
		body        string
		status      int
		minDuration time.Duration
		maxDuration time.Duration
		minBytes    int
	}{
		{"none", 1, BackendFaults{}, body, 200, 20 * time.Millisecond, 10 * time.Second, 10},
		{"low speed", 0.1, BackendFaults{}, body, 200, 200 * time.Millisecond, 10 * time.Second, 10},
		{"slow factor", 1, BackendFaults{SlowFactor: 10}, body, 200, 200 * time.Millisecond, 10 * time.Second, 10},
		{"straggler", 1, BackendFaults{StragglerShare: 1, StragglerFactor: 10}, body, 200, 200 * time.Millisecond, 10 * time.Second, 10},
		{"fail all", 1, BackendFaults{FailAll: true}, `{"work_ms": 9000}`, 500, 0, 5 * time.Second, 0},
		{"task fails", 1, BackendFaults{}, `{"work_ms": 20, "fail": true}`, 500, 20 * time.Millisecond, 10 * time.Second, 0},
		{"drop after work", 1, BackendFaults{DropAfterWork: true}, body, 0, 20 * time.Millisecond, 10 * time.Second, 0},
		{"hang", 1, BackendFaults{Hang: true}, body, 0, 300 * time.Millisecond, 10 * time.Second, 0},
		{"oversized result", 1, BackendFaults{ResultBytes: api.MaxResultBytes}, body, 200, 0, 10 * time.Second, api.MaxResultBytes},
		{"result size set by the task", 1, BackendFaults{}, `{"result_bytes": 5000}`, 200, 0, 10 * time.Second, 5000},
		{"malformed body", 1, BackendFaults{}, `{`, 400, 0, 10 * time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			b, _, _ := startBackend(t, BackendOptions{Speed: tc.speed, Faults: tc.faults})
			// The task that hangs has a short timeout, which it is expected to exceed.
			// All other tasks must end within theirs.
			timeout := 10 * time.Second
			if tc.faults.Hang {
				timeout = 300 * time.Millisecond
			}
			// The timeout runs from before ctx exists, so the measured time must, too.
			start := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			key := api.NewKeyAt(time.Now(), 1)
			status, reply := sendTask(ctx, b, key, 3, tc.body)
			elapsed := time.Since(start)
			qt.Assert(t, status, qt.Equals, tc.status, qt.Commentf("%s", reply))
			qt.Assert(t, elapsed >= tc.minDuration && elapsed <= tc.maxDuration, qt.IsTrue, qt.Commentf("took %v", elapsed))
			qt.Assert(t, len(reply) >= tc.minBytes, qt.IsTrue)
			if status == 400 {
				qt.Assert(t, b.Executions().Total(), qt.Equals, 0)
				return
			}
			qt.Assert(t, b.Executions().RunsByTask(key), qt.DeepEquals, map[uint16]int{3: 1})
			if status == 200 {
				var r TaskResult
				qt.Assert(t, json.Unmarshal([]byte(reply), &r), qt.IsNil)
				qt.Assert(t, r.Worker+r.Service+r.Type, qt.Equals, "cleft-01cleft-assessormoisture")
				qt.Assert(t, string(r.Echo), qt.JSONEquals, json.RawMessage(tc.body))
			}
		})
	}
}

// Guards against a task that ran twice on one server but is not reported as
// repeated, and against runs that are not counted when two servers share one
// Executions.
func TestExecutionsReportRepeatedTasks(t *testing.T) {
	shared := &Executions{}
	one, _, _ := startBackend(t, BackendOptions{Executions: shared})
	two, _, _ := startBackend(t, BackendOptions{Executions: shared})
	key := api.NewKeyAt(time.Now(), 1)
	for i, b := range []*Backend{one, two, one} {
		status, _ := sendTask(context.Background(), b, key, i%2, `{}`)
		qt.Assert(t, status, qt.Equals, 200)
	}
	qt.Assert(t, shared.Repeated(), qt.DeepEquals, []TaskID{{Key: key, Task: 0}})
	qt.Assert(t, shared.Total(), qt.Equals, 3)
}

// Guards against a share of stragglers that is far from the configured one.
func TestStragglerShare(t *testing.T) {
	const tasks, share = 20000, 0.02
	n := 0
	for i := range tasks {
		if (TaskID{Key: api.NewKeyAt(time.UnixMilli(int64(i/100)), uint64(i/100)), Task: uint16(i % 100)}).hashFraction(7) < share {
			n++
		}
	}
	qt.Assert(t, n > tasks*share/2 && n < tasks*share*2, qt.IsTrue, qt.Commentf("%d of %d", n, tasks))
}

// Guards against a server that announces itself only once, so that a restarted
// agent does not learn of it, and against a shutdown that interrupts a task or
// sends no leave request.
func TestBackendAnnouncesAndLeaves(t *testing.T) {
	calls := make(chan string, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		calls <- fmt.Sprint(r.URL.Path, " ", a.Name, " ", a.Services)
	}))
	defer agent.Close()
	b, stop, done := startBackend(t, BackendOptions{AgentAddress: agent.Listener.Addr().String(), Services: []string{"cleft-assessor"}})
	for range 2 {
		qt.Assert(t, <-calls, qt.Equals, "/announce cleft-01 [cleft-assessor]")
	}
	status := make(chan int, 1)
	go func() {
		s, _ := sendTask(context.Background(), b, api.NewKeyAt(time.Now(), 1), 0, `{"work_ms": 500}`)
		status <- s
	}()
	for current, _ := b.Running(); current == 0; current, _ = b.Running() {
		time.Sleep(time.Millisecond)
	}
	// A hanging task must not prevent the server from shutting down.
	b.SetFaults(BackendFaults{Hang: true})
	go func() { _, _ = sendTask(context.Background(), b, api.NewKeyAt(time.Now(), 2), 0, `{}`) }()
	for current, _ := b.Running(); current < 2; current, _ = b.Running() {
		time.Sleep(time.Millisecond)
	}
	stop()
	for call := range calls {
		if call == "/leave cleft-01 []" {
			break
		}
	}
	qt.Assert(t, <-status, qt.Equals, 200)
	qt.Assert(t, <-done, qt.IsNil)
}
