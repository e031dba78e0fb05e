package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// earlyReset: many large jobs come at once, and half of the connections that carry them are
// reset a moment later. The callers send these jobs again, to the other entry.
func earlyReset(d *deployment, trouble bool) {
	const (
		rounds  = 5
		callers = 24
		tasks   = 32
		// milliCPU lets all tasks of a round run at the same time.
		milliCPU = 250
		workMS   = 2500
		// resendTime is how long after a broken connection a caller sends its job again.
		resendTime = 1300 * time.Millisecond
		deadline   = 10 * time.Second
	)
	d.configure(7, queue)
	entries := []*process{d.startEntry("edge-1"), d.startEntry("edge-2")}
	d.awaitServing(entries, d.startWorkers()...)
	for n := range rounds {
		first, second := entries[n%2], entries[(n+1)%2]
		var wg sync.WaitGroup
		for c := range callers {
			wg.Go(func() {
				path := queue + d.jobID()
				body := jobBody(workMS, step{Count: tasks, CPU: milliCPU, MemMB: 64, EstimateMS: workMS})
				if !trouble || c%2 == 0 {
					d.request(first, http.MethodPost, path, body, deadline)
					return
				}
				d.sendAndReset(first, path, body, deadline)
				time.Sleep(resendTime)
				d.request(second, http.MethodPost, path, body, deadline)
			})
		}
		wg.Wait()
	}
	d.checkTwice()
}

// resetDelay is how long after the request its connection is reset.
const resetDelay = time.Millisecond

// sendAndReset sends a job over a connection that is then reset.
func (d *deployment) sendAndReset(p *process, path, body string, deadline time.Duration) {
	conn, err := net.Dial("tcp", p.front)
	if err != nil {
		panic(cannotRun(err.Error()))
	}
	request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, hostName, deadline.Milliseconds(), len(body), body)
	_, err = conn.Write([]byte(request))
	time.Sleep(resetDelay)
	d.rec.add("caller: POST %s to %s; the connection is reset (error of the write: %v)", path, p.name, err)
	// With a linger time of 0 the connection is reset when it is closed.
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
