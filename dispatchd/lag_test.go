package dispatchd

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// Load pattern: an entry's host runs many times slower while a burst comes.
// Guards against an entry that stays in rotation although it is late with
// everything, and against one that leaves it for a pause.
func TestEntryThatRunsLateLeavesRotation(t *testing.T) {
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
	// A suspension, and a collection of garbage now and then.
	run(1, 4*time.Second)
	for range 10 {
		run(200*ms, 0)
		run(1, 60*ms)
	}
	c.Assert(m.overloaded(), qt.IsFalse)

	run(2*time.Second, 80*ms)
	c.Assert(m.overloaded(), qt.IsTrue)
	c.Assert(m.closing(now), qt.IsFalse, qt.Commentf("closed before the platform sends clients elsewhere"))
	run(2*time.Second, 80*ms)
	c.Assert(m.closing(now), qt.IsTrue)
	run(minOverload, 0)
	c.Assert(m.overloaded(), qt.IsFalse)
	c.Assert(m.closing(now), qt.IsFalse)
}

// Guards against an entry that returns as soon as the platform has taken the
// load away, and is late again.
func TestEntryStaysOutOfRotationForAWhile(t *testing.T) {
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
	qt.Assert(t, now-since >= minOverload, qt.IsTrue, qt.Commentf("%v", now-since))
}
