package jobs

import (
	"encoding/json"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/wire"
)

// benchJob adds and completes one job of 10 tasks with results of 100 bytes.
func benchJob(t *Table, i int, now time.Time) {
	s := &api.Submission{Service: "cleft-assessor", Type: "grain-count", Team: "kiln"}
	for range 10 {
		s.Tasks = append(s.Tasks, json.RawMessage(`{"cleft":"C-1000","work_ms":60}`))
	}
	key := api.NewKeyAt(now, uint64(i)*0x9e3779b97f4a7c15)
	t.Add(JobSpec{Key: key, Submission: s, Digest: uint64(i), Deadline: now.Add(time.Minute)}, now)
	for n := range s.Tasks {
		t.Start(key, uint16(n), 7)
		t.Result(7, &wire.Result{Key: key, Task: uint16(n), Outcome: wire.OutcomeOK, Ran: wire.RanYes, Body: []byte(`"` + strings.Repeat("x", 98) + `"`)})
	}
}

// BenchmarkMemory reports the memory of a key until it expires, with an answer of
// 10 results of 100 bytes and after the results are dropped.
func BenchmarkMemory(b *testing.B) {
	for _, c := range []struct {
		name  string
		bytes int
	}{{"answer", 1 << 30}, {"forgotten", 0}} {
		b.Run(c.name, func(b *testing.B) {
			const n = 50_000
			now := time.Now()
			for range b.N {
				before := heapInUse()
				t := NewTable(Options{MaxAnswerBytes: c.bytes})
				for i := range n {
					benchJob(t, i, now)
				}
				b.ReportMetric(float64(heapInUse()-before)/n, "B/key")
				runtime.KeepAlive(t)
			}
		})
	}
}

// BenchmarkJob measures the table operations of one job of 10 tasks.
func BenchmarkJob(b *testing.B) {
	t := NewTable(Options{MaxAnswerBytes: 1 << 20, MaxKeys: 1 << 30})
	now := time.Now()
	b.ReportAllocs()
	for i := range b.N {
		benchJob(t, i, now)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
