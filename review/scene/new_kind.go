package main

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// newKind: a worker crashes and starts again under its id as another kind. Then jobs come
// that need the kind that it had.
func newKind(d *deployment, trouble bool) {
	d.configure(7, queue)
	entry := d.startEntry("edge-1")
	workers := d.startWorkers()
	changing := workers[0]
	d.awaitServing([]*process{entry}, workers...)
	if trouble {
		changing.crash()
		time.Sleep(time.Second)
		changing.mu.Lock()
		changing.labels = []string{"b", "r1-1"}
		changing.mu.Unlock()
		if err := changing.start(); err != nil {
			panic(cannotRun(err.Error()))
		}
	}
	// Several heartbeats are acknowledged, and all machines are in touch again.
	time.Sleep(heartbeatInterval + contactTime)
	for range 5 {
		id := d.jobID()
		d.request(entry, http.MethodPost, queue+id, jobBody(100, step{Count: 32, CPU: 3100, MemMB: 64, EstimateMS: 100, Constraints: "a"}), 1500*time.Millisecond)
		for _, i := range d.runs.snapshot() {
			if strings.HasPrefix(i.task, id) && !slices.Contains(i.labels, "a") {
				d.rec.violation("ROUTE: task %s, which needs the label a, is started on %s with the labels %v", i.task, i.worker, i.labels)
			}
		}
	}
}
