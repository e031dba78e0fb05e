package dispatchd

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/link"
	"github.com/sesamelift/sesamelift/timing"
)

// Guards against a healthy idle agent that counts as lost: a report that crosses a ping takes the
// place of the answer to it.
func TestIdleAgentWhoseReportCrossesAPingIsNotLost(t *testing.T) {
	timings, err := timing.Derive(timing.Bounds{MaxLease: time.Second, MaxStopTime: 50 * ms, ResendAfter: resendAfter})
	qt.Assert(t, err, qt.IsNil)
	now := time.Hour
	a := &agent{sequence: 5, heard: 5, liveness: timing.Liveness{LastSent: now, LastReceived: now}}
	agentReportedAt, agentSequence := time.Duration(-1), uint64(5)
	inFlight := []uint64(nil)
	for end := now + 5*time.Second; now < end; now += 20 * ms {
		// One unsolicited report, which leaves the agent just before the ping reaches it.
		if now == time.Hour+time.Second {
			agentReportedAt = now
			inFlight = append(inFlight, agentSequence)
		}
		ping, lost := a.liveness.Check(now, false, true, timings)
		if lost {
			t.Fatalf("lost %v after the last answer to a ping", now-time.Hour)
		}
		if ping {
			a.sequence++
			a.liveness.LastSent = now
			agentSequence = a.sequence
			if now-agentReportedAt >= 60*ms {
				agentReportedAt = now
				inFlight = append(inFlight, agentSequence)
			}
		}
		for _, s := range inFlight {
			a.reported(now+ms, s, false)
		}
		inFlight = nil
	}
}

// Guards against a job that runs on while its caller submits it elsewhere: the connection was
// reset behind a further request, and the server doesn't end the context of the first one.
func TestJobEndsWithItsCallersConnection(t *testing.T) {
	e := startEntry(t)
	var gone atomic.Bool
	verdict := make(chan *api.Verdict, 1)
	go func() { verdict <- e.Submit(context.Background(), e.job("a"), gone.Load) }()
	e.Assert((<-e.received).Starts, qt.HasLen, 1)
	time.Sleep(2 * callerCheckInterval)
	e.Assert(e.Knows(context.Background(), "a"), qt.IsTrue)
	gone.Store(true)
	began := time.Now()
	e.Assert((<-e.received).Stops, qt.HasLen, 1)
	e.Assert(time.Since(began) < resendAfter/2, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
	e.Assert((<-verdict).Reason, qt.Equals, api.ReasonCancelled)
}

// Guards against a job that is cancelled and starts anew while its runs are being stopped: one
// of its callers goes while the submission of another waits in the queue.
func TestJobGoesOnForACallerThatWaitsInTheQueue(t *testing.T) {
	e := startEntry(t)
	first, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	second, end := context.WithCancel(context.Background())
	defer end()
	s := e.submit(first, "a")
	e.report(e.lastSequence(), &link.Report{Answers: []link.StartAnswer{{Task: s.Task, Attempt: s.Attempt, Result: link.Started}}})
	time.Sleep(30 * ms)
	release, held := make(chan struct{}), make(chan struct{})
	e.post(func(time.Duration) { close(held); <-release })
	<-held
	before := len(e.events)
	go e.Submit(second, e.job("a"), func() bool { return second.Err() != nil })
	for len(e.events) == before {
		time.Sleep(ms)
	}
	disconnect()
	for len(e.departures) == 0 {
		time.Sleep(ms)
	}
	close(release)
	for deadline := time.After(300 * ms); ; {
		select {
		case c := <-e.received:
			e.Fatalf("stops %v, starts %v", c.Stops, c.Starts)
		case <-deadline:
			return
		}
	}
}

// Guards against a run that outlasts the wait of a caller, who has gone while the entry stood
// still: what the entry sends then must not be dated later than it knew of its callers.
func TestStartAfterAStandstillEndsBeforeItsCallerResubmits(t *testing.T) {
	e := startEntry(t)
	const standstill = 700 * ms
	e.report(e.lastSequence(), &link.Report{ClockMS: clock.SinceBoot().Milliseconds()})
	e.deafen()
	time.Sleep(30 * ms)
	goneAt := make(chan time.Duration, 1)
	e.post(func(now time.Duration) {
		e.scheduler.Submit(now, e.job("a"))
		goneAt <- clock.SinceBoot()
		// The process doesn't run: nobody notices that the caller goes now.
		time.Sleep(standstill)
	})
	select {
	case c := <-e.received:
		t := e.opts.Timings
		ends := time.Duration(c.AsOfMS)*ms + time.Duration(1.02*float64(t.Lease)) + 50*ms + 60*ms - <-goneAt
		e.Assert(ends <= resendAfter, qt.IsTrue, qt.Commentf("the lease ends the run %v after its caller has gone", ends))
	case <-time.After(2 * time.Second):
	}
}

// Guards against "not run" for a job that runs, ran or is about to run: the caller would send
// it to another entry and it would run twice at the same time.
func TestKnownJobs(t *testing.T) {
	e := startEntry(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	e.submit(ctx, "a")
	e.Assert(e.Knows(ctx, "a"), qt.IsTrue, qt.Commentf("in progress"))
	e.Assert(e.Knows(ctx, "b"), qt.IsFalse, qt.Commentf("never submitted"))
	e.Assert(e.call(ctx, func(now time.Duration) { e.scheduler.Cancel(now, "a", "test") }), qt.IsNil)
	known, _, err := e.Find(ctx, "a")
	e.Assert([]any{known, err}, qt.DeepEquals, []any{false, nil})
	e.Assert(e.Knows(ctx, "a"), qt.IsTrue, qt.Commentf("its attempts are kept"))
	e.countQueued("c", 1)
	e.Assert(e.Knows(ctx, "c"), qt.IsTrue, qt.Commentf("queued"))
}
