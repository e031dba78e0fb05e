package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// evacMS is the bound evac_ms of the deployments with evacuations.
const evacMS = 5 * time.Second

// wideJob returns the body of a job with one step of tasks.
func wideJob(tasks, ms int) string {
	return fmt.Sprintf(`{"spec":"work_ms=%d","best_effort":true,"steps":[{"count":%d,"cpu":3100,"mem_mb":64,"estimate_ms":%d}]}`, ms, tasks, ms)
}

// load sends jobs at a steady rate to all entries until ctx ends.
func (s *scene) load(ctx context.Context, perSecond, tasks, ms, deadlineMS int) (served, other *atomic.Int64) {
	served, other = new(atomic.Int64), new(atomic.Int64)
	go func() {
		for n := 0; ctx.Err() == nil; n++ {
			go func() {
				id := fmt.Sprintf("%016x", 0xbb000000+n)
				status, text := s.post(ctx, s.entries[n%len(s.entries)].front, id, deadlineMS, wideJob(tasks, ms))
				s.record("caller: POST %s, %d tasks: status %d %s", id, tasks, status, text)
				if status == http.StatusOK {
					served.Add(1)
				} else if ctx.Err() == nil {
					other.Add(1)
				}
			}()
			time.Sleep(time.Second / time.Duration(perSecond))
		}
	}()
	return served, other
}

// caseBeat: a heartbeat of another writer, in which a field is missing, arrives for a worker of
// an evacuated zone.
func (s *scene) caseBeat() bool {
	s.twoZones = true
	workers := s.startAll(2, 4)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	served, other := s.load(ctx, 7, 8, 300, 1500)
	time.Sleep(time.Second)
	s.store.put("op", "evacuate/zone-2", []byte(`{}`))
	acked := s.now()
	s.record("operator: op/evacuate/zone-2 is written and acknowledged")
	time.Sleep(evacMS + 1500*time.Millisecond)
	if s.trouble {
		w := workers[1]
		beat := w.beatBody()
		delete(beat, "zone")
		s.record("another writer: heartbeat for %s without the field zone: %v; acknowledged: %v", w.id, beat, w.tell(ctx, "heartbeat", beat))
	}
	time.Sleep(4 * time.Second)
	stop()
	s.record("jobs served: %d, not served: %d", served.Load(), other.Load())
	held := true
	for _, r := range s.allStarts() {
		if (r.worker == workers[1].id || r.worker == workers[3].id) && r.at > acked+evacMS {
			held = false
			s.record("EVAC: %s started on %s in zone-2 at %.3f s, %.3f s after the acknowledgement", r.task, r.worker, r.at.Seconds(), (r.at - acked).Seconds())
		}
	}
	return held
}

// allStarts returns all starts, as the workers have seen them.
func (s *scene) allStarts() (found []startedRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.starts {
		found = append(found, *r)
	}
	return found
}
