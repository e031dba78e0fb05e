package runner

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/link"
)

// newRestartedFixture returns an agent that has restarted, with two entries. Its worker has
// not announced itself yet.
func newRestartedFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.takeActions()
	f.answerRenewal()
	f.s.EntryConnected(f.now, 1, link.Hello{Entry: "e1", Incarnation: 11})
	f.s.EntryConnected(f.now, 2, link.Hello{Entry: "e2", Incarnation: 12})
	f.takeActions()
	return f
}

func known(speed float32, age time.Duration) *link.KnownSpeed {
	return &link.KnownSpeed{WorkerID: "life-7", Born: 7, Speed: speed, AgeMS: age.Milliseconds()}
}

func (f *fixture) passOn(conn ConnID, k *link.KnownSpeed) {
	f.sendCommands(conn, &link.Commands{KnownSpeed: k})
}

// reportedSpeeds returns the speeds in the next report to the first entry.
func (f *fixture) reportedSpeeds() (speed, longTerm float32) {
	f.now += 100 * ms
	f.sendCommands(1, &link.Commands{})
	f.Assert(f.reports[1], qt.IsNotNil)
	return f.reports[1].Speed, f.reports[1].LongTermSpeed
}

// runAt lets the worker run tasks at a speed for a time.
func (f *fixture) runAt(speed float64, d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * ms {
		f.receive(1, &link.Commands{})
		f.receive(2, &link.Commands{})
		f.s.speed.addFinished(f.now, speed)
		f.s.updateSpeed(f.now)
	}
}

// Guards against an agent that assumes a speed of 1 for a slow worker after its restart, and
// against a known speed that outlives what the agent has measured itself.
func TestKnownSpeedIsAssumedUntilRunsAreMeasured(t *testing.T) {
	for name, learn := range map[string]func(f *fixture, pass func()){
		"worker announced first": func(f *fixture, pass func()) { f.announce(announcement(7, false)); pass() },
		"worker announced later": func(f *fixture, pass func()) { pass(); f.announce(announcement(7, false)) },
		"announcement restored":  func(f *fixture, pass func()) { pass(); f.s.RestoreWorker(f.now, announcement(7, false)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newRestartedFixture(t)
			learn(f, func() { f.passOn(1, known(0.55, time.Second)) })
			speed, longTerm := f.reportedSpeeds()
			f.Assert(speed, qt.Equals, float32(0.55))
			f.Assert(longTerm, qt.Equals, float32(0), qt.Commentf("an assumption is not reported as measured"))
			f.runAt(1.1, 10*time.Second)
			f.passOn(2, known(0.55, 0))
			speed, longTerm = f.reportedSpeeds()
			f.Assert(speed > 0.9 && longTerm > 0.9, qt.IsTrue, qt.Commentf("%v %v", speed, longTerm))
		})
	}
}

// Guards against the speed of another worker or of an earlier instance, a speed from long
// ago, a message that was under way for long, and a malformed value (see also package link).
func TestKnownSpeedsThatAreIgnored(t *testing.T) {
	for name, pass := range map[string]func(f *fixture){
		"other worker":     func(f *fixture) { f.passOn(1, &link.KnownSpeed{WorkerID: "other", Born: 7, Speed: 0.55}) },
		"other instance":   func(f *fixture) { f.passOn(1, &link.KnownSpeed{WorkerID: "life-7", Born: 6, Speed: 0.55}) },
		"malformed":        func(f *fixture) { f.passOn(1, known(0.55, -time.Second)) },
		"none":             func(f *fixture) { f.passOn(1, nil) },
		"message too late": func(f *fixture) { f.passOnAsOf(f.now-31*time.Second, known(0.55, 30*time.Second)) },
		"impossible time":  func(f *fixture) { f.passOnAsOf(math.MinInt64, known(0.55, 30*time.Second)) },
		"known too long before the worker": func(f *fixture) {
			f.passOn(1, known(0.55, 59*time.Second))
			for range 11 {
				f.now += 100 * ms
				f.receive(1, &link.Commands{})
				f.receive(2, &link.Commands{})
				f.answerRenewal()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRestartedFixture(t)
			pass(f)
			f.announce(announcement(7, false))
			speed, _ := f.reportedSpeeds()
			f.Assert(speed, qt.Equals, float32(1))
		})
	}
}

