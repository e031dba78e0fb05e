package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// rounds is how often jobs are sent, roundJobs the jobs of a round, resetJobs those of them
	// whose connections are reset, and resetAfter when that is.
	rounds     = 6
	roundJobs  = 4
	resetJobs  = 2
	resetAfter = 60 * time.Millisecond
	// longWork is the run time of the tasks in milliseconds, declared as longEstimate.
	longWork, longEstimate = 2000, 900
)

// pipelines can be switched off to see that it is the cause.
var pipelines = os.Getenv("PIPELINE") != "0"

// pipelinedScene resets half of the callers' connections to an entry while their jobs run.
// Each caller has asked for the count of the queue on the same connection. Those whose
// connection was reset send their job again after retransmit_ms, to the other entry.
func pipelinedScene(rec *record, trouble bool) (int, string) {
	d, err := newDeployment(rec, 2, 6)
	if err != nil {
		return couldNot, err.Error()
	}
	defer d.stopAll()
	if err := d.startAll(); err != nil {
		return couldNot, err.Error()
	}
	var wg sync.WaitGroup
	for round := range rounds {
		for i := range roundJobs {
			id := fmt.Sprintf("%08x%08x", 0x91be0000+round, i)
			wg.Go(func() { d.pipelinedCaller(id, trouble && i < resetJobs) })
		}
		time.Sleep(4 * time.Second)
	}
	wg.Wait()
	twice := rec.judgeTwice()
	started := len(rec.find("worker", nil, "start"))
	switch {
	case started < rounds*roundJobs:
		return couldNot, fmt.Sprintf("only %d tasks were started", started)
	case twice > 0:
		return broken, fmt.Sprintf("TWICE: %d times two runs of a task went on at the same time", twice)
	}
	return held, "no task ran twice at the same time"
}

// pipelinedCaller submits a job, and asks for the count of its queue on the same connection
// 30 ms later. If the connection is reset, it submits the job again at the other entry.
func (d *deployment) pipelinedCaller(id string, reset bool) {
	c, err := d.dial(d.entries[0], "connection of "+id)
	if err != nil {
		return
	}
	defer func() { _ = c.conn.Close() }()
	body := jobBody(fmt.Sprint(longWork), 2, longEstimate, "")
	d.rec.add("client", http.MethodPost, id, "sent to", d.entries[0].name)
	_, _ = fmt.Fprintf(c.conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s",
		prefix, id, host, len(body), body)
	time.Sleep(30 * time.Millisecond)
	if pipelines {
		d.rec.add("client", http.MethodGet, prefix, "sent on the connection of", id)
		_, _ = fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", prefix, host)
	}
	if !reset {
		_ = c.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			d.rec.add("client", http.MethodPost, id, "no answer", err.Error())
			return
		}
		_ = resp.Body.Close()
		d.rec.add("client", http.MethodPost, id, "answer", resp.StatusCode)
		return
	}
	time.Sleep(resetAfter - 30*time.Millisecond)
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	_ = c.conn.Close()
	d.rec.add("client", http.MethodPost, id, "connection reset")
	time.Sleep(retransmitAfter)
	d.post(d.entries[1], id, fmt.Sprint(longWork), 2, longEstimate, 1500)
}
