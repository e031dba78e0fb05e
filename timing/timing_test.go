package timing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a run that is still in progress when its job is submitted
// again, with the bounds of the current platform and with tighter ones.
func TestRunsEndBeforeResend(t *testing.T) {
	for _, b := range []Bounds{
		{MaxLease: time.Second, MaxStopTime: 50 * time.Millisecond, ResendAfter: 1300 * time.Millisecond},
		{MaxLease: 3 * time.Second, MaxStopTime: 50 * time.Millisecond, ResendAfter: 1300 * time.Millisecond},
		{MaxLease: time.Second, MaxStopTime: 100 * time.Millisecond, ResendAfter: 700 * time.Millisecond},
		{MaxLease: 400 * time.Millisecond, MaxStopTime: 20 * time.Millisecond, ResendAfter: time.Second},
	} {
		c := qt.New(t)
		got, err := Derive(b)
		c.Assert(err, qt.IsNil)
		c.Assert(got.Lease <= b.MaxLease, qt.IsTrue)
		entryLost := got.SilenceTimeout + maxSchedulingDelay + b.MaxStopTime + maxSchedulingDelay
		agentLost := time.Duration(1.02*float64(got.Lease)) + b.MaxStopTime + maxSchedulingDelay
		c.Assert(entryLost <= b.ResendAfter, qt.IsTrue, qt.Commentf("%v: %v", b, entryLost))
		c.Assert(agentLost <= b.ResendAfter, qt.IsTrue, qt.Commentf("%v: %v", b, agentLost))
		c.Assert(got.RestartDelay >= agentLost, qt.IsTrue)
		c.Assert(got.RestartDelay >= entryLost, qt.IsTrue)
		c.Assert(2*got.PingInterval < got.SilenceTimeout, qt.IsTrue)
	}
}

// Guards against starting up with bounds for which there are no safe timings.
func TestTooTightBoundsAreRejected(t *testing.T) {
	_, err := Derive(Bounds{MaxLease: time.Second, MaxStopTime: 200 * time.Millisecond, ResendAfter: 400 * time.Millisecond})
	qt.Assert(t, err, qt.ErrorMatches, "no safe timings for the platform bounds: max lease 1s, stop time 200ms, resend after 400ms")
}

// Guards against waits for the store and for other entries that leave no time, within the
// bounds of the platform, to use what they brought.
func TestWaitsLeaveTimeWithinTheirBounds(t *testing.T) {
	for _, bound := range []time.Duration{0, 3 * time.Second, 4 * time.Second, 6 * time.Second} {
		c := qt.New(t)
		b := Bounds{MaxLease: time.Second, MaxStopTime: 50 * time.Millisecond, ResendAfter: 1300 * time.Millisecond, Contact: bound, Cancel: bound}
		got, err := Derive(b)
		c.Assert(err, qt.IsNil)
		limit := max(bound, 3*time.Second)
		c.Check(got.StoreAttemptInterval <= limit-contactReserve, qt.IsTrue)
		c.Check(got.CancelTimeout <= limit*3/4, qt.IsTrue)
		c.Check(got.CancelTimeout > got.SilenceTimeout+b.MaxStopTime+2*maxSchedulingDelay, qt.IsTrue)
	}
}
