package agent

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/ownership"
	"github.com/sesamelift/sesamelift/platform"
	"github.com/sesamelift/sesamelift/wire"
)

// Guards against a broken path from a start to the result.
func TestStartRunsAndAnswers(t *testing.T) {
	r := newRig(t)
	r.ready()
	k := r.key()
	r.entry.start(k, 3, `{"a":1}`)
	m := next[*wire.Result](r.entry)
	qt.Assert(t, m.Reason, qt.Equals, "")
	qt.Assert(t, m.Outcome, qt.Equals, wire.OutcomeOK)
	qt.Assert(t, m.Ran, qt.Equals, wire.RanYes)
	qt.Assert(t, m.Key, qt.Equals, wire.Key(k))
	qt.Assert(t, string(m.Body), qt.Equals, `{"a":1}`)
	qt.Assert(t, m.Load, qt.Equals, wire.Load{Slots: 2})
}

// Guards against a second execution when a start arrives twice, before and
// after its end.
func TestSecondStartOfAPairExecutesOnce(t *testing.T) {
	r := newRig(t)
	r.ready()
	k := r.key()
	r.entry.start(k, 0, `"wait"`)
	r.entry.start(k, 0, `"wait"`)
	qt.Assert(t, next[*wire.Settled](r.entry).State, qt.Equals, wire.StateRunning)
	close(r.backend.release)
	qt.Assert(t, next[*wire.Result](r.entry).Outcome, qt.Equals, wire.OutcomeOK)
	r.entry.start(k, 0, `"wait"`)
	m := next[*wire.Result](r.entry)
	qt.Assert(t, m.Outcome, qt.Equals, wire.OutcomeOK)
	qt.Assert(t, string(m.Body), qt.Equals, `"wait"`)
	tasks, most := r.backend.executions()
	qt.Assert(t, tasks, qt.Equals, 1)
	qt.Assert(t, most, qt.Equals, 1)
}

// Guards against an agent that serves before it is registered, and against a
// registration that is written twice or not at all when a reply is lost.
func TestAgentWithoutPlatformWaits(t *testing.T) {
	r := newRig(t)
	r.platform.put(platform.PrefixAgents+"w1", ownership.Registration{Worker: "w1", Incarnation: 7})
	r.platform.setDown(true)
	r.platform.loseReply = true
	r.run()
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, len(r.entry.hellos), qt.Equals, 0)
	res, err := http.Get("http://" + r.agent.AnnounceAddr() + "/readyz")
	qt.Assert(t, err, qt.IsNil)
	_ = res.Body.Close()
	qt.Assert(t, res.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	r.platform.setDown(false)
	h := r.entry.connected()
	reg := r.platform.registration(t)
	qt.Assert(t, reg.Incarnation, qt.Equals, h.Incarnation)
	qt.Assert(t, reg.ReplacedAt.IsZero(), qt.IsFalse)
	qt.Assert(t, r.platform.writes, qt.Equals, 1)
	r.stop()
	qt.Assert(t, <-r.ended, qt.IsNil)
	qt.Assert(t, r.platform.registration(t).LeftAt.IsZero(), qt.IsFalse)
}
