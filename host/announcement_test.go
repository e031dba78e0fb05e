package host

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// heartbeat is an announcement of a worker.
type heartbeat struct {
	id, service string
	born        int64
	sequence    int
}

// send sends the announcement to the agent p and returns the status of the answer.
func (h heartbeat) send(p *testProcess) int {
	body := fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:1","zone":"z1","version":"v1","slots":8,"state":"ready","cold_left_ms":0,
		"capacity":{"cpu":16000,"mem_mb":131072,"gpu":0},"labels":["a"],"clock_ms":1,"seq_no":%d,"born":%d}`, h.service, h.sequence, h.born)
	resp, err := http.Post("http://"+p.settings.ControlAddress+"/-/instances/"+h.id+"/heartbeat", "application/json", strings.NewReader(body))
	p.deployment.Assert(err, qt.IsNil)
	p.deployment.Assert(resp.Body.Close(), qt.IsNil)
	return resp.StatusCode
}

// Guards against a heartbeat of another writer that makes the agent give up the runs of its
// worker, so that their tasks start elsewhere while they still run; that is acknowledged;
// or that keeps the agent from using its worker.
func TestHeartbeatOfAnotherWriter(t *testing.T) {
	for name, foreign := range map[string]func(born int64) heartbeat{
		"later instance":          func(born int64) heartbeat { return heartbeat{"other", "service", born + 5000, 1} },
		"instance of the same ms": func(born int64) heartbeat { return heartbeat{"other", "service", born, 1} },
		"unknown service":         func(born int64) heartbeat { return heartbeat{"other", "unnamed", born + 5000, 1} },
		"service of another kind": func(born int64) heartbeat { return heartbeat{"worker-a1", "unnamed", born, 1 << 40} },
		"later life of the id":    func(born int64) heartbeat { return heartbeat{"worker-a1", "service", born + 5000, 1} },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			e := d.startEntry("e1")
			a := d.startAgent("a1", 1)
			d.waitUntilServing(e)
			done := make(chan response, 1)
			go func() { done <- e.submit(jobID(1), 1, 1200) }()
			d.eventually("the task runs", time.Second, func() bool { return a.worker.Running() == 1 })
			d.startAgent("a2", 1)
			time.Sleep(300 * time.Millisecond)
			d.Check(foreign(a.worker.Born()).send(a), qt.Not(qt.Equals), http.StatusOK)
			got := <-done
			d.Check(got.body, qt.Equals, completed)
			d.Check(d.audit.Starts(jobID(1)), qt.Equals, 1)
			// Four tasks don't fit on the worker of a2 beside another task.
			d.Check(e.submit(jobID(2), 8, 100).body, qt.Equals, completed)
			d.Check(d.audit.Starts(jobID(2)), qt.Equals, 8)
		})
	}
}
