package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// drainMS is the bound drain_ms.
	drainMS = 2 * time.Second
	// slowStore is the store's txn_ms times the largest factor of platform_slow.
	slowStore = 4 * 93 * time.Millisecond
	// endingTime is how long the worker takes to end after its leave message was answered.
	endingTime = 150 * time.Millisecond
)

// caseLeave: an agent restarts while the store is slow, so that the announcement that it has
// stored arrives after a heartbeat. Later its worker drains and leaves.
func (s *scene) caseLeave() bool {
	workers := s.startAll(2, 3)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	w, agent := workers[0], s.agents[0]
	s.path = "/long/"
	s.load(ctx, 12, 8, 200, longMS)
	if s.trouble {
		s.restartWhileStoreIsSlow(agent, w)
	}
	time.Sleep(contactMS + time.Second)
	// A job that is still at work when the worker leaves.
	for i := range 4 {
		s.submit(s.entries[0], s.entries[0].front, fmt.Sprintf("%016x", 0xd5+i), longMS, wideJob(3, 9000))
	}
	time.Sleep(300 * time.Millisecond)
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	if !w.announce(ctx) {
		panic("the drain was not acknowledged")
	}
	acked := s.now()
	s.record("%s is draining, acknowledged", w.id)
	time.Sleep(drainMS + 500*time.Millisecond)
	s.record("%s leaves: %v", w.id, w.tell(ctx, "leave", map[string]any{}))
	time.Sleep(endingTime)
	w.crash()
	s.record("%s has ended", w.id)
	held := true
	for _, r := range s.allStarts() {
		if r.worker == w.id && r.at > acked+drainMS {
			held = false
			s.record("DRAIN: %s started on %s %.3f s after the acknowledgement", r.task, r.worker, (r.at - acked).Seconds())
		}
	}
	return held
}

// restartWhileStoreIsSlow restarts the agent of a worker, whose next heartbeat arrives before the
// answer of the store.
func (s *scene) restartWhileStoreIsSlow(agent *process, w *worker) {
	s.setStoreDelay(slowStore)
	time.Sleep(500 * time.Millisecond)
	agent.kill()
	s.record("%s is killed", agent.name)
	time.Sleep(200 * time.Millisecond)
	agent.start()
	s.record("%s is started", agent.name)
	for range 100 {
		if w.announce(context.Background()) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.record("%s: its heartbeat is acknowledged by the new process", w.id)
	time.Sleep(2 * time.Second)
	s.setStoreDelay(0)
}

// setStoreDelay sets how long the store takes for an answer.
func (s *scene) setStoreDelay(d time.Duration) {
	s.store.delay.Store(int64(d))
	s.record("the store takes %v longer for an answer", d)
}
