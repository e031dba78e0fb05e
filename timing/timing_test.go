package timing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a run that is still there when its job is sent again, for the
// bounds of today's platform and for tighter ones.
func TestRunsEndBeforeResend(t *testing.T) {
	for _, b := range []Bounds{
		{MaxLease: time.Second, StopTime: 50 * time.Millisecond, ResendAfter: 1300 * time.Millisecond},
		{MaxLease: 3 * time.Second, StopTime: 50 * time.Millisecond, ResendAfter: 1300 * time.Millisecond},
		{MaxLease: time.Second, StopTime: 100 * time.Millisecond, ResendAfter: 700 * time.Millisecond},
		{MaxLease: 400 * time.Millisecond, StopTime: 20 * time.Millisecond, ResendAfter: time.Second},
	} {
		c := qt.New(t)
		got, err := Derive(b)
		c.Assert(err, qt.IsNil)
		c.Assert(got.Lease <= b.MaxLease, qt.IsTrue)
		entryLost := got.Silence + reaction + b.StopTime + reaction
		agentLost := time.Duration(1.02*float64(got.Lease)) + b.StopTime + reaction
		c.Assert(entryLost <= b.ResendAfter, qt.IsTrue, qt.Commentf("%v: %v", b, entryLost))
		c.Assert(agentLost <= b.ResendAfter, qt.IsTrue, qt.Commentf("%v: %v", b, agentLost))
		c.Assert(got.LossWait >= agentLost, qt.IsTrue)
		c.Assert(got.LossWait >= entryLost, qt.IsTrue)
		c.Assert(2*got.Ping < got.Silence, qt.IsTrue)
	}
}

// Guards against a start with bounds that no timings fit.
func TestTightBoundsAreRefused(t *testing.T) {
	_, err := Derive(Bounds{MaxLease: time.Second, StopTime: 200 * time.Millisecond, ResendAfter: 400 * time.Millisecond})
	qt.Assert(t, err, qt.ErrorMatches, "no timings keep .*")
}
