package dispatchd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/clock"
	"github.com/sesamelift/sesamelift/directory"
	"github.com/sesamelift/sesamelift/link"
)

// addPeer makes another entry known.
func (e *runningEntry) addPeer(name, address string) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	e.cache.members[name] = directory.Member{Name: name, Role: directory.RoleEntry, Directory: address}
}

func (e *runningEntry) cancel(id string) (bool, error) {
	return e.Cancel(context.Background(), id, clock.SinceBoot())
}

// assertCancelled cancels a job and checks that the caller is told so.
func (e *runningEntry) assertCancelled(id string) {
	e.Helper()
	known, err := e.cancel(id)
	e.Assert(err, qt.IsNil)
	e.Assert(known, qt.IsTrue)
}

// connectedEntries returns two entries that know each other, and the number of requests that
// each has got from the other.
func connectedEntries(t *testing.T) (entries [2]*runningEntry, requests *[2]atomic.Int32) {
	requests = &[2]atomic.Int32{}
	var addresses [2]string
	for i := range entries {
		entries[i] = startEntry(t)
		handler := entries[i].DirectoryHandler()
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests[i].Add(1)
			handler.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		addresses[i] = server.Listener.Addr().String()
	}
	for i := range entries {
		entries[i].addPeer("the other entry", addresses[1-i])
	}
	return entries, requests
}

// Guards against "no such job" for a job that another entry runs, or that has been cancelled by
// a request whose answer was lost, and against a job that goes on after it was cancelled.
func TestJobIsCancelledAtItsEntry(t *testing.T) {
	entries, requests := connectedEntries(t)
	owner, other := entries[0], entries[1]
	ctx, gone := context.WithCancel(context.Background())
	defer gone()
	owner.submit(ctx, "j1")
	other.assertCancelled("j1")
	owner.Assert((<-owner.received).Stops, qt.HasLen, 1)
	owner.Assert(requests[0].Load(), qt.Equals, int32(1))
	// A job that the entry runs itself costs no request but the notice.
	owner.submit(ctx, "j3")
	owner.assertCancelled("j3")
	owner.Assert((<-owner.received).Stops, qt.HasLen, 1)
	owner.Assert(requests[0].Load(), qt.Equals, int32(1))
	owner.Assert(requests[1].Load() <= 2, qt.IsTrue, qt.Commentf("one notice for each job at most"))
	// Repeated.
	owner.assertCancelled("j1")
	other.assertCancelled("j1")
	known, err := other.cancel("j2")
	owner.Assert(err, qt.IsNil)
	owner.Assert(known, qt.IsFalse)
}

// Guards against a cancelled job that runs again when its request arrives again or late, at the
// entry that has cancelled it and at one that has never run it.
func TestCancelledJobStaysCancelled(t *testing.T) {
	entries, _ := connectedEntries(t)
	owner, other := entries[0], entries[1]
	ctx, gone := context.WithCancel(context.Background())
	defer gone()
	owner.submit(ctx, "j1")
	owner.assertCancelled("j1")
	owner.Assert((<-owner.received).Stops, qt.HasLen, 1)
	for _, e := range entries {
		e.assertTold("j1")
		v := e.Submit(ctx, e.job("j1"), func() bool { return false })
		e.Assert(v.Reason, qt.Equals, api.ReasonCancelledByCaller)
		e.Assert(v.Ran, qt.Not(qt.Equals), api.RanNo)
		e.Assert(e.Knows(ctx, "j1"), qt.Equals, e == owner)
		e.assertCancelled("j1")
	}
	// A job that was submitted at both entries is cancelled at both, long before its deadline.
	owner.submit(ctx, "j2")
	other.submit(ctx, "j2")
	owner.assertCancelled("j2")
	for _, e := range entries {
		select {
		case c := <-e.received:
			e.Assert(c.Stops, qt.HasLen, 1)
		case <-time.After(e.opts.Timings.CancelTimeout):
			t.Fatal("the job runs on at an entry after it was cancelled at the other one")
		}
	}
	// The entry that has asked about a job is told of it by the one that ran it.
	owner.submit(ctx, "j3")
	other.assertCancelled("j3")
	other.assertTold("j3")
}

