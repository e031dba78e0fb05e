package main

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// foreignHeartbeat: while a worker runs a task, its agent gets one heartbeat of another
// writer, with a service that isn't in the configuration.
func foreignHeartbeat(d *deployment, trouble bool) {
	d.configure(7, queue)
	entry := d.startEntry("edge-1")
	workers := d.startWorkers()
	d.awaitServing([]*process{entry}, workers...)
	// The workers are in steady state for a while.
	time.Sleep(contactTime)
	var wg sync.WaitGroup
	id := d.jobID()
	wg.Go(func() {
		d.request(entry, http.MethodPost, queue+id, jobBody(2000, step{Count: 2, CPU: 3100, MemMB: 64, EstimateMS: 2000}), 6*time.Second)
	})
	if !eventually(2*time.Second, func() bool { _, err := d.running(id); return err == nil }) {
		panic(cannotRun("no task of the job has started"))
	}
	time.Sleep(500 * time.Millisecond)
	run, err := d.running(id)
	if err != nil {
		panic(cannotRun("no task of the job runs"))
	}
	if trouble {
		i := slices.IndexFunc(workers, func(w *worker) bool { return w.id == run.worker })
		body := heartbeatBody("unnamed-service", d.freeAddress(), []string{"a"}, 1, 100, time.Now().UnixMilli())
		d.rec.add("another writer: heartbeat of i-other with the service unnamed-service to the agent of %s", run.worker)
		status := sendHeartbeat(context.Background(), workers[i].control, "i-other", body)
		d.rec.add("another writer: its heartbeat is answered: %d", status)
	}
	wg.Wait()
	time.Sleep(contactTime)
	d.checkTwice()
}
