package entry

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
)

// Guards against an answer that is not whole or not in task order.
func TestWholeJob(t *testing.T) {
	c := newCluster(t)
	n := c.start("e1")
	c.agent("w1", 11, ok).connect(n, "")
	code, a := n.submit(newKey(t), job(40))
	qt.Assert(t, code, qt.Equals, 200, qt.Commentf("%+v", a))
	qt.Assert(t, a.Verdict, qt.Equals, api.Complete)
	qt.Assert(t, a.TraceID, qt.Not(qt.Equals), "")
	qt.Assert(t, a.Results, qt.HasLen, 40)
	for i, r := range a.Results {
		qt.Assert(t, string(r), qt.Equals, `{"echo":{"n":`+itoa(i)+`},"task":`+itoa(i)+`}`)
	}
}
func itoa(n int) string { return strconv.Itoa(n) }