// passOnAsOf passes on a speed in a message that the entry dated at asOf.
func (f *fixture) passOnAsOf(asOf time.Duration, k *link.KnownSpeed) {
	f.s.HandleCommands(f.now, 1, &link.Commands{AsOfMS: asOf.Milliseconds(), KnownSpeed: k})
}

// Guards against an entry that was cut off and replaces the value of one that wasn't, whether
// the agent knows its worker yet or not; and against a log line for each entry.
func TestMostRecentKnownSpeedCounts(t *testing.T) {
	values := map[ConnID]*link.KnownSpeed{1: known(0.6, time.Second), 2: known(0.9, 5*time.Second)}
	for name, order := range map[string][]ConnID{"newer first": {1, 2, 0}, "newer last": {2, 1, 0}, "worker first": {0, 1, 2}, "worker first, newer last": {0, 2, 1}} {
		t.Run(name, func(t *testing.T) {
			f := newRestartedFixture(t)
			for _, conn := range order {
				if conn == 0 {
					f.announce(announcement(7, false))
					continue
				}
				f.receive(conn, &link.Commands{KnownSpeed: values[conn]})
			}
			lines := 0
			for _, l := range f.s.TakeActions(f.now).LogLines {
				if l.Message == "known speed of the worker is used" {
					lines++
				}
			}
			f.Assert(lines, qt.Equals, 1)
			speed, _ := f.reportedSpeeds()
			f.Assert(speed, qt.Equals, float32(0.6))
		})
	}
}

// Guards against the speed of an instance that counts for the next one, and against memory
// that fills with the speeds of instances that the agent never has.
func TestKnownSpeedEndsWithItsWorker(t *testing.T) {
	f := newRestartedFixture(t)
	f.announce(announcement(7, false))
	f.passOn(1, known(0.55, 0))
	for born := range int64(100) {
		f.passOn(2, &link.KnownSpeed{WorkerID: "life-7", Born: 1000 + born, Speed: 0.8})
	}
	f.Assert(f.s.knownSpeeds, qt.HasLen, maxKnownSpeeds)
	f.passOn(2, known(0.9, 5*time.Second))
	f.Assert(f.s.speed.speed(), qt.Equals, float64(float32(0.55)), qt.Commentf("an older value, after the newer one has made room"))
	f.restartWorker()
	f.Assert(f.s.speed.speed(), qt.Equals, 1.0)
}

// Guards against an entry that was cut off for long and whose values, of instances from long
// ago, take the place of the recent one of the present instance.
func TestOldKnownSpeedsDoNotReplaceRecentOnes(t *testing.T) {
	f := newRestartedFixture(t)
	f.passOn(1, known(0.55, time.Second))
	for born := range int64(maxKnownSpeeds) {
		f.passOn(2, &link.KnownSpeed{WorkerID: "life-7", Born: 1 + born, Speed: 0.8, AgeMS: 30000})
	}
	f.passOn(2, &link.KnownSpeed{WorkerID: "life-7", Born: 6, Speed: 0.8, AgeMS: 50000})
	f.Assert(f.s.knownSpeeds, qt.HasLen, maxKnownSpeeds)
	for _, k := range f.s.knownSpeeds {
		f.Check(k.born, qt.Not(qt.Equals), int64(6))
	}
}

// Load pattern: a worker that is slow for half a second. Guards against an agent that reports
// this as the speed for the time after its restart, in which it would get no tasks.
func TestWorkerThatIsSlowForAMoment(t *testing.T) {
	f := newReadyFixture(t)
	f.runAt(1.1, 20*time.Second)
	f.runAt(0.1, 500*ms)
	speed, longTerm := f.reportedSpeeds()
	f.Assert(speed < 0.4, qt.IsTrue, qt.Commentf("%v", speed))
	f.Assert(longTerm > 0.95, qt.IsTrue, qt.Commentf("%v", longTerm))
}
