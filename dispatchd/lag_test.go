package dispatchd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// Load pattern: the host of an entry becomes many times slower during a burst.
// The entry must leave rotation when it is late with every job, and must not
// leave it because of a single pause.
func TestLaggingEntryLeavesRotation(t *testing.T) {
	c := qt.New(t)
	m := &lagMeter{}
	now := time.Hour
	run := func(d, lag time.Duration) {
		for end := now + d; now < end; {
			now += tickInterval + lag
			m.tick(now, tickInterval)
		}
	}
	run(2*time.Second, 2*ms)
	c.Assert(m.overloaded(), qt.IsFalse)
	// A suspension, and occasional pauses such as those of garbage collection. A
	// duration of 1 ns gives a single tick.
	run(1, 4*time.Second)
	for range 10 {
		run(200*ms, 0)
		run(1, 60*ms)
	}
	c.Assert(m.overloaded(), qt.IsFalse)

	run(2*time.Second, 80*ms)
	c.Assert(m.overloaded(), qt.IsTrue)
	c.Assert(m.closeAfterResponse(now), qt.IsFalse, qt.Commentf("closed before the platform sends clients elsewhere"))
	run(2*time.Second, 80*ms)
	c.Assert(m.closeAfterResponse(now), qt.IsTrue)
	run(minOverloadDuration, 0)
	c.Assert(m.overloaded(), qt.IsFalse)
	c.Assert(m.closeAfterResponse(now), qt.IsFalse)
}

// An entry must not return to rotation as soon as the platform has moved its
// load elsewhere: it would be overloaded again.
func TestEntryStaysOutOfRotationForMinimumTime(t *testing.T) {
	m := &lagMeter{}
	now := time.Hour
	for !m.overloaded() {
		now += tickInterval + 80*ms
		m.tick(now, tickInterval)
	}
	since := now
	for m.overloaded() {
		now += tickInterval
		m.tick(now, tickInterval)
	}
	qt.Assert(t, now-since >= minOverloadDuration, qt.IsTrue, qt.Commentf("%v", now-since))
}