// Guards against an answer to the request of a cancelled job after which it arrives again: at an
// entry that doesn't know of the cancelling, the job ran again.
func TestRequestOfACancelledJobIsAnsweredForGood(t *testing.T) {
	entries, _ := connectedEntries(t)
	for _, at := range entries {
		e := entries[0]
		answer := make(chan *api.Verdict, 1)
		go func() {
			answer <- e.Submit(context.Background(), e.job("j"+fmt.Sprint(at == e)), func() bool { return false })
		}()
		e.Assert((<-e.received).Starts, qt.HasLen, 1)
		at.assertCancelled("j" + fmt.Sprint(at == e))
		e.Assert((<-answer).Reason, qt.Equals, api.ReasonCancelledByCaller)
		e.Assert((<-e.received).Stops, qt.HasLen, 1)
	}
}

// Guards against an acknowledgement that is known to one entry alone, which may be killed right
// after it, and against a caller that waits for an entry that hangs or is down.
func TestCancellationIsKnownBeforeItsAnswer(t *testing.T) {
	entries, _ := connectedEntries(t)
	owner, other := entries[0], entries[1]
	ctx, gone := context.WithCancel(context.Background())
	defer gone()
	knows := func(e *runningEntry, id string) (known bool) {
		e.Assert(e.call(ctx, func(now time.Duration) { known = e.cancelledJobs.Contains(now, id) }), qt.IsNil)
		return known
	}
	for n := range 5 {
		id := fmt.Sprint("j", n)
		owner.submit(ctx, id)
		// In turn at the entry that runs it and at the other one.
		entries[n%2].assertCancelled(id)
		owner.Assert(knows(owner, id) && knows(other, id), qt.IsTrue, qt.Commentf("%s", id))
		owner.Assert((<-owner.received).Stops, qt.HasLen, 1)
	}
	hung, err := net.Listen("tcp", "127.0.0.1:0")
	owner.Assert(err, qt.IsNil)
	defer func() { _ = hung.Close() }()
	owner.addPeer("hung", hung.Addr().String())
	owner.submit(ctx, "last")
	began := time.Now()
	owner.assertCancelled("last")
	owner.Assert(time.Since(began) < cancelRequestTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	owner.Assert(knows(other, "last"), qt.IsTrue)
}

// Guards against a job that runs although its caller has cancelled it, because its request was
// on its way or arrived again when the cancelling was acknowledged and no entry ran it.
func TestJobThatNobodyRunsStaysCancelled(t *testing.T) {
	entries, _ := connectedEntries(t)
	ctx, gone := context.WithCancel(context.Background())
	defer gone()
	entries[0].submit(ctx, "ended")
	entries[0].Assert(entries[0].call(ctx, func(now time.Duration) {
		entries[0].scheduler.Cancel(now, "ended", "its caller's connection was reset")
	}), qt.IsNil)
	entries[0].Assert((<-entries[0].received).Stops, qt.HasLen, 1)
	for _, id := range []string{"new", "ended"} {
		known, err := entries[1].cancel(id)
		entries[1].Assert(err, qt.IsNil)
		entries[1].Assert(known, qt.IsFalse)
		for _, e := range entries {
			v := e.Submit(ctx, e.job(id), func() bool { return false })
			e.Assert(v.Reason, qt.Equals, api.ReasonCancelledByCaller, qt.Commentf("%s", id))
		}
	}
	// A job that is complete keeps its answer.
	e := entries[0]
	start := e.submit(ctx, "complete")
	e.report(e.lastSequence(), &link.Report{Answers: []link.StartAnswer{{Task: start.Task, Attempt: start.Attempt}}, Ends: []link.End{{Task: start.Task, Attempt: start.Attempt}}})
	for answered := false; !answered; time.Sleep(ms) {
		e.Assert(e.call(ctx, func(now time.Duration) { answered = e.scheduler.HasAnswer(now, "complete") }), qt.IsNil)
	}
	_, err := e.cancel("complete")
	e.Assert(err, qt.IsNil)
	e.Assert(e.Submit(ctx, e.job("complete"), func() bool { return false }).Outcome, qt.Equals, api.Complete)
}

// Guards against a cancelled job that runs at an entry which has just started: its request was sent
// again, and the entry hadn't heard of the cancelling.
func TestStartedEntryKnowsCancelledJobs(t *testing.T) {
	entries, _ := connectedEntries(t)
	informed := entries[0]
	ctx, gone := context.WithCancel(context.Background())
	defer gone()
	informed.submit(ctx, "ran")
	informed.assertCancelled("ran")
	_, err := informed.cancel("unseen")
	informed.Assert(err, qt.IsNil)
	informed.cancelledComplete.Store(true)
	// A further one has just started too, and another is down.
	starting, _ := connectedEntries(t)
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	e := startEntry(t)
	for i, address := range []string{serve(t, informed), serve(t, starting[0]), down.Listener.Addr().String()} {
		e.addPeer(fmt.Sprint("e", i), address)
	}
	e.startedAt = clock.SinceBoot()
	go e.learnCancelled(ctx)
	for _, id := range []string{"ran", "unseen"} {
		v := e.Submit(ctx, e.job(id), func() bool { return false })
		e.Assert(v.Reason, qt.Equals, api.ReasonCancelledByCaller, qt.Commentf("%s", id))
	}
	e.submit(ctx, "other")
	e.Assert(e.cancelledComplete.Load(), qt.IsTrue)
}

// serve serves the address for other entries.
func serve(t *testing.T, e *runningEntry) string {
	server := httptest.NewServer(e.DirectoryHandler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against jobs that are held back for longer than the bound after the start, and against
// an entry that waits although there is no other one, or all of them have just started.
func TestStartIsNotDelayedWithoutAnAnswer(t *testing.T) {
	hung, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = hung.Close() }()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, others := range []string{"none", "started", "hung"} {
		e := startEntry(t)
		e.cache.membersRead = true
		switch others {
		case "hung":
			e.addPeer("hung", hung.Addr().String())
		case "started":
			for i := range 6 {
				e.addPeer(fmt.Sprint("e", i), serve(t, startEntry(t)))
			}
		}
		began := clock.SinceBoot()
		e.startedAt = began
		go e.learnCancelled(ctx)
		e.awaitCancelled(ctx)
		took := clock.SinceBoot() - began
		e.Check(took >= learnTimeout, qt.Equals, others == "hung", qt.Commentf("%s: %v", others, took))
		e.submit(ctx, "j")
	}
}

// assertTold waits until the entry knows that a job has been cancelled.
func (e *runningEntry) assertTold(id string) {
	e.Helper()
	told := false
	for end := time.Now().Add(e.opts.Timings.CancelTimeout); !told && time.Now().Before(end); time.Sleep(ms) {
		e.Assert(e.call(context.Background(), func(now time.Duration) { told = e.cancelledJobs.Contains(now, id) }), qt.IsNil)
	}
	e.Assert(told, qt.IsTrue, qt.Commentf("the entry doesn't know that %s was cancelled", id))
}

// Load pattern: a client cancels jobs at random, while one entry is down and another hangs.
// Guards against a load on the other entries that grows with that of the client, and against
// callers that wait beyond the bound.
func TestRandomCancellationsAreBatched(t *testing.T) {
	e := startEntry(t)
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	e.addPeer("answers", server.Listener.Addr().String())
	hung, err := net.Listen("tcp", "127.0.0.1:0")
	e.Assert(err, qt.IsNil)
	defer func() { _ = hung.Close() }()
	down, err := net.Listen("tcp", "127.0.0.1:0")
	e.Assert(err, qt.IsNil)
	e.addPeer("down", down.Addr().String())
	_ = down.Close()
	const callers, each = 50, 20
	began := time.Now()
	cancelAll := func() {
		var wg sync.WaitGroup
		for n := range callers {
			wg.Go(func() {
				for k := range each {
					if known, err := e.cancel(fmt.Sprintf("%08x%08x", n, k)); known || err != nil {
						t.Errorf("%v, %v", known, err)
					}
				}
			})
		}
		wg.Wait()
	}
	cancelAll()
	most := int32(time.Since(began)/(100*ms)) + 2
	e.Assert(requests.Load() <= most, qt.IsTrue, qt.Commentf("%d requests", requests.Load()))
	t.Logf("%d cancellations in %v: %d requests to an entry that answers", callers*each, time.Since(began), requests.Load())
	// A hung entry delays the answer up to the bound, and only until it counts as failing.
	e.addPeer("hung", hung.Addr().String())
	for _, bound := range []time.Duration{e.opts.Timings.CancelTimeout, cancelRequestTimeout + 300*ms} {
		began = time.Now()
		known, err := e.cancel("0123456789abcdef")
		e.Assert(err, qt.IsNil)
		e.Assert(known, qt.IsFalse)
		e.Assert(time.Since(began) <= bound+500*ms, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
	}
}

// Guards against requests of other entries that cost more than their bound.
func TestOddCancelRequestsAreRejected(t *testing.T) {
	e := startEntry(t)
	handler := e.DirectoryHandler()
	for body, status := range map[string]int{
		`{"jobs":["a"]}`: 200, `{"cancelled":[{"job":"a","for_ms":1}]}`: 200, `{"cancelled":[{"job":"a"}]}`: 400, `{}`: 200, `7`: 400,
		`{"cancelled":[{"job":"a","for_ms":9e18}]}`: 400, `{"cancelled":[{"job":"` + strings.Repeat("a", 65) + `","for_ms":1}]}`: 400, `{"jobs":["` + strings.Repeat("a", 65) + `"]}`: 400,
		`{"jobs":["a"` + strings.Repeat(`,"b"`, 256) + `]}`: 400,
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, CancelPath, strings.NewReader(body)))
		e.Check(w.Code, qt.Equals, status, qt.Commentf("%.40s", body))
	}
}

// Guards against a request to cancel a job that is cut off because its entry ends, and against
// "no such job" although the other entries haven't had their time to answer.
func TestDrainWaitsForRequestsToCancel(t *testing.T) {
	for name, delay := range map[string]time.Duration{"the other entry answers": 200 * ms, "the other entry hangs": time.Minute} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t)
			stopped := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				select {
				case <-time.After(delay):
				case <-stopped:
				}
				_, _ = w.Write([]byte("{}"))
			}))
			defer server.Close()
			defer close(stopped)
			e.addPeer("other", server.Listener.Addr().String())
			e.opts.GracePeriod, e.opts.CloseConnections = 2*time.Second, func() {}
			drained := make(chan struct{})
			began := time.Now()
			go func() { e.drain(); close(drained) }()
			time.Sleep(e.opts.GracePeriod/2 - 50*ms)
			end := e.BeginRequest()
			known, err := e.cancel("j1")
			e.Assert(known, qt.IsFalse)
			if delay < time.Second {
				e.Assert(err, qt.IsNil)
			} else {
				e.Assert(err, qt.Equals, ErrCancelUnresolved)
			}
			select {
			case <-drained:
				t.Fatal("the drain has ended before the answer")
			default:
			}
			end()
			<-drained
			e.Assert(time.Since(began) < e.opts.GracePeriod, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
		})
	}
}
