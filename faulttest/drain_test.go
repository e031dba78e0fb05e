package faulttest

import (
	"encoding/json"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/standin"
)

const (
	// drainTime bounds a drain whose longest task takes 1.5 s.
	drainTime = 10 * time.Second
	// noticeTime is how long after the notice a backend server may still get
	// new tasks.
	noticeTime = 2 * time.Second
)

// wait returns the error of the process, which must end within limit.
func (p *process) wait(limit time.Duration) error {
	p.t.Helper()
	select {
	case <-p.ended:
		return p.err
	case <-time.After(limit):
		p.t.Fatalf("%s did not end within %v", p.name, limit)
		return nil
	}
}

// later submits a job in the background.
func (c *cluster) later(first int, key api.Key, tasks, ms int) <-chan outcome {
	out := make(chan outcome, 1)
	go func() { out <- c.insist(first, key, tasks, ms, 10*time.Second) }()
	return out
}

func checkComplete(t *testing.T, done []outcome) {
	t.Helper()
	for _, o := range done {
		if !o.complete() {
			t.Errorf("not complete: %v", o)
		}
	}
}

// Guards against a graceful shutdown of an entry or an agent that fails or cuts
// a job.
func TestGracefulShutdown(t *testing.T) {
	c := newCluster(t, 11, 2, 3)
	l := c.load(8, 3, 50)
	for _, p := range []*process{c.entries[0], c.agents[0]} {
		long := c.later(0, c.keyOf(c.entries[0]), 6, 1500)
		time.Sleep(400 * time.Millisecond)
		p.signal(syscall.SIGTERM)
		qt.Check(t, p.wait(drainTime), qt.IsNil, qt.Commentf("exit of %s", p.name))
		checkComplete(t, []outcome{<-long})
	}
	time.Sleep(300 * time.Millisecond)
	checkComplete(t, l.finish())
	c.verify()
}

// Guards against a process that cannot be ended while it drains.
func TestSecondSignalEndsDrain(t *testing.T) {
	c := newCluster(t, 12, 2, 2)
	for _, p := range []*process{c.entries[0], c.agents[0]} {
		long := c.later(1, c.keyOf(c.entries[0]), 8, 4000)
		time.Sleep(300 * time.Millisecond)
		p.signal(syscall.SIGTERM)
		time.Sleep(500 * time.Millisecond)
		select {
		case <-p.ended:
			t.Errorf("%s ended before its jobs: %v", p.name, p.err)
		default:
		}
		p.signal(syscall.SIGTERM)
		qt.Check(t, p.wait(time.Second), qt.IsNotNil, qt.Commentf("exit of %s", p.name))
		if o := <-long; o.answer != nil && o.answer.Ran == api.RanNo {
			t.Errorf("tasks had started: %v", o)
		}
	}
	c.verify()
}

// at reports whether a task of the job ran at the worker.
func (o outcome) at(worker string) bool {
	return o.answer != nil && slices.ContainsFunc(o.answer.Results, func(r json.RawMessage) bool {
		var got standin.TaskResult
		return json.Unmarshal(r, &got) == nil && got.Worker == worker
	})
}

func checkGone(t *testing.T, done []outcome, worker string, notice time.Time) {
	before := 0
	for _, o := range done {
		if o.at(worker) {
			before++
		}
		if o.submitted.After(notice.Add(noticeTime)) && (!o.complete() || o.at(worker)) {
			t.Errorf("after the backend server had left: %v", o)
		}
	}
	qt.Check(t, before > 0, qt.IsTrue, qt.Commentf("the worker ran nothing at all"))
}

// Guards against new tasks at a backend server that has said that it leaves, and
// against the end of tasks that run there.
func TestBackendLeaves(t *testing.T) {
	c := newCluster(t, 13, 2, 2)
	b, stop := c.addBackend(c.addAgent())
	c.connected()
	l := c.load(8, 2, 30)
	// The agent uses the backend server that announced itself last.
	c.backends[2].Kill()
	c.eventually("the second backend server of the worker is in use", 5*time.Second, func() bool { _, peak := b.Running(); return peak > 0 })
	time.Sleep(300 * time.Millisecond)
	// Tasks of 30 ms take 3.6 s from now on, so that the server has long tasks
	// when it leaves, wherever placement puts a job.
	b.SetFaults(standin.BackendFaults{SlowFactor: 120})
	time.Sleep(200 * time.Millisecond)
	c.eventually("slow tasks run there", 5*time.Second, func() bool { n, _ := b.Running(); return n >= 1 })
	notice := time.Now()
	stop()
	qt.Check(t, time.Since(notice) > noticeTime, qt.IsTrue, qt.Commentf("the server closed before its tasks had ended"))
	time.Sleep(500 * time.Millisecond)
	done := l.finish()
	checkComplete(t, done)
	checkGone(t, done, "w3", notice)
	c.verify()
}

// Guards against tasks that go on being sent to a backend server that died
// without a notice.
func TestBackendDies(t *testing.T) {
	c := newCluster(t, 14, 2, 3)
	l := c.load(12, 1, 60)
	time.Sleep(500 * time.Millisecond)
	died := time.Now()
	c.backends[0].Kill()
	time.Sleep(noticeTime + time.Second)
	done := l.finish()
	checkGone(t, done, "w1", died)
	checkAgentLoss(t, done, affectedByAgent)
	c.verify()
}

// Guards against a wave of cancellations, or a shutdown while jobs are queued,
// that loses an answer, makes one false or keeps other jobs from completing.
func TestShutdownWithCancellationWave(t *testing.T) {
	c := newCluster(t, 15, 2, 2)
	// 1030 jobs keep 16 slots busy for 2 s, which leaves enough of their
	// deadline of 8 s for all of them to be admitted.
	const jobs, kept = 1000, 30
	var wg sync.WaitGroup
	var keys []api.Key
	for i := range jobs {
		key := c.key()
		keys = append(keys, key)
		wg.Go(func() {
			o := c.insist(i, key, 1, 30, 10*time.Second)
			if o.answer == nil || o.answer.Verdict == api.Failed && o.answer.Reason != api.ReasonCancelled {
				t.Errorf("neither complete nor cancelled: %v", o)
			}
		})
	}
	var long []<-chan outcome
	for i := range kept {
		long = append(long, c.later(i, c.key(), 4, 20))
	}
	c.eventually("jobs are queued", 5*time.Second, func() bool {
		a, err1 := c.entries[0].status()
		b, err2 := c.entries[1].status()
		return err1 == nil && err2 == nil && a.QueuedTasks > 200 && b.QueuedTasks > 200
	})
	c.entries[0].signal(syscall.SIGTERM)
	began := time.Now()
	for _, key := range keys {
		wg.Go(func() { c.cancel(key, 1) })
	}
	wg.Wait()
	qt.Check(t, time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("the cancellations took %v", time.Since(began)))
	for _, o := range long {
		checkComplete(t, []outcome{<-o})
	}
	qt.Check(t, c.entries[0].wait(drainTime), qt.IsNil)
	time.Sleep(300 * time.Millisecond)
	t.Logf("%d of %d tasks were run", c.runs.Total(), jobs+4*kept)
	c.verify()
}
