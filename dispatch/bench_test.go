package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/sesamelift/sesamelift/link"
)

// Load pattern: peak load with 890 workers that are all busy, while 200 jobs
// wait and reports come in.
func BenchmarkReportWhileJobsWait(b *testing.B) {
	s := New(Options{RestartDelay: time.Second, RackSlowdown: 1.5, MaxWaitingJobs: 1000})
	now := time.Hour
	names := make([]string, 890)
	for i := range names {
		names[i] = fmt.Sprint("w", i)
		s.AgentConnected(now, names[i], 1)
		s.AgentReported(now, names[i], &link.Report{
			Accepting: true, Speed: 1, Worker: &link.WorkerState{ID: names[i], Service: "service", Capacity: link.Resources{MilliCPU: 32000, MemoryMB: 1 << 20}},
		})
	}
	for i := range 200 {
		s.Submit(now, Job{
			ID: fmt.Sprint("j", i), Queue: "q", Service: "service", ReceivedAt: now, Deadline: now + time.Hour, LatencyFactor: 100, Priority: i % 3,
			Steps: []Step{{Tasks: 4, Need: fourCores, Estimate: 100 * time.Millisecond}},
		})
	}
	s.TakeActions(now)
	for i := 0; b.Loop(); i++ {
		s.AgentReported(now, names[i%len(names)], &link.Report{Accepting: true, Speed: 1})
		if i%16 == 0 {
			s.TakeActions(now)
		}
	}
}
