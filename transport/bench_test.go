package transport

import (
	"context"
	"runtime"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/wire"
)

// BenchmarkStartAndResult measures the exchange of Start and Result for a task
// with 8 tasks in flight. Entry and agent run in this process, and the reported
// CPU time is that of both.
func BenchmarkStartAndResult(b *testing.B) {
	server, client := benchPair(b)
	go echoResults(client)
	body := []byte(`{"cleft":"C-1000","work_ms":60}`)
	start := func(i int) {
		_ = server.Send(&wire.Start{Task: uint16(i), Service: "cleft-assessor", TaskType: "grain-count", Body: body})
	}
	b.ReportAllocs()
	before := cpuTime()
	b.ResetTimer()
	const inFlight = 8
	for i := range min(inFlight, b.N) {
		start(i)
	}
	for i := range b.N {
		if _, err := server.Receive(); err != nil {
			b.Fatal(err)
		}
		if i+inFlight < b.N {
			start(i + inFlight)
		}
	}
	b.ReportMetric(float64(cpuTime()-before)/1000/float64(b.N), "cpu-us/task")
}

func echoResults(c *Conn) {
	for {
		m, err := c.Receive()
		if err != nil {
			return
		}
		s := m.(*wire.Start)
		_ = c.Send(&wire.Result{Key: s.Key, Task: s.Task, Outcome: wire.OutcomeOK, Ran: wire.RanYes, Body: s.Body})
	}
}

// cpuTime returns the CPU time that this process has used, in nanoseconds.
func cpuTime() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}

// benchPair returns both ends of a new connection over loopback.
func benchPair(b *testing.B) (server, client *Conn) {
	b.Helper()
	dir := b.TempDir()
	qt.Assert(b, WriteDevCertificates(dir), qt.IsNil)
	entry, err := LoadCredentials(DevFiles(dir, RoleEntry))
	qt.Assert(b, err, qt.IsNil)
	agent, err := LoadCredentials(DevFiles(dir, RoleAgent))
	qt.Assert(b, err, qt.IsNil)
	l, err := Listen("127.0.0.1:0", entry)
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = l.Close() })
	servers := make(chan *Conn, 1)
	go func() {
		_ = l.Serve(context.Background(), func(p *Pending) {
			if c, err := p.Accept(&wire.Welcome{Name: "e1"}); err == nil {
				servers <- c
			}
		})
	}()
	client, _, err = Dial(context.Background(), l.Addr(), agent, &wire.Hello{Role: RoleAgent, Name: "w1"})
	qt.Assert(b, err, qt.IsNil)
	return <-servers, client
}

// BenchmarkIdleConnections reports the memory that both ends of an idle connection
// use. An entry of a full deployment holds one end for each of 890 agents.
func BenchmarkIdleConnections(b *testing.B) {
	const n = 100
	before := heapAndStackBytes()
	for range b.N {
		for range n {
			server, client := benchPair(b)
			go func() { _, _ = server.Receive() }()
			go func() { _, _ = client.Receive() }()
		}
	}
	b.ReportMetric(float64(heapAndStackBytes()-before)/float64(b.N*n)/1024, "KiB/pair")
}

func heapAndStackBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
