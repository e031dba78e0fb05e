package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// memoryLimit is the memory_mb of an edge machine in the settings, in bytes.
const memoryLimit = 284 << 20

// rss returns the resident memory of a process in bytes; 0 if it has ended.
func rss(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(b)
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(string(fields[1]), 10, 64)
	return pages * int64(os.Getpagesize())
}

// supervise does what the platform does for a machine: it kills a process that exceeds its
// memory, and starts one that has ended again. It counts these ends.
func (p *process) supervise(ctx context.Context, ends *atomic.Int64) {
	for ctx.Err() == nil {
		p.mu.Lock()
		pid, exited := p.cmd.Process.Pid, p.exited
		p.mu.Unlock()
		select {
		case <-exited:
			if ctx.Err() != nil {
				return
			}
			ends.Add(1)
			p.record("%s has ended by itself, the platform starts it again", p.name)
			time.Sleep(300 * time.Millisecond)
			p.start()
		case <-time.After(2 * time.Millisecond):
			if used := rss(pid); used > memoryLimit {
				p.record("%s uses %d MB of its %d MB: the platform kills it", p.name, used>>20, memoryLimit>>20)
				p.kill()
			}
		}
	}
}

// caseCrash: a request of legal size whose step counts exceed 64 bits in sum.
func (s *scene) caseCrash() bool {
	s.startAll(3, 3)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ends := make([]atomic.Int64, len(s.entries))
	for i, e := range s.entries {
		go e.supervise(ctx, &ends[i])
	}
	// Ordinary callers, ten jobs a second at each entry.
	var served, failed atomic.Int64
	for i, e := range s.entries {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				go func() {
					id := fmt.Sprintf("%016x", 0xaa000000+i<<20+n)
					status, text := s.post(ctx, e.front, id, 1500, job(60))
					s.record("ordinary caller: POST %s to %s: status %d %s", id, e.name, status, text)
					if status == http.StatusOK {
						served.Add(1)
					} else if ctx.Err() == nil {
						failed.Add(1)
					}
				}()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	s.record("ordinary callers before: %d served, %d not", served.Swap(0), failed.Swap(0))
	count := "9223372036854775807"
	if !s.trouble {
		count = "8"
	}
	body := `{"spec":"work_ms=20","best_effort":true,"steps":[{"count":1,"cpu":3100,"mem_mb":64,"estimate_ms":20},{"count":` + count + `,"cpu":3100,"mem_mb":64,"estimate_ms":20}]}`
	id := "00000000000000c1"
	// One client sends one job, again 1.3 s after each broken connection, at the next entry.
	for n := 0; n < 3*len(s.entries); n++ {
		e := s.entries[n%len(s.entries)]
		s.record("client: POST %s to %s, %d bytes: %s", id, e.name, len(body), body)
		began := time.Now()
		status, text := s.post(ctx, e.front, id, 1500, body)
		s.record("client: after %d ms: status %d %s", time.Since(began).Milliseconds(), status, text)
		time.Sleep(1300 * time.Millisecond)
	}
	time.Sleep(time.Second)
	s.record("ordinary callers meanwhile: %d served, %d not", served.Load(), failed.Load())
	machines := 0
	for i := range ends {
		s.record("%s: its process has ended by itself %d times", s.entries[i].name, ends[i].Load())
		if ends[i].Load() >= 3 {
			machines++
		}
	}
	stop()
	return machines < 2
}
