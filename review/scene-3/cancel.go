package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Bounds of the settings.
const (
	cancelMS     = 3 * time.Second
	contactMS    = 3 * time.Second
	retransmitMS = 1300 * time.Millisecond
	// longMS is the timeout of the queue in these cases, in milliseconds.
	longMS = 30000
)

// answer is the answer to a request of a client.
type answer struct {
	at     time.Duration
	status int
	text   string
}

// submit sends a job in the background. The channel yields the answer.
func (s *scene) submit(e *process, addr, id string, deadlineMS int, body string) chan answer {
	done := make(chan answer, 1)
	s.record("client: POST %s to %s, Deadline-Ms %d: %s", id, e.name, deadlineMS, body)
	go func() {
		status, text := s.post(context.Background(), addr, id, deadlineMS, body)
		s.record("client: answer to POST %s at %s: status %d %s", id, e.name, status, text)
		done <- answer{s.now(), status, text}
	}()
	return done
}

// cancel sends a DELETE and returns its answer.
func (s *scene) cancel(e *process, id string) answer {
	s.record("client: DELETE %s at %s", id, e.name)
	status, text := s.request(context.Background(), http.MethodDelete, e.front, id, 5000, "")
	s.record("client: answer to DELETE %s at %s: status %d %s", id, e.name, status, text)
	return answer{s.now(), status, text}
}

// chain returns the body of a job of steps that follow each other, each with one task of 0.8 s.
func chain(steps int) string {
	works := make([]int, steps)
	for i := range works {
		works[i] = 800
	}
	return job(works...)
}

// others submits jobs that nobody cancels.
func (s *scene) others(n int) {
	for i := range n {
		e := s.entries[i%len(s.entries)]
		s.submit(e, e.front, fmt.Sprintf("%016x", 0xd600+i), longMS, job(800))
	}
}

// acknowledged reports whether a DELETE was acknowledged.
func (a answer) acknowledged() bool { return a.status/100 == 2 || a.status == http.StatusGone }

// waitForStart waits until a task of a job runs.
func (s *scene) waitForStart(id string) {
	for n := 0; n < 200; n++ {
		if len(s.startsOf(id)) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	panic("no task of " + id + " starts")
}

// judge checks rule UNASKED: no start later than cancel_ms after the acknowledgement, by a
// machine that is in touch from the given time on.
func (s *scene) judge(id string, ack answer, inTouchFrom time.Duration) bool {
	if !ack.acknowledged() {
		panic("the cancelling was not acknowledged")
	}
	limit := ack.at + cancelMS
	s.record("the cancelling of %s was acknowledged at %.3f s: no start is allowed after %.3f s; the machine that starts is in touch from %.3f s on", id, ack.at.Seconds(), limit.Seconds(), inTouchFrom.Seconds())
	ok := true
	for _, r := range s.startsOf(id) {
		if r.at > limit && r.at > inTouchFrom {
			s.record("UNASKED: %s started on %s at %.3f s, %.3f s after the acknowledgement", r.task, r.worker, r.at.Seconds(), (r.at - ack.at).Seconds())
			ok = false
		}
	}
	return ok
}

// caseCut: the entry that owns a job is cut off from the other entries while its caller cancels
// the job at another one.
func (s *scene) caseCut() bool {
	const id = "00000000000000d1"
	s.withPeerProxies(3)
	s.startAll(0, 3)
	s.path = "/long/"
	owner, other := s.entries[0], s.entries[1]
	s.others(4)
	s.submit(owner, owner.front, id, longMS, chain(13))
	s.waitForStart(id)
	time.Sleep(300 * time.Millisecond)
	healed := s.now()
	if s.trouble {
		s.cutPeers(owner, true)
		s.record("%s is cut off from the other entries for 3 s", owner.name)
		time.AfterFunc(3*time.Second, func() { s.cutPeers(owner, false); s.record("the cut has healed") })
		healed += 3 * time.Second
	}
	time.Sleep(200 * time.Millisecond)
	ack := s.cancel(other, id)
	time.Sleep(10 * time.Second)
	return s.judge(id, ack, healed+contactMS)
}

// caseRestart: an entry is stopped and started in turn after the caller has cancelled a job at
// another one, and the job's request arrives there again.
func (s *scene) caseRestart() bool {
	const id = "00000000000000d2"
	s.startAll(3, 3)
	s.path = "/long/"
	owner, other := s.entries[0], s.entries[1]
	body := chain(9)
	s.others(4)
	done := s.submit(owner, owner.front, id, longMS, body)
	s.waitForStart(id)
	started := make(chan time.Duration, 1)
	if s.trouble {
		other.signal(syscall.SIGTERM)
		s.record("%s gets SIGTERM", other.name)
		go func() {
			<-other.exited
			s.record("%s has ended", other.name)
			time.Sleep(200 * time.Millisecond)
			other.start()
			s.record("%s is started", other.name)
			started <- s.now()
		}()
		time.Sleep(2200 * time.Millisecond)
	} else {
		started <- 0
	}
	ack := s.cancel(owner, id)
	s.resend(<-done, other, id, body)
	return s.judge(id, ack, <-started+contactMS)
}

// resend sends a job again, as its client does after a broken connection, 502 or 504, and waits
// for the answer.
func (s *scene) resend(first answer, e *process, id, body string) {
	if first.status != 0 && first.status != http.StatusBadGateway && first.status != http.StatusGatewayTimeout {
		s.record("the answer is final, the client doesn't send the job again")
		return
	}
	time.Sleep(first.at + retransmitMS - s.now())
	<-s.submit(e, e.front, id, longMS-2000, body)
}

// caseKill: the entry that has just acknowledged the cancelling of a job is killed.
func (s *scene) caseKill() bool {
	const id = "00000000000000d3"
	s.startAll(3, 4)
	s.path = "/long/"
	owner, other := s.entries[0], s.entries[1]
	body := chain(8)
	s.others(8)
	done := s.submit(owner, owner.front, id, longMS, body)
	s.waitForStart(id)
	// Other jobs of the same owner, whose callers cancel them shortly before.
	many := []string{"00000000000000e1", "00000000000000e2", "00000000000000e3"}
	for _, o := range many {
		s.submit(owner, owner.front, o, longMS, body)
	}
	for _, o := range many {
		s.waitForStart(o)
	}
	time.Sleep(300 * time.Millisecond)
	for _, o := range many {
		s.cancel(owner, o)
	}
	ack := s.cancel(owner, id)
	if s.trouble {
		owner.signal(syscall.SIGKILL)
		s.record("%s is killed", owner.name)
	}
	s.resend(<-done, other, id, body)
	return s.judge(id, ack, 0)
}

// caseReset: the connection of a caller is reset, the caller cancels the job at another entry,
// and the job's request arrives there again.
func (s *scene) caseReset() bool {
	const id = "00000000000000d4"
	s.startAll(3, 3)
	s.path = "/long/"
	owner, other := s.entries[0], s.entries[1]
	p := newProxy(owner.front)
	body := chain(8)
	s.others(4)
	done := s.submit(owner, p.address(), id, longMS, body)
	s.waitForStart(id)
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		p.reset()
		s.record("the caller's connection to %s is reset", owner.name)
	}
	time.Sleep(500 * time.Millisecond)
	ack := s.cancel(other, id)
	s.resend(<-done, other, id, body)
	return s.judge(id, ack, 0)
}
